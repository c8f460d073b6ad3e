package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestEntryThatLooksNewer guards against an entry of another writer that looks newer than all
// that the upstream itself will write, so that these are ignored for ever.
func TestEntryThatLooksNewer(t *testing.T) {
	for name, test := range map[string]struct {
		// ahead is how much later than the sound entry the other one claims to have started.
		ahead    time.Duration
		sequence uint64
		// clockLag is how far the gateway's clock is behind.
		clockLag time.Duration
		ignored  bool
	}{
		"started in a year":                    {ahead: 365 * 24 * time.Hour},
		"sequence number of a million years":   {sequence: 1 << 50},
		"both":                                 {ahead: 365 * 24 * time.Hour, sequence: 1 << 50},
		"a later incarnation":                  {ahead: 30 * time.Second, ignored: true},
		"a later entry":                        {sequence: 100, ignored: true},
		"a clock that is a little ahead":       {ahead: 30 * time.Minute, ignored: true},
		"a later incarnation and a slow clock": {ahead: time.Second, clockLag: 24 * time.Hour, ignored: true},
		"a later entry and a slow clock":       {sequence: 100, clockLag: 24 * time.Hour, ignored: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			entry := func(started time.Time, slots int, sequence uint64) []comfreyworks.Upstream {
				u := listed("a", slots, sequence)
				u.Started = started
				return []comfreyworks.Upstream{u}
			}
			started := f.clock.Now().Add(-time.Minute + test.clockLag)
			peer := fixture{clock: f.clock, Catalog: New(f.clock)}
			follow := func() {
				_, known := peer.SourceStates()
				assert.Assert(t, !peer.ApplyUpstreams(*f.UpstreamsAfter(known.Position), f.clock.Now()).Doubted)
				assert.Equal(t, peer.Upstreams(pool)[0].Slots, f.Upstreams(pool)[0].Slots)
			}
			f.applyList(10, true, entry(started, 1, 5))
			follow()
			f.applyList(11, false, entry(started.Add(test.ahead), 2, test.sequence))
			follow()
			assert.Equal(t, f.Upstreams(pool)[0].Slots, 2)
			f.applyList(12, false, entry(started, 3, 6))
			follow()
			assert.Equal(t, f.Upstreams(pool)[0].Slots == 2, test.ignored)
		})
	}
}
