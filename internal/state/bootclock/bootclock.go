// Package bootclock is a clock that goes on while the machine is suspended.
//
// The monotonic clock behind time.Time stands still during a suspension. A
// lease or the age of a belief measured by it would look fresh after the
// machine woke up.
//
// # Usage
//
//	clock := bootclock.New()
//	age := clock.Since(provenAt)
//
// Timers still run on the monotonic clock: check the time after waking up.
package bootclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"comfreyworks"
)

// Clock tells the time of day at its creation plus the time since then,
// suspensions included. Steps of the time of day do not affect it.
type Clock struct {
	clockwork.Clock
	base time.Time
	boot time.Duration
}

var _ comfreyworks.Clock = (*Clock)(nil)

// New returns a clock.
func New() *Clock {
	real := clockwork.NewRealClock()
	return &Clock{Clock: real, base: real.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time without a monotonic reading.
func (c *Clock) Now() time.Time { return c.base.Add(sinceBoot() - c.boot) }

// Since returns the time that has passed.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time that is left.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// sinceBoot reads the clock that counts suspensions. The call cannot fail for
// a clock that every supported kernel has.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}
