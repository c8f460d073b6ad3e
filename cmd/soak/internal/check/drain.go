package check

import (
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
)

// checkDrain looks for a request that a caller sent to a gateway in touch with the store
// later than the bound after the store had acknowledged that a replica is leaving, and
// that reached this replica.
func (c *checker) checkDrain(r *Replica) {
	if r.Left.IsZero() {
		return
	}
	for _, arrival := range r.Arrivals {
		record, ok := c.records[string(arrival.ID)]
		if ok && record.SentAt.After(c.inTouchSince(record.Gateway, r.Left, record.SentAt).Add(fleet.DrainBound)) {
			c.report(Drain, "%s reached %s from gateway %d %s after its leaving was acknowledged", record.ID, r.ID, record.Gateway, arrival.At.Sub(r.Left))
			return
		}
	}
}

// inTouchSince returns the time since when a gateway has run and reached the store, but not
// one before from. After an outage of the store gateways keep missing replicas for less
// than fleet.DrainBound.
func (c *checker) inTouchSince(gateway int, from, to time.Time) time.Time {
	since := from
	extend := func(spans []fleet.Span, after time.Duration) {
		for _, span := range spans {
			switch {
			case !span.Overlaps(from.Add(-after), to):
			case span.To.IsZero():
				since = to
			case span.To.Add(after).After(since):
				since = span.To.Add(after)
			}
		}
	}
	extend(c.observed.Gateways[gateway], 0)
	extend(c.observed.Stores[gateway], fleet.DrainBound)
	return since
}
