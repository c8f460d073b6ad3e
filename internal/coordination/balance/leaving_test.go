package balance

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

var leavingAdvice = comfreyworks.UpstreamAdvice{Leaving: true}

// changeListed lists the upstreams anew after a change to each of them.
func (f *fixture) changeListed(position comfreyworks.Position, change func(*comfreyworks.Upstream)) {
	var present []comfreyworks.Upstream
	for _, pool := range []comfreyworks.Pool{services, engines} {
		for _, upstream := range f.catalog.Upstreams(pool) {
			change(&upstream)
			present = append(present, upstream)
		}
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: position}, f.clock.Now())
}

// giveAddresses lists the upstreams anew with an address for each.
func (f *fixture) giveAddresses() {
	port := uint16(0)
	f.changeListed(2, func(u *comfreyworks.Upstream) {
		port++
		u.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	})
}

// leave lets the upstream with an ID say in an answer that it is leaving.
func (f *fixture) leave(t *testing.T, id comfreyworks.InstanceID) {
	t.Helper()
	upstream, ok := f.catalog.Upstream(id)
	assert.Assert(t, ok)
	f.Advise(&upstream, leavingAdvice)
}

// expectNever checks that no request is sent to an upstream.
func (f *fixture) expectNever(t *testing.T, id comfreyworks.InstanceID, query Query) {
	t.Helper()
	for range 20 {
		pick := f.Pick(query)
		assert.Assert(t, pick != nil)
		assert.Assert(t, pick.Upstream.ID != id)
	}
}

// TestLeaving guards against requests to an upstream that said in an answer that it
// was leaving, while the list still showed it as live.
func TestLeaving(t *testing.T) {
	query := Query{Pool: services}
	t.Run("a service gets no further requests", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "orders/0")
		f.expectNever(t, "orders/0", query)
	})
	t.Run("an engine gets no further prompts and is no import source", func(t *testing.T) {
		f := newFixture(3)
		f.giveAddresses()
		engine := f.serve(t, promptQuery("guide", "site")).Upstream
		f.leave(t, engine.ID)
		f.expectNever(t, engine.ID, promptQuery("guide", "site"))
		assert.Assert(t, !f.Pick(promptQuery("guide", "site")).ImportFrom.IsValid())
	})
	t.Run("a home of a session gets no further prompts", func(t *testing.T) {
		f := newFixture(9)
		f.SetGateways(maxGatewaysWithCacheNews + 1)
		engine := f.serve(t, promptQuery("guide", "site")).Upstream
		f.leave(t, engine.ID)
		f.expectNever(t, engine.ID, promptQuery("guide", "site"))
	})
	t.Run("requests are refused if no other upstream is left", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("later entries of the same incarnation change nothing", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		f.changeListed(2, func(u *comfreyworks.Upstream) { u.Sequence, u.Slots = u.Sequence+1, u.Slots+1 })
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("an entry that disappears and returns changes nothing", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Next: 2}, f.clock.Now())
		f.clock.Advance(time.Minute)
		f.RemoveUnseen(30 * time.Second)
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{newUpstream(engines, 0)}, Next: 3}, f.clock.Now())
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("it is remembered as long as the incarnation is listed", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		for range 3 {
			f.clock.Advance(departureRetention + time.Second)
			f.RemoveUnseen(30 * time.Second)
		}
		f.expectNoUpstream(t, promptQuery("guide", "site"))
	})
	t.Run("a later incarnation gets requests", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		f.changeListed(2, func(u *comfreyworks.Upstream) { u.Started = f.clock.Now() })
		assert.Equal(t, f.serve(t, promptQuery("guide", "site")).Upstream.ID, comfreyworks.InstanceID("lm/0"))
	})
	t.Run("an answer of an earlier incarnation changes nothing", func(t *testing.T) {
		f := newFixture(1)
		f.changeListed(2, func(u *comfreyworks.Upstream) { u.Started = f.clock.Now() })
		later := f.catalog.Upstreams(engines)[0]
		earlier := newUpstream(engines, 0)
		f.Advise(&later, leavingAdvice)
		f.Advise(&earlier, leavingAdvice)
		assert.Assert(t, f.IsLeaving(&later))
	})
	t.Run("it is forgotten some time after the incarnation is gone", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Next: 2}, f.clock.Now())
		f.clock.Advance(departureRetention + time.Second)
		f.RemoveUnseen(30 * time.Second)
		assert.Equal(t, len(f.leaving), 0)
	})
}

// TestLeavingReported guards against each gateway finding out by itself that an
// upstream is leaving.
func TestLeavingReported(t *testing.T) {
	t.Run("one report is enough", func(t *testing.T) {
		f, g := newFixture(1), newFixture(1)
		f.leave(t, "lm/0")
		g.AddLeaving("peer", f.Leaving())
		g.expectNoUpstream(t, promptQuery("guide", "site"))
		assert.DeepEqual(t, g.Leaving(), f.Leaving())
	})
	t.Run("reports about other incarnations and unknown upstreams are ignored", func(t *testing.T) {
		f := newFixture(1)
		f.AddLeaving("peer", []comfreyworks.UpstreamIncarnation{{}, {ID: "lm/9"}, {ID: "lm/0", Started: f.clock.Now()}})
		assert.Equal(t, len(f.leaving), 0)
	})
	t.Run("upstreams that are no longer listed are not reported", func(t *testing.T) {
		f := newFixture(1)
		f.leave(t, "lm/0")
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Next: 2}, f.clock.Now())
		assert.Assert(t, !slices.ContainsFunc(f.Leaving(), func(i comfreyworks.UpstreamIncarnation) bool { return i.ID == "lm/0" }))
	})
}
