package catalog

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
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

// declare applies a routing with a version at a position, asked right now.
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

func (f fixture) list(position comfreyworks.Position, whole bool, present []comfreyworks.Upstream, gone ...comfreyworks.InstanceID) Change {
	return f.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: whole, Present: present, Gone: gone, Next: position}, f.clock.Now())
}

func (f fixture) ids() []comfreyworks.InstanceID {
	ids := []comfreyworks.InstanceID{}
	for _, u := range f.Upstreams(pool) {
		if u.State == comfreyworks.InstanceLive {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

func (f fixture) expect(t *testing.T, want ...comfreyworks.InstanceID) {
	t.Helper()
	if want == nil {
		want = []comfreyworks.InstanceID{}
	}
	assert.DeepEqual(t, f.ids(), want)
}

func TestDeclarations(t *testing.T) {
	t.Run("unknown at first", func(t *testing.T) {
		table, _ := newFixture().Routing()
		assert.Assert(t, table == nil)
	})
	t.Run("an older answer changes nothing", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		f.declare(4, 6)
		assert.Equal(t, f.version(), comfreyworks.ConfigRevision(7))
	})
	t.Run("an older version at a later position changes nothing", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		f.declare(6, 6)
		assert.Equal(t, f.version(), comfreyworks.ConfigRevision(7))
	})
	t.Run("no news prove what is known", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		f.clock.Advance(time.Second)
		f.ApplyDeclaration(comfreyworks.Declaration{Next: 5}, f.clock.Now())
		_, at := f.Routing()
		assert.Equal(t, at, f.clock.Now())
	})
	t.Run("the proof is from the question, and never older", func(t *testing.T) {
		f := newFixture()
		f.declare(5, 7)
		before := f.clock.Now()
		f.ApplyDeclaration(comfreyworks.Declaration{Next: 5}, before.Add(-time.Minute))
		_, at := f.Routing()
		assert.Equal(t, at, before)
	})
}

func TestSucceeded(t *testing.T) {
	name := func(f fixture, position comfreyworks.Position, revision comfreyworks.WeightsRevision) {
		f.ApplyDeclaration(comfreyworks.Declaration{
			Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": revision}, Next: position,
		}, f.clock.Now())
	}
	t.Run("counts from the first newer one", func(t *testing.T) {
		f := newFixture()
		name(f, 1, 1)
		f.clock.Advance(time.Second)
		name(f, 2, 2)
		second := f.clock.Now()
		f.clock.Advance(time.Second)
		name(f, 3, 3)
		got, ok := f.Weights("oak").Succeeded(1)
		assert.Assert(t, ok)
		assert.Equal(t, got, Succession{At: second})
	})
	t.Run("the newest is not superseded", func(t *testing.T) {
		f := newFixture()
		name(f, 1, 3)
		_, ok := f.Weights("oak").Succeeded(3)
		assert.Assert(t, !ok)
	})
	t.Run("what the first answer names was named before", func(t *testing.T) {
		f := newFixture()
		name(f, 4, 3)
		got, _ := f.Weights("oak").Succeeded(2)
		assert.Assert(t, got.Earlier)
	})
	t.Run("an older revision does not come back", func(t *testing.T) {
		f := newFixture()
		name(f, 1, 3)
		name(f, 2, 2)
		assert.Equal(t, f.Weights("oak").Revision, comfreyworks.WeightsRevision(3))
	})
}

func TestUpstreams(t *testing.T) {
	two := []comfreyworks.Upstream{upstream("a"), upstream("b")}
	t.Run("a removed entry is gone at once", func(t *testing.T) {
		f := newFixture()
		f.list(1, true, two)
		f.list(2, false, nil, "a")
		f.expect(t, "b")
	})
	t.Run("an old list does not bring it back", func(t *testing.T) {
		f := newFixture()
		f.list(1, true, two)
		f.list(3, false, nil, "a")
		f.list(2, true, two)
		f.expect(t, "b")
	})
	t.Run("a leaving one is not live", func(t *testing.T) {
		f := newFixture()
		f.list(1, true, two)
		leaving := upstream("a")
		leaving.State = comfreyworks.InstanceLeaving
		change := f.list(2, false, []comfreyworks.Upstream{leaving})
		assert.DeepEqual(t, change.Left, []comfreyworks.InstanceID{"a"})
		f.expect(t, "b")
	})
	t.Run("an entry of an earlier life changes nothing", func(t *testing.T) {
		f := newFixture()
		young, old := upstream("a"), upstream("a")
		young.Started, old.Started = time.UnixMilli(2000), time.UnixMilli(1000)
		old.State, old.Sequence = comfreyworks.InstanceLeaving, 99
		f.list(1, false, []comfreyworks.Upstream{young})
		f.list(2, false, []comfreyworks.Upstream{old})
		f.expect(t, "a")
	})
	t.Run("an entry written earlier in the same life changes nothing", func(t *testing.T) {
		f := newFixture()
		first, second := upstream("a"), upstream("a")
		first.Sequence, second.Sequence = 1, 2
		second.State = comfreyworks.InstanceLeaving
		f.list(1, false, []comfreyworks.Upstream{second})
		f.list(2, false, []comfreyworks.Upstream{first})
		f.expect(t)
	})
}

// TestLapse brings entries to lapse while the list cannot be written.
func TestLapse(t *testing.T) {
	outage := func() fixture {
		f := newFixture()
		f.list(1, true, []comfreyworks.Upstream{upstream("a"), upstream("b")})
		f.clock.Advance(outageAge + time.Second)
		return f
	}
	t.Run("missing after an outage is kept", func(t *testing.T) {
		f := outage()
		change := f.list(2, true, nil)
		assert.Equal(t, len(change.Lapsed), 2)
		f.expect(t, "a", "b")
	})
	t.Run("still missing after the grace is gone", func(t *testing.T) {
		f := outage()
		f.list(2, false, nil, "a", "b")
		f.clock.Advance(lapseGrace / 2)
		f.list(3, false, []comfreyworks.Upstream{upstream("a")})
		f.expect(t, "a", "b")
		f.clock.Advance(lapseGrace / 2)
		f.list(4, false, nil)
		f.expect(t, "a")
	})
	t.Run("missing without an outage is gone", func(t *testing.T) {
		f := newFixture()
		f.list(1, true, []comfreyworks.Upstream{upstream("a")})
		f.clock.Advance(outageAge / 2)
		f.list(2, true, nil)
		f.expect(t)
	})
	t.Run("one that was leaving is gone", func(t *testing.T) {
		f := newFixture()
		leaving := upstream("a")
		leaving.State = comfreyworks.InstanceLeaving
		f.list(1, true, []comfreyworks.Upstream{leaving})
		f.clock.Advance(outageAge + time.Second)
		f.list(2, true, nil)
		assert.Equal(t, len(f.Upstreams(pool)), 0)
	})
}

// TestNeverBack applies answers of two readers in any order, as happens when
// some come from peers: versions only grow.
func TestNeverBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var version comfreyworks.ConfigRevision
		var weights comfreyworks.WeightsRevision
		var proven time.Time
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Uint64Range(1, 20).Draw(t, "position")
			f.ApplyDeclaration(comfreyworks.Declaration{
				Routing: &comfreyworks.Routing{Version: comfreyworks.ConfigRevision(n)},
				Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": comfreyworks.WeightsRevision(n / 2)},
				Next:    comfreyworks.Position(n),
			}, f.clock.Now().Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond))
			table, at := f.Routing()
			if table.Version() < version || f.Weights("oak").Revision < weights || at.Before(proven) {
				t.Fatalf("went back to %d, %d, %s", table.Version(), f.Weights("oak").Revision, at)
			}
			version, weights, proven = table.Version(), f.Weights("oak").Revision, at
		}
	})
}
