package catalog

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

const pool = comfreyworks.Pool("lm")

type fixture struct {
	clock *clockwork.FakeClock
	*Catalog
}

func newFixture() fixture {
	clock := clockwork.NewFakeClock()
	return fixture{clock: clock, Catalog: New(clock)}
}

// declare applies a routing with a version at a position, as read now.
func (f fixture) declare(position comfreyworks.Position, version comfreyworks.ConfigRevision) Change {
	return f.ApplyDeclaration(comfreyworks.Declaration{
		Routing: &comfreyworks.Routing{Version: version}, Next: position,
	}, f.clock.Now())
}

func (f fixture) version() comfreyworks.ConfigRevision {
	table, _ := f.Routing()
	return table.Version()
}

func upstream(id comfreyworks.InstanceID) comfreyworks.Upstream {
	return comfreyworks.Upstream{ID: id, Pool: pool, State: comfreyworks.InstanceLive}
}

func (f fixture) applyList(position comfreyworks.Position, whole bool, present []comfreyworks.Upstream, gone ...comfreyworks.InstanceID) Change {
	return f.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: whole, Present: present, Gone: gone, Next: position}, f.clock.Now())
}

func (f fixture) liveIDs() []comfreyworks.InstanceID {
	ids := []comfreyworks.InstanceID{}
	for _, u := range f.Upstreams(pool) {
		if u.State == comfreyworks.InstanceLive {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

func (f fixture) assertLive(t *testing.T, want ...comfreyworks.InstanceID) {
	t.Helper()
	if want == nil {
		want = []comfreyworks.InstanceID{}
	}
	assert.DeepEqual(t, f.liveIDs(), want)
}

func TestDeclarations(t *testing.T) {
	t.Run("there is no routing before the first declaration", func(t *testing.T) {
		table, _ := newFixture().Routing()
		assert.Assert(t, table == nil)
	})
	t.Run("a declaration at an older position is ignored", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		f.declare(4, 6)
		assert.Equal(t, f.version(), comfreyworks.ConfigRevision(7))
	})
	t.Run("an older version at a later position is ignored", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		f.declare(6, 6)
		assert.Equal(t, f.version(), comfreyworks.ConfigRevision(7))
	})
	t.Run("an empty declaration confirms the routing", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		f.clock.Advance(time.Second)
		f.ApplyDeclaration(comfreyworks.Declaration{Next: 5}, f.clock.Now())
		_, at := f.Routing()
		assert.Equal(t, at, f.clock.Now())
	})
	t.Run("the time of confirmation is that of the read and never decreases", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		before := f.clock.Now()
		f.ApplyDeclaration(comfreyworks.Declaration{Next: 5}, before.Add(-time.Minute))
		_, at := f.Routing()
		assert.Equal(t, at, before)
	})
}

// TestRoutingWithItsAge guards against a routing that is returned with the confirmation
// of a newer one: revoked keys would be accepted.
func TestRoutingWithItsAge(t *testing.T) {
	const rounds, readers, reads = 2000, 4, 40
	for range rounds {
		f := newFixture()
		f.declare(1, 1)
		confirmedAt := f.clock.Now().Add(time.Second)
		var group errgroup.Group
		for range readers {
			group.Go(func() error {
				for range reads {
					if table, at := f.Routing(); table.Version() == 1 && at.Equal(confirmedAt) {
						return errors.New("old routing with a new confirmation")
					}
				}
				return nil
			})
		}
		f.ApplyDeclaration(comfreyworks.Declaration{Routing: &comfreyworks.Routing{Version: 2}, Next: 2}, confirmedAt)
		assert.NilError(t, group.Wait())
	}
}

func TestSuperseded(t *testing.T) {
	declareWeights := func(f fixture, position comfreyworks.Position, revision comfreyworks.WeightsRevision) {
		f.ApplyDeclaration(comfreyworks.Declaration{
			Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": revision}, Next: position,
		}, f.clock.Now())
	}
	t.Run("a revision is superseded by the first newer one", func(t *testing.T) {
		f := newFixture()
		declareWeights(f, 1, 1)
		first := f.clock.Now()
		f.clock.Advance(time.Second)
		declareWeights(f, 2, 2)
		second := f.clock.Now()
		f.clock.Advance(time.Second)
		declareWeights(f, 3, 3)
		got, ok := f.Weights("oak").Superseded(1)
		assert.Assert(t, ok)
		assert.Equal(t, got, Supersession{NotBefore: first, LearnedAt: second})
	})
	t.Run("the newest revision is not superseded", func(t *testing.T) {
		f := newFixture()
		declareWeights(f, 1, 3)
		_, ok := f.Weights("oak").Superseded(3)
		assert.Assert(t, !ok)
	})
	t.Run("the first declaration was made at an unknown earlier time", func(t *testing.T) {
		f := newFixture()
		declareWeights(f, 4, 3)
		got, _ := f.Weights("oak").Superseded(2)
		assert.Equal(t, got, Supersession{LearnedAt: f.clock.Now()})
	})
	t.Run("a read that waited in vain shows when a revision was not declared yet", func(t *testing.T) {
		for waited, want := range map[time.Duration]time.Duration{
			time.Second: time.Second, -time.Hour: 0, time.Hour: 2 * time.Second,
		} {
			f := newFixture()
			declareWeights(f, 1, 1)
			readAt := f.clock.Now()
			f.clock.Advance(2 * time.Second)
			f.ApplyDeclaration(comfreyworks.Declaration{Next: 1, WaitedInVain: waited}, readAt)
			declareWeights(f, 2, 2)
			got, _ := f.Weights("oak").Superseded(1)
			assert.Equal(t, got.NotBefore.Sub(readAt), want)
		}
	})
	t.Run("an older revision is ignored", func(t *testing.T) {
		f := newFixture()
		declareWeights(f, 1, 3)
		declareWeights(f, 2, 2)
		assert.Equal(t, f.Weights("oak").Revision, comfreyworks.WeightsRevision(3))
	})
}

func TestUpstreams(t *testing.T) {
	two := []comfreyworks.Upstream{upstream("a"), upstream("b")}
	t.Run("a removed upstream is dropped at once", func(t *testing.T) {
		f := newFixture()
		f.applyList(1, true, two)
		f.applyList(2, false, nil, "a")
		f.assertLive(t, "b")
	})
	t.Run("a list at an older position is ignored", func(t *testing.T) {
		f := newFixture()
		f.applyList(1, true, two)
		f.applyList(3, false, nil, "a")
		f.applyList(2, true, two)
		f.assertLive(t, "b")
	})
	t.Run("a leaving upstream is reported and not live", func(t *testing.T) {
		f := newFixture()
		f.applyList(1, true, two)
		leaving := upstream("a")
		leaving.State = comfreyworks.InstanceLeaving
		change := f.applyList(2, false, []comfreyworks.Upstream{leaving})
		assert.DeepEqual(t, change.Left, []comfreyworks.InstanceID{"a"})
		f.assertLive(t, "b")
	})
	t.Run("an entry of an earlier incarnation is ignored", func(t *testing.T) {
		f := newFixture()
		current, old := upstream("a"), upstream("a")
		current.Started, old.Started = time.UnixMilli(2000), time.UnixMilli(1000)
		old.State, old.Sequence = comfreyworks.InstanceLeaving, 99
		f.applyList(1, false, []comfreyworks.Upstream{current})
		f.applyList(2, false, []comfreyworks.Upstream{old})
		f.assertLive(t, "a")
	})
	t.Run("an earlier entry of the same incarnation is ignored", func(t *testing.T) {
		f := newFixture()
		first, second := upstream("a"), upstream("a")
		first.Sequence, second.Sequence = 1, 2
		second.State = comfreyworks.InstanceLeaving
		f.applyList(1, false, []comfreyworks.Upstream{second})
		f.applyList(2, false, []comfreyworks.Upstream{first})
		f.assertLive(t)
	})
}

// TestEntriesMissingAfterOutage checks that upstreams are not dropped at once
// when their entries expired because the list could not be written.
func TestEntriesMissingAfterOutage(t *testing.T) {
	afterOutage := func() fixture {
		f := newFixture()
		f.applyList(1, true, []comfreyworks.Upstream{upstream("a"), upstream("b")})
		f.clock.Advance(outageThreshold + time.Second)
		return f
	}
	t.Run("a missing upstream is kept after an outage", func(t *testing.T) {
		f := afterOutage()
		change := f.applyList(2, true, nil)
		assert.Equal(t, len(change.Lapsed), 2)
		f.assertLive(t, "a", "b")
	})
	t.Run("a missing upstream is dropped after the grace period", func(t *testing.T) {
		f := afterOutage()
		f.applyList(2, false, nil, "a", "b")
		f.clock.Advance(lapsedGracePeriod / 2)
		f.applyList(3, false, []comfreyworks.Upstream{upstream("a")})
		f.assertLive(t, "a", "b")
		f.clock.Advance(lapsedGracePeriod / 2)
		f.applyList(4, false, nil)
		f.assertLive(t, "a")
	})
	t.Run("a missing upstream is dropped at once without an outage", func(t *testing.T) {
		f := newFixture()
		f.applyList(1, true, []comfreyworks.Upstream{upstream("a")})
		f.clock.Advance(outageThreshold / 2)
		f.applyList(2, true, nil)
		f.assertLive(t)
	})
	t.Run("a missing upstream that was leaving is dropped at once", func(t *testing.T) {
		f := newFixture()
		leaving := upstream("a")
		leaving.State = comfreyworks.InstanceLeaving
		f.applyList(1, true, []comfreyworks.Upstream{leaving})
		f.clock.Advance(outageThreshold + time.Second)
		f.applyList(2, true, nil)
		assert.Equal(t, len(f.Upstreams(pool)), 0)
	})
}

// TestVersionsNeverDecrease applies declarations in random order, as they arrive
// from the source and from peers.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var version comfreyworks.ConfigRevision
		var weights comfreyworks.WeightsRevision
		var confirmed time.Time
		for range rapid.IntRange(1, 40).Draw(t, "declarations") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Uint64Range(1, 20).Draw(t, "position")
			f.ApplyDeclaration(comfreyworks.Declaration{
				Routing: &comfreyworks.Routing{Version: comfreyworks.ConfigRevision(n)},
				Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": comfreyworks.WeightsRevision(n / 2)},
				Next:    comfreyworks.Position(n),
			}, f.clock.Now().Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond))
			table, at := f.Routing()
			if table.Version() < version || f.Weights("oak").Revision < weights || at.Before(confirmed) {
				t.Fatalf("decreased to version %d, revision %d, time %s", table.Version(), f.Weights("oak").Revision, at)
			}
			version, weights, confirmed = table.Version(), f.Weights("oak").Revision, at
		}
	})
}

// TestUndecodedEntry guards against an upstream that is removed because its newest
// entry cannot be decoded.
func TestUndecodedEntry(t *testing.T) {
	f := newFixture()
	f.applyList(1, true, []comfreyworks.Upstream{upstream("a"), upstream("b")})
	f.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Undecoded: []comfreyworks.InstanceID{"a", "other"}, Next: 2}, f.clock.Now())
	f.assertLive(t, "a")
}
