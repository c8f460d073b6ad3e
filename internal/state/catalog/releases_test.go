package catalog

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

func upstreamOf(id comfreyworks.InstanceID, release string) comfreyworks.Upstream {
	u := upstream(id)
	u.Release = release
	return u
}

func (f fixture) assertOnlyRelease(t *testing.T, want string, wantOK bool) {
	t.Helper()
	release, ok := f.OnlyRelease(pool)
	assert.Equal(t, ok, wantOK)
	if wantOK {
		assert.Equal(t, release, want)
	}
}

// know makes the releases known that were in service, as a record on the store does.
func (f fixture) know(releases ...string) {
	f.ApplyReleaseRecord(comfreyworks.ReleaseRecord{Pools: map[comfreyworks.Pool][]string{pool: releases}}, f.clock.Now())
}

func TestOnlyRelease(t *testing.T) {
	f := newFixture()
	a, b, c := upstreamOf("a", "v1"), upstreamOf("b", "v1"), upstreamOf("c", "v2")
	f.applyList(1, true, []comfreyworks.Upstream{a, b})
	f.know("v1")
	t.Run("a pool of one release", func(t *testing.T) {
		f.assertOnlyRelease(t, "v1", true)
	})
	t.Run("not while the list is old: there may be another one", func(t *testing.T) {
		f.clock.Advance(releaseSettleTime - 1)
		f.assertOnlyRelease(t, "v1", true)
		f.clock.Advance(1)
		f.assertOnlyRelease(t, "", false)
		f.clock.Advance(outageThreshold)
		f.applyList(2, false, nil)
		f.assertOnlyRelease(t, "", false)
		f.know("v1")
		f.assertOnlyRelease(t, "v1", true)
		f.follow(lapsedGracePeriod, a, b)
	})
	t.Run("not while upstreams of several releases are listed", func(t *testing.T) {
		f.follow(releaseSettleTime, a, b, c)
		f.assertOnlyRelease(t, "", false)
	})
	t.Run("not while streams of a former release may be taken up", func(t *testing.T) {
		f.follow(releaseMemory, c)
		f.assertOnlyRelease(t, "", false)
		f.clock.Advance(1)
		f.assertOnlyRelease(t, "v2", true)
	})
	t.Run("an upstream that restarts with another release", func(t *testing.T) {
		c = upstreamOf("c", "v3")
		f.follow(0, c)
		f.clock.Advance(releaseSettleTime - 2)
		f.follow(0, c)
		f.assertOnlyRelease(t, "v2", true)
		f.clock.Advance(1)
		f.assertOnlyRelease(t, "", false)
	})
	t.Run("a gateway that starts learns of former releases from its peers", func(t *testing.T) {
		starting := fixture{clock: f.clock, Catalog: New(f.clock)}
		starting.ApplyUpstreams(*f.UpstreamsAfter(0), f.clock.Now())
		starting.LearnReleases(f.KnownReleases(), f.clock.Now())
		starting.assertOnlyRelease(t, "", false)
		f.clock.Advance(time.Second)
		starting.follow(releaseMemory-4*time.Second, c)
		starting.assertOnlyRelease(t, "", false)
		starting.follow(2*time.Second, c)
		starting.assertOnlyRelease(t, "v3", true)
	})
	t.Run("former releases that make no sense are ignored", func(t *testing.T) {
		f.follow(0, c)
		f.follow(releaseMemory, c)
		f.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: f.listed.Position, Former: []comfreyworks.FormerRelease{
			{}, {Pool: "none", Release: "v1"}, {Pool: pool, Release: "v3"}, {Pool: pool, Release: "v0", LeftAgo: time.Hour},
		}}, f.clock.Now())
		f.assertOnlyRelease(t, "v3", true)
		f.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: f.listed.Position, Former: []comfreyworks.FormerRelease{{Pool: pool, Release: "v2", LeftAgo: -time.Hour}}}, f.clock.Now())
		f.assertOnlyRelease(t, "", false)
	})
}

// TestNewRelease guards against a gateway that takes a release for the only one while
// another gateway already lets streams begin at a new one, whichever reads the list
// when and how often.
func TestNewRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		const step = 50 * time.Millisecond
		listedAt := clock.Now().Add(3 * time.Second)
		gateways := make([]fixture, 3)
		for i := range gateways {
			gateways[i] = fixture{clock: clock, Catalog: New(clock)}
		}
		list := func(f fixture, position comfreyworks.Position) {
			present := []comfreyworks.Upstream{upstreamOf("a", "v1")}
			if !clock.Now().Before(listedAt) {
				present = append(present, upstreamOf("b", "v2"))
			}
			f.applyList(position, true, present)
		}
		for n := comfreyworks.Position(1); clock.Now().Before(listedAt.Add(6 * time.Second)); n++ {
			var begins, only bool
			for i, f := range gateways {
				if n == 1 || rapid.IntRange(0, 20).Draw(t, "reads") == i {
					list(f, n)
					// Of the record the worst is assumed: that it never contains v2.
					f.know("v1")
				}
				settling, known := f.Pool(pool).Settling["v2"]
				_, listed := f.Upstream("b")
				begins = begins || listed && (!known || !clock.Now().Before(settling))
				release, ok := f.OnlyRelease(pool)
				only = only || ok && release == "v1"
			}
			if begins && only {
				t.Fatalf("streams begin at v2 while a gateway knows only v1, %s after v2 was listed", clock.Now().Sub(listedAt))
			}
			clock.Advance(step)
		}
	})
}

// TestSettling guards against streams that begin at a release which other gateways do
// not know yet: they would take it for a stream of the only release that they know.
func TestSettling(t *testing.T) {
	f := newFixture()
	f.applyList(1, true, []comfreyworks.Upstream{upstreamOf("a", "v1"), upstreamOf("b", "v2")})
	t.Run("of several that were there first one may be new", func(t *testing.T) {
		settledAt := f.clock.Now().Add(releaseSettleTime)
		assert.DeepEqual(t, f.Pool(pool).Settling, map[string]time.Time{"v1": settledAt, "v2": settledAt})
	})
	t.Run("they are used at once when it is known that none is", func(t *testing.T) {
		f.know("v1", "v2")
		assert.Equal(t, len(f.Pool(pool).Settling), 0)
	})
	t.Run("a new one later", func(t *testing.T) {
		f.applyList(2, false, []comfreyworks.Upstream{upstreamOf("c", "v3")})
		settledAt := f.clock.Now().Add(releaseSettleTime)
		assert.DeepEqual(t, f.Pool(pool).Settling, map[string]time.Time{"v3": settledAt})
		f.applyList(3, false, []comfreyworks.Upstream{upstreamOf("d", "v3")})
		assert.DeepEqual(t, f.Pool(pool).Settling, map[string]time.Time{"v3": settledAt})
		f.clock.Advance(releaseSettleTime)
		f.applyList(4, false, nil, "d")
		assert.Equal(t, len(f.Pool(pool).Settling), 0)
	})
	t.Run("one that soon returns is known", func(t *testing.T) {
		f.applyList(5, false, nil, "c")
		f.clock.Advance(releaseMemory / 2)
		f.applyList(6, false, []comfreyworks.Upstream{upstreamOf("c", "v3")})
		assert.Equal(t, len(f.Pool(pool).Settling), 0)
	})
	t.Run("one that returns later may have been forgotten", func(t *testing.T) {
		f.clock.Advance(lapsedGracePeriod)
		f.applyList(7, false, nil, "c")
		f.clock.Advance(releaseMemory/2 + 1)
		f.applyList(8, false, []comfreyworks.Upstream{upstreamOf("c", "v3")})
		assert.Equal(t, len(f.Pool(pool).Settling), 1)
	})
	t.Run("so does one that was new when this gateway started", func(t *testing.T) {
		for name, learn := range map[string]func(fixture){
			"by the record": func(f fixture) { f.know("v1") },
			"by a peer": func(f fixture) {
				f.LearnReleases(&comfreyworks.KnownReleases{Releases: []comfreyworks.KnownRelease{
					{Pool: pool, Release: "v1", Listed: true, Recorded: true}, {Pool: pool, Release: "v2", Listed: true, SettlesIn: releaseSettleTime},
				}}, f.clock.Now())
			},
		} {
			t.Run(name, func(t *testing.T) {
				starting := fixture{clock: f.clock, Catalog: New(f.clock)}
				starting.RecordReleases()
				starting.applyList(1, true, []comfreyworks.Upstream{upstreamOf("a", "v1"), upstreamOf("b", "v2")})
				learn(starting)
				assert.DeepEqual(t, starting.Pool(pool).Settling, map[string]time.Time{"v2": f.clock.Now().Add(releaseSettleTime)})
				assert.DeepEqual(t, starting.Pool(pool).Unrecorded, map[string]bool{"v2": true})
			})
		}
	})
}
