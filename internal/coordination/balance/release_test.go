package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

// newReleaseFixture returns a balancer for a fleet of the given size and six engines,
// the first three of release v1 and the others of v2, which is new.
func newReleaseFixture(gateways int) *fixture {
	f := newFixture(0)
	f.SetGateways(gateways)
	f.list(1, "v1", 0, 3)
	f.clock.Advance(time.Minute)
	f.list(2, "v2", 3, 6)
	return f
}

// list adds engines of a release to the list of upstreams.
func (f *fixture) list(position comfreyworks.Position, release string, from, to int) {
	var present []comfreyworks.Upstream
	for i := from; i < to; i++ {
		engine := newUpstream(engines, i)
		engine.Release = release
		present = append(present, engine)
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: present, Next: position}, f.clock.Now())
}

// releases returns how many of many sessions are sent to each release.
func (f *fixture) releases(t *testing.T, change func(*Query)) map[string]int {
	t.Helper()
	n := make(map[string]int)
	for i := range 40 {
		query := promptQuery("guide", fmt.Sprint("site-", i))
		change(&query)
		n[f.serve(t, query).Upstream.Release]++
	}
	return n
}

// TestReleases guards against streams that continue at another release than the one
// that began them, in a small fleet and in one whose sessions have homes.
func TestReleases(t *testing.T) {
	for name, gateways := range map[string]int{"small fleet": 4, "large fleet": 24} {
		t.Run(name, func(t *testing.T) {
			f := newReleaseFixture(gateways)
			for _, release := range []string{"v1", "v2"} {
				t.Run("a stream of "+release+" stays there", func(t *testing.T) {
					n := f.releases(t, func(q *Query) { q.Release = streamorigins.Release(engines, release) })
					assert.DeepEqual(t, n, map[string]int{release: 40})
				})
			}
			t.Run("there is no upstream for a stream of a release that is gone", func(t *testing.T) {
				query := promptQuery("guide", "site")
				query.Release = streamorigins.Release(engines, "v0")
				f.expectNoUpstream(t, query)
			})
			t.Run("no stream begins at a new release", func(t *testing.T) {
				n := f.releases(t, func(q *Query) { q.BeginsStream = true })
				assert.DeepEqual(t, n, map[string]int{"v1": 40})
			})
			t.Run("other requests use it at once", func(t *testing.T) {
				assert.Assert(t, f.releases(t, func(*Query) {})["v2"] > 0)
			})
			t.Run("so do streams if there is no other", func(t *testing.T) {
				query := promptQuery("guide", "site")
				query.BeginsStream, query.Exclude = true, []comfreyworks.InstanceID{"lm/0", "lm/1", "lm/2"}
				assert.Equal(t, f.serve(t, query).Upstream.Release, "v2")
			})
			t.Run("streams begin at all releases later", func(t *testing.T) {
				f.clock.Advance(2 * time.Second)
				assert.Equal(t, len(f.releases(t, func(q *Query) { q.BeginsStream = true })), 2)
			})
		})
	}
}

// TestUnsettledRelease guards against a stream that begins at a release which joined less than
// releaseSettleTime ago, because the upstreams of the other one are busy or have failed: a
// gateway that was out of step meanwhile would take the stream up at the other one.
func TestUnsettledRelease(t *testing.T) {
	f := newFixture(0)
	f.catalog.RecordReleases()
	f.list(1, "v1", 0, 3)
	f.catalog.ApplyNoEarlierReleases(f.clock.Now())
	f.clock.Advance(time.Second)
	f.list(2, "v2", 3, 6)
	due := f.catalog.ReleasesToRecord()
	f.catalog.ReleasesRecorded(&due)
	query := promptQuery("guide", "site")
	query.BeginsStream, query.Exclude = true, []comfreyworks.InstanceID{"lm/0", "lm/1", "lm/2"}
	f.expectNoUpstream(t, query)
	f.clock.Advance(2 * time.Second)
	assert.Equal(t, f.serve(t, query).Upstream.Release, "v2")
}

// TestUnrecordedRelease guards against a stream that begins at a release which is not
// recorded because the upstreams of the recorded one are busy or have failed.
func TestUnrecordedRelease(t *testing.T) {
	for name, gateways := range map[string]int{"small fleet": 4, "large fleet": 24} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(0)
			f.catalog.RecordReleases()
			f.SetGateways(gateways)
			f.list(1, "v1", 0, 3)
			f.clock.Advance(time.Minute)
			f.list(2, "v2", 3, 6)
			f.clock.Advance(time.Minute)
			query := promptQuery("guide", "site")
			query.Exclude = []comfreyworks.InstanceID{"lm/0", "lm/1", "lm/2"}
			assert.Equal(t, f.serve(t, query).Upstream.Release, "v2")
			query.BeginsStream = true
			f.expectNoUpstream(t, query)
		})
	}
}
