package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyworks"
)

// outdatedEngine is an engine that serves older weights than declared.
type outdatedEngine struct {
	engine  comfreyworks.Upstream
	serving comfreyworks.WeightsRevision
}

// loadTracker records which engines are loading weights, which ones must not be
// tried again yet, and how many orders each engine has accepted.
type loadTracker struct {
	mu *sync.Mutex
	// draining holds the engines that finish their requests before they load.
	draining map[comfreyworks.InstanceID]bool
	loading  map[comfreyworks.InstanceID]bool
	// retryAt is the earliest time of the next order to an engine whose last one
	// failed.
	retryAt map[comfreyworks.InstanceID]time.Time
	// accepted is the number of orders that each incarnation of an engine is known
	// to have accepted.
	accepted map[incarnation]uint64
	// orderedAt is when the last order was sent to an engine.
	orderedAt map[comfreyworks.InstanceID]time.Time
	// unanswered holds the engines that have answered status requests and not their last
	// order, since an order was last answered or known to be accepted.
	unanswered map[comfreyworks.InstanceID]bool
}

// incarnation identifies one run of an engine.
type incarnation struct {
	id      comfreyworks.InstanceID
	started time.Time
}

func incarnationOf(engine *comfreyworks.Upstream) incarnation {
	return incarnation{engine.ID, engine.Started}
}

func newLoadTracker() loadTracker {
	return loadTracker{
		mu:       new(sync.Mutex),
		draining: make(map[comfreyworks.InstanceID]bool),
		loading:  make(map[comfreyworks.InstanceID]bool),
		retryAt:  make(map[comfreyworks.InstanceID]time.Time),
		accepted: make(map[incarnation]uint64),

		orderedAt:  make(map[comfreyworks.InstanceID]time.Time),
		unanswered: make(map[comfreyworks.InstanceID]bool),
	}
}

// loadLimits limits the engines that take no requests because of new weights.
type loadLimits struct {
	// loading is the number of engines that may load at the same time, total the
	// number of engines that may load or drain.
	loading, total int
}

// selectEngines returns the engines to update now, those with the oldest weights
// first, and of these the ones that have waited longest for an order. It stops when these
// and all engines that are already loading or draining reach the limit.
func (t *loadTracker) selectEngines(outdated []outdatedEngine, limits loadLimits, now time.Time) []comfreyworks.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(outdated, func(a, b outdatedEngine) int {
		return cmp.Or(cmp.Compare(a.serving, b.serving), t.orderedAt[a.engine.ID].Compare(t.orderedAt[b.engine.ID]))
	})
	var chosen []comfreyworks.Upstream
	for _, candidate := range outdated {
		if len(t.draining)+len(t.loading)+len(chosen) >= limits.total {
			break
		}
		id := candidate.engine.ID
		if t.draining[id] || t.loading[id] || now.Before(t.retryAt[candidate.engine.ID]) {
			continue
		}
		chosen = append(chosen, candidate.engine)
	}
	return chosen
}

// start marks an engine as draining.
func (t *loadTracker) start(id comfreyworks.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining[id] = true
}

// tryLoad marks a draining engine as loading, unless the limit of loading engines
// is reached.
func (t *loadTracker) tryLoad(id comfreyworks.InstanceID, limits loadLimits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.loading) >= limits.loading {
		return false
	}
	delete(t.draining, id)
	t.loading[id] = true
	return true
}

// finish marks an engine as no longer draining or loading. It is not selected again before
// retryAt; the zero time means that it may be selected at once.
func (t *loadTracker) finish(id comfreyworks.InstanceID, retryAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.draining, id)
	delete(t.loading, id)
	delete(t.retryAt, id)
	if !retryAt.IsZero() {
		t.retryAt[id] = retryAt
	}
}

// acceptedOrders returns the number of orders that an engine is known to have
// accepted, or 0 if it is unknown.
func (t *loadTracker) acceptedOrders(engine *comfreyworks.Upstream) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted[incarnationOf(engine)]
}

func (t *loadTracker) setAcceptedOrders(engine *comfreyworks.Upstream, n uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted[incarnationOf(engine)] = n
}

// forgetAcceptedOrders removes the number of accepted orders, so that the next
// order uses the number that the engine reports.
func (t *loadTracker) forgetAcceptedOrders(engine *comfreyworks.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, incarnationOf(engine))
}

// orderSent records that an order is sent to an engine.
func (t *loadTracker) orderSent(id comfreyworks.InstanceID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderedAt[id] = now
}

// orderUnanswered records that an engine which answers status requests has not answered an
// order nor accepted it so far.
func (t *loadTracker) orderUnanswered(id comfreyworks.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered[id] = true
}

// orderAnswered records that an engine has answered an order or is known to have accepted it.
func (t *loadTracker) orderAnswered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.unanswered)
}

// ordersGetNoAnswer reports whether orders take effect late or not at all, wherever they are
// sent: several engines in a row have not answered theirs.
func (t *loadTracker) ordersGetNoAnswer(limits loadLimits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unanswered) >= max(minUnanswered, limits.loading/2)
}

// retain removes what is known of engines that are not listed any more.
func (t *loadTracker) retain(listed func(comfreyworks.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.orderedAt, func(id comfreyworks.InstanceID, _ time.Time) bool { return !listed(id) })
	maps.DeleteFunc(t.unanswered, func(id comfreyworks.InstanceID, _ bool) bool { return !listed(id) })
}
