package enginepace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

const (
	eventTime = 24 * time.Millisecond
	tokenTime = 25 * time.Microsecond
)

type fixture struct {
	*Log
	clock   *clockwork.FakeClock
	engines []comfreyworks.Upstream
}

// newFixture returns the log of a gateway before n engines.
func newFixture(n int) *fixture {
	clock := clockwork.NewFakeClock()
	f := &fixture{Log: New(Options{Clock: clock}), clock: clock}
	for i := range n {
		f.engines = append(f.engines, comfreyworks.Upstream{
			ID: comfreyworks.InstanceID(fmt.Sprint("lm/", i)), Pool: "lm", Started: clock.Now(),
		})
	}
	return f
}

// run lets engine i answer at speeds[i % len(speeds)] for some time.
func (f *fixture) run(d time.Duration, speeds ...float64) {
	for range d / (125 * time.Millisecond) {
		f.clock.Advance(125 * time.Millisecond)
		for i := range f.engines {
			speed := speeds[i%len(speeds)]
			f.Pace(&f.engines[i])
			f.ObserveDecode(&f.engines[i], 3, time.Duration(3*float64(eventTime)/speed), false)
			f.ObservePrefill(&f.engines[i], 4000, time.Duration(4000*float64(tokenTime)/speed))
		}
	}
}

func assertPace(t *testing.T, got Pace, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got.Decode-want) <= 0.05*want && math.Abs(got.Prefill-want) <= 0.05*want, "%+v, want %v", got, want)
}

// TestSpeeds guards against engines of different speed that count as equal, and against
// equal ones that count as different because of what delays all of them.
func TestSpeeds(t *testing.T) {
	for name, test := range map[string]struct{ speeds, want []float64 }{
		"equal":                       {[]float64{1}, []float64{1}},
		"all slow":                    {[]float64{0.2}, []float64{1}},
		"differences below a fifth":   {[]float64{0.92, 1, 1.09}, []float64{1, 1, 1}},
		"three speeds":                {[]float64{0.6, 1, 1.6}, []float64{0.6, 1, 1.6}},
		"a third of them a bit fast":  {[]float64{1, 1, 1.3}, []float64{1, 1, 1.3}},
		"absurdly fast":               {[]float64{1, 1, 1e6}, []float64{1, 1, MaxSpeed}},
		"absurdly slow":               {[]float64{1, 1, 1e-6}, []float64{1, 1, MinSpeed}},
		"too few for a median":        {[]float64{1, 3}, []float64{1, 1}},
		"a single one that is slower": {[]float64{1, 1, 1, 1, 1, 0.5}, []float64{1, 1, 1, 1, 1, 0.5}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3 * len(test.speeds))
			if len(test.speeds) == 2 {
				f = newFixture(2)
			}
			f.run(5*time.Second, test.speeds...)
			for i := range f.engines {
				assertPace(t, f.Pace(&f.engines[i]), test.want[i%len(test.want)])
			}
		})
	}
}

// TestBusyEngine guards against an engine that counts as slow because it reads prompts
// for two thirds of the time.
func TestBusyEngine(t *testing.T) {
	f := newFixture(6)
	for n := range 120 {
		f.clock.Advance(125 * time.Millisecond)
		for i := range f.engines {
			elapsed := 3 * eventTime
			if i == 0 && n%6 < 4 {
				elapsed *= 4
			}
			f.ObserveDecode(&f.engines[i], 3, elapsed, elapsed > 3*eventTime)
		}
	}
	assert.Equal(t, f.Pace(&f.engines[0]), usual)
}

// TestNewEngine guards against an engine that is unknown for long, also after a change
// of its hardware.
func TestNewEngine(t *testing.T) {
	f := newFixture(6)
	f.run(5*time.Second, 1, 1, 0.5)
	assertPace(t, f.Pace(&f.engines[2]), 0.5)
	f.engines[2].Started = f.clock.Now()
	assert.Equal(t, f.Pace(&f.engines[2]), usual, "another incarnation")
	f.run(5*time.Second, 1, 1, 1.6)
	assertPace(t, f.Pace(&f.engines[2]), 1.6)
	f.clock.Advance(unusedExpiry + time.Second)
	assert.Equal(t, f.Pace(&f.engines[2]), usual, "measurements have expired")
	assert.Equal(t, len(f.Log.engines), 0)
}

// TestTransientSlowdown guards against a slowdown that is noticed late, is kept after
// its end, or is taken for a lasting one.
func TestTransientSlowdown(t *testing.T) {
	f := newFixture(6)
	f.run(6*time.Second, 0.6, 1, 1.6)
	slow := f.engines[1]
	for range 2 {
		f.ObserveDecode(&slow, 3, time.Duration(2.5*3*float64(eventTime)), false)
	}
	assertPace(t, f.Pace(&slow), 0.4)
	assertPace(t, f.Lasting(&slow), 1)
	t.Run("it ends with the first event in time", func(t *testing.T) {
		f.ObserveDecode(&slow, 3, 3*eventTime, false)
		assertPace(t, f.Pace(&slow), 1)
	})
	t.Run("events that prompts delay do not count", func(t *testing.T) {
		for range 5 {
			f.ObserveDecode(&slow, 3, 12*eventTime, true)
		}
		assertPace(t, f.Pace(&slow), 1)
	})
	t.Run("it expires", func(t *testing.T) {
		for range 2 {
			f.ObserveDecode(&slow, 3, 12*eventTime, false)
		}
		f.clock.Advance(transientExpiry + 1)
		assertPace(t, f.Pace(&slow), 1)
	})
}

// TestReports guards against measurements that are lost or counted twice between
// gateways that each see too few events.
func TestReports(t *testing.T) {
	relay, other := newFixture(6), newFixture(6)
	other.engines = relay.engines
	relay.run(1500*time.Millisecond, 0.6, 1, 1.6)
	other.run(1500*time.Millisecond, 0.6, 1, 1.6)
	until := relay.clock.Now().Add(5 * time.Second)
	relay.SetReport("leaf", other.Local(), until)
	for range 2 {
		assert.Equal(t, relay.Pace(&relay.engines[0]), usual)
		relay.clock.Advance(confirmTime)
	}
	assertPace(t, relay.Pace(&relay.engines[0]), 0.6)

	weight := func(paces comfreyworks.EnginePaces) (sum int) {
		for _, p := range paces {
			sum += int(p.DecodeWeight)
		}
		return sum
	}
	local := weight(relay.Local())
	assert.Equal(t, weight(relay.Sum(map[comfreyworks.InstanceID]bool{"leaf": true})), 2*local)
	assert.Equal(t, weight(relay.AllExcept("leaf")), local)
	relay.SetReport("leaf", nil, until)
	assert.Equal(t, weight(relay.AllExcept("")), 2*local, "a peer that reports nothing now")
	relay.clock.Advance(5 * time.Second)
	assert.Equal(t, weight(relay.AllExcept("")), local, "an expired report")
}

// TestAbsurdReport guards against a peer whose report makes one engine attract all
// requests, or fills the memory.
func TestAbsurdReport(t *testing.T) {
	f := newFixture(6)
	f.run(3*time.Second, 1)
	report := comfreyworks.EnginePaces{
		{Engine: key(&f.engines[0]), Decode: math.MaxInt8, DecodeWeight: math.MaxUint8, Prefill: math.MaxInt8, PrefillWeight: math.MaxUint8},
		{Engine: key(&f.engines[1]), Decode: math.MinInt8, DecodeWeight: math.MaxUint8, Prefill: math.MinInt8, PrefillWeight: math.MaxUint8},
	}
	for i := range uint32(5000) {
		report = append(report, comfreyworks.EnginePace{Engine: i, DecodeWeight: 9, Decode: 90})
	}
	f.clock.Advance(tableInterval)
	f.SetReport("x", report, f.clock.Now().Add(time.Minute))
	assert.Equal(t, f.Pace(&f.engines[0]), usual)
	f.clock.Advance(confirmTime)
	assert.Equal(t, f.Pace(&f.engines[0]), Pace{Prefill: MaxSpeed, Decode: MaxSpeed})
	assert.Equal(t, f.Pace(&f.engines[1]), Pace{Prefill: MinSpeed, Decode: MinSpeed})
	assert.Equal(t, len(f.AllExcept("")), maxReported)
}

// TestGaps guards against gaps longer than permitted that are not noticed, or that
// count for long.
func TestGaps(t *testing.T) {
	f := newFixture(3)
	for i := range 8 {
		f.ObserveGap(&f.engines[0], time.Duration(i%2+1)*150*time.Millisecond, 250*time.Millisecond)
	}
	gaps := f.Gaps(&f.engines[0])
	assert.Assert(t, math.Abs(gaps.Used-0.9) < 1e-9)
	assert.Equal(t, gaps.Count, 8.0)
	assert.Equal(t, gaps.Missed, 0.5)
	f.clock.Advance(10 * gapHalfLife)
	assert.Assert(t, f.Gaps(&f.engines[0]).Count < 0.01)
	assert.Equal(t, f.Gaps(&f.engines[1]), Gaps{})
}
