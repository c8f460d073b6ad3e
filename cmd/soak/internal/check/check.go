// Package check compares what callers and replicas observed during a run with
// the guarantees of gateways.
//
// # Usage
//
//	violations := check.Violations(&check.Observations{Records: records, Runs: runs, ...})
package check

import (
	"cmp"
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

// Rule identifies a guarantee of gateways.
type Rule string

// Guarantees that Violations checks, and two that package series reports itself:
// ProcessHealth and Recovery.
const (
	// AtMostOnce: a request that is not repeatable runs at most once.
	AtMostOnce Rule = "once"
	// AttemptLimit: a request runs on no more replicas than its route allows, and at most
	// once more than that.
	AttemptLimit Rule = "attempts"
	// NotRun: a non-repeatable request that was rejected as not run neither has
	// run nor runs later.
	NotRun Rule = "not-run"
	// CorrectResponse: a complete success is the whole answer of a replica to this
	// request.
	CorrectResponse Rule = "genuine"
	// StreamOrder: a stream consists of the replica's events from the first one on,
	// or from the one after which its caller takes it up, without gaps.
	StreamOrder Rule = "order"
	// SingleRelease: all events of a stream, those that its caller receives after
	// taking it up included, come from replicas of one release.
	SingleRelease Rule = "release"
	// TakeUp: streams that callers take up go on about as often as new ones begin.
	TakeUp Rule = "take-up"
	// UnchangedRequest: replicas receive what the caller sent, with the caller's
	// workspace and without its key.
	UnchangedRequest Rule = "unchanged"
	// Routing: a request runs in a pool of its route.
	Routing Rule = "route"
	// Isolation: a request uses no cached part of another workspace if one of the two is
	// isolated.
	Isolation Rule = "isolation"
	// KeyRevocation: a revoked key is no longer accepted after the bound.
	KeyRevocation Rule = "revoked"
	// RetryBudget: the retries of all gateways together stay within the budget.
	RetryBudget Rule = "budget"
	// LeaseHolder: only one lease holder at a time sends orders to engines.
	LeaseHolder Rule = "holder"
	// Recognized: a request with a valid key and a known path is not answered with
	// 401, 403 or 404.
	Recognized Rule = "known"
	// GracefulStop: a process that is told to stop completes the requests that it
	// has forwarded.
	GracefulStop Rule = "stop"
	// Departure: a gateway that has passed on an answer in which a replica says that it
	// is leaving sends it no requests after the bound.
	Departure Rule = "departure"
	// Drain: a gateway that reaches the store sends a replica no requests after the bound
	// for one that is leaving.
	Drain Rule = "drain"
	// Closure: a gateway that a replica has turned away sends it nothing until the time
	// that the replica named.
	Closure Rule = "closure"
	// Quarantine: once a request or a part of prompts has crashed several replicas, it no
	// longer reaches replicas, and no other request is refused because of it.
	Quarantine Rule = "quarantine"
	// Answered: every request gets an answer or a refusal, and a gateway does not cut off
	// the answers of replicas that are only silent for a while.
	Answered Rule = "answered"
	// Lost: while sound replicas pause beside planned work, and nothing else happens, every
	// request that a gateway has read gets a complete answer or a refusal.
	Lost Rule = "lost"
	// ProcessHealth: processes neither exit by themselves nor panic.
	ProcessHealth Rule = "process"
	// Recovery: after the last fault has ended, every gateway serves again.
	Recovery Rule = "recover"
)

const (
	// maxAttempts is the limit that the routes of the fleet declare.
	maxAttempts = 2
	// maxDeliveryTime is the longest time that a request takes from the caller to
	// the gateway on a busy machine.
	maxDeliveryTime = 500 * time.Millisecond
	// maxCutAtStop is the number of requests that a stopping process may cut off:
	// those that arrive while it closes their connection.
	maxCutAtStop = 3
	// configTime is how long a gateway may take to apply a new configuration.
	configTime = 2 * time.Second
)

// Violation describes how a guarantee was broken.
type Violation struct {
	Rule   Rule
	Detail string
}

// Run is a request that a replica ran.
type Run struct {
	replica.Run
	Replica, Pool string
}

// StopWindow is the time from the stop signal to one gateway until its exit. No
// fault is injected during that time.
type StopWindow struct {
	Gateway  int
	From, To time.Time
}

// Observations holds what callers and replicas recorded during a run.
type Observations struct {
	Records []caller.Record
	Runs    []Run
	// Arrivals holds, by request ID, the times at which the request reached a
	// replica, whether it ran or not.
	Arrivals map[string][]time.Time
	// Orders holds the accepted orders by engine.
	Orders map[string][]standin.Order
	// RevokedAt is when the guest's key was revoked; zero means never.
	RevokedAt   time.Time
	StopWindows []StopWindow
	// NoWorkspaces holds when no key was valid.
	NoWorkspaces []fleet.Span
	// Isolated holds when workspace fleet.IsolatedAtTimes was isolated.
	Isolated []fleet.Span
	// Replicas holds what replicas have said about themselves.
	Replicas     []Replica
	Disturbances []Disturbance
	// Gateways holds, by gateway, when faults affected it.
	Gateways [][]fleet.Span
	// Stores holds, by gateway, when it could not reach the store.
	Stores  [][]fleet.Span
	Engines []Engine
	// RetrySlack replaces fleet.RetrySlack unless it is zero.
	RetrySlack float64
	// Calm means that there was no fault, Stops holds, by gateway, the times from stop
	// signals to exits. Lost needs both.
	Calm  bool
	Stops [][]fleet.Span
}

// Engine is the life of an engine.
type Engine struct {
	Release string
	Started time.Time
	// Disturbed holds when faults affected the engine, and the time since it began to
	// leave.
	Disturbed []fleet.Span
}

// Violations returns every violation found in the observations.
func Violations(observed *Observations) []Violation {
	c := newChecker(observed)
	for i := range observed.Runs {
		run := &observed.Runs[i]
		c.runs[string(run.ID)] = append(c.runs[string(run.ID)], run)
		c.checkRun(run)
	}
	for i := range observed.Records {
		c.checkRecord(&observed.Records[i])
	}
	c.checkRetryBudget(fleet.AppPool)
	c.checkRetryBudget(fleet.EnginePool)
	for engine, orders := range observed.Orders {
		c.checkOrders(engine, orders)
	}
	for _, window := range observed.StopWindows {
		c.checkStop(window)
	}
	for i := range observed.Replicas {
		c.checkAdvice(i)
		c.checkDrain(&observed.Replicas[i])
	}
	c.checkTakeUps()
	c.checkIsolation()
	c.checkQuarantine()
	return c.violations
}

type checker struct {
	observed   *Observations
	records    map[string]*caller.Record
	runs       map[string][]*Run
	violations []Violation
}

func newChecker(observed *Observations) *checker {
	c := &checker{observed: observed, runs: make(map[string][]*Run), records: make(map[string]*caller.Record)}
	for i := range observed.Records {
		c.records[observed.Records[i].ID] = &observed.Records[i]
	}
	return c
}

func (c *checker) report(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// checkRun checks one run against the request that its caller sent.
func (c *checker) checkRun(run *Run) {
	record, ok := c.records[string(run.ID)]
	if !ok {
		c.report(UnchangedRequest, "%s ran request %q, which no caller sent: %s %s", run.Replica, run.ID, run.Method, run.Target)
		return
	}
	names := platform.HeaderNames()
	workspace := strings.TrimPrefix(record.Key, "key-")
	salt := run.Header.Get(names.CacheSalt)
	switch {
	case run.Method != record.Method || run.Target != record.Target || run.Body != record.Body:
		c.report(UnchangedRequest, "%s ran with another method, target or body: %s %s", run.ID, run.Method, run.Target)
	case run.Header.Get(names.APIKey) != "":
		c.report(UnchangedRequest, "%s was forwarded with the key of its workspace", run.ID)
	case run.Header.Get(names.Workspace) != workspace:
		c.report(UnchangedRequest, "%s of workspace %s ran for workspace %q", run.ID, workspace, run.Header.Get(names.Workspace))
	case salt == "forged":
		c.report(UnchangedRequest, "%s ran with the cache salt that its caller sent", run.ID)
	case run.Pool != record.Kind.Pool():
		c.report(Routing, "%s of kind %s ran in pool %s", run.ID, record.Kind, run.Pool)
	}
	bound := c.observed.RevokedAt.Add(fleet.KeyRevocationBound)
	if !c.observed.RevokedAt.IsZero() && record.Key == "key-guest" && record.SentAt.After(bound) {
		c.report(KeyRevocation, "%s was sent %s after its key was revoked, and ran", run.ID, record.SentAt.Sub(c.observed.RevokedAt))
	}
	for _, span := range c.observed.NoWorkspaces {
		if record.SentAt.After(span.From.Add(fleet.KeyRevocationBound)) && run.At.Before(span.To) {
			c.report(KeyRevocation, "%s was sent %s after the last key was revoked, and ran", run.ID, record.SentAt.Sub(span.From))
		}
	}
}

// checkRecord checks the response to one request against its runs.
func (c *checker) checkRecord(record *caller.Record) {
	runs := len(c.runs[record.ID])
	if record.Kind.AtMostOnce() && runs > 1 {
		c.report(AtMostOnce, "%s of kind %s ran %d times", record.ID, record.Kind, runs)
	}
	if replicas := c.replicasOf(record); replicas > maxAttempts || runs > maxAttempts+1 {
		c.report(AttemptLimit, "%s ran %d times on %d replicas, more than its route allows", record.ID, runs, replicas)
	}
	c.checkAnswered(record)
	c.checkLost(record)
	switch record.Status {
	case 429, 503, 408, 421:
		if record.Kind.AtMostOnce() && runs > 0 {
			c.report(NotRun, "%s was answered with status %d, but ran", record.ID, record.Status)
		}
	case 401, 403, 404:
		isGuest := record.Key == "key-guest" && !c.observed.RevokedAt.IsZero() && !record.EndedAt.Before(c.observed.RevokedAt)
		if !isGuest && !overlapsAny(c.observed.NoWorkspaces, record.SentAt.Add(-configTime), record.EndedAt) {
			c.report(Recognized, "%s was answered with status %d", record.ID, record.Status)
		}
	}
	switch {
	case record.Status >= 200 && record.Status < 300:
		c.checkSuccess(record)
	case record.Complete && (record.Status < 200 || record.Status > 599):
		c.report(CorrectResponse, "%s was answered with status %03d", record.ID, record.Status)
	}
}

// replicasOf returns the number of replicas that ran a request.
func (c *checker) replicasOf(record *caller.Record) int {
	replicas := make(map[string]bool)
	for _, run := range c.runs[record.ID] {
		replicas[run.Replica] = true
	}
	return len(replicas)
}

// brokeOffEndless reports whether an answer looks incomplete to the caller and came from
// a replica whose answer to this request had no end.
func (c *checker) brokeOffEndless(record *caller.Record) bool {
	digest := record.ResponseHeader.Get(platform.HeaderNames().Digest)
	return !record.Complete && slices.ContainsFunc(c.runs[record.ID], func(run *Run) bool {
		return run.Endless && digest == "digest-"+run.Replica
	})
}

func (c *checker) checkSuccess(record *caller.Record) {
	names := platform.HeaderNames()
	if record.ResponseHeader.Get(names.RequestID) != record.ID {
		c.report(CorrectResponse, "%s received the answer to %q", record.ID, record.ResponseHeader.Get(names.RequestID))
	}
	if !slices.ContainsFunc(c.runs[record.ID], func(run *Run) bool {
		return record.ResponseHeader.Get(names.Digest) == "digest-"+run.Replica
	}) {
		c.report(CorrectResponse, "%s received a success with digest %q, which no replica that ran it sent", record.ID, record.ResponseHeader.Get(names.Digest))
	}
	if record.Kind.Pool() == fleet.EnginePool {
		c.checkStream(record)
		return
	}
	want, got := "answer to "+record.ID, string(record.ResponseBody)
	if c.brokeOffEndless(record) {
		// It cannot be told from a long answer until it is cut off.
		want = strings.Repeat(replica.EndlessBody, len(got))
	}
	if record.Complete && got != want || !strings.HasPrefix(want, got) {
		c.report(CorrectResponse, "%s received a wrong body (complete: %t): %q", record.ID, record.Complete, got)
	}
}

// checkRetryBudget counts the retries in every window that ends with a retry, and
// compares them with the budget. A retry is an arrival after the first one of a
// request. The budget is calculated from the requests that callers sent during the
// window or during one that ends half a window or a whole window earlier,
// whichever are the most.
func (c *checker) checkRetryBudget(pool string) {
	var sentAt, retries []time.Time
	for _, record := range c.records {
		if record.Kind.Pool() != pool {
			continue
		}
		sentAt = append(sentAt, record.SentAt)
		arrivals := slices.SortedFunc(slices.Values(c.observed.Arrivals[record.ID]), time.Time.Compare)
		retries = append(retries, arrivals[min(1, len(arrivals)):]...)
	}
	slices.SortFunc(retries, time.Time.Compare)
	for _, end := range retries {
		n := countWithin(retries, end, fleet.RetryWindow)
		originals := max(countWithin(sentAt, end, fleet.RetryWindow), countWithin(sentAt, end.Add(-fleet.RetryWindow), fleet.RetryWindow),
			countWithin(sentAt, end.Add(-fleet.RetryWindow/2), fleet.RetryWindow))
		if limit := fleet.RetryRatio*float64(originals) + cmp.Or(c.observed.RetrySlack, fleet.RetrySlack); float64(n) > limit {
			c.report(RetryBudget, "%d retries in pool %s within %s, %.0f are allowed", n, pool, fleet.RetryWindow, limit)
			return
		}
	}
}

// countWithin counts the times in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

// checkOrders checks that the fencing tokens in the orders that one engine
// accepted are higher than those of all earlier holders.
func (c *checker) checkOrders(engine string, orders []standin.Order) {
	for i, order := range orders {
		for _, earlier := range orders[:i] {
			if earlier.Holder != order.Holder && earlier.Token >= order.Token {
				c.report(LeaseHolder, "engine %s accepted token %d of %s after token %d of %s", engine, order.Token, order.Holder, earlier.Token, earlier.Holder)
			}
		}
	}
}

// checkStop counts the requests that a stopping gateway forwarded and whose
// responses it cut off.
func (c *checker) checkStop(window StopWindow) {
	cut := 0
	for _, record := range c.records {
		if record.Gateway != window.Gateway || record.SentAt.Before(window.From.Add(-maxDeliveryTime)) || record.SentAt.After(window.To) {
			continue
		}
		if !record.Complete && len(c.runs[record.ID]) > 0 {
			cut++
		}
	}
	if cut > maxCutAtStop {
		c.report(GracefulStop, "%d requests were cut off while gateway %d stopped", cut, window.Gateway)
	}
}
