// Package catalog holds a gateway's copy of the declared routing, the declared
// model weights and the list of upstreams.
//
// The declarations and the list each carry the start time of the read that last
// confirmed them, so that readers can tell how old they may be. Positions and
// versions never decrease: a result that arrives after a newer one is ignored.
//
// # Usage
//
//	c := catalog.New(clock)
//	c.ApplyDeclaration(declaration, readAt)
//	c.ApplyUpstreams(changes, readAt)
//	table, confirmedAt := c.Routing() // nil until the first declaration
//	for _, upstream := range c.Upstreams(pool) { ... }
package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/routing"
)

const (
	// outageThreshold is the time without a confirmed list of upstreams after
	// which an outage is assumed: entries may then be missing only because their
	// upstreams could not renew them. It amounts to five missed reads.
	outageThreshold = 2500 * time.Millisecond
	// lapsedGracePeriod is how long upstreams that are missing after an outage
	// are kept. An upstream that is still running renews its entry within two
	// seconds.
	lapsedGracePeriod = 1800 * time.Millisecond
)

// maxRevisionHistory is the number of revisions remembered for each model.
const maxRevisionHistory = 32

// DeclaredWeights holds the declared weights revision of a model and the revisions
// declared before it.
type DeclaredWeights struct {
	Revision comfreyworks.WeightsRevision
	// history holds the latest revisions in increasing order. The slice is never
	// modified.
	history []declaredRevision
}

// declaredRevision records when this process learned of a revision.
type declaredRevision struct {
	revision  comfreyworks.WeightsRevision
	learnedAt time.Time
	// beforeStart means that the revision was part of the first declaration that
	// this process read, so that the time at which it was declared is unknown.
	beforeStart bool
}

// Supersession tells when a revision was superseded.
type Supersession struct {
	// At is when this process learned of the newer revision.
	At time.Time
	// BeforeStart means that the newer revision was declared at an unknown time
	// before At, before this process first read the declarations.
	BeforeStart bool
}

// Superseded returns when a revision was superseded by the first newer one, or
// false if it was not.
func (w DeclaredWeights) Superseded(revision comfreyworks.WeightsRevision) (Supersession, bool) {
	for _, declared := range w.history {
		if declared.revision > revision {
			return Supersession{At: declared.learnedAt, BeforeStart: declared.beforeStart}, true
		}
	}
	return Supersession{}, false
}

// withRevision returns a copy to which a newer revision is added.
func (w DeclaredWeights) withRevision(next declaredRevision) DeclaredWeights {
	history := append(slices.Clone(w.history), next)
	return DeclaredWeights{Revision: next.revision, history: history[max(len(history)-maxRevisionHistory, 0):]}
}

// Change reports what ApplyDeclaration or ApplyUpstreams changed.
type Change struct {
	// Routing is the new routing, or nil if it has not changed.
	Routing *routing.Table
	// Weights holds the models for which newer weights were declared.
	Weights map[comfreyworks.Model]comfreyworks.WeightsRevision
	// Joined lists the upstreams that were added, Left those that were removed or
	// are now leaving. Lapsed lists those whose entries are missing after an
	// outage and that are kept for a grace period.
	Joined, Left, Lapsed []comfreyworks.InstanceID
}

// Empty reports whether nothing changed.
func (c *Change) Empty() bool {
	return c.Routing == nil && len(c.Weights) == 0 && len(c.Joined) == 0 && len(c.Left) == 0 && len(c.Lapsed) == 0
}

// Log logs the change with the given fields, unless it is empty.
func (c *Change) Log(logger *zap.Logger, fields ...zap.Field) {
	if c.Empty() {
		return
	}
	if c.Routing != nil {
		fields = append(fields, zap.Uint64("routing", uint64(c.Routing.Version())))
	}
	for model, revision := range c.Weights {
		fields = append(fields, zap.String("model", string(model)), zap.Uint64("weights", uint64(revision)))
	}
	for key, ids := range map[string][]comfreyworks.InstanceID{"joined": c.Joined, "left": c.Left, "lapsed": c.Lapsed} {
		if len(ids) > 0 {
			fields = append(fields, zap.Any(key, ids))
		}
	}
	logger.Info("routing, weights or list of upstreams changed", fields...)
}

// Snapshot holds the whole content of a catalog in the form in which gateways
// exchange it.
type Snapshot struct {
	Declaration comfreyworks.Declaration
	Upstreams   comfreyworks.UpstreamChanges
}

// Snapshot returns the current content. The declaration has the latest weights
// revisions only.
func (c *Catalog) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Snapshot{
		Declaration: comfreyworks.Declaration{
			Weights: make(map[comfreyworks.Model]comfreyworks.WeightsRevision, len(c.weights)),
			Next:    c.declared.Position,
		},
		Upstreams: comfreyworks.UpstreamChanges{Whole: true, Next: c.listed.Position},
	}
	if table := c.table.Load(); table != nil {
		s.Declaration.Routing = table.Declared()
	}
	for model, weights := range c.weights {
		s.Declaration.Weights[model] = weights.Revision
	}
	for _, e := range c.entries {
		s.Upstreams.Present = append(s.Upstreams.Present, e.upstream)
	}
	return s
}

// Catalog holds the declared routing and weights and the list of upstreams. It
// is safe for concurrent use.
type Catalog struct {
	clock comfreyworks.Clock
	table atomic.Pointer[routing.Table]
	pools atomic.Pointer[map[comfreyworks.Pool][]comfreyworks.Upstream]
	// stores holds the cache stores of the current routing.
	stores atomic.Pointer[[]Store]

	mu       sync.Mutex
	declared SourceState
	listed   SourceState
	weights  map[comfreyworks.Model]DeclaredWeights
	entries  map[comfreyworks.InstanceID]entry
	// graceEnd is the time until which live upstreams are kept although their
	// entries are missing.
	graceEnd time.Time
}

// entry is an upstream with its grace period.
type entry struct {
	upstream comfreyworks.Upstream
	// removeAt is the end of the grace period; zero if the upstream is listed.
	removeAt time.Time
}

// New returns an empty catalog.
func New(clock comfreyworks.Clock) *Catalog {
	c := &Catalog{
		clock:   clock,
		weights: make(map[comfreyworks.Model]DeclaredWeights),
		entries: make(map[comfreyworks.InstanceID]entry),
	}
	c.pools.Store(&map[comfreyworks.Pool][]comfreyworks.Upstream{})
	return c
}

// Routing returns the current routing, or nil before the first declaration, and
// the start time of the latest read that confirmed it.
func (c *Catalog) Routing() (*routing.Table, time.Time) {
	table := c.table.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	return table, c.declared.ConfirmedAt
}

// Upstreams returns the upstreams of a pool, sorted by ID. The caller must not
// change the slice.
func (c *Catalog) Upstreams(pool comfreyworks.Pool) []comfreyworks.Upstream {
	return (*c.pools.Load())[pool]
}

// Upstream returns the upstream with an ID, or false if there is none.
func (c *Catalog) Upstream(id comfreyworks.InstanceID) (comfreyworks.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	return e.upstream, ok
}

// UpstreamsConfirmedAt returns the start time of the latest read that confirmed the list
// of upstreams; zero means that there was none.
func (c *Catalog) UpstreamsConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed.ConfirmedAt
}

// Store is a cache store with an ID that is derived from the name of its pool.
type Store struct {
	ID comfreyworks.InstanceID
	comfreyworks.CacheStore
	// Seed is the store's seed for rendezvous hashing.
	Seed uint64
	// MaxReaders is the number of processes that may read the store's cache changes
	// at the same time; zero means no limit.
	MaxReaders int
}

// Stores returns the declared cache stores. The caller must not change the slice.
func (c *Catalog) Stores() []Store {
	if stores := c.stores.Load(); stores != nil {
		return *stores
	}
	return nil
}

func declaredStores(pools []comfreyworks.UpstreamPool) []Store {
	var stores []Store
	for _, pool := range pools {
		if pool.Store != nil {
			id := comfreyworks.InstanceID("store/" + string(pool.Name))
			stores = append(stores, Store{ID: id, CacheStore: *pool.Store, Seed: rendezvous.Seed(string(id)), MaxReaders: pool.CacheReaders})
		}
	}
	return stores
}

// Weights returns the declared weights of a model.
func (c *Catalog) Weights(model comfreyworks.Model) DeclaredWeights {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.weights[model]
}

// SourceState tells how current the data of one source is.
type SourceState struct {
	// ConfirmedAt is the start time of the latest read that confirmed the data; zero
	// means that there was none.
	ConfirmedAt time.Time
	// Position is the position up to which the source was read.
	Position comfreyworks.Position
}

// SourceStates tells how current the declarations and the list of upstreams are.
func (c *Catalog) SourceStates() (declared, listed SourceState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.declared, c.listed
}

// ApplyDeclaration applies the result of a read that started at readAt.
func (c *Catalog) ApplyDeclaration(d comfreyworks.Declaration, readAt time.Time) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change Change
	if d.Next < c.declared.Position {
		return change
	}
	beforeStart := c.declared.Position == 0
	c.declared.Position = d.Next
	if readAt.After(c.declared.ConfirmedAt) {
		c.declared.ConfirmedAt = readAt
	}
	current := c.table.Load()
	if d.Routing != nil && (current == nil || d.Routing.Version > current.Version()) {
		change.Routing = routing.New(*d.Routing)
		stores := declaredStores(d.Routing.Pools)
		c.stores.Store(&stores)
		c.table.Store(change.Routing)
	}
	for model, revision := range d.Weights {
		known := c.weights[model]
		if revision <= known.Revision {
			continue
		}
		c.weights[model] = known.withRevision(declaredRevision{revision, c.clock.Now(), beforeStart})
		if change.Weights == nil {
			change.Weights = make(map[comfreyworks.Model]comfreyworks.WeightsRevision)
		}
		change.Weights[model] = revision
	}
	return change
}

// ApplyUpstreams applies the result of a read that started at readAt.
func (c *Catalog) ApplyUpstreams(changes comfreyworks.UpstreamChanges, readAt time.Time) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change Change
	if changes.Next < c.listed.Position {
		return change
	}
	now := c.clock.Now()
	if !c.listed.ConfirmedAt.IsZero() && readAt.Sub(c.listed.ConfirmedAt) > outageThreshold {
		c.graceEnd = now.Add(lapsedGracePeriod)
	}
	c.listed.Position = changes.Next
	if readAt.After(c.listed.ConfirmedAt) {
		c.listed.ConfirmedAt = readAt
	}
	for _, upstream := range changes.Present {
		c.addOrUpdate(upstream, &change)
	}
	for _, id := range c.removedIDs(changes) {
		c.remove(id, now, &change)
	}
	for id, e := range c.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			delete(c.entries, id)
			change.Left = append(change.Left, id)
		}
	}
	if len(changes.Present) > 0 || !change.Empty() {
		c.publish()
	}
	return change
}

func (c *Catalog) addOrUpdate(upstream comfreyworks.Upstream, change *Change) {
	known, ok := c.entries[upstream.ID]
	if ok && isOlder(&upstream, &known.upstream) {
		return
	}
	if !ok {
		change.Joined = append(change.Joined, upstream.ID)
	} else if known.upstream.State != upstream.State && upstream.State == comfreyworks.InstanceLeaving {
		change.Left = append(change.Left, upstream.ID)
	}
	c.entries[upstream.ID] = entry{upstream: upstream}
}

// isOlder reports whether an entry belongs to an earlier incarnation than the
// known one or was written earlier in the same incarnation.
func isOlder(upstream, known *comfreyworks.Upstream) bool {
	if !upstream.Started.Equal(known.Started) {
		return upstream.Started.Before(known.Started)
	}
	return upstream.Sequence < known.Sequence
}

// removedIDs returns the upstreams that are no longer listed. A complete list
// removes every upstream that it does not contain.
func (c *Catalog) removedIDs(changes comfreyworks.UpstreamChanges) []comfreyworks.InstanceID {
	removed := changes.Gone
	if !changes.Whole {
		return removed
	}
	listed := make(map[comfreyworks.InstanceID]bool, len(changes.Present))
	for _, upstream := range changes.Present {
		listed[upstream.ID] = true
	}
	for id := range c.entries {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	return removed
}

// remove removes an upstream, or starts its grace period if it was live and its
// entry may be missing because of an outage.
func (c *Catalog) remove(id comfreyworks.InstanceID, now time.Time, change *Change) {
	e, ok := c.entries[id]
	if !ok {
		return
	}
	if now.Before(c.graceEnd) && e.upstream.State == comfreyworks.InstanceLive {
		if e.removeAt.IsZero() {
			e.removeAt = c.graceEnd
			c.entries[id] = e
			change.Lapsed = append(change.Lapsed, id)
		}
		return
	}
	delete(c.entries, id)
	change.Left = append(change.Left, id)
}

// publish makes the current entries visible to Upstreams, which reads them
// without a lock.
func (c *Catalog) publish() {
	pools := make(map[comfreyworks.Pool][]comfreyworks.Upstream)
	for _, e := range c.entries {
		pools[e.upstream.Pool] = append(pools[e.upstream.Pool], e.upstream)
	}
	for _, upstreams := range pools {
		slices.SortFunc(upstreams, func(a, b comfreyworks.Upstream) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	c.pools.Store(&pools)
}
