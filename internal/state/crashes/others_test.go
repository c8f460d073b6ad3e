package crashes

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLoadOfEnginesThatEndTogether guards against sound requests that are refused
// because engines ended or connections broke under them several times for other reasons.
func TestLoadOfEnginesThatEndTogether(t *testing.T) {
	for _, p := range []pattern{
		{name: "half the engines end twice", halves: 2},
		{name: "half the engines end three times", halves: 3},
		{name: "half the engines end twice, slow answers", halves: 2, slow: true},
		{name: "half the engines end three times, slow answers", halves: 3, slow: true},
		{name: "half the connections are reset twice", resets: 2},
		{name: "half the connections are reset three times", resets: 3},
		{name: "half the connections are reset twice, slow answers", resets: 2, slow: true},
		{name: "half the connections are reset three times, slow answers", resets: 3, slow: true},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for _, f := range fleets {
				for seed := uint64(1); seed <= max(2, *compared); seed++ {
					got := runModel(f, p, seed, inRow(thresholds{blameAfter, certainAfter, answeredMargin}, 0))
					t.Logf("%d gateways | seed %d | %+v", f.gateways, seed, got)
					offered := int(f.rate * modelEnd.Seconds())
					assert.Check(t, got.refused <= 5+offered/500, "%d of %d refused", got.refused, offered)
				}
			}
		})
	}
}

// TestQuarantineOutlivesOtherSuspicions guards against a quarantine that was forgotten
// because engines ended under many other prompts.
func TestQuarantineOutlivesOtherSuspicions(t *testing.T) {
	l, clock := newLog()
	crash(l, certainAfter, crasher)
	for key := range uint32(2 * maxEntries) {
		crash(l, 1, 100+key)
	}
	suspicions, _ := l.After(0, Remote)
	assert.Equal(t, len(suspicions), maxEntries)
	clock.Advance(minQuarantine)
	assertBlamed(t, l, crasher, crasher, sound)
	clock.Advance(lifetime - minQuarantine + 1)
	assertBlamed(t, l, 0, crasher, sound)
	for key := range uint32(maxEntries + 10) {
		crash(l, certainAfter, 100+key)
	}
	suspicions, _ = l.After(0, Remote)
	assert.Assert(t, len(suspicions) <= maxEntries)
}
