package check

import (
	"slices"

	"comfreyworks/cmd/soak/internal/caller"
)

// checkAnswered checks that a gateway that has run without a fault neither closes a
// connection without an answer nor cuts off an answer, unless one of the replicas that
// ran the request was disturbed. Silence is no reason.
func (c *checker) checkAnswered(record *caller.Record) {
	if record.Err == nil || !c.isUndisturbed(record) {
		return
	}
	took := record.EndedAt.Sub(record.SentAt)
	switch {
	case record.Status == 0:
		c.report(Answered, "%s of kind %s got neither an answer nor a refusal from gateway %d within %s: %v", record.ID, record.Kind, record.Gateway, took, record.Err)
	case took < caller.RequestDeadline && !slices.ContainsFunc(c.runs[record.ID], func(run *Run) bool { return c.brokeOff(run, record) }):
		c.report(Answered, "%s of kind %s was cut off by gateway %d after %s: %v", record.ID, record.Kind, record.Gateway, took, record.Err)
	}
}

// brokeOff reports whether a replica that ran a request was disturbed meanwhile.
func (c *checker) brokeOff(run *Run, record *caller.Record) bool {
	return slices.ContainsFunc(c.observed.Replicas, func(r Replica) bool {
		return r.ID == run.Replica && overlapsAny(r.Disturbed, record.SentAt, record.EndedAt)
	})
}
