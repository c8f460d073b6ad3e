package check

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
)

const (
	// unreadTime is how long a request may be under way. A gateway that closes its
	// connection later has read it.
	unreadTime = 200 * time.Millisecond
	// lateTime is how long after the stop signal requests may be sent that are not
	// answered because they run until graceEnd.
	lateTime = 3 * time.Second
	// graceEnd is the time from the stop signal to the last sixth of the grace period.
	graceEnd = fleet.StopGrace * 5 / 6
)

// checkLost checks, in a run without faults, that a request that a gateway has passed on or
// read gets a complete answer or a refusal. Neither the pause nor the departure of a replica
// is a reason not to answer, nor is a graceful stop.
func (c *checker) checkLost(record *caller.Record) {
	took := record.EndedAt.Sub(record.SentAt)
	arrivals := len(c.observed.Arrivals[record.ID])
	switch {
	case !c.observed.Calm || record.Err == nil || took >= caller.RequestDeadline || c.ranUntilGraceEnd(record):
	case arrivals == 0 && (took <= unreadTime || errors.Is(record.Err, syscall.ECONNREFUSED)):
	default:
		var replicas []string
		for _, run := range c.runs[record.ID] {
			replicas = append(replicas, run.Replica)
		}
		c.report(Lost, "%s of kind %s, sent %s after the start of the first request, was not answered by gateway %d within %s: status %d, %d events, %d arrivals, run by %v: %v",
			record.ID, record.Kind, record.SentAt.Sub(c.observed.Records[0].SentAt), record.Gateway, took, record.Status, record.Events(), arrivals, replicas, record.Err)
	}
}

// ranUntilGraceEnd reports whether a request was sent soon after the stop signal to its
// gateway and ran on a replica when the grace period was about to end.
func (c *checker) ranUntilGraceEnd(record *caller.Record) bool {
	return len(c.runs[record.ID]) > 0 && slices.ContainsFunc(c.observed.Stops[record.Gateway], func(stop fleet.Span) bool {
		return !record.SentAt.After(stop.From.Add(lateTime)) && !record.EndedAt.Before(stop.From.Add(graceEnd)) && stop.Overlaps(record.SentAt, record.EndedAt)
	})
}
