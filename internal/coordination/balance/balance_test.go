package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
)

const (
	services = comfreyworks.Pool("orders")
	engines  = comfreyworks.Pool("lm")
	model    = comfreyworks.Model("oak")
)

type fixture struct {
	clock    *clockwork.FakeClock
	catalog  *catalog.Catalog
	holdings *holdings.Index
	*Balancer
	position comfreyworks.Position
}

// newFixture has three services and a number of engines, which serve weights 1.
func newFixture(n int) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), holdings: holdings.New()}
	f.catalog = catalog.New(f.clock)
	f.Balancer = New(Options{
		Catalog: f.catalog, Holdings: f.holdings, Clock: f.clock, Zone: "z0", WeightsBound: 6 * time.Second,
		Placer: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
	})
	var present []comfreyworks.Upstream
	for i := range 3 {
		present = append(present, listed(services, i))
	}
	for i := range n {
		present = append(present, listed(engines, i))
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 1}, f.clock.Now())
	// What the first answer names counts as named before this process started.
	f.name(1)
	return f
}

func listed(pool comfreyworks.Pool, i int) comfreyworks.Upstream {
	return comfreyworks.Upstream{
		ID: comfreyworks.InstanceID(fmt.Sprintf("%s/%d", pool, i)), Pool: pool, State: comfreyworks.InstanceLive,
		Zone:    comfreyworks.Zone(fmt.Sprintf("z%d", i%3)),
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 1},
	}
}

// name names weights.
func (f *fixture) name(revision comfreyworks.WeightsRevision) {
	f.position++
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: revision}, Next: f.position,
	}, f.clock.Now())
}

// prompt asks for an engine for a prompt of a guide, a site and an own part.
func prompt(guide, site string) Query {
	return Query{
		Pool: engines, Model: model, Wall: "shared", Affinity: xxhash.Sum64String(site),
		Parts:  []comfreyworks.PromptPart{{ID: guide, Tokens: 2500}, {ID: site, Tokens: 3800}, {ID: "own", Tokens: 2900}},
		Tokens: 9200,
	}
}

// run picks an upstream, which reads the prompt and answers at once.
func (f *fixture) run(t *testing.T, query Query) *Pick {
	t.Helper()
	pick := f.Pick(query)
	assert.Assert(t, pick != nil)
	pick.Begun()
	pick.Done(Result{Outcome: Answered, Elapsed: 20 * time.Millisecond})
	return pick
}

// expectNone expects that no upstream may take a request.
func (f *fixture) expectNone(t *testing.T, query Query) {
	t.Helper()
	assert.Assert(t, f.Pick(query) == nil)
}

// TestSessionsStay is the load of long prompts that share a guide: a session
// goes where its prompt was read, and nothing is read twice.
func TestSessionsStay(t *testing.T) {
	f := newFixture(9)
	home := f.run(t, prompt("guide", "site")).Upstream.ID
	for range 20 {
		pick := f.run(t, prompt("guide", "site"))
		assert.Equal(t, pick.Upstream.ID, home)
		assert.Equal(t, pick.Held, 6300+2900)
	}
}

// TestGuideIsReadOnce is the load right after new weights: many sessions of one
// guide come at once while nobody holds it.
func TestGuideIsReadOnce(t *testing.T) {
	f := newFixture(9)
	first := f.Pick(prompt("guide", "site-0"))
	second := f.Pick(prompt("guide", "site-11"))
	assert.Equal(t, second.Upstream.ID, first.Upstream.ID, "both wait for one engine to read the guide")
	first.Begun()
	third := f.Pick(prompt("guide", "site-222"))
	if third.Upstream.ID != first.Upstream.ID {
		assert.Equal(t, third.ImportFrom, first.Upstream.Address)
		assert.Equal(t, third.Importable, 2500)
	}
}

// TestImport is the load of a session whose engine is busy: another engine
// takes it and imports what is shared.
func TestImport(t *testing.T) {
	f := newFixture(3)
	home := f.run(t, prompt("guide", "site")).Upstream
	f.PeerLoads("other", []comfreyworks.UpstreamLoad{{ID: home.ID, Requests: 20, Unread: comfreyworks.PrefillBacklog{200_000}}}, f.clock.Now().Add(time.Second))
	pick := f.Pick(prompt("guide", "site"))
	assert.Assert(t, pick.Upstream.ID != home.ID)
	assert.Equal(t, pick.ImportFrom, home.Address)
	assert.Equal(t, pick.Importable, 9200)
	t.Run("not from one that does not answer", func(t *testing.T) {
		down := f.Pick(Query{Pool: engines, Model: model, Exclude: []comfreyworks.InstanceID{"lm/0", "lm/1", "lm/2"}})
		assert.Assert(t, down == nil)
		for range failuresBeforeAvoidance {
			f.pickOn(t, home.ID).Done(Result{Outcome: Failed})
		}
		assert.Assert(t, !f.Pick(prompt("guide", "site")).ImportFrom.IsValid())
	})
}

// TestStore is the load of sessions that outlive an engine's memory, a load of
// weights or a crash: what nobody holds goes to the store, and comes from there
// when no engine holds it any more.
func TestStore(t *testing.T) {
	f := newFixture(3)
	address := netip.MustParseAddrPort("10.9.9.9:80")
	f.position++
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: f.position, Routing: &comfreyworks.Routing{
		Version: 1, Pools: []comfreyworks.UpstreamPool{{Name: "keep", Store: &comfreyworks.CacheStore{Address: address}}},
	}}, f.clock.Now())
	t.Run("what the store lacks is saved", func(t *testing.T) {
		assert.Equal(t, f.run(t, prompt("guide", "site")).SaveTo, address)
	})
	t.Run("also when an engine holds it, which may be about to drop it", func(t *testing.T) {
		assert.Equal(t, f.run(t, prompt("guide", "site")).SaveTo, address)
	})
	t.Run("what only the store holds comes from there", func(t *testing.T) {
		salt := holdings.Salt("shared", 1)
		for _, part := range prompt("guide", "site").Parts {
			f.holdings.Add("store/keep", holdings.Part{Salt: salt, Model: model, ID: part.ID, Tokens: part.Tokens})
		}
		for _, engine := range f.catalog.Upstreams(engines) {
			f.holdings.Forget(engine.ID)
		}
		pick := f.run(t, prompt("guide", "site"))
		assert.Equal(t, pick.ImportFrom, address)
		assert.Assert(t, !pick.SaveTo.IsValid())
	})
	t.Run("what runs on superseded weights is not saved", func(t *testing.T) {
		f.name(2)
		assert.Assert(t, !f.run(t, prompt("new guide", "new site")).SaveTo.IsValid())
	})
}

// TestStores is the load of more sessions than one store can keep: each has its
// store, the same one in the eyes of every process.
func TestStores(t *testing.T) {
	const sessions = 300
	f, g := newFixture(3), newFixture(3)
	routing := &comfreyworks.Routing{Version: 1}
	for i := range 3 {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.9.9.9"), uint16(80+i))
		routing.Pools = append(routing.Pools, comfreyworks.UpstreamPool{
			Name: comfreyworks.Pool(fmt.Sprintf("keep%d", i)), Store: &comfreyworks.CacheStore{Address: address},
		})
	}
	for _, fixture := range []*fixture{f, g} {
		fixture.position++
		fixture.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: fixture.position, Routing: routing}, fixture.clock.Now())
	}
	kept := make(map[netip.AddrPort]int)
	for i := range sessions {
		session := prompt("guide", fmt.Sprintf("site%d", i))
		at := f.run(t, session).SaveTo
		assert.Equal(t, g.run(t, session).SaveTo, at)
		kept[at]++
	}
	assert.Equal(t, len(kept), 3)
	for address, n := range kept {
		assert.Assert(t, n > sessions/4, "%d at %s", n, address)
	}
}

// pickOn picks a certain engine.
func (f *fixture) pickOn(t *testing.T, id comfreyworks.InstanceID) *Pick {
	t.Helper()
	var others []comfreyworks.InstanceID
	for _, u := range f.catalog.Upstreams(engines) {
		if u.ID != id {
			others = append(others, u.ID)
		}
	}
	pick := f.Pick(Query{Pool: engines, Model: model, Exclude: others})
	assert.Assert(t, pick != nil)
	return pick
}

// TestBurst is the load of many new sessions at once: they spread over the
// engines by what each has to read.
func TestBurst(t *testing.T) {
	f := newFixture(9)
	count := make(map[comfreyworks.InstanceID]int)
	for i := range 90 {
		query := prompt(fmt.Sprint("guide-", i), fmt.Sprint("site-", i))
		count[f.Pick(query).Upstream.ID]++
	}
	assert.Equal(t, len(count), 9)
	for id, n := range count {
		assert.Assert(t, n <= 15, "%s has %d", id, n)
	}
}

// TestWeights is the load of a roll-out: weights that are named again and again.
func TestWeights(t *testing.T) {
	t.Run("older ones are as good for a while", func(t *testing.T) {
		f := newFixture(2)
		f.name(2)
		f.Notice(comfreyworks.WeightsLoadNotice{Engine: "lm/1", Model: model, Weights: 2, Done: true})
		home := f.run(t, prompt("guide", "site")).Upstream.ID
		f.clock.Advance(staleWeightsAfter)
		assert.Equal(t, f.run(t, prompt("guide", "site")).Upstream.ID, home)
	})
	t.Run("then newer ones go first", func(t *testing.T) {
		f := newFixture(2)
		f.name(2)
		f.pickOn(t, "lm/1").Done(Result{Outcome: OtherWeights, Weights: 2})
		f.clock.Advance(staleWeightsAfter + time.Millisecond)
		for i := range 10 {
			pick := f.run(t, prompt("guide", fmt.Sprint("site-", i)))
			assert.Equal(t, pick.Upstream.ID, comfreyworks.InstanceID("lm/1"))
			assert.Equal(t, pick.Weights, comfreyworks.WeightsRevision(2))
		}
	})
	t.Run("and at last older ones do not answer", func(t *testing.T) {
		f := newFixture(2)
		f.name(2)
		f.clock.Advance(5 * time.Second)
		f.name(3)
		f.clock.Advance(300 * time.Millisecond)
		f.expectNone(t, prompt("guide", "site"))
	})
	t.Run("what was named before the start is old soon", func(t *testing.T) {
		f := newFixture(0)
		f.catalog = catalog.New(f.clock)
		f.options.Catalog = f.catalog
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{listed(engines, 0)}, Next: 1}, f.clock.Now())
		f.name(4)
		assert.Assert(t, f.Pick(prompt("guide", "site")) != nil)
		f.clock.Advance(unknownAgeLimit + time.Millisecond)
		f.expectNone(t, prompt("guide", "site"))
	})
	t.Run("what waits at an engine counts against its weights", func(t *testing.T) {
		f := newFixture(1)
		f.name(2)
		f.clock.Advance(5 * time.Second)
		assert.Assert(t, f.Pick(prompt("guide", "site")) != nil)
		f.PeerLoads("other", []comfreyworks.UpstreamLoad{{ID: "lm/0", Unread: comfreyworks.PrefillBacklog{80_000}}}, f.clock.Now().Add(time.Second))
		f.expectNone(t, prompt("guide", "site"))
	})
	t.Run("an engine that loads gets nothing while another does not", func(t *testing.T) {
		f := newFixture(2)
		home := f.run(t, prompt("guide", "site")).Upstream.ID
		f.Notice(comfreyworks.WeightsLoadNotice{Engine: home, Model: model, For: time.Second})
		assert.Assert(t, f.run(t, prompt("guide", "site")).Upstream.ID != home)
	})
	t.Run("loading forgets what the engine held", func(t *testing.T) {
		f := newFixture(1)
		f.run(t, prompt("guide", "site"))
		f.name(2)
		f.Notice(comfreyworks.WeightsLoadNotice{Engine: "lm/0", Model: model, Weights: 2, Done: true})
		assert.Equal(t, f.Pick(prompt("guide", "site")).Held, 0)
	})
}

// TestCrash is the load of a crash: requests that cannot be sent leave the
// upstream alone for a while.
func TestCrash(t *testing.T) {
	query := Query{Pool: services}
	t.Run("unreachable is left out at once", func(t *testing.T) {
		f := newFixture(0)
		down := f.Pick(query)
		down.Done(Result{Outcome: Unreachable})
		for range 20 {
			assert.Assert(t, f.run(t, query).Upstream.ID != down.Upstream.ID)
		}
	})
	t.Run("all unreachable is no upstream", func(t *testing.T) {
		f := newFixture(0)
		for range 3 {
			f.Pick(query).Done(Result{Outcome: Unreachable})
		}
		f.expectNone(t, query)
		f.clock.Advance(avoidance)
		assert.Assert(t, f.Pick(query) != nil)
	})
	t.Run("single failures say little", func(t *testing.T) {
		f := newFixture(0)
		first := f.Pick(query)
		first.Done(Result{Outcome: Failed})
		assert.Equal(t, f.Pick(query).Upstream.ID, first.Upstream.ID)
	})
	t.Run("failures in a row do", func(t *testing.T) {
		f := newFixture(0)
		first := f.Pick(query).Upstream.ID
		for range failuresBeforeAvoidance {
			f.Pick(Query{Pool: services, Exclude: othersOf(f, first)}).Done(Result{Outcome: Failed})
		}
		assert.Assert(t, f.Pick(query).Upstream.ID != first)
	})
	t.Run("a new life starts afresh", func(t *testing.T) {
		f := newFixture(0)
		down := f.Pick(query)
		down.Done(Result{Outcome: Gone})
		reborn := down.Upstream
		reborn.Started = f.clock.Now()
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{reborn}, Next: 2}, f.clock.Now())
		assert.Assert(t, f.Pick(Query{Pool: services, Exclude: othersOf(f, reborn.ID)}) != nil)
	})
}

func othersOf(f *fixture, id comfreyworks.InstanceID) []comfreyworks.InstanceID {
	var others []comfreyworks.InstanceID
	for _, u := range f.catalog.Upstreams(services) {
		if u.ID != id {
			others = append(others, u.ID)
		}
	}
	return others
}

func TestServices(t *testing.T) {
	query := Query{Pool: services}
	t.Run("the near one first", func(t *testing.T) {
		assert.Equal(t, newFixture(0).Pick(query).Upstream.Zone, comfreyworks.Zone("z0"))
	})
	t.Run("load spreads", func(t *testing.T) {
		f := newFixture(0)
		count := make(map[comfreyworks.InstanceID]int)
		for range 30 {
			count[f.Pick(query).Upstream.ID]++
		}
		for id, n := range count {
			assert.Assert(t, n >= 8 && n <= 12, "%s has %d", id, n)
		}
	})
	t.Run("load of other processes counts until it is old", func(t *testing.T) {
		f := newFixture(0)
		f.PeerLoads("other", []comfreyworks.UpstreamLoad{{ID: "orders/0", Requests: 9}}, f.clock.Now().Add(time.Second))
		assert.Assert(t, f.Pick(query).Upstream.ID != "orders/0")
		f.clock.Advance(time.Second)
		assert.Equal(t, f.Pick(query).Upstream.ID, comfreyworks.InstanceID("orders/0"))
	})
	t.Run("a full one is left alone", func(t *testing.T) {
		f := newFixture(0)
		full := f.Pick(query)
		full.Done(Result{Outcome: Full})
		assert.Assert(t, f.Pick(query).Upstream.ID != full.Upstream.ID)
	})
}

func TestCountsReturnToZero(t *testing.T) {
	f := newFixture(9)
	for i := range 50 {
		pick := f.Pick(prompt("guide", fmt.Sprint("site-", i)))
		if i%2 == 0 {
			pick.Begun()
		}
		pick.Done(Result{Outcome: Withdrawn})
	}
	assert.Equal(t, len(f.Loads()), 0)
	for id, e := range f.endpoints {
		assert.Equal(t, e.unread, comfreyworks.PrefillBacklog{}, "%s", id)
	}
	f.clock.Advance(time.Minute)
	f.Forget(time.Second)
	assert.Equal(t, len(f.endpoints), 0)
}

// TestLateNews is the load of many processes that hear of each other's requests
// late: an engine that was idle when they last heard must not get all of them.
func TestLateNews(t *testing.T) {
	const processes, each = 24, 4
	sent := make(map[comfreyworks.InstanceID]int)
	for i := range processes {
		f := newFixture(44)
		var loads []comfreyworks.UpstreamLoad
		for _, engine := range f.catalog.Upstreams(engines)[1:] {
			loads = append(loads, comfreyworks.UpstreamLoad{ID: engine.ID, Requests: 1, Unread: comfreyworks.PrefillBacklog{8000}})
		}
		for j := range processes - 1 {
			f.PeerLoads(comfreyworks.InstanceID(fmt.Sprint("peer-", j)), nil, f.clock.Now().Add(time.Second))
		}
		f.PeerLoads("peer-0", loads, f.clock.Now().Add(time.Second))
		f.hold(f.catalog.Upstreams(engines)[1].ID, "guide")
		for j := range each {
			session := fmt.Sprintf("site-%d-%d", i, j)
			f.hold(f.catalog.Upstreams(engines)[1].ID, "guide", session)
			sent[f.Pick(prompt("guide", session)).Upstream.ID]++
		}
	}
	idle := newFixture(44).catalog.Upstreams(engines)[0].ID
	assert.Assert(t, sent[idle] <= processes*each/4, "%d of %d", sent[idle], processes*each)
}

// hold records that an engine holds a guide and a site.
func (f *fixture) hold(id comfreyworks.InstanceID, held ...string) {
	for i, tokens := range []int{2500, 3800}[:len(held)] {
		f.holdings.Add(id, holdings.Part{Salt: holdings.Salt("shared", 1), Model: model, ID: held[i], Tokens: tokens})
	}
}

// TestHotSession is the load of one session with much of the traffic, seen by one
// of many processes: it spreads once its own engines are busy.
func TestHotSession(t *testing.T) {
	f := newFixture(44)
	for j := range 2 * freshPeers {
		f.PeerLoads(comfreyworks.InstanceID(fmt.Sprint("peer-", j)), nil, f.clock.Now().Add(time.Second))
	}
	count := make(map[comfreyworks.InstanceID]int)
	for i := range 200 {
		count[f.Pick(prompt("guide", "hot")).Upstream.ID]++
		if i == leastHomes {
			assert.Assert(t, len(count) <= leastHomes)
		}
	}
	assert.Assert(t, len(count) > 2*leastHomes, "%d engines", len(count))
	for id, n := range count {
		assert.Assert(t, n < 50, "%s has %d", id, n)
	}
}
