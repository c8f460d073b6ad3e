package balance

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/savedsessions"
)

const largeFleet = 103

// newLargeFleet returns a balancer of one of many gateways with n engines and two
// cache stores.
func newLargeFleet(n int) *fixture {
	f := newFixture(n)
	f.SetGateways(largeFleet)
	var pools []comfreyworks.UpstreamPool
	for i := range 2 {
		pools = append(pools, comfreyworks.UpstreamPool{
			Name:  comfreyworks.Pool(fmt.Sprint("store-", i)),
			Store: &comfreyworks.CacheStore{Address: netip.MustParseAddrPort(fmt.Sprintf("10.9.0.%d:80", i+1))},
		})
	}
	f.position++
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{
		Routing: &comfreyworks.Routing{Version: 1, Pools: pools}, Next: f.position,
	}, f.clock.Now())
	return f
}

// TestSessionHomes guards against a session that is prefilled by many engines
// because each of many gateways sees few of its requests and does not know what
// engines have cached.
func TestSessionHomes(t *testing.T) {
	const sessions = 400
	first := newLargeFleet(160)
	count := make(map[comfreyworks.InstanceID]int)
	for i := range sessions {
		session := fmt.Sprint("site-", i)
		pick := first.serve(t, promptQuery("guide", session))
		other := newLargeFleet(160).serve(t, promptQuery("guide", session))
		assert.Equal(t, other.Upstream.ID, pick.Upstream.ID, "two gateways send a session to different engines")
		assert.Equal(t, other.ImportFrom, pick.ImportFrom)
		assert.Equal(t, other.SaveTo, pick.SaveTo)
		count[pick.Upstream.ID]++
	}
	for id, n := range count {
		assert.Assert(t, n <= 12, "%s is the home of %d of %d sessions", id, n, sessions)
	}
	t.Run("a candidate is built for few engines", func(t *testing.T) {
		assert.Equal(t, first.Pick(promptQuery("guide", "site")).Candidates, minHomes)
	})
	t.Run("nothing is recorded about what engines have cached", func(t *testing.T) {
		held := first.holdings.PrefixTokens("shared/1", model, promptQuery("guide", "site-0").Parts)
		assert.Equal(t, len(held), 0)
	})
}

// TestHomeUnavailable guards against a session that moves to an engine on which
// the gateways do not agree when its home is lost, loads weights or fails.
func TestHomeUnavailable(t *testing.T) {
	for name, disturb := range map[string]func(f *fixture, home comfreyworks.Upstream){
		"lost": func(f *fixture, home comfreyworks.Upstream) {
			f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Gone: []comfreyworks.InstanceID{home.ID}, Next: 2}, f.clock.Now())
		},
		"leaving": func(f *fixture, home comfreyworks.Upstream) {
			home.State = comfreyworks.InstanceLeaving
			f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{home}, Next: 2}, f.clock.Now())
		},
		"loading": func(f *fixture, home comfreyworks.Upstream) {
			f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: home.ID, Model: model, Sequence: 1, For: time.Second})
		},
		"unreachable": func(f *fixture, _ comfreyworks.Upstream) {
			f.Pick(promptQuery("guide", "site")).Done(Result{Outcome: Unreachable})
		},
	} {
		t.Run(name, func(t *testing.T) {
			second := make(map[comfreyworks.InstanceID]bool)
			for range 3 {
				f := newLargeFleet(160)
				home := f.Pick(promptQuery("guide", "site"))
				home.Done(Result{Outcome: Withdrawn})
				disturb(f, home.Upstream)
				second[f.serve(t, promptQuery("guide", "site")).Upstream.ID] = true
				assert.Assert(t, !second[home.Upstream.ID])
			}
			assert.Equal(t, len(second), 1)
		})
	}
}

// TestHotSessionInLargeFleet guards against a session with a quarter of the
// traffic, which a few engines cannot serve: with every report that its homes are
// busy it gets more of them, and the sessions of other engines stay.
func TestHotSessionInLargeFleet(t *testing.T) {
	f := newLargeFleet(160)
	hot := promptQuery("guide", "hot")
	used := make(map[comfreyworks.InstanceID]bool)
	for range 5 {
		pick := f.Pick(hot)
		used[pick.Upstream.ID] = true
		var loads []comfreyworks.UpstreamLoad
		for id := range used {
			loads = append(loads, comfreyworks.UpstreamLoad{ID: id, Requests: 10, Unread: comfreyworks.PrefillBacklog{20_000}})
		}
		f.SetPeerLoads("relay", loads, f.clock.Now().Add(time.Hour))
	}
	assert.Equal(t, len(used), 5)
	moved := 0
	for i := range 100 {
		session := promptQuery("guide", fmt.Sprint("site-", i))
		if f.serve(t, session).Upstream.ID != newLargeFleet(160).serve(t, session).Upstream.ID {
			moved++
		}
	}
	assert.Assert(t, moved <= 10, "%d of 100 other sessions moved", moved)
}

// TestStaleHomes guards against sending all prompts to the few engines that have
// already loaded newly declared weights: an engine with the weights before them is
// used while the others are busy.
func TestStaleHomes(t *testing.T) {
	f := newLargeFleet(3)
	f.declareWeights(2)
	f.clock.Advance(staleWeightsAfter + time.Millisecond)
	f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: "lm/1", Model: model, Weights: 2, Sequence: 1, Done: true})
	pick := f.serve(t, promptQuery("guide", "site"))
	assert.Equal(t, pick.Upstream.ID, comfreyworks.InstanceID("lm/1"))
	assert.Assert(t, pick.SaveTo.IsValid())
	f.SetPeerLoads("relay", []comfreyworks.UpstreamLoad{{ID: "lm/1", Unread: comfreyworks.PrefillBacklog{40_000}}}, f.clock.Now().Add(time.Hour))
	pick = f.serve(t, promptQuery("guide", "site"))
	assert.Assert(t, pick.Upstream.ID != "lm/1")
	assert.Assert(t, !pick.SaveTo.IsValid(), "a store keeps parts as first made, so old weights must not fill it")
}

// TestUnreachableReports guards against a quarter of the engines going dark while
// each of many gateways finds that out by itself: two peers' reports suffice, those
// of one do not, and what this gateway sees itself counts more.
func TestUnreachableReports(t *testing.T) {
	query := promptQuery("guide", "site")
	home := newLargeFleet(160).serve(t, query).Upstream.ID
	report := func(f *fixture, gateways int) {
		f.SetPeerLoads("relay", []comfreyworks.UpstreamLoad{{ID: home, Unreachable: gateways}}, f.clock.Now().Add(time.Second))
	}
	t.Run("one gateway may be cut off itself", func(t *testing.T) {
		f := newLargeFleet(160)
		report(f, 1)
		assert.Equal(t, f.Pick(query).Upstream.ID, home)
	})
	t.Run("two gateways are believed until their reports expire", func(t *testing.T) {
		f := newLargeFleet(160)
		report(f, 2)
		assert.Assert(t, f.Pick(query).Upstream.ID != home)
		f.clock.Advance(time.Second)
		assert.Equal(t, f.Pick(query).Upstream.ID, home)
	})
	t.Run("not against an answer that this gateway just got", func(t *testing.T) {
		f := newLargeFleet(160)
		f.serve(t, query)
		report(f, 2)
		assert.Equal(t, f.Pick(query).Upstream.ID, home)
	})
	t.Run("this gateway reports what it cannot reach", func(t *testing.T) {
		f := newLargeFleet(160)
		f.Pick(query).Done(Result{Outcome: Unreachable})
		loads := f.LocalLoads()
		assert.Equal(t, len(loads), 1)
		assert.Equal(t, loads[0].Unreachable, 1)
		f.clock.Advance(maxAvoidTime)
		assert.Equal(t, len(f.LocalLoads()), 0)
	})
}

// TestSessionIsSavedOnce guards against copying every request's prompt to the cache
// stores, which fills their links: a session is copied when its first request is
// answered, by whichever gateway, and imported from there afterwards.
func TestSessionIsSavedOnce(t *testing.T) {
	f := newLargeFleet(160)
	query := promptQuery("guide", "site")
	first := f.Pick(query)
	assert.Assert(t, first.SaveTo.IsValid())
	assert.Equal(t, first.CachedTokens, 0)
	assert.Assert(t, f.Pick(query).SaveTo.IsValid(), "the first request is not answered yet")
	first.AnswerStarted()
	next := f.Pick(query)
	assert.Assert(t, !next.SaveTo.IsValid())
	assert.Equal(t, next.ImportFrom, first.SaveTo)
	assert.Equal(t, next.CachedTokens, 6300)
	t.Run("also at a gateway that was told", func(t *testing.T) {
		other := newLargeFleet(160)
		keys, _ := f.options.Saved.After(0, savedsessions.Local)
		other.options.Saved.Merge(keys, savedsessions.Remote)
		assert.Assert(t, !other.Pick(query).SaveTo.IsValid())
	})
	t.Run("again under other weights", func(t *testing.T) {
		f.declareWeights(2)
		for _, engine := range f.catalog.Upstreams(engines) {
			f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: engine.ID, Model: model, Weights: 2, Sequence: 1, Done: true})
		}
		assert.Assert(t, f.Pick(query).SaveTo.IsValid())
	})
	t.Run("also while no weights are declared", func(t *testing.T) {
		f := newLargeFleet(160)
		engine := newUpstream(engines, 0)
		engine.Weights = map[comfreyworks.Model]comfreyworks.WeightsRevision{"elm": 1}
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{engine}, Next: 2}, f.clock.Now())
		undeclared := promptQuery("guide", "site")
		undeclared.Model = "elm"
		assert.Assert(t, f.Pick(undeclared).SaveTo.IsValid())
	})
	t.Run("an isolated workspace has one store", func(t *testing.T) {
		stores := make(map[netip.AddrPort]bool)
		for i := range 20 {
			query := promptQuery("guide", fmt.Sprint("own-", i))
			query.CacheScope, query.StoreKey = "workspace:a", 7
			stores[f.Pick(query).SaveTo] = true
		}
		assert.Equal(t, len(stores), 1)
	})
}

// TestBusyHomes guards against sessions that leave their homes near full load: each
// move prefills a prompt again and takes cache memory on one more engine, which
// adds to the load.
func TestBusyHomes(t *testing.T) {
	moved := 0
	for i := range 100 {
		session := promptQuery("guide", fmt.Sprint("site-", i))
		f := newLargeFleet(160)
		home := f.serve(t, session).Upstream.ID
		var loads []comfreyworks.UpstreamLoad
		for _, engine := range f.catalog.Upstreams(engines) {
			busy := comfreyworks.PrefillBacklog{6_000}
			if engine.ID == home {
				busy = comfreyworks.PrefillBacklog{16_000}
			}
			loads = append(loads, comfreyworks.UpstreamLoad{ID: engine.ID, Requests: 3, Unread: busy})
		}
		f.SetPeerLoads("relay", loads, f.clock.Now().Add(time.Second))
		if f.serve(t, session).Upstream.ID != home {
			moved++
		}
	}
	assert.Equal(t, moved, 0)
}

// TestCacheNews checks in which fleets gateways follow the caches of engines.
func TestCacheNews(t *testing.T) {
	for _, c := range []struct {
		gateways, engines int
		want              bool
	}{
		{0, 9, false},
		{1, 9, true},
		{maxGatewaysWithCacheNews, maxEnginesWithCacheNews, true},
		{maxGatewaysWithCacheNews + 1, 9, false},
		{4, maxEnginesWithCacheNews + 1, false},
	} {
		f := newFixture(c.engines)
		f.SetGateways(c.gateways)
		assert.Equal(t, f.UsesCacheNews(engines), c.want, "%d gateways, %d engines", c.gateways, c.engines)
	}
}

func TestHighestScores(t *testing.T) {
	var seeds []uint64
	for i := range 50 {
		seeds = append(seeds, rendezvous.Seed(fmt.Sprint(i)))
	}
	const key = 42
	all := make([]int, len(seeds))
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		if rendezvous.Score(seeds[a], key) > rendezvous.Score(seeds[b], key) {
			return -1
		}
		return 1
	})
	for _, n := range []int{1, 3, 50, 99} {
		assert.DeepEqual(t, highestScores(seeds, key, n), all[:min(n, len(all))])
	}
}

// TestPeerLoadSum checks that the sum of the loads that peers report follows each
// report, its replacement and its expiry.
func TestPeerLoadSum(t *testing.T) {
	f := newLargeFleet(3)
	report := func(requests, tokens int) []comfreyworks.UpstreamLoad {
		return []comfreyworks.UpstreamLoad{{ID: "lm/0", Requests: requests, Unread: comfreyworks.PrefillBacklog{0, tokens}}}
	}
	now := f.clock.Now()
	f.SetPeerLoads("a", report(2, 6000), now.Add(time.Second))
	f.SetPeerLoads("b", report(3, 0), now.Add(2*time.Second))
	assert.Equal(t, f.Requests("lm/0"), 5)
	f.SetPeerLoads("a", report(1, 5000), now.Add(3*time.Second))
	assert.Equal(t, f.Requests("lm/0"), 4)
	assert.Equal(t, f.AllLoadsExcept("b")[0].Unread, comfreyworks.PrefillBacklog{0, 5000})
	assert.Equal(t, len(f.AllLoadsExcept("a")), 1)
	assert.Equal(t, len(f.AllLoadsExcept("b")), 1, "reading the sum must not change it")
	assert.Equal(t, f.SumLoads(map[comfreyworks.InstanceID]bool{"b": true, "c": true})[0].Requests, 3)
	f.clock.Advance(2 * time.Second)
	assert.Equal(t, f.Requests("lm/0"), 1)
	f.RemovePeer("a")
	assert.Equal(t, f.Requests("lm/0"), 0)
	assert.Equal(t, len(f.AllLoadsExcept("a")), 0)
}
