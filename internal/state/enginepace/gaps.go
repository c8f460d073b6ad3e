package enginepace

import (
	"time"

	"comfreyworks"
)

// Gaps compares the recent times between events of an engine with the gaps that routes
// permit.
type Gaps struct {
	// Count is the number of events; older ones count less.
	Count float64
	// Used is the mean of the gaps relative to the permitted ones, Missed the share of
	// gaps that were longer.
	Used, Missed float64
}

// ObserveGap records the time between two events of a stream that permits a gap.
func (l *Log) ObserveGap(u *comfreyworks.Upstream, gap, permitted time.Duration) {
	if permitted <= 0 || gap < 0 {
		return
	}
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine(u, now).gaps.add(float64(gap)/float64(permitted), now)
}

// Gaps returns the recent gaps of an engine, as seen by this gateway.
func (l *Log) Gaps(u *comfreyworks.Upstream) Gaps {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engines[key(u)]
	if e == nil || e.gaps.count == 0 {
		return Gaps{}
	}
	e.gaps.decay(now)
	return Gaps{Count: e.gaps.count, Used: e.gaps.used / e.gaps.count, Missed: e.gaps.missed / e.gaps.count}
}
