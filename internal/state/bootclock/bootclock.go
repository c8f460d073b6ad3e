// Package bootclock provides a clock that keeps running while the machine is
// suspended.
//
// The monotonic clock that time.Time uses stops during a suspension. After the
// machine resumes, a lease or the age of data measured with it would appear
// newer than it is.
//
// # Usage
//
//	clock := bootclock.New()
//	age := clock.Since(readAt)
//
// Timers still run on the monotonic clock, so check the time when one fires.
package bootclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"comfreyworks"
)

// Clock returns the time of day at its creation plus the time elapsed since then,
// including suspensions. Later changes of the time of day do not affect it.
type Clock struct {
	clockwork.Clock
	// base is the time of day at creation, and baseSinceBoot the time since boot
	// at the same moment.
	base          time.Time
	baseSinceBoot time.Duration
}

var _ comfreyworks.Clock = (*Clock)(nil)

// New returns a clock that starts at the current time of day.
func New() *Clock {
	realClock := clockwork.NewRealClock()
	return &Clock{Clock: realClock, base: realClock.Now().Round(0), baseSinceBoot: sinceBoot()}
}

// Now returns the current time, without a monotonic clock reading.
func (c *Clock) Now() time.Time { return c.base.Add(sinceBoot() - c.baseSinceBoot) }

// Since returns the time elapsed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// sinceBoot returns the time since boot, including suspensions. The call cannot
// fail because every supported kernel has CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}
