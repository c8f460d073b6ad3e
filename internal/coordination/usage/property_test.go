package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// event is something that happens to a fleet. The gateways that it concerns are those
// whose number is a multiple of the given one.
type event func(f *fleet, multiple int, l *load)

func onEach(act func(f *fleet, i int)) event {
	return func(f *fleet, multiple int, _ *load) {
		for i := range f.gateways {
			if i%multiple == 0 {
				act(f, i)
			}
		}
	}
}

// restart starts a gateway anew if it was killed.
func restart(f *fleet, i int) {
	if f.gateways[i].down {
		f.start(i)
	}
}

var events = map[string]event{
	"cut off":   onEach(cutOff),
	"cut zones": onEach(cutZone),
	"heal":      onEach(heal),
	"freeze":    onEach(freeze),
	"resume":    onEach(resume),
	"kill":      onEach((*fleet).kill),
	"restart":   onEach(restart),
	"surge":     func(f *fleet, _ int, l *load) { l.rate = surge * f.rate() },
	"usual":     func(f *fleet, _ int, l *load) { l.rate = usual * f.rate() },
	"move":      func(f *fleet, _ int, l *load) { l.weights = f.uneven() },
}

// TestWindowProperty guards against a limit that is exceeded in any sliding window after
// any sequence of failures: gateways that are cut off, frozen, killed and started again
// alone or together, relays that do not reach each other, and callers that all move at
// once or surge meanwhile.
func TestWindowProperty(t *testing.T) {
	names := []string{"cut off", "cut zones", "heal", "freeze", "resume", "kill", "restart", "surge", "usual", "move"}
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.SampledFrom([]int{4, 9, 25}).Draw(t, "gateways")
		f := newFleet(gateways, min(3, gateways/2), tokens(rapid.SampledFrom([]float64{29_000, 200_000, 500_000}).Draw(t, "rate")), rapid.Uint64().Draw(t, "seed"))
		l := load{rate: usual * f.rate(), weights: f.uneven()}
		f.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "warm ms"))*time.Millisecond, l, nil)
		for range rapid.IntRange(4, 12).Draw(t, "events") {
			events[rapid.SampledFrom(names).Draw(t, "event")](f, rapid.IntRange(1, 3).Draw(t, "multiple"), &l)
			f.run(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms"))*time.Millisecond, l, nil)
		}
		f.run(2*time.Second, l, nil)
		assert.Assert(t, f.worst() <= f.bound(), "%.0f of %.0f", f.worst(), f.bound())
	})
}
