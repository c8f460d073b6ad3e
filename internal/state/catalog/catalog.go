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
	"maps"
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

// maxRemovals is the number of removed upstreams remembered for UpstreamsAfter.
const maxRemovals = 4096

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
	// Restored means that the source was restored from an earlier copy since the
	// list of upstreams was last read.
	Restored bool
	// Doubted means that a peer has another list of upstreams at the same position.
	Doubted bool
}

// Empty reports whether nothing changed.
func (c *Change) Empty() bool {
	return c.Routing == nil && len(c.Weights) == 0 && len(c.Joined) == 0 && len(c.Left) == 0 && len(c.Lapsed) == 0 && !c.Restored && !c.Doubted
}

// Log logs the change with the given fields, unless it is empty.
func (c *Change) Log(logger *zap.Logger, fields ...zap.Field) {
	if c.Empty() {
		return
	}
	if c.Restored {
		logger.Warn("source was restored from an earlier copy", fields...)
	}
	if c.Doubted {
		logger.Warn("peer has another list of upstreams at the same position", fields...)
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

// Catalog holds the declared routing and weights and the list of upstreams. It
// is safe for concurrent use.
type Catalog struct {
	clock comfreyworks.Clock
	table atomic.Pointer[routing.Table]
	pools atomic.Pointer[map[comfreyworks.Pool]*PoolView]
	// stores holds the cache stores of the current routing.
	stores atomic.Pointer[[]Store]

	mu       sync.Mutex
	declared SourceState
	listed   SourceState
	weights  map[comfreyworks.Model]DeclaredWeights
	entries  map[comfreyworks.InstanceID]entry
	// releases holds the releases that upstreams of each pool run or ran recently.
	releases map[comfreyworks.Pool]map[string]releaseSpan
	// expired holds former releases that were removed from releases, with the time. A
	// record that contains one soon afterwards is outdated; later, the release is back.
	expired map[comfreyworks.Pool]map[string]time.Time
	// knownSince is the time since which all releases that were in service are known.
	knownSince time.Time
	// recordsReleases means that streams begin at a new release once it is recorded.
	// recorded is the newest record; nil if it is not known.
	recordsReleases bool
	recorded        *comfreyworks.ReleaseRecord
	// redeclaration is what is awaited since the declarations were restored.
	redeclaration redeclaration
	// routingChangedAt is the position up to which the declarations were read when
	// the routing last changed.
	routingChangedAt comfreyworks.Position
	// known tells since which positions all changes of the list of upstreams are known.
	known coverage
	// removals lists the removed upstreams, the latest last, each once.
	removals []removal
	// undecoded holds the IDs whose newest entry cannot be decoded, with the position up to
	// which the list had been read when that was found.
	undecoded map[comfreyworks.InstanceID]comfreyworks.Position
	// restoredAt is the first position since the list was restored from an earlier
	// copy, or zero.
	restoredAt comfreyworks.Position
	// checksum is that of all entries, of which lapsed are in their grace period. It is
	// not compared before checksumsFrom.
	checksum      uint32
	lapsed        int
	checksumsFrom time.Time
	doubt         doubt
	// graceEnd is the time until which live upstreams are kept although their
	// entries are missing.
	graceEnd time.Time
	// outageBegan is when the last outage began, or when a restore was noticed, and steadySince
	// since when there has been none.
	outageBegan, steadySince time.Time
}

// PoolView holds the upstreams of a pool, sorted by ID. Seeds holds the seed of
// each for rendezvous hashing. Slices and maps are never modified.
type PoolView struct {
	Upstreams []comfreyworks.Upstream
	Seeds     []uint64
	// Settling holds the new releases at which no stream is to begin yet if there is
	// another upstream, with the time until then. Unsettled and Unrecorded hold those at
	// which none may begin, whatever happens to the other upstreams: until a time, or until
	// they are recorded.
	Settling, Unsettled map[string]time.Time
	Unrecorded          map[string]bool
}

// removal is an upstream that was removed, with the position up to which the list
// had been read.
type removal struct {
	id comfreyworks.InstanceID
	at comfreyworks.Position
	// started and sequence are those of the last entry.
	started  time.Time
	sequence uint64
}

// entry is an upstream with its grace period.
type entry struct {
	upstream comfreyworks.Upstream
	// changedAt is the position up to which the list had been read when more than
	// the upstream's sequence number changed.
	changedAt comfreyworks.Position
	// removeAt is the end of the grace period; zero if the upstream is listed. lapsedAt is
	// the position up to which the list had been read when its entry was missing.
	removeAt time.Time
	lapsedAt comfreyworks.Position
}

// New returns an empty catalog.
func New(clock comfreyworks.Clock) *Catalog {
	c := &Catalog{
		clock:    clock,
		weights:  make(map[comfreyworks.Model]DeclaredWeights),
		entries:  make(map[comfreyworks.InstanceID]entry),
		releases: make(map[comfreyworks.Pool]map[string]releaseSpan),
		expired:  make(map[comfreyworks.Pool]map[string]time.Time),

		undecoded: make(map[comfreyworks.InstanceID]comfreyworks.Position),
	}
	c.pools.Store(&map[comfreyworks.Pool]*PoolView{})
	return c
}

// Routing returns the current routing, or nil before the first declaration, and
// the start time of the latest read that confirmed it.
func (c *Catalog) Routing() (*routing.Table, time.Time) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Load(), c.redeclaration.limit(c.declared, now).ConfirmedAt
}

// Upstreams returns the upstreams of a pool, sorted by ID. The caller must not
// change the slice.
func (c *Catalog) Upstreams(pool comfreyworks.Pool) []comfreyworks.Upstream {
	return c.Pool(pool).Upstreams
}

// Pool returns the upstreams of a pool with their seeds.
func (c *Catalog) Pool(pool comfreyworks.Pool) PoolView {
	if view := (*c.pools.Load())[pool]; view != nil {
		return *view
	}
	return PoolView{}
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

// ApplyUpstreams applies the result of a read that started at readAt. Changes since a
// position that this catalog has not reached are ignored.
func (c *Catalog) ApplyUpstreams(changes comfreyworks.UpstreamChanges, readAt time.Time) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change Change
	if changes.Next < c.listed.Position || (!changes.Whole && changes.Since > c.listed.Position) {
		return change
	}
	now := c.clock.Now()
	if changes.Whole {
		c.known.add(c.listed.Position, changes.Next)
	}
	switch {
	case c.listed.ConfirmedAt.IsZero():
		c.steadySince = now
	case readAt.Sub(c.listed.ConfirmedAt) > outageThreshold:
		c.beginGrace(c.listed.ConfirmedAt, now)
	}
	c.crossRestore(&changes, now, &change)
	c.endGrace(changes.SteadyFor, now)
	hadUndecoded := len(c.undecoded) > 0
	lastConfirmedAt := c.listed.ConfirmedAt
	c.updateKnownSince(lastConfirmedAt, now)
	c.listed.Position = changes.Next
	if readAt.After(c.listed.ConfirmedAt) {
		c.listed.ConfirmedAt = readAt
	}
	changed := false
	for _, upstream := range changes.Present {
		changed = c.addOrUpdate(upstream, &change) || changed
	}
	for id, left := range changes.Lapsed {
		c.lapse(id, now.Add(min(left, lapsedGracePeriod)))
	}
	for _, id := range c.removedIDs(changes) {
		c.remove(id, now, &change)
	}
	for id, e := range c.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			// Peers that have read the list as far as this catalog still list the
			// upstream.
			c.delete(id, c.listed.Position+1)
			change.Left = append(change.Left, id)
		}
	}
	changed = c.markUndecoded(&changes) || changed
	if changed || !change.Empty() {
		c.updateReleases(lastConfirmedAt, now)
		c.updateChecksum()
		c.publish(now)
	} else if hadUndecoded {
		c.updateChecksum()
	}
	change.Doubted = c.compare(&changes, now)
	c.addFormerReleases(changes.Former, now)
	return change
}

// addOrUpdate stores an upstream. It returns false if nothing changed but its
// sequence number.
func (c *Catalog) addOrUpdate(upstream comfreyworks.Upstream, change *Change) bool {
	known, ok := c.entries[upstream.ID]
	if ok && isOlder(&upstream, &known.upstream, c.clock.Now()) {
		return false
	}
	if !ok {
		change.Joined = append(change.Joined, upstream.ID)
	} else if known.upstream.State != upstream.State && upstream.State == comfreyworks.InstanceLeaving {
		change.Left = append(change.Left, upstream.ID)
	}
	_, undecoded := c.undecoded[upstream.ID]
	delete(c.undecoded, upstream.ID)
	if ok && !undecoded && known.removeAt.IsZero() && sameContent(known.upstream, upstream) {
		known.upstream = upstream
		c.entries[upstream.ID] = known
		return false
	}
	c.entries[upstream.ID] = entry{upstream: upstream, changedAt: c.listed.Position}
	return true
}

// sameContent reports whether two entries differ in nothing but their sequence
// numbers.
func sameContent(a, b comfreyworks.Upstream) bool {
	return a.ID == b.ID && a.Pool == b.Pool && a.Zone == b.Zone && a.Address == b.Address && a.State == b.State &&
		a.Slots == b.Slots && a.Release == b.Release && a.Started.Equal(b.Started) && maps.Equal(a.Weights, b.Weights)
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
	for _, id := range changes.Undecoded {
		listed[id] = true
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
	delete(c.undecoded, id)
	e, ok := c.entries[id]
	if !ok {
		// Peers between this read and the one before may list the upstream.
		c.addRemoval(removal{id: id, at: c.listed.Position})
		return
	}
	if now.Before(c.graceEnd) && e.upstream.State == comfreyworks.InstanceLive {
		if e.removeAt.IsZero() {
			c.lapse(id, c.graceEnd)
			change.Lapsed = append(change.Lapsed, id)
		}
		return
	}
	c.delete(id, c.listed.Position)
	change.Left = append(change.Left, id)
}

// lapse starts the grace period of an upstream whose entry is missing.
func (c *Catalog) lapse(id comfreyworks.InstanceID, until time.Time) {
	if e, ok := c.entries[id]; ok {
		e.removeAt, e.lapsedAt = until, c.listed.Position
		c.entries[id] = e
	}
}

// delete deletes an upstream and remembers at which position it was removed.
func (c *Catalog) delete(id comfreyworks.InstanceID, at comfreyworks.Position) {
	last := c.entries[id].upstream
	delete(c.entries, id)
	c.addRemoval(removal{id, at, last.Started, last.Sequence})
}

// addRemoval adds a removal in place of an earlier one of the same upstream.
func (c *Catalog) addRemoval(r removal) {
	if i := slices.IndexFunc(c.removals, func(known removal) bool { return known.id == r.id }); i >= 0 {
		known := c.removals[i]
		if r.started.IsZero() {
			r.started, r.sequence = known.started, known.sequence
		}
		r.at = max(r.at, known.at)
		c.removals = slices.Delete(c.removals, i, i+1)
	}
	c.removals = append(c.removals, r)
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.known.add(0, c.removals[excess-1].at)
		c.removals = slices.Clone(c.removals[excess:])
	}
}

// publish makes the current entries visible to Pool, which reads them without a
// lock.
func (c *Catalog) publish(now time.Time) {
	pools := make(map[comfreyworks.Pool]*PoolView)
	for _, e := range c.entries {
		view := pools[e.upstream.Pool]
		if view == nil {
			view = &PoolView{}
			pools[e.upstream.Pool] = view
		}
		view.Upstreams = append(view.Upstreams, e.upstream)
	}
	for pool, view := range pools {
		view.Settling, view.Unsettled, view.Unrecorded = c.settling(pool, now), c.unsettled(pool, now), c.unrecorded(pool)
		slices.SortFunc(view.Upstreams, func(a, b comfreyworks.Upstream) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
		for _, upstream := range view.Upstreams {
			view.Seeds = append(view.Seeds, rendezvous.Seed(string(upstream.ID)))
		}
	}
	c.pools.Store(&pools)
}
