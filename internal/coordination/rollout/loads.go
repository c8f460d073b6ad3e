package rollout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"comfreyworks"
)

// waiting is an engine that serves older weights than named.
type waiting struct {
	engine comfreyworks.Upstream
	serves comfreyworks.WeightsRevision
}

// loads keeps which engines load and which are left alone for a while.
type loads struct {
	mu      *sync.Mutex
	running map[comfreyworks.InstanceID]bool
	paused  map[comfreyworks.InstanceID]time.Time
	// orders is how many orders each engine is known to have accepted in its
	// present life.
	orders map[life]uint64
}

// life is one life of an engine.
type life struct {
	id      comfreyworks.InstanceID
	started time.Time
}

func lifeOf(engine *comfreyworks.Upstream) life { return life{engine.ID, engine.Started} }

func newLoads() loads {
	return loads{
		mu:      new(sync.Mutex),
		running: make(map[comfreyworks.InstanceID]bool),
		paused:  make(map[comfreyworks.InstanceID]time.Time),
		orders:  make(map[life]uint64),
	}
}

// next returns the engines to load now, those with the oldest weights first.
func (l *loads) next(behind []waiting, limit int, now time.Time) []comfreyworks.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(behind, func(a, b waiting) int { return cmp.Compare(a.serves, b.serves) })
	var chosen []comfreyworks.Upstream
	for _, w := range behind {
		if len(l.running)+len(chosen) >= limit {
			break
		}
		if l.running[w.engine.ID] || now.Before(l.paused[w.engine.ID]) {
			continue
		}
		chosen = append(chosen, w.engine)
	}
	return chosen
}

func (l *loads) begin(id comfreyworks.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[id] = true
}

// end frees an engine's place and leaves it alone until a time.
func (l *loads) end(id comfreyworks.InstanceID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, id)
	delete(l.paused, id)
	if !until.IsZero() {
		l.paused[id] = until
	}
}

// accepted returns how many orders an engine is known to have accepted.
func (l *loads) accepted(engine *comfreyworks.Upstream) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders[lifeOf(engine)]
}

func (l *loads) accept(engine *comfreyworks.Upstream, n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[lifeOf(engine)] = n
}

// forget makes the engine's own account count.
func (l *loads) forget(engine *comfreyworks.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.orders, lifeOf(engine))
}
