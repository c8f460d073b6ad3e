package partition

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/rendezvous"
)

// newEngines returns n engines whose speeds repeat the given ones.
func newEngines(n int, speeds ...float64) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{Seed: rendezvous.Seed(string(rune('a' + i))), Usable: true}
		if len(speeds) > 0 {
			engines[i].Speed = speeds[i%len(speeds)]
		}
	}
	return engines
}

// newLoad returns a load with a share of missed streams.
func newLoad(long, other, missed float64) *Load {
	return &Load{Demand: [NumKinds]Demand{Long: {long, 2}, Other: {other, 0}}, Streams: 100, Missed: 100 * missed}
}

// run updates the division for a time and returns the groups.
func run(s *Separation, start time.Time, length time.Duration, load *Load, engines []Engine) []Group {
	for at := time.Duration(0); at <= length; at += UpdateInterval {
		s.Update(start.Add(at), load, engines)
	}
	return s.Groups(engines)
}

func count(groups []Group, kind Kind) int {
	n := 0
	for _, g := range groups {
		if g.Serves(kind) {
			n++
		}
	}
	return n
}

// TestShare guards against a share that costs one kind as much as it brings the other:
// steady demand below the capacity, a burst of long prompts, and both of them short.
func TestShare(t *testing.T) {
	for name, c := range map[string]struct {
		load         *Load
		low, high    float64
		samePriority bool
		capacity     float64
	}{
		"enough for all: in proportion to need":             {load: newLoad(15, 5, 0), capacity: 41, low: 0.75, high: 0.75},
		"burst of long prompts: streams get what they need": {load: newLoad(60, 7, 0), capacity: 40, low: 0.75, high: 0.75},
		"burst of streams: long prompts keep the minimum":   {load: newLoad(20, 90, 0), capacity: 40, low: minShare, high: minShare},
		"equally urgent: in proportion to need":             {load: newLoad(60, 20, 0), samePriority: true, capacity: 40, low: 0.75, high: 0.75},
		"absurd report: streams keep the minimum":           {load: newLoad(math.MaxFloat64/4, 0, 0), capacity: 40, low: 0.9, high: 0.9},
		"no demand": {load: newLoad(0, 0, 0), capacity: 40, low: 0.5, high: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			if c.samePriority {
				c.load.Demand[Long].Priority = c.load.Demand[Other].Priority
			}
			share := targetShare(c.load, c.capacity, 1)
			assert.Assert(t, share >= c.low-1e-9 && share <= c.high+1e-9, "%v", share)
		})
	}
}

// TestSeparation checks when engines are divided, for a load of long prompts of a third
// of the capacity beside streams.
func TestSeparation(t *testing.T) {
	start := time.Unix(0, 0)
	engines := newEngines(40)
	t.Run("streams in time: nothing is separated", func(t *testing.T) {
		groups := run(New("lm"), start, 10*time.Second, newLoad(13, 4, 0.01), engines)
		assert.Equal(t, count(groups, Long), 40)
		assert.Equal(t, count(groups, Other), 40)
	})
	t.Run("a few missed streams by chance", func(t *testing.T) {
		s := New("lm")
		run(s, start, 10*time.Second, &Load{Demand: newLoad(13, 4, 0).Demand, Streams: 5, Missed: 5}, engines)
		assert.Assert(t, !s.Separated())
	})
	t.Run("streams late: no engine serves both within three seconds", func(t *testing.T) {
		groups := run(New("lm"), start, 3*time.Second, newLoad(15, 5, 0.3), engines)
		assert.Equal(t, count(groups, Long)+count(groups, Other), 40)
		assert.Equal(t, count(groups, Long), 30)
	})
	t.Run("few engines are not separated", func(t *testing.T) {
		s := New("lm")
		run(s, start, 3*time.Second, newLoad(15, 5, 0.3), engines[:3])
		assert.Assert(t, !s.Separated())
	})
	t.Run("the separation stays while its end would bring the load back", func(t *testing.T) {
		s := New("lm")
		run(s, start, 3*time.Second, newLoad(13, 4, 0.3), engines)
		run(s, start.Add(4*time.Second), time.Minute, newLoad(13, 4, 0), engines)
		assert.Assert(t, s.Active())
	})
	t.Run("it ends after the load", func(t *testing.T) {
		s := New("lm")
		run(s, start, 3*time.Second, newLoad(13, 4, 0.3), engines)
		run(s, start.Add(4*time.Second), 2*calmTime, newLoad(2, 4, 0), engines)
		assert.Assert(t, !s.Separated())
	})
}

// TestFewEnginesChange guards against caches that are emptied by a boundary that jumps or
// swings: demand that varies by a tenth from one update to the next, a step in demand, and
// engines that become unusable.
func TestFewEnginesChange(t *testing.T) {
	start := time.Unix(0, 0)
	engines := newEngines(40)
	s := New("lm")
	groups := run(s, start, 3*time.Second, newLoad(12, 8, 0.3), engines)
	changed := func(load *Load, at time.Duration) int {
		s.Update(start.Add(at), load, engines)
		before := groups
		groups = s.Groups(engines)
		n := 0
		for i := range groups {
			if groups[i] != before[i] {
				n++
			}
		}
		return n
	}
	t.Run("noise", func(t *testing.T) {
		for i := range 40 {
			load := newLoad(12+float64(i%3-1), 8, 0.3)
			assert.Equal(t, changed(load, 4*time.Second+time.Duration(i)*UpdateInterval), 0)
		}
	})
	t.Run("step", func(t *testing.T) {
		for i := range 8 {
			n := changed(newLoad(3, 20, 0.3), 20*time.Second+time.Duration(i)*UpdateInterval)
			assert.Assert(t, n <= 4, "%d engines change at once", n)
		}
		assert.Equal(t, count(groups, Long), 5)
	})
	t.Run("unusable engines", func(t *testing.T) {
		engines[3].Usable, engines[17].Usable = false, false
		assert.Assert(t, changed(newLoad(3, 20, 0.3), 30*time.Second) <= 2)
	})
}

// TestAgreement guards against gateways that send long prompts to different engines because
// their sums differ a little or because they have measured other speeds.
func TestAgreement(t *testing.T) {
	start := time.Unix(0, 0)
	a := run(New("lm"), start, 3*time.Second, newLoad(15, 5, 0.3), newEngines(40, 0.62, 1, 1.66))
	b := run(New("lm"), start, 3*time.Second, newLoad(14, 5.3, 0.2), newEngines(40, 0.6, 1.05, 1.6))
	differ := 0
	for i := range a {
		if a[i] != b[i] {
			differ++
		}
	}
	assert.Assert(t, differ <= 2, "%d engines", differ)
}

// TestFasterEnginesFirst guards against long prompts on slow engines, where a chunk of
// prefill exceeds the permitted gap.
func TestFasterEnginesFirst(t *testing.T) {
	engines := newEngines(30, 0.6, 1, 1.6)
	groups := run(New("lm"), time.Unix(0, 0), 3*time.Second, newLoad(10, 8, 0.3), engines)
	for i, g := range groups {
		if engines[i].Speed > 1 {
			assert.Assert(t, g.Serves(Long))
		}
		if engines[i].Speed < 1 {
			assert.Assert(t, !g.Serves(Long))
		}
	}
	t.Run("absurd speeds count as a bounded one", func(t *testing.T) {
		groups := run(New("lm"), time.Unix(0, 0), 3*time.Second, newLoad(10, 8, 0.3), newEngines(30, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1e9, math.NaN(), -3))
		assert.Assert(t, count(groups, Long) > 3)
	})
}

// TestIsLong checks the length from which prompts are long for the permitted gap.
func TestIsLong(t *testing.T) {
	for _, c := range []struct {
		prefill, gap time.Duration
		long         bool
	}{
		{230 * time.Millisecond, 800 * time.Millisecond, true},
		{21 * time.Millisecond, 250 * time.Millisecond, false},
		{40 * time.Millisecond, 250 * time.Millisecond, true},
		{time.Minute, 0, false},
	} {
		assert.Equal(t, IsLong(c.prefill, c.gap), c.long)
	}
}
