package check

import (
	"slices"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/platform"
)

// checkIsolation looks for runs under a cache salt under which the same engine has run a
// request of another workspace, while one of the two had been isolated for longer than the
// bound at a gateway in touch. All prompts begin with the same part.
func (c *checker) checkIsolation() {
	names := platform.HeaderNames()
	type scope struct{ replica, salt string }
	makers := make(map[scope]map[string]bool)
	runs := slices.Clone(c.observed.Runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	for i := range runs {
		run := &runs[i]
		salt, workspace := run.Header.Get(names.CacheSalt), run.Header.Get(names.Workspace)
		if salt == "" {
			continue
		}
		s := scope{run.Replica, salt}
		if makers[s] == nil {
			makers[s] = make(map[string]bool)
		}
		for maker := range makers[s] {
			if maker != workspace && (maker == fleet.IsolatedAtTimes || workspace == fleet.IsolatedAtTimes) && c.wasIsolated(run) {
				c.report(Isolation, "%s of workspace %s ran on %s under salt %s, as a request of %s had before", run.ID, workspace, run.Replica, salt, maker)
				return
			}
		}
		makers[s][workspace] = true
	}
}

// wasIsolated reports whether the gateway that sent a run should have known that the
// workspace was isolated when the caller sent the request.
func (c *checker) wasIsolated(run *Run) bool {
	record, ok := c.records[string(run.ID)]
	return ok && slices.ContainsFunc(c.observed.Isolated, func(span fleet.Span) bool {
		return (span.To.IsZero() || span.To.After(run.At)) &&
			record.SentAt.After(c.inTouchSince(record.Gateway, span.From, record.SentAt).Add(isolationBound))
	})
}

// isolationBound is the time in which a change of the configuration is in force at gateways
// that reach the store.
const isolationBound = 2 * time.Second
