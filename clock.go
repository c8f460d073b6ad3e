package comfreyworks

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is the source of time for everything that waits or measures. Programs
// pass the real clock; tests pass a fake one.
type Clock = clockwork.Clock

// Sleep waits for a time. It returns false if ctx ends before.
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
