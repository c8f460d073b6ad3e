// Package catalog holds what a gateway believes about the deployment: the
// routing in force, the weights that models shall serve, and the upstreams.
//
// Every belief carries the time of the question that proved it, so that
// whoever acts on it can tell how old it may be. Versions only grow: an older
// answer that arrives late changes nothing.
//
// # Usage
//
//	c := catalog.New(clock)
//	c.ApplyDeclaration(declaration, askedAt)
//	c.ApplyUpstreams(changes, askedAt)
//	table, provenAt := c.Routing() // nil until the first declaration
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
	// outageAge is the age of the last proof from which on missing entries may
	// have lapsed while the list could not be written; five missed questions.
	outageAge = 2500 * time.Millisecond
	// lapseGrace is how long an upstream that is missing after an outage is
	// kept; its entry is back within two seconds if it lives.
	lapseGrace = 1800 * time.Millisecond
)

// keptNames is how many of the revisions of a model are remembered.
const keptNames = 32

// NamedWeights is the revision that a model shall serve, and those before it.
type NamedWeights struct {
	Revision comfreyworks.WeightsRevision
	// names are the last revisions in rising order. They are never changed.
	names []naming
}

// naming is when this process learned of a revision.
type naming struct {
	revision comfreyworks.WeightsRevision
	at       time.Time
	// earlier means that it was named before this process began to follow.
	earlier bool
}

// Succession tells when a revision was followed by a newer one.
type Succession struct {
	// At is when this process learned of it.
	At time.Time
	// Earlier means that it happened at an unknown time before.
	Earlier bool
}

// Succeeded returns when a revision was followed by a newer one; false when it
// was not.
func (n NamedWeights) Succeeded(revision comfreyworks.WeightsRevision) (Succession, bool) {
	for _, name := range n.names {
		if name.revision > revision {
			return Succession{At: name.at, Earlier: name.earlier}, true
		}
	}
	return Succession{}, false
}

// with returns the names with one more.
func (n NamedWeights) with(name naming) NamedWeights {
	names := append(slices.Clone(n.names), name)
	return NamedWeights{Revision: name.revision, names: names[max(len(names)-keptNames, 0):]}
}

// Change tells what an applied answer changed.
type Change struct {
	// Routing is set when a newer version came into force.
	Routing *routing.Table
	// Weights are the models for which newer weights were named.
	Weights map[comfreyworks.Model]comfreyworks.WeightsRevision
	// Joined, Left and Lapsed list upstreams; lapsed ones are still used.
	Joined, Left, Lapsed []comfreyworks.InstanceID
}

// Empty reports whether nothing changed.
func (c *Change) Empty() bool {
	return c.Routing == nil && len(c.Weights) == 0 && len(c.Joined) == 0 && len(c.Left) == 0 && len(c.Lapsed) == 0
}

// Log writes a line about the change, with further fields, if there is one.
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
	for name, ids := range map[string][]comfreyworks.InstanceID{"joined": c.Joined, "left": c.Left, "lapsed": c.Lapsed} {
		if len(ids) > 0 {
			fields = append(fields, zap.Any(name, ids))
		}
	}
	logger.Info("belief changed", fields...)
}

// Snapshot is everything that a catalog holds.
type Snapshot struct {
	Declaration comfreyworks.Declaration
	Upstreams   comfreyworks.UpstreamChanges
}

// Snapshot returns everything in force.
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
	for model, named := range c.weights {
		s.Declaration.Weights[model] = named.Revision
	}
	for _, e := range c.entries {
		s.Upstreams.Present = append(s.Upstreams.Present, e.upstream)
	}
	return s
}

// Catalog is safe for concurrent use.
type Catalog struct {
	clock comfreyworks.Clock
	table atomic.Pointer[routing.Table]
	pools atomic.Pointer[map[comfreyworks.Pool][]comfreyworks.Upstream]
	// stores are those of the routing in force.
	stores atomic.Pointer[[]Store]

	mu       sync.Mutex
	declared Proof
	listed   Proof
	weights  map[comfreyworks.Model]NamedWeights
	entries  map[comfreyworks.InstanceID]entry
	// lapseUntil is until when missing entries are kept.
	lapseUntil time.Time
}

// entry is an upstream with the end of its grace, when its entry is missing.
type entry struct {
	upstream  comfreyworks.Upstream
	keepUntil time.Time
}

// New returns a catalog that knows nothing.
func New(clock comfreyworks.Clock) *Catalog {
	c := &Catalog{
		clock:   clock,
		weights: make(map[comfreyworks.Model]NamedWeights),
		entries: make(map[comfreyworks.InstanceID]entry),
	}
	c.pools.Store(&map[comfreyworks.Pool][]comfreyworks.Upstream{})
	return c
}

// Routing returns the routing in force and when it was last proven to be the
// newest; nil when none is known.
func (c *Catalog) Routing() (*routing.Table, time.Time) {
	table := c.table.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	return table, c.declared.At
}

// Upstreams returns the upstreams of a pool, sorted by ID. The caller must not
// change the slice.
func (c *Catalog) Upstreams(pool comfreyworks.Pool) []comfreyworks.Upstream {
	return (*c.pools.Load())[pool]
}

// Upstream returns an upstream by its ID; false when it is not listed.
func (c *Catalog) Upstream(id comfreyworks.InstanceID) (comfreyworks.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	return e.upstream, ok
}

// UpstreamsProven returns when the list was last proven current; zero means
// never.
func (c *Catalog) UpstreamsProven() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed.At
}

// Store is a store of kept KV cache under an ID of its own.
type Store struct {
	ID comfreyworks.InstanceID
	comfreyworks.CacheStore
	// Seed ranks the stores for a session.
	Seed uint64
	// Readers is how many processes may follow it at once; zero means any
	// number.
	Readers int
}

// Stores returns the stores of kept KV cache that are declared. The caller must
// not change the slice.
func (c *Catalog) Stores() []Store {
	if stores := c.stores.Load(); stores != nil {
		return *stores
	}
	return nil
}

func storesOf(pools []comfreyworks.UpstreamPool) []Store {
	var stores []Store
	for _, pool := range pools {
		if pool.Store != nil {
			id := comfreyworks.InstanceID("store/" + string(pool.Name))
			stores = append(stores, Store{ID: id, CacheStore: *pool.Store, Seed: rendezvous.Seed(string(id)), Readers: pool.CacheReaders})
		}
	}
	return stores
}

// Weights returns the revision that a model shall serve.
func (c *Catalog) Weights(model comfreyworks.Model) NamedWeights {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.weights[model]
}

// Proof tells how current a belief is.
type Proof struct {
	// At is the time of the question that proved it; zero means never.
	At time.Time
	// Position is up to where the source was read.
	Position comfreyworks.Position
}

// Proofs returns how current the declarations and the list of upstreams are.
func (c *Catalog) Proofs() (declared, listed Proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.declared, c.listed
}

// ApplyDeclaration takes in an answer to a question asked at a time.
func (c *Catalog) ApplyDeclaration(d comfreyworks.Declaration, askedAt time.Time) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change Change
	if d.Next < c.declared.Position {
		return change
	}
	earlier := c.declared.Position == 0
	c.declared.Position = d.Next
	if askedAt.After(c.declared.At) {
		c.declared.At = askedAt
	}
	current := c.table.Load()
	if d.Routing != nil && (current == nil || d.Routing.Version > current.Version()) {
		change.Routing = routing.New(*d.Routing)
		stores := storesOf(d.Routing.Pools)
		c.stores.Store(&stores)
		c.table.Store(change.Routing)
	}
	for model, revision := range d.Weights {
		known := c.weights[model]
		if revision <= known.Revision {
			continue
		}
		c.weights[model] = known.with(naming{revision, c.clock.Now(), earlier})
		if change.Weights == nil {
			change.Weights = make(map[comfreyworks.Model]comfreyworks.WeightsRevision)
		}
		change.Weights[model] = revision
	}
	return change
}

// ApplyUpstreams takes in an answer to a question asked at a time.
func (c *Catalog) ApplyUpstreams(changes comfreyworks.UpstreamChanges, askedAt time.Time) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change Change
	if changes.Next < c.listed.Position {
		return change
	}
	now := c.clock.Now()
	if !c.listed.At.IsZero() && askedAt.Sub(c.listed.At) > outageAge {
		c.lapseUntil = now.Add(lapseGrace)
	}
	c.listed.Position = changes.Next
	if askedAt.After(c.listed.At) {
		c.listed.At = askedAt
	}
	for _, upstream := range changes.Present {
		c.present(upstream, &change)
	}
	for _, id := range c.missing(changes) {
		c.gone(id, now, &change)
	}
	for id, e := range c.entries {
		if !e.keepUntil.IsZero() && !now.Before(e.keepUntil) {
			delete(c.entries, id)
			change.Left = append(change.Left, id)
		}
	}
	if len(changes.Present) > 0 || !change.Empty() {
		c.publish()
	}
	return change
}

func (c *Catalog) present(upstream comfreyworks.Upstream, change *Change) {
	known, ok := c.entries[upstream.ID]
	if ok && outdated(&upstream, &known.upstream) {
		return
	}
	if !ok {
		change.Joined = append(change.Joined, upstream.ID)
	} else if known.upstream.State != upstream.State && upstream.State == comfreyworks.InstanceLeaving {
		change.Left = append(change.Left, upstream.ID)
	}
	c.entries[upstream.ID] = entry{upstream: upstream}
}

// outdated reports whether an entry is of an earlier life, or was written
// earlier in the same one.
func outdated(upstream, known *comfreyworks.Upstream) bool {
	if !upstream.Started.Equal(known.Started) {
		return upstream.Started.Before(known.Started)
	}
	return upstream.Sequence < known.Sequence
}

func (c *Catalog) missing(changes comfreyworks.UpstreamChanges) []comfreyworks.InstanceID {
	gone := changes.Gone
	if !changes.Whole {
		return gone
	}
	listed := make(map[comfreyworks.InstanceID]bool, len(changes.Present))
	for _, upstream := range changes.Present {
		listed[upstream.ID] = true
	}
	for id := range c.entries {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	return gone
}

func (c *Catalog) gone(id comfreyworks.InstanceID, now time.Time, change *Change) {
	e, ok := c.entries[id]
	if !ok {
		return
	}
	if now.Before(c.lapseUntil) && e.upstream.State == comfreyworks.InstanceLive {
		if e.keepUntil.IsZero() {
			e.keepUntil = c.lapseUntil
			c.entries[id] = e
			change.Lapsed = append(change.Lapsed, id)
		}
		return
	}
	delete(c.entries, id)
	change.Left = append(change.Left, id)
}

// publish makes the current entries visible to readers.
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
