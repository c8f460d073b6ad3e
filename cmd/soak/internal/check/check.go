// Package check holds what callers and replicas have seen against what gateways
// promise.
//
// # Usage
//
//	violations := check.All(check.Facts{Records: records, Runs: runs, ...})
package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

// Rule names a promise.
type Rule string

// Rules.
const (
	// Once: what may run once runs once at most.
	Once Rule = "once"
	// Attempts: nothing runs on more replicas than its route allows.
	Attempts Rule = "attempts"
	// NotRun: what was refused as not run has not run and never does.
	NotRun Rule = "not-run"
	// Genuine: a complete success is the replica's whole answer to this request.
	Genuine Rule = "genuine"
	// Order: a stream is the replica's events from the first on, without gaps.
	Order Rule = "order"
	// Unchanged: replicas get what the caller sent, with the caller's workspace.
	Unchanged Rule = "unchanged"
	// Route: requests run where their route says.
	Route Rule = "route"
	// Revoked: a key that was taken away does not work beyond the bound.
	Revoked Rule = "revoked"
	// Budget: repeats stay within the budget of all gateways together.
	Budget Rule = "budget"
	// Holder: one holder at a time orders engines.
	Holder Rule = "holder"
	// Known: proper requests are not called unknown or forbidden.
	Known Rule = "known"
	// Stop: a process that is told to stop answers what it has passed on.
	Stop Rule = "stop"
	// Process: processes neither end by themselves nor panic.
	Process Rule = "process"
	// Recover: when all trouble is over, every gateway serves.
	Recover Rule = "recover"
)

const (
	// maxAttempts is what the fleet's routes allow.
	maxAttempts = 2
	// wayThere is how long a request takes from the caller to the gateway at most
	// on a busy machine.
	wayThere = 500 * time.Millisecond
	// stopSlack is how many requests may be cut by a stopping process: those that
	// cross its closing of a connection.
	stopSlack = 3
)

// Violation is a promise that was broken.
type Violation struct {
	Rule   Rule
	Detail string
}

// Run is what a replica ran.
type Run struct {
	replica.Run
	Replica, Pool string
}

// Span is a time in which one gateway was told to stop and nothing else happened.
type Span struct {
	Gateway  int
	From, To time.Time
}

// Facts are what callers and replicas have seen.
type Facts struct {
	Records []caller.Record
	Runs    []Run
	// Arrivals are the requests that reached replicas, by request; they count
	// whether they ran or not.
	Arrivals map[string][]time.Time
	Orders   map[string][]standin.Order
	// RevokedAt is when the guest's key was taken away; zero means never.
	RevokedAt time.Time
	Stops     []Span
}

// All returns every violation.
func All(facts *Facts) []Violation {
	c := &checker{facts: facts, runs: make(map[string][]*Run), records: make(map[string]*caller.Record)}
	for i := range facts.Records {
		c.records[facts.Records[i].ID] = &facts.Records[i]
	}
	for i := range facts.Runs {
		run := &facts.Runs[i]
		c.runs[string(run.ID)] = append(c.runs[string(run.ID)], run)
		c.run(run)
	}
	for i := range facts.Records {
		c.record(&facts.Records[i])
	}
	c.budget(fleet.AppPool)
	c.budget(fleet.EnginePool)
	for engine, orders := range facts.Orders {
		c.holder(engine, orders)
	}
	for _, span := range facts.Stops {
		c.stop(span)
	}
	return c.violations
}

type checker struct {
	facts      *Facts
	records    map[string]*caller.Record
	runs       map[string][]*Run
	violations []Violation
}

func (c *checker) fail(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// run checks one run by itself.
func (c *checker) run(run *Run) {
	record, ok := c.records[string(run.ID)]
	if !ok {
		c.fail(Unchanged, "%s ran %q, which nobody sent", run.Replica, run.ID)
		return
	}
	names := platform.HeaderNames()
	workspace := strings.TrimPrefix(record.Key, "key-")
	salt := run.Header.Get(names.CacheSalt)
	switch {
	case run.Method != record.Method || run.Target != record.Target || run.Body != record.Body:
		c.fail(Unchanged, "%s ran as %s %s", run.ID, run.Method, run.Target)
	case run.Header.Get(names.APIKey) != "":
		c.fail(Unchanged, "%s was passed on with its key", run.ID)
	case run.Header.Get(names.Workspace) != workspace:
		c.fail(Unchanged, "%s of %s ran for %s", run.ID, workspace, run.Header.Get(names.Workspace))
	case salt == "forged":
		c.fail(Unchanged, "%s ran with the caller's salt", run.ID)
	case run.Pool != record.Kind.Pool():
		c.fail(Route, "%s, a %s, ran in %s", run.ID, record.Kind, run.Pool)
	}
	bound := c.facts.RevokedAt.Add(fleet.RevokeBound)
	if !c.facts.RevokedAt.IsZero() && record.Key == "key-guest" && record.SentAt.After(bound) {
		c.fail(Revoked, "%s was sent %s after its key was taken away, and ran", run.ID, record.SentAt.Sub(c.facts.RevokedAt))
	}
}

// record checks one request against its runs.
func (c *checker) record(record *caller.Record) {
	runs := len(c.runs[record.ID])
	if record.Kind.Once() && runs > 1 {
		c.fail(Once, "%s, a %s, ran %d times", record.ID, record.Kind, runs)
	}
	if runs > maxAttempts {
		c.fail(Attempts, "%s ran %d times", record.ID, runs)
	}
	switch record.Status {
	case 429, 503, 408, 421:
		if record.Kind.Once() && runs > 0 {
			c.fail(NotRun, "%s got %d and ran", record.ID, record.Status)
		}
	case 401, 403, 404:
		if record.Key != "key-guest" || c.facts.RevokedAt.IsZero() || record.EndedAt.Before(c.facts.RevokedAt) {
			c.fail(Known, "%s got %d", record.ID, record.Status)
		}
	}
	if record.Status >= 200 && record.Status < 300 {
		c.success(record)
	}
}

func (c *checker) success(record *caller.Record) {
	names := platform.HeaderNames()
	if record.Header.Get(names.RequestID) != record.ID {
		c.fail(Genuine, "%s got the answer to %q", record.ID, record.Header.Get(names.RequestID))
	}
	if !slices.ContainsFunc(c.runs[record.ID], func(run *Run) bool {
		return record.Header.Get(names.Digest) == "digest-"+run.Replica
	}) {
		c.fail(Genuine, "%s got a success that no replica gave it: %q", record.ID, record.Header.Get(names.Digest))
	}
	want := "answer to " + record.ID
	rule := Genuine
	if record.Kind.Pool() == fleet.EnginePool {
		want, rule = replica.Stream(fleet.Events), Order
	}
	got := string(record.Answer)
	if record.Complete && got != want || !strings.HasPrefix(want, got) {
		c.fail(rule, "%s got, complete %t, %q", record.ID, record.Complete, got)
	}
}

// budget counts the arrivals beyond the first of each request in every window.
func (c *checker) budget(pool string) {
	var requests, repeats []time.Time
	for _, record := range c.records {
		if record.Kind.Pool() != pool {
			continue
		}
		requests = append(requests, record.SentAt)
		arrivals := slices.SortedFunc(slices.Values(c.facts.Arrivals[record.ID]), time.Time.Compare)
		repeats = append(repeats, arrivals[min(1, len(arrivals)):]...)
	}
	slices.SortFunc(repeats, time.Time.Compare)
	for _, end := range repeats {
		n := within(repeats, end, fleet.RetryWindow)
		asked := max(within(requests, end, fleet.RetryWindow), within(requests, end.Add(-fleet.RetryWindow), fleet.RetryWindow),
			within(requests, end.Add(-fleet.RetryWindow/2), fleet.RetryWindow))
		if limit := fleet.RetryRatio*float64(asked) + fleet.RetrySlack; float64(n) > limit {
			c.fail(Budget, "%d repeats at %s within %s, %.0f are allowed", n, pool, fleet.RetryWindow, limit)
			return
		}
	}
}

// within counts the times in a window that ends at a time.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

// holder checks the orders of one engine: none has another holder's token, or an
// older one.
func (c *checker) holder(engine string, orders []standin.Order) {
	for i, order := range orders {
		for _, earlier := range orders[:i] {
			if earlier.Holder != order.Holder && earlier.Token >= order.Token {
				c.fail(Holder, "%s had token %d of %s after %d of %s", engine, order.Token, order.Holder, earlier.Token, earlier.Holder)
			}
		}
	}
}

// stop counts the requests of a stopping process that were passed on and got no
// answer.
func (c *checker) stop(span Span) {
	cut := 0
	for _, record := range c.records {
		if record.Gateway != span.Gateway || record.SentAt.Before(span.From.Add(-wayThere)) || record.SentAt.After(span.To) {
			continue
		}
		if !record.Complete && len(c.runs[record.ID]) > 0 {
			cut++
		}
	}
	if cut > stopSlack {
		c.fail(Stop, "%d requests cut while gateway %d stopped", cut, span.Gateway)
	}
}
