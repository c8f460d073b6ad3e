package check

import (
	"time"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
)

const (
	// closureSlack is the time after an answer in which requests that were on their
	// way may arrive. maxWhileClosed is the number of requests that may arrive later.
	closureSlack   = 500 * time.Millisecond
	maxWhileClosed = 2
)

// Replica holds the requests that a replica received, those that it turned away,
// and when its incarnations started.
type Replica struct {
	ID         string
	Arrivals   []replica.Arrival
	TurnedAway []replica.TurnedAway
	Starts     []time.Time
	// Left is when the store acknowledged that the replica leaves; zero means never.
	Left time.Time
	// Disturbed holds when faults other than silence affected the replica.
	Disturbed []fleet.Span
}

// Disturbance is a time at which a gateway did not run, or at which the links to a
// replica were disturbed. A negative Gateway means all, a negative Replica none in
// particular.
type Disturbance struct {
	Gateway, Replica int
	From, To         time.Time
}

// disturbed reports whether a gateway or its link to a replica was disturbed at any
// time between two times.
func (c *checker) disturbed(gateway, replica int, from, to time.Time) bool {
	for _, d := range c.observed.Disturbances {
		if (d.Gateway < 0 || d.Gateway == gateway) && (d.Replica < 0 || d.Replica == replica) && !d.From.After(to) && !d.To.Before(from) {
			return true
		}
	}
	return false
}

// checkAdvice checks that gateways respect what one replica says about itself.
func (c *checker) checkAdvice(i int) {
	r := &c.observed.Replicas[i]
	for _, turnedAway := range r.TurnedAway {
		if record, ok := c.records[string(turnedAway.ID)]; ok {
			c.checkClosure(i, record.Gateway, turnedAway)
		}
	}
	names := platform.HeaderNames()
	for _, record := range c.records {
		if record.ResponseHeader.Get(names.Leaving) == "1" && record.ResponseHeader.Get(names.Digest) == "digest-"+r.ID {
			c.checkDeparture(i, record)
		}
	}
}

// checkClosure counts the requests that a gateway sent to a replica after it was
// turned away.
func (c *checker) checkClosure(i, gateway int, turnedAway replica.TurnedAway) {
	if c.disturbed(gateway, i, turnedAway.At, turnedAway.Until) {
		return
	}
	r := &c.observed.Replicas[i]
	n := 0
	for _, arrival := range r.Arrivals {
		record, ok := c.records[string(arrival.ID)]
		if ok && record.Gateway == gateway && arrival.At.After(turnedAway.At.Add(closureSlack)) && arrival.At.Before(turnedAway.Until) {
			n++
		}
	}
	if n > maxWhileClosed {
		c.report(Closure, "gateway %d sent %d requests to %s, which had turned %s away for %s", gateway, n, r.ID, turnedAway.ID, turnedAway.Until.Sub(turnedAway.At))
	}
}

// checkDeparture looks for a request that a gateway sent to the same incarnation of a
// replica after it passed on an answer in which the replica says that it is leaving.
func (c *checker) checkDeparture(i int, answered *caller.Record) {
	r := &c.observed.Replicas[i]
	end := time.Time{}
	for _, start := range r.Starts {
		if end.IsZero() && start.After(answered.SentAt) {
			end = start
		}
	}
	if !end.IsZero() && end.Before(answered.EndedAt) {
		// The answer may be that of either incarnation.
		return
	}
	for _, arrival := range r.Arrivals {
		record, ok := c.records[string(arrival.ID)]
		if !ok || record.Gateway != answered.Gateway || !record.SentAt.After(answered.EndedAt.Add(fleet.DepartureBound)) {
			continue
		}
		if (end.IsZero() || arrival.At.Before(end)) && !c.disturbed(answered.Gateway, i, answered.EndedAt, arrival.At) {
			c.report(Departure, "%s reached %s %s after gateway %d passed on that it is leaving", record.ID, r.ID, arrival.At.Sub(answered.EndedAt), record.Gateway)
			return
		}
	}
}
