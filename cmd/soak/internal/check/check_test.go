package check

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
	"comfreyworks/platform/standin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// servedRequest returns the observations of one request of a kind that was
// served correctly by replica u.
func servedRequest(kind caller.Kind) *Observations {
	names := platform.HeaderNames()
	record := caller.Record{
		ID: "r", Kind: kind, Key: "key-office", Method: http.MethodPost, Target: "/" + string(kind) + "/1",
		SentAt: start, EndedAt: start.Add(time.Second), Status: http.StatusOK, Complete: true,
		ResponseHeader: http.Header{}, ResponseBody: []byte("answer to r"),
	}
	record.ResponseHeader.Set(names.RequestID, "r")
	record.ResponseHeader.Set(names.Digest, "digest-u")
	if kind.Pool() == fleet.EnginePool {
		record.ResponseBody = events(1, fleet.StreamEvents, v1)
	}
	return &Observations{Records: []caller.Record{record}, Runs: []Run{runOn(kind, "u")}}
}

// runOn returns a run of the same request on a replica.
func runOn(kind caller.Kind, replicaID string) Run {
	run := Run{Replica: replicaID, Pool: kind.Pool(), Run: replica.Run{
		ID: comfreyworks.RequestID("r"), Method: http.MethodPost, Target: "/" + string(kind) + "/1", Header: http.Header{}, At: start,
	}}
	run.Header.Set(platform.HeaderNames().Workspace, "office")
	return run
}

// expectViolations fails the test unless exactly the given rules are violated.
func expectViolations(t *testing.T, observed *Observations, rules ...Rule) {
	t.Helper()
	got := make(map[Rule]bool)
	for _, violation := range Violations(observed) {
		got[violation.Rule] = true
	}
	want := make(map[Rule]bool)
	for _, rule := range rules {
		want[rule] = true
	}
	assert.DeepEqual(t, got, want)
}

func TestServedRequestHasNoViolation(t *testing.T) {
	for _, kind := range []caller.Kind{caller.NonIdempotent, caller.Idempotent, caller.Stream, caller.ResumableStream} {
		t.Run(string(kind), func(t *testing.T) { expectViolations(t, servedRequest(kind)) })
	}
}

// TestReturn checks that a request may return to the replica that ran it first.
func TestReturn(t *testing.T) {
	observed := servedRequest(caller.Idempotent)
	observed.Runs = append(observed.Runs, runOn(caller.Idempotent, "v"), runOn(caller.Idempotent, "u"))
	expectViolations(t, observed)
}

// TestEndlessAnswerCutOff checks that a caller may see the beginning of an answer without
// end, as long as it does not look complete.
func TestEndlessAnswerCutOff(t *testing.T) {
	observed := servedRequest(caller.Idempotent)
	observed.Records[0].ResponseBody, observed.Records[0].Complete, observed.Runs[0].Endless = []byte("xxx"), false, true
	expectViolations(t, observed)
}

// TestViolations changes the observations of a correctly served request so that
// they violate one rule, and expects exactly that violation.
func TestViolations(t *testing.T) {
	names := platform.HeaderNames()
	cases := map[string]struct {
		kind   caller.Kind
		rule   Rule
		inject func(o *Observations)
	}{
		"ran twice": {caller.NonIdempotent, AtMostOnce, func(o *Observations) { o.Runs = append(o.Runs, runOn(caller.NonIdempotent, "v")) }},
		"ran on three replicas": {caller.Idempotent, AttemptLimit, func(o *Observations) {
			o.Runs = append(o.Runs, runOn(caller.Idempotent, "v"), runOn(caller.Idempotent, "w"))
		}},
		"ran four times": {caller.Idempotent, AttemptLimit, func(o *Observations) {
			o.Runs = append(o.Runs, runOn(caller.Idempotent, "v"), runOn(caller.Idempotent, "u"), runOn(caller.Idempotent, "v"))
		}},
		"rejected but ran":          {caller.NonIdempotent, NotRun, func(o *Observations) { o.Records[0].Status = http.StatusServiceUnavailable }},
		"answer to another request": {caller.Idempotent, CorrectResponse, func(o *Observations) { o.Records[0].ResponseHeader.Set(names.RequestID, "s") }},
		"invalid status":            {caller.Idempotent, CorrectResponse, func(o *Observations) { o.Records[0].Status = 0 }},
		"no digest":                 {caller.Idempotent, CorrectResponse, func(o *Observations) { o.Records[0].ResponseHeader.Del(names.Digest) }},
		"wrong body":                {caller.Idempotent, CorrectResponse, func(o *Observations) { o.Records[0].ResponseBody = []byte("answer to s") }},
		"an answer without end that looks complete": {caller.Idempotent, CorrectResponse, func(o *Observations) {
			o.Records[0].ResponseBody, o.Runs[0].Endless = []byte("xxx"), true
		}},
		"other bytes than those of an answer without end": {caller.Idempotent, CorrectResponse, func(o *Observations) {
			o.Records[0].ResponseBody, o.Records[0].Complete, o.Runs[0].Endless = []byte("xxy"), false, true
		}},
		"bytes of an answer without end that no replica gave": {caller.Idempotent, CorrectResponse, func(o *Observations) {
			o.Records[0].ResponseBody, o.Records[0].Complete = []byte("xxx"), false
		}},
		"half of an answer":        {caller.Idempotent, CorrectResponse, func(o *Observations) { o.Records[0].ResponseBody = []byte("answer") }},
		"missing event":            {caller.ResumableStream, StreamOrder, func(o *Observations) { o.Records[0].ResponseBody = append(events(1, 1, v1), events(3, 3, v1)...) }},
		"truncated stream":         {caller.Stream, StreamOrder, func(o *Observations) { o.Records[0].ResponseBody = events(1, 1, v1) }},
		"request of no caller":     {caller.Idempotent, UnchangedRequest, func(o *Observations) { o.Runs = append(o.Runs, Run{Run: replica.Run{ID: "x"}}) }},
		"another path":             {caller.Idempotent, UnchangedRequest, func(o *Observations) { o.Runs[0].Target = "/other" }},
		"forwarded with its key":   {caller.Idempotent, UnchangedRequest, func(o *Observations) { o.Runs[0].Header.Set(names.APIKey, "key-office") }},
		"wrong workspace":          {caller.Idempotent, UnchangedRequest, func(o *Observations) { o.Runs[0].Header.Set(names.Workspace, "lab") }},
		"cache salt of the caller": {caller.Stream, UnchangedRequest, func(o *Observations) { o.Runs[0].Header.Set(names.CacheSalt, "forged") }},
		"wrong pool":               {caller.Idempotent, Routing, func(o *Observations) { o.Runs[0].Pool = fleet.EnginePool }},
		"valid key rejected":       {caller.Idempotent, Recognized, func(o *Observations) { o.Records[0].Status, o.Runs = http.StatusUnauthorized, nil }},
		"revoked key accepted": {caller.Idempotent, KeyRevocation, func(o *Observations) {
			o.RevokedAt = start.Add(-fleet.KeyRevocationBound - time.Second)
			o.Records[0].Key = "key-guest"
			o.Runs[0].Header.Set(names.Workspace, "guest")
		}},
		"parts of another workspace": {caller.Stream, Isolation, func(o *Observations) {
			o.Gateways, o.Stores = make([][]fleet.Span, 1), make([][]fleet.Span, 1)
			o.Isolated = []fleet.Span{{From: start.Add(-time.Minute)}}
			record, run := o.Records[0], runOn(caller.Stream, "u")
			record.ID, run.ID = "made", "made"
			record.Key, record.SentAt, run.At = "key-guest", start.Add(-time.Hour), start.Add(-time.Hour)
			record.ResponseHeader = record.ResponseHeader.Clone()
			record.ResponseHeader.Set(names.RequestID, record.ID)
			run.Header.Set(names.Workspace, "guest")
			o.Runs[0].Header.Set(names.CacheSalt, "shared/1")
			run.Header.Set(names.CacheSalt, "shared/1")
			o.Records, o.Runs = append(o.Records, record), append(o.Runs, run)
		}},
		"same token of two holders": {caller.Idempotent, LeaseHolder, func(o *Observations) {
			o.Orders = map[string][]standin.Order{"e": {{Holder: "a", Token: 3}, {Holder: "b", Token: 3}}}
		}},
		"cut off by a stop": {caller.Idempotent, GracefulStop, func(o *Observations) {
			o.StopWindows = []StopWindow{{Gateway: 0, From: start, To: start.Add(time.Second)}}
			o.Records[0].Complete = false
			for i := range maxCutAtStop {
				record, run := o.Records[0], runOn(caller.Idempotent, "u")
				record.ID = string(rune('a' + i))
				run.ID = comfreyworks.RequestID(record.ID)
				record.ResponseHeader = record.ResponseHeader.Clone()
				record.ResponseHeader.Set(names.RequestID, record.ID)
				record.ResponseBody = nil
				o.Records, o.Runs = append(o.Records, record), append(o.Runs, run)
			}
		}},
		"retries beyond the budget": {caller.Idempotent, RetryBudget, func(o *Observations) {
			o.Arrivals = map[string][]time.Time{"r": make([]time.Time, fleet.RetrySlack+3)}
			for i := range o.Arrivals["r"] {
				o.Arrivals["r"][i] = start
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			observed := servedRequest(c.kind)
			c.inject(observed)
			expectViolations(t, observed, c.rule)
		})
	}
}
