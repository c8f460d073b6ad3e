package catalog

import (
	"testing"
	"time"

	"comfreyworks"
)

// TestUnknownReleases guards against a gateway that takes the only listed release for
// the one that began every stream, although it does not know which releases were in
// service while it did not run or was cut off.
func TestUnknownReleases(t *testing.T) {
	v1, v2 := upstreamOf("a", "v1"), upstreamOf("b", "v2")
	t.Run("all gateways ended and the other release is gone", func(t *testing.T) {
		f := newFixture()
		f.applyList(1, true, []comfreyworks.Upstream{v2})
		f.assertOnlyRelease(t, "", false)
	})
	t.Run("they ended again before streams of the other release expired", func(t *testing.T) {
		f := newFixture()
		f.follow(20*time.Second, v2)
		again := fixture{clock: f.clock, Catalog: New(f.clock)}
		again.follow(10*time.Second, v2)
		again.assertOnlyRelease(t, "", false)
	})
	t.Run("the list has not been read yet", func(t *testing.T) {
		newFixture().assertOnlyRelease(t, "", false)
	})
	t.Run("the other release is leaving", func(t *testing.T) {
		f := newFixture()
		leaving := v1
		leaving.State = comfreyworks.InstanceLeaving
		f.applyList(1, true, []comfreyworks.Upstream{leaving, v2})
		f.assertOnlyRelease(t, "", false)
	})
	t.Run("no stream of an earlier time can be resumed any more", func(t *testing.T) {
		f := newFixture()
		f.follow(releaseMemory, v2)
		f.assertOnlyRelease(t, "v2", true)
	})
	t.Run("the gateway was cut off or frozen", func(t *testing.T) {
		f := newFixture()
		f.follow(releaseMemory, v2)
		f.clock.Advance(releaseSettleTime)
		f.follow(time.Second, v2)
		f.assertOnlyRelease(t, "", false)
	})
	t.Run("a release returns before its streams have expired", func(t *testing.T) {
		f := newFixture()
		f.follow(releaseMemory, v1, v2)
		f.follow(releaseMemory/2+time.Second, v2)
		f.follow(0, v1, v2)
		f.assertOnlyRelease(t, "", false)
	})
}

// follow reads the given list repeatedly for a duration, and once more at its end.
func (f fixture) follow(d time.Duration, present ...comfreyworks.Upstream) {
	for end := f.clock.Now().Add(d); ; f.clock.Advance(time.Second) {
		f.applyList(f.listed.Position+1, true, present)
		if !f.clock.Now().Before(end) {
			return
		}
	}
}
