package comfreyworks

import (
	"context"
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
