package gateway

import (
	"sync"
	"time"

	"comfreyworks"
)

// rateWindow is the time over which an eventRate counts.
const rateWindow = 5 * time.Second

// eventRate measures how often something happens. It is safe for concurrent use.
type eventRate struct {
	clock comfreyworks.Clock

	mu sync.Mutex
	// since is the beginning of the current window, count what it contains, and last the count
	// of the window before.
	since       time.Time
	count, last int
}

func newEventRate(clock comfreyworks.Clock) *eventRate {
	return &eventRate{clock: clock, since: clock.Now()}
}

func (r *eventRate) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	r.count++
}

// perSecond returns the rate of the current window or of the one before, whichever is higher.
func (r *eventRate) perSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	return float64(max(r.count, r.last)) / rateWindow.Seconds()
}

// roll begins a new window if the current one has passed. The mutex must be held.
func (r *eventRate) roll() {
	passed := r.clock.Since(r.since)
	if passed < rateWindow {
		return
	}
	r.last = r.count
	if passed >= 2*rateWindow {
		r.last = 0
	}
	r.count, r.since = 0, r.clock.Now()
}
