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
	"comfreyworks/internal/state/savedsessions"
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

// newFixture returns a balancer with three services and n engines that serve
// weights 1.
func newFixture(n int) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), holdings: holdings.New()}
	f.catalog = catalog.New(f.clock)
	f.Balancer = New(Options{
		Catalog: f.catalog, Holdings: f.holdings, Saved: savedsessions.New(f.clock), Clock: f.clock, Zone: "z0", SupersededWeights: 6 * time.Second,
		Policy: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
	})
	var present []comfreyworks.Upstream
	for i := range 3 {
		present = append(present, newUpstream(services, i))
	}
	for i := range n {
		present = append(present, newUpstream(engines, i))
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 1}, f.clock.Now())
	// The weights in the first declaration count as declared before this gateway
	// started.
	f.declareWeights(1)
	return f
}

func newUpstream(pool comfreyworks.Pool, i int) comfreyworks.Upstream {
	return comfreyworks.Upstream{
		ID: comfreyworks.InstanceID(fmt.Sprintf("%s/%d", pool, i)), Pool: pool, State: comfreyworks.InstanceLive,
		Zone:    comfreyworks.Zone(fmt.Sprintf("z%d", i%3)),
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 1},
	}
}

// declareWeights declares a revision of the model's weights.
func (f *fixture) declareWeights(revision comfreyworks.WeightsRevision) {
	f.position++
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: revision}, Next: f.position,
	}, f.clock.Now())
}

// promptQuery returns a query for a prompt of a guide, a site and a part of its
// own.
func promptQuery(guide, site string) Query {
	return Query{
		Pool: engines, Model: model, CacheScope: "shared", AffinityKey: xxhash.Sum64String(site), StoreKey: xxhash.Sum64String(site),
		Parts:  []comfreyworks.PromptPart{{ID: guide, Tokens: 2500}, {ID: site, Tokens: 3800}, {ID: "own", Tokens: 2900}},
		Tokens: 9200,
	}
}

// serve picks an upstream and records an immediate answer.
func (f *fixture) serve(t *testing.T, query Query) *Pick {
	t.Helper()
	pick := f.Pick(query)
	assert.Assert(t, pick != nil)
	pick.AnswerStarted()
	pick.Done(Result{Outcome: Answered, Elapsed: 20 * time.Millisecond})
	return pick
}

// expectNoUpstream checks that no upstream is suitable for a request.
func (f *fixture) expectNoUpstream(t *testing.T, query Query) {
	t.Helper()
	assert.Assert(t, f.Pick(query) == nil)
}

// TestSessionStaysOnEngine guards against computing a prompt twice: later
// requests of a session must go to the engine that has its prompt cached.
func TestSessionStaysOnEngine(t *testing.T) {
	f := newFixture(9)
	engine := f.serve(t, promptQuery("guide", "site")).Upstream.ID
	for range 20 {
		pick := f.serve(t, promptQuery("guide", "site"))
		assert.Equal(t, pick.Upstream.ID, engine)
		assert.Equal(t, pick.CachedTokens, 6300+2900)
	}
}

// TestSharedPartIsPrefilledOnce guards against several engines prefilling the same
// part. It happens right after new weights: many sessions with one guide arrive
// at once while the guide is cached nowhere.
func TestSharedPartIsPrefilledOnce(t *testing.T) {
	f := newFixture(9)
	first := f.Pick(promptQuery("guide", "site-0"))
	second := f.Pick(promptQuery("guide", "site-11"))
	assert.Equal(t, second.Upstream.ID, first.Upstream.ID, "both wait for one engine to prefill the guide")
	first.AnswerStarted()
	third := f.Pick(promptQuery("guide", "site-222"))
	if third.Upstream.ID != first.Upstream.ID {
		assert.Equal(t, third.ImportFrom, first.Upstream.Address)
		assert.Equal(t, third.ImportableTokens, 2500)
	}
}

// TestImport checks that a session whose engine is busy moves to another engine,
// which imports the cached prefix instead of prefilling it.
func TestImport(t *testing.T) {
	f := newFixture(3)
	busy := f.serve(t, promptQuery("guide", "site")).Upstream
	f.SetPeerLoads("other", []comfreyworks.UpstreamLoad{{ID: busy.ID, Requests: 20, Unread: comfreyworks.PrefillBacklog{200_000}}}, f.clock.Now().Add(time.Second))
	pick := f.Pick(promptQuery("guide", "site"))
	assert.Assert(t, pick.Upstream.ID != busy.ID)
	assert.Equal(t, pick.ImportFrom, busy.Address)
	assert.Equal(t, pick.ImportableTokens, 9200)
	t.Run("not from an engine that fails", func(t *testing.T) {
		down := f.Pick(Query{Pool: engines, Model: model, Exclude: []comfreyworks.InstanceID{"lm/0", "lm/1", "lm/2"}})
		assert.Assert(t, down == nil)
		for range minFailuresToAvoid {
			f.pickOn(t, busy.ID).Done(Result{Outcome: Failed})
		}
		assert.Assert(t, !f.Pick(promptQuery("guide", "site")).ImportFrom.IsValid())
	})
}

// TestStore guards against losing the cached prompts of long sessions when an
// engine evicts them, loads weights or crashes: parts that the store lacks are
// saved to it, and imported from it when no engine has them cached any more.
func TestStore(t *testing.T) {
	f := newFixture(3)
	address := netip.MustParseAddrPort("10.9.9.9:80")
	f.position++
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: f.position, Routing: &comfreyworks.Routing{
		Version: 1, Pools: []comfreyworks.UpstreamPool{{Name: "keep", Store: &comfreyworks.CacheStore{Address: address}}},
	}}, f.clock.Now())
	t.Run("parts that the store lacks are saved", func(t *testing.T) {
		assert.Equal(t, f.serve(t, promptQuery("guide", "site")).SaveTo, address)
	})
	t.Run("parts that an engine has cached are saved too because it may evict them", func(t *testing.T) {
		assert.Equal(t, f.serve(t, promptQuery("guide", "site")).SaveTo, address)
	})
	t.Run("parts that only the store holds are imported from it", func(t *testing.T) {
		salt := holdings.Salt("shared", 1)
		for _, part := range promptQuery("guide", "site").Parts {
			f.holdings.Add("store/keep", holdings.Part{Salt: salt, Model: model, ID: part.ID, Tokens: part.Tokens})
		}
		for _, engine := range f.catalog.Upstreams(engines) {
			f.holdings.RemoveEngine(engine.ID)
		}
		pick := f.serve(t, promptQuery("guide", "site"))
		assert.Equal(t, pick.ImportFrom, address)
		assert.Assert(t, !pick.SaveTo.IsValid())
	})
	t.Run("nothing is saved on superseded weights", func(t *testing.T) {
		f.declareWeights(2)
		assert.Assert(t, !f.serve(t, promptQuery("new guide", "new site")).SaveTo.IsValid())
	})
}

// TestStores checks that sessions are spread over several stores, because one
// cannot hold them all, and that every gateway chooses the same store for a
// session.
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
	saved := make(map[netip.AddrPort]int)
	for i := range sessions {
		session := promptQuery("guide", fmt.Sprintf("site%d", i))
		store := f.serve(t, session).SaveTo
		assert.Equal(t, g.serve(t, session).SaveTo, store)
		saved[store]++
	}
	assert.Equal(t, len(saved), 3)
	for address, n := range saved {
		assert.Assert(t, n > sessions/4, "%d at %s", n, address)
	}
}

// pickOn picks the engine with the given ID.
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

// TestBurst checks that many new sessions at once are spread over the engines by
// the number of tokens that each has to prefill.
func TestBurst(t *testing.T) {
	f := newFixture(9)
	count := make(map[comfreyworks.InstanceID]int)
	for i := range 90 {
		query := promptQuery(fmt.Sprint("guide-", i), fmt.Sprint("site-", i))
		count[f.Pick(query).Upstream.ID]++
	}
	assert.Equal(t, len(count), 9)
	for id, n := range count {
		assert.Assert(t, n <= 15, "%s has %d", id, n)
	}
}

// TestWeights checks the choice of engines during a rollout, when newer weights
// are declared repeatedly.
func TestWeights(t *testing.T) {
	t.Run("superseded weights are treated like current ones at first", func(t *testing.T) {
		f := newFixture(2)
		f.declareWeights(2)
		f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: "lm/1", Model: model, Weights: 2, Sequence: 1, Done: true})
		engine := f.serve(t, promptQuery("guide", "site")).Upstream.ID
		f.clock.Advance(staleWeightsAfter)
		assert.Equal(t, f.serve(t, promptQuery("guide", "site")).Upstream.ID, engine)
	})
	t.Run("then engines with newer weights are preferred", func(t *testing.T) {
		f := newFixture(2)
		f.declareWeights(2)
		f.pickOn(t, "lm/1").Done(Result{Outcome: OtherWeights, Weights: 2})
		f.clock.Advance(staleWeightsAfter + time.Millisecond)
		for i := range 10 {
			pick := f.serve(t, promptQuery("guide", fmt.Sprint("site-", i)))
			assert.Equal(t, pick.Upstream.ID, comfreyworks.InstanceID("lm/1"))
			assert.Equal(t, pick.Weights, comfreyworks.WeightsRevision(2))
		}
	})
	t.Run("finally superseded weights are not used", func(t *testing.T) {
		f := newFixture(2)
		f.declareWeights(2)
		f.clock.Advance(5 * time.Second)
		f.declareWeights(3)
		f.clock.Advance(300 * time.Millisecond)
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("weights superseded before the start are not used for long", func(t *testing.T) {
		f := newFixture(0)
		f.catalog = catalog.New(f.clock)
		f.options.Catalog = f.catalog
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{newUpstream(engines, 0)}, Next: 1}, f.clock.Now())
		f.declareWeights(4)
		assert.Assert(t, f.Pick(promptQuery("guide", "site")) != nil)
		f.clock.Advance(unknownAgeLimit + time.Millisecond)
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("the queue of an engine counts towards the age of its weights", func(t *testing.T) {
		f := newFixture(1)
		f.declareWeights(2)
		f.clock.Advance(5 * time.Second)
		assert.Assert(t, f.Pick(promptQuery("guide", "site")) != nil)
		f.SetPeerLoads("other", []comfreyworks.UpstreamLoad{{ID: "lm/0", Unread: comfreyworks.PrefillBacklog{80_000}}}, f.clock.Now().Add(time.Second))
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("an engine that loads weights gets no requests while another is available", func(t *testing.T) {
		f := newFixture(2)
		engine := f.serve(t, promptQuery("guide", "site")).Upstream.ID
		f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: engine, Model: model, Sequence: 1, For: time.Second})
		assert.Assert(t, f.serve(t, promptQuery("guide", "site")).Upstream.ID != engine)
	})
	t.Run("a notice of a load that takes hours counts for a limited time", func(t *testing.T) {
		f := newFixture(2)
		engine := f.serve(t, promptQuery("guide", "site")).Upstream.ID
		f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: engine, Model: model, Sequence: 1, For: time.Hour})
		f.clock.Advance(comfreyworks.MaxClosedTime)
		assert.Equal(t, f.serve(t, promptQuery("guide", "site")).Upstream.ID, engine)
	})
	// A notice that is late must not be taken for one about the engine as it is now:
	// it would be sent every prompt and reject it.
	t.Run("a notice about an earlier incarnation says nothing", func(t *testing.T) {
		f := newFixture(0)
		engine := newUpstream(engines, 0)
		earlier := engine.Started
		engine.Started = earlier.Add(time.Hour)
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{engine}, Next: 2}, f.clock.Now())
		f.declareWeights(2)
		notice := comfreyworks.WeightsLoadNotice{Engine: engine.ID, Started: earlier.Add(time.Minute), Model: model, Weights: 2, Sequence: 1, Done: true}
		assert.Assert(t, !f.ApplyLoadNotice(notice))
		assert.Equal(t, f.Weights(&engine, model), comfreyworks.WeightsRevision(1))
		notice.Started = engine.Started
		assert.Assert(t, f.ApplyLoadNotice(notice))
		assert.Equal(t, f.Weights(&engine, model), comfreyworks.WeightsRevision(2))
	})
	t.Run("loading weights clears the engine's cache", func(t *testing.T) {
		f := newFixture(1)
		f.serve(t, promptQuery("guide", "site"))
		f.declareWeights(2)
		f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: "lm/0", Model: model, Weights: 2, Sequence: 1, Done: true})
		assert.Equal(t, f.Pick(promptQuery("guide", "site")).CachedTokens, 0)
	})
}

// TestCrash checks that an upstream is avoided for a while after requests could
// not be sent to it or failed.
func TestCrash(t *testing.T) {
	query := Query{Pool: services}
	t.Run("an unreachable upstream is avoided at once", func(t *testing.T) {
		f := newFixture(0)
		down := f.Pick(query)
		down.Done(Result{Outcome: Unreachable})
		for range 20 {
			assert.Assert(t, f.serve(t, query).Upstream.ID != down.Upstream.ID)
		}
	})
	t.Run("no upstream is picked if all are unreachable", func(t *testing.T) {
		f := newFixture(0)
		for range 3 {
			f.Pick(query).Done(Result{Outcome: Unreachable})
		}
		f.expectNoUpstream(t, query)
		f.clock.Advance(baseAvoidTime)
		assert.Assert(t, f.Pick(query) != nil)
	})
	t.Run("an upstream is not avoided after a single failure", func(t *testing.T) {
		f := newFixture(0)
		first := f.Pick(query)
		first.Done(Result{Outcome: Failed})
		assert.Equal(t, f.Pick(query).Upstream.ID, first.Upstream.ID)
	})
	t.Run("an upstream is avoided after consecutive failures", func(t *testing.T) {
		f := newFixture(0)
		first := f.Pick(query).Upstream.ID
		for range minFailuresToAvoid {
			f.Pick(Query{Pool: services, Exclude: allServicesExcept(f, first)}).Done(Result{Outcome: Failed})
		}
		assert.Assert(t, f.Pick(query).Upstream.ID != first)
	})
	t.Run("a restarted upstream is not avoided", func(t *testing.T) {
		f := newFixture(0)
		down := f.Pick(query)
		down.Done(Result{Outcome: OtherInstance})
		restarted := down.Upstream
		restarted.Started = f.clock.Now()
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{restarted}, Next: 2}, f.clock.Now())
		assert.Assert(t, f.Pick(Query{Pool: services, Exclude: allServicesExcept(f, restarted.ID)}) != nil)
	})
}

func allServicesExcept(f *fixture, id comfreyworks.InstanceID) []comfreyworks.InstanceID {
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
	t.Run("the upstream in the same zone is preferred", func(t *testing.T) {
		assert.Equal(t, newFixture(0).Pick(query).Upstream.Zone, comfreyworks.Zone("z0"))
	})
	t.Run("requests are spread over the upstreams", func(t *testing.T) {
		f := newFixture(0)
		count := make(map[comfreyworks.InstanceID]int)
		for range 30 {
			count[f.Pick(query).Upstream.ID]++
		}
		for id, n := range count {
			assert.Assert(t, n >= 8 && n <= 12, "%s has %d", id, n)
		}
	})
	t.Run("load reported by peers counts until it expires", func(t *testing.T) {
		f := newFixture(0)
		f.SetPeerLoads("other", []comfreyworks.UpstreamLoad{{ID: "orders/0", Requests: 9}}, f.clock.Now().Add(time.Second))
		assert.Assert(t, f.Pick(query).Upstream.ID != "orders/0")
		f.clock.Advance(time.Second)
		assert.Equal(t, f.Pick(query).Upstream.ID, comfreyworks.InstanceID("orders/0"))
	})
	t.Run("a full upstream is avoided", func(t *testing.T) {
		f := newFixture(0)
		full := f.Pick(query)
		full.Done(Result{Outcome: Full})
		assert.Assert(t, f.Pick(query).Upstream.ID != full.Upstream.ID)
	})
}

// TestCountsReturnToZero guards against load that stays counted after its requests
// have ended, whether their answers had started or not.
func TestCountsReturnToZero(t *testing.T) {
	f := newFixture(9)
	for i := range 50 {
		pick := f.Pick(promptQuery("guide", fmt.Sprint("site-", i)))
		if i%2 == 0 {
			pick.AnswerStarted()
		}
		pick.Done(Result{Outcome: Withdrawn})
	}
	assert.Equal(t, len(f.LocalLoads()), 0)
	for id, e := range f.endpoints {
		assert.Equal(t, e.backlog, comfreyworks.PrefillBacklog{}, "%s", id)
	}
	f.clock.Advance(time.Minute)
	f.RemoveUnseen(time.Second)
	assert.Equal(t, len(f.endpoints), 0)
}

// TestDelayedLoadReports guards against many gateways choosing the same engine:
// they learn of each other's requests late, so that an engine which was idle in
// the last reports looks best to all of them.
func TestDelayedLoadReports(t *testing.T) {
	const gateways, each = maxGatewaysWithCacheNews, 8
	sent := make(map[comfreyworks.InstanceID]int)
	for i := range gateways {
		f := newFixture(44)
		var loads []comfreyworks.UpstreamLoad
		for _, engine := range f.catalog.Upstreams(engines)[1:] {
			loads = append(loads, comfreyworks.UpstreamLoad{ID: engine.ID, Requests: 1, Unread: comfreyworks.PrefillBacklog{8000}})
		}
		f.SetGateways(gateways)
		f.SetPeerLoads("peer-0", loads, f.clock.Now().Add(time.Second))
		f.addCached(f.catalog.Upstreams(engines)[1].ID, "guide")
		for j := range each {
			session := fmt.Sprintf("site-%d-%d", i, j)
			f.addCached(f.catalog.Upstreams(engines)[1].ID, "guide", session)
			sent[f.Pick(promptQuery("guide", session)).Upstream.ID]++
		}
	}
	idle := newFixture(44).catalog.Upstreams(engines)[0].ID
	assert.Assert(t, sent[idle] <= gateways*each/4, "%d of %d", sent[idle], gateways*each)
}

// addCached records that an engine has a guide, or a guide and a site, cached.
func (f *fixture) addCached(id comfreyworks.InstanceID, partIDs ...string) {
	for i, tokens := range []int{2500, 3800}[:len(partIDs)] {
		f.holdings.Add(id, holdings.Part{Salt: holdings.Salt("shared", 1), Model: model, ID: partIDs[i], Tokens: tokens})
	}
}

// TestHotSession guards against overloading the engines of one session with much
// of the traffic: once they are busy, its requests must spread to others. This
// gateway is one of many.
func TestHotSession(t *testing.T) {
	f := newFixture(44)
	f.SetGateways(maxGatewaysWithCacheNews)
	count := make(map[comfreyworks.InstanceID]int)
	for i := range 200 {
		count[f.Pick(promptQuery("guide", "hot")).Upstream.ID]++
		if i == minSubsetSize {
			assert.Assert(t, len(count) <= minSubsetSize)
		}
	}
	assert.Assert(t, len(count) > 2*minSubsetSize, "%d engines", len(count))
	for id, n := range count {
		assert.Assert(t, n < 50, "%s has %d", id, n)
	}
}
