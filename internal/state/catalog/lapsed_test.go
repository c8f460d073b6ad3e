package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestDepartureAfterOutage guards against a gateway that was frozen or cut off and hides the
// departure of an upstream from the others: it keeps the upstream for a grace period, which
// they have no reason for.
func TestDepartureAfterOutage(t *testing.T) {
	a, b := upstream("a"), upstream("b")
	// woken returns a catalog that has learned of the departure of b after an outage, and one
	// that had the same list and was never disturbed.
	woken := func() (frozen, calm fixture) {
		frozen = newFixture()
		calm = fixture{clock: frozen.clock, Catalog: New(frozen.clock)}
		for position := range comfreyworks.Position(2) {
			frozen.applyList(position+1, true, []comfreyworks.Upstream{a, b})
			calm.applyList(position+1, true, []comfreyworks.Upstream{a, b})
			frozen.clock.Advance(time.Second)
		}
		for range 3 {
			frozen.clock.Advance(outageThreshold / 2)
			calm.applyList(2, false, nil)
		}
		change := frozen.applyList(3, false, nil, "b")
		assert.DeepEqual(t, change.Lapsed, []comfreyworks.InstanceID{"b"})
		return frozen, calm
	}
	t.Run("a gateway that was never disturbed learns of it at once", func(t *testing.T) {
		frozen, calm := woken()
		calm.ApplyUpstreams(*frozen.UpstreamsAfter(2), calm.clock.Now())
		calm.assertLive(t, "a")
		frozen.assertLive(t, "a", "b")
	})
	t.Run("also from the whole list", func(t *testing.T) {
		frozen, calm := woken()
		frozen.known.add(0, 3)
		changes := frozen.UpstreamsAfter(2)
		assert.Assert(t, changes.Whole)
		calm.ApplyUpstreams(*changes, calm.clock.Now())
		calm.assertLive(t, "a")
	})
	t.Run("one that was disturbed as well keeps the upstream for its own grace period", func(t *testing.T) {
		frozen, _ := woken()
		other := fixture{clock: frozen.clock, Catalog: New(frozen.clock)}
		other.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{a, b}, Next: 2}, frozen.clock.Now().Add(-time.Minute))
		other.ApplyUpstreams(*frozen.UpstreamsAfter(2), frozen.clock.Now())
		other.assertLive(t, "a", "b")
	})
	t.Run("one that starts keeps it for what is left of the sender's", func(t *testing.T) {
		frozen, _ := woken()
		frozen.clock.Advance(lapsedGracePeriod - 100*time.Millisecond)
		starting := fixture{clock: frozen.clock, Catalog: New(frozen.clock)}
		starting.ApplyUpstreams(*frozen.UpstreamsAfter(0), frozen.clock.Now())
		starting.assertLive(t, "a", "b")
		starting.clock.Advance(100 * time.Millisecond)
		starting.applyList(3, false, nil)
		starting.assertLive(t, "a")
	})
	t.Run("an upstream that renews its entry stays everywhere", func(t *testing.T) {
		frozen, calm := woken()
		calm.ApplyUpstreams(*frozen.UpstreamsAfter(2), calm.clock.Now())
		frozen.applyList(4, false, []comfreyworks.Upstream{b})
		calm.ApplyUpstreams(*frozen.UpstreamsAfter(3), calm.clock.Now())
		calm.assertLive(t, "a", "b")
	})
}

// TestGraceEndsWithSteadyPeer guards against a gateway that was cut off and goes on using
// upstreams that left meanwhile: for a grace period of its own, although a peer that followed the
// list throughout tells that they have left.
func TestGraceEndsWithSteadyPeer(t *testing.T) {
	a, b := upstream("a"), upstream("b")
	start := func() (cut, steady fixture) {
		cut = newFixture()
		steady = fixture{clock: cut.clock, Catalog: New(cut.clock)}
		for _, f := range []fixture{cut, steady} {
			f.applyList(1, true, []comfreyworks.Upstream{a, b})
		}
		return cut, steady
	}
	follow := func(f fixture, position comfreyworks.Position, gone ...comfreyworks.InstanceID) {
		for range 4 {
			f.clock.Advance(outageThreshold / 2)
			f.applyList(position, false, nil, gone...)
		}
	}
	tell := func(to, from fixture, after comfreyworks.Position) {
		changes := *from.UpstreamsAfter(after)
		changes.SteadyFor = from.SteadyFor()
		to.ApplyUpstreams(changes, to.clock.Now())
	}
	t.Run("which tells of it first", func(t *testing.T) {
		cut, steady := start()
		follow(steady, 2, "b")
		tell(cut, steady, 1)
		cut.assertLive(t, "a")
	})
	t.Run("after the gateway has read it from the source", func(t *testing.T) {
		cut, steady := start()
		follow(steady, 2, "b")
		cut.applyList(2, false, nil, "b")
		cut.assertLive(t, "a", "b")
		tell(cut, steady, 2)
		cut.assertLive(t, "a")
	})
	t.Run("which tells that it is back", func(t *testing.T) {
		cut, steady := start()
		follow(steady, 2, "b")
		cut.applyList(2, false, nil, "b")
		steady.applyList(3, false, []comfreyworks.Upstream{b})
		tell(cut, steady, 2)
		cut.assertLive(t, "a", "b")
	})
	t.Run("not with one that had an outage in that time", func(t *testing.T) {
		cut, other := start()
		other.clock.Advance(outageThreshold * 2)
		other.applyList(1, false, nil)
		follow(other, 2, "b")
		tell(cut, other, 1)
		cut.assertLive(t, "a", "b")
	})
	t.Run("not with one that has a grace period itself", func(t *testing.T) {
		cut, other := start()
		other.clock.Advance(outageThreshold * 2)
		other.applyList(2, false, nil, "b")
		assert.Equal(t, other.SteadyFor(), time.Duration(0))
		tell(cut, other, 1)
		cut.assertLive(t, "a", "b")
	})
	t.Run("not with one whose list is old", func(t *testing.T) {
		cut, other := start()
		follow(other, 2, "b")
		other.clock.Advance(outageThreshold * 2)
		assert.Equal(t, other.SteadyFor(), time.Duration(0))
		tell(cut, other, 1)
		cut.assertLive(t, "a", "b")
	})
	t.Run("not of a list that was restored since", func(t *testing.T) {
		cut, steady := start()
		follow(steady, 1)
		follow(cut, 1)
		steady.applyRestored(restored+1, a)
		steady.clock.Advance(lapsedGracePeriod / 2)
		tell(cut, steady, 1)
		cut.assertLive(t, "a", "b")
	})
}
