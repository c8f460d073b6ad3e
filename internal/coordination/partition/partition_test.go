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

// newLoad returns a load with a share of missed streams, and as many missed long prompts as
// the preference for streams permits.
func newLoad(long, other, missed float64) *Load {
	load := &Load{Demand: [NumKinds]Demand{Long: {long, 2}, Other: {other, 0}}, Streams: 100, Missed: 100 * missed, LongStreams: 100}
	load.LongMissed = load.preference()[Other] * load.Missed
	return load
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

// TestShare checks the share that is estimated from need: steady demand, a burst of long
// prompts, and a report that makes no sense.
func TestShare(t *testing.T) {
	for name, c := range map[string]struct {
		load *Load
		want float64
	}{
		"in proportion to need":       {newLoad(15, 5, 0), 0.75},
		"streams keep a minimum":      {newLoad(600, 7, 0), 0.9},
		"long prompts keep a minimum": {newLoad(1, 90, 0), minShare},
		"absurd report":               {newLoad(math.MaxFloat64/4, 0, 0), 0.9},
		"no demand":                   {newLoad(0, 0, 0), 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, math.Abs(c.load.estimatedShare(lowestShare(40, 1))-c.want) < 1e-9)
		})
	}
	t.Run("one engine is more than the minimum", func(t *testing.T) {
		assert.Equal(t, newLoad(1, 90, 0).estimatedShare(lowestShare(4, 1)), 0.25)
	})
}

// TestCorrection guards against a kind that starves in its group because the need was
// estimated wrongly, for example because a smaller group has less cached. The model of a
// pool of 40 engines needs more for long prompts than is estimated, and its kinds miss what
// exceeds their capacity.
func TestCorrection(t *testing.T) {
	// play returns the share after some seconds.
	play := func(longNeed, otherNeed float64, sameUrgency bool) float64 {
		s := New("lm")
		engines := newEngines(40)
		for i := range 160 {
			load := newLoad(12, 10, 0)
			if sameUrgency {
				load.Demand[Long].Priority = 0
			}
			load.LongMissed, load.Missed = 30, 30
			if i > 8 {
				load.LongMissed = 100 * max(1-40*s.Share()/longNeed, 0)
				load.Missed = 100 * max(1-40*(1-s.Share())/otherNeed, 0)
			}
			s.Update(time.Unix(0, 0).Add(time.Duration(i)*UpdateInterval), load, engines)
		}
		return s.Share()
	}
	for name, c := range map[string]struct {
		long, other float64
		sameUrgency bool
		// want is the share at which the weighted miss rates are equal.
		want float64
	}{
		"long prompts need more than was estimated": {50, 10, false, 0.79},
		"streams need more than was estimated":      {20, 40, false, 0.24},
		"equally urgent":                            {50, 10, true, 0.83},
	} {
		t.Run(name, func(t *testing.T) {
			share := play(c.long, c.other, c.sameUrgency)
			assert.Assert(t, math.Abs(share-c.want) <= shareTolerance+0.01, "%.2f", share)
		})
	}
	t.Run("no need: back to the estimate", func(t *testing.T) {
		c := correction{offset: 0.3}
		for range 100 {
			c.update(newLoad(12, 10, 0), 0.55, minShare)
		}
		assert.Assert(t, c.offset < 0.01)
	})
	t.Run("gateways that started at different times agree", func(t *testing.T) {
		first, second := correction{offset: 0.3}, correction{}
		load := newLoad(12, 10, 0.2)
		for range 200 {
			first.update(load, 0.55, minShare)
			second.update(load, 0.55, minShare)
		}
		assert.Assert(t, math.Abs(first.offset-second.offset) < 0.05)
	})
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
	t.Run("it ends when the pool has borne the load before, whatever is missed", func(t *testing.T) {
		s := New("lm")
		run(s, start, 3*time.Second, newLoad(15, 5, 0), engines)
		run(s, start.Add(4*time.Second), 10*time.Second, newLoad(25, 8, 0.3), engines)
		assert.Assert(t, s.Active())
		run(s, start.Add(15*time.Second), 4*time.Second, newLoad(15, 5, 0.3), engines)
		assert.Assert(t, !s.Separated())
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
