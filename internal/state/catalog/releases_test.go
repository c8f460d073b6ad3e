package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

func TestOnlyRelease(t *testing.T) {
	f := newFixture()
	f.applyList(1, true, []comfreyworks.Upstream{upstreamOf("a", "v1"), upstreamOf("b", "v1")})
	t.Run("a pool of one release", func(t *testing.T) {
		f.assertOnlyRelease(t, "v1", true)
	})
	t.Run("not while the list is old: there may be another one", func(t *testing.T) {
		f.clock.Advance(maxReleaseListAge + 1)
		f.assertOnlyRelease(t, "", false)
		f.applyList(2, false, nil)
		f.assertOnlyRelease(t, "v1", true)
		f.clock.Advance(lapsedGracePeriod)
	})
	t.Run("not while upstreams of several releases are listed", func(t *testing.T) {
		f.applyList(3, false, []comfreyworks.Upstream{upstreamOf("c", "v2")})
		f.assertOnlyRelease(t, "", false)
	})
	t.Run("not while streams of a former release may be taken up", func(t *testing.T) {
		f.applyList(4, false, nil, "a", "b")
		f.clock.Advance(releaseMemory)
		f.applyList(5, false, nil)
		f.assertOnlyRelease(t, "", false)
		f.clock.Advance(1)
		f.assertOnlyRelease(t, "v2", true)
	})
	t.Run("an upstream that restarts with another release", func(t *testing.T) {
		f.applyList(6, false, []comfreyworks.Upstream{upstreamOf("c", "v3")})
		f.assertOnlyRelease(t, "", false)
	})
}

// TestSettling guards against streams that begin at a release which other gateways do
// not know yet: they would take it for a stream of the only release that they know.
func TestSettling(t *testing.T) {
	f := newFixture()
	f.applyList(1, true, []comfreyworks.Upstream{upstreamOf("a", "v1"), upstreamOf("b", "v2")})
	t.Run("releases that were there first are used at once", func(t *testing.T) {
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
	t.Run("one that returns is known", func(t *testing.T) {
		f.applyList(5, false, nil, "c")
		f.applyList(6, false, []comfreyworks.Upstream{upstreamOf("c", "v3")})
		assert.Equal(t, len(f.Pool(pool).Settling), 0)
	})
}
