package forward

import "time"

const (
	// eventsPerMeasurement is the number of events over which the time of an event is
	// measured. A gateway with a tenth of a core often receives two events together.
	eventsPerMeasurement = 3
	// maxWriteTime is the time for passing an event on beyond which the next events
	// may have waited for the caller, so that they say nothing about the engine.
	maxWriteTime = 2 * time.Millisecond
)

// gapMeter measures the time between the events of a stream. The last event of a
// stream may hold fewer tokens than the others and is left out of the measurement of
// the engine's speed. The zero value is ready for use.
type gapMeter struct {
	// startedAt is the arrival of the event before the measurement, arrivedAt that of
	// the latest event; zero means that there was none.
	startedAt, arrivedAt time.Time
	events               int
}

// add records the arrival of an event.
func (g *gapMeter) add(a *attempt, now time.Time) {
	if g.arrivedAt.IsZero() {
		g.startedAt, g.arrivedAt = now, now
		return
	}
	if g.events == eventsPerMeasurement {
		a.pick.Events(g.events, g.arrivedAt.Sub(g.startedAt))
		g.startedAt, g.events = g.arrivedAt, 0
	}
	a.pick.Gap(now.Sub(g.arrivedAt), a.request.Route.MaxEventGap)
	g.events, g.arrivedAt = g.events+1, now
}

// written records that the latest event has been passed on.
func (g *gapMeter) written(now time.Time) {
	if now.Sub(g.arrivedAt) > maxWriteTime {
		*g = gapMeter{}
	}
}
