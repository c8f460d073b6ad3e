package comfreyworks

import (
	"context"
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is the source of time for all code that waits or measures time.
// Programs pass the real clock; tests pass a fake one.
type Clock = clockwork.Clock

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, clock Clock, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// Duration returns n units, or the nearest duration if that is out of range. What is not
// a number is zero.
func Duration(n float64, unit time.Duration) time.Duration {
	switch d := n * float64(unit); {
	case d >= math.MaxInt64:
		return math.MaxInt64
	case d <= math.MinInt64:
		return math.MinInt64
	case math.IsNaN(d):
		return 0
	default:
		return time.Duration(d)
	}
}
