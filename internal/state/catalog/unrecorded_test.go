package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// recordedFixture returns a catalog that lists a of release v1, which is recorded, and b of
// v2, which is new and could not be recorded for a minute.
func recordedFixture() fixture {
	f := newFixture()
	f.RecordReleases()
	a, b := upstreamOf("a", "v1"), upstreamOf("b", "v2")
	f.applyList(1, true, []comfreyworks.Upstream{a})
	f.know("v1")
	f.follow(time.Minute, a, b)
	return f
}

// restarted returns the catalog of a gateway that has started, lists the given upstreams and
// has read a record.
func (f fixture) restarted(record comfreyworks.ReleaseRecord, present ...comfreyworks.Upstream) fixture {
	started := fixture{clock: f.clock, Catalog: New(f.clock)}
	started.RecordReleases()
	started.applyList(1, true, present)
	started.ApplyReleaseRecord(record, f.clock.Now())
	return started
}

// TestUnrecordedRelease guards against streams that begin at a release which is not recorded
// while a recorded one is listed: after all gateways have ended, they would be taken up at
// the recorded one.
func TestUnrecordedRelease(t *testing.T) {
	t.Run("none begins there while a recorded release is listed", func(t *testing.T) {
		f := recordedFixture()
		assert.DeepEqual(t, f.Pool(pool).Unrecorded, map[string]bool{"v2": true})
	})
	t.Run("they begin once it is recorded", func(t *testing.T) {
		f := recordedFixture()
		due := f.ReleasesToRecord()
		assert.Assert(t, due.MustAppend)
		f.ReleasesRecorded(&due)
		assert.Equal(t, len(f.Pool(pool).Unrecorded), 0)
	})
	t.Run("or once no recorded one is left", func(t *testing.T) {
		f := recordedFixture()
		f.follow(0, upstreamOf("b", "v2"))
		assert.Equal(t, len(f.Pool(pool).Unrecorded), 0)
	})
	t.Run("or if all of them are leaving", func(t *testing.T) {
		f := recordedFixture()
		leaving := upstreamOf("a", "v1")
		leaving.State = comfreyworks.InstanceLeaving
		f.follow(0, leaving, upstreamOf("b", "v2"))
		assert.Equal(t, len(f.Pool(pool).Unrecorded), 0)
	})
	t.Run("a gateway that starts learns it from its peers", func(t *testing.T) {
		f := recordedFixture()
		started := fixture{clock: f.clock, Catalog: New(f.clock)}
		started.RecordReleases()
		started.applyList(1, true, []comfreyworks.Upstream{upstreamOf("a", "v1")})
		started.LearnReleases(f.KnownReleases(), f.clock.Now())
		started.applyList(2, true, []comfreyworks.Upstream{upstreamOf("a", "v1"), upstreamOf("b", "v2")})
		assert.DeepEqual(t, started.Pool(pool).Unrecorded, map[string]bool{"v2": true})
	})
	t.Run("without a record the release of the upstream that started first counts as recorded", func(t *testing.T) {
		f := newFixture()
		f.RecordReleases()
		older, newer := upstreamOf("z", "v1"), upstreamOf("a", "v2")
		older.Started, newer.Started = f.clock.Now().Add(-time.Hour), f.clock.Now()
		f.follow(time.Minute, older, newer)
		assert.DeepEqual(t, f.Pool(pool).Unrecorded, map[string]bool{"v2": true})
	})
}

// TestWitnesses guards against a record that is taken for complete although streams may have
// begun at a release which was alone in its pool before it could be recorded.
func TestWitnesses(t *testing.T) {
	a, b := upstreamOf("a", "v1"), upstreamOf("b", "v1")
	f := newFixture()
	f.follow(releaseMemory, a, b)
	record := f.ReleasesToRecord().Record
	again := a
	again.Started = a.Started.Add(time.Second)
	leaving := a
	leaving.State = comfreyworks.InstanceLeaving
	for name, test := range map[string]struct {
		listed []comfreyworks.Upstream
		only   bool
	}{
		"all are listed":            {[]comfreyworks.Upstream{a, b}, true},
		"one is listed":             {[]comfreyworks.Upstream{a, upstreamOf("c", "v1")}, true},
		"all were replaced":         {[]comfreyworks.Upstream{upstreamOf("c", "v1")}, false},
		"the one left started anew": {[]comfreyworks.Upstream{again}, false},
		"the one left is leaving":   {[]comfreyworks.Upstream{leaving, upstreamOf("c", "v1")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			started := f.restarted(record, test.listed...)
			started.assertOnlyRelease(t, "v1", test.only)
		})
	}
	t.Run("streams that may have begun elsewhere expire", func(t *testing.T) {
		started := f.restarted(record, upstreamOf("c", "v1"))
		started.follow(releaseMemory, upstreamOf("c", "v1"))
		started.clock.Advance(1)
		started.assertOnlyRelease(t, "v1", true)
	})
	t.Run("until then other gateways that start refuse as well", func(t *testing.T) {
		started := f.restarted(record, upstreamOf("c", "v1"))
		other := fixture{clock: f.clock, Catalog: New(f.clock)}
		other.applyList(1, true, []comfreyworks.Upstream{upstreamOf("c", "v1")})
		other.LearnReleases(started.KnownReleases(), f.clock.Now())
		other.assertOnlyRelease(t, "", false)
		again := f.restarted(started.ReleasesToRecord().Record, upstreamOf("c", "v1"))
		again.assertOnlyRelease(t, "", false)
	})
	t.Run("a pool that the record lacks may have had any release", func(t *testing.T) {
		empty := comfreyworks.ReleaseRecord{Witnesses: map[comfreyworks.Pool][]comfreyworks.UpstreamIncarnation{}}
		started := f.restarted(empty, a)
		started.assertOnlyRelease(t, "", false)
	})
	t.Run("a record is due once most witnesses are gone", func(t *testing.T) {
		f := newFixture()
		all := make([]comfreyworks.Upstream, maxWitnesses+2)
		for i := range all {
			all[i] = upstreamOf(comfreyworks.InstanceID('a'+rune(i)), "v1")
		}
		f.follow(releaseMemory, all...)
		due := f.ReleasesToRecord()
		f.ReleasesRecorded(&due)
		f.follow(0, all[maxWitnesses-minWitnesses:]...)
		assert.Assert(t, !f.ReleasesToRecord().Due)
		f.follow(0, all[maxWitnesses-minWitnesses+1:]...)
		assert.Assert(t, f.ReleasesToRecord().Due)
	})
}
