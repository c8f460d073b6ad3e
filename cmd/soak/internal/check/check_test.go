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
		record.ResponseBody = []byte(replica.Stream(fleet.StreamEvents))
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

// TestViolations changes the observations of a correctly served request so that
// they violate one rule, and expects exactly that violation.
func TestViolations(t *testing.T) {
	names := platform.HeaderNames()
	cases := map[string]struct {
		kind   caller.Kind
		rule   Rule
		inject func(f *Observations)
	}{
		"ran twice": {caller.NonIdempotent, AtMostOnce, func(f *Observations) { f.Runs = append(f.Runs, runOn(caller.NonIdempotent, "v")) }},
		"ran three times": {caller.Idempotent, AttemptLimit, func(f *Observations) {
			f.Runs = append(f.Runs, runOn(caller.Idempotent, "v"), runOn(caller.Idempotent, "w"))
		}},
		"rejected but ran":          {caller.NonIdempotent, NotRun, func(f *Observations) { f.Records[0].Status = http.StatusServiceUnavailable }},
		"answer to another request": {caller.Idempotent, CorrectResponse, func(f *Observations) { f.Records[0].ResponseHeader.Set(names.RequestID, "s") }},
		"no digest":                 {caller.Idempotent, CorrectResponse, func(f *Observations) { f.Records[0].ResponseHeader.Del(names.Digest) }},
		"wrong body":                {caller.Idempotent, CorrectResponse, func(f *Observations) { f.Records[0].ResponseBody = []byte("answer to s") }},
		"half of an answer":         {caller.Idempotent, CorrectResponse, func(f *Observations) { f.Records[0].ResponseBody = []byte("answer") }},
		"missing event":             {caller.ResumableStream, StreamOrder, func(f *Observations) { f.Records[0].ResponseBody = []byte(replica.Event(1) + replica.Event(3)) }},
		"truncated stream":          {caller.Stream, StreamOrder, func(f *Observations) { f.Records[0].ResponseBody = []byte(replica.Event(1)) }},
		"request of no caller":      {caller.Idempotent, UnchangedRequest, func(f *Observations) { f.Runs = append(f.Runs, Run{Run: replica.Run{ID: "x"}}) }},
		"another path":              {caller.Idempotent, UnchangedRequest, func(f *Observations) { f.Runs[0].Target = "/other" }},
		"forwarded with its key":    {caller.Idempotent, UnchangedRequest, func(f *Observations) { f.Runs[0].Header.Set(names.APIKey, "key-office") }},
		"wrong workspace":           {caller.Idempotent, UnchangedRequest, func(f *Observations) { f.Runs[0].Header.Set(names.Workspace, "lab") }},
		"cache salt of the caller":  {caller.Stream, UnchangedRequest, func(f *Observations) { f.Runs[0].Header.Set(names.CacheSalt, "forged") }},
		"wrong pool":                {caller.Idempotent, Routing, func(f *Observations) { f.Runs[0].Pool = fleet.EnginePool }},
		"valid key rejected":        {caller.Idempotent, Recognized, func(f *Observations) { f.Records[0].Status, f.Runs = http.StatusUnauthorized, nil }},
		"revoked key accepted": {caller.Idempotent, KeyRevocation, func(f *Observations) {
			f.RevokedAt = start.Add(-fleet.KeyRevocationBound - time.Second)
			f.Records[0].Key = "key-guest"
			f.Runs[0].Header.Set(names.Workspace, "guest")
		}},
		"same token of two holders": {caller.Idempotent, LeaseHolder, func(f *Observations) {
			f.Orders = map[string][]standin.Order{"e": {{Holder: "a", Token: 3}, {Holder: "b", Token: 3}}}
		}},
		"cut off by a stop": {caller.Idempotent, GracefulStop, func(f *Observations) {
			f.StopWindows = []StopWindow{{Gateway: 0, From: start, To: start.Add(time.Second)}}
			f.Records[0].Complete = false
			for i := range maxCutAtStop {
				record, run := f.Records[0], runOn(caller.Idempotent, "u")
				record.ID = string(rune('a' + i))
				run.ID = comfreyworks.RequestID(record.ID)
				record.ResponseHeader = record.ResponseHeader.Clone()
				record.ResponseHeader.Set(names.RequestID, record.ID)
				record.ResponseBody = nil
				f.Records, f.Runs = append(f.Records, record), append(f.Runs, run)
			}
		}},
		"retries beyond the budget": {caller.Idempotent, RetryBudget, func(f *Observations) {
			f.Arrivals = map[string][]time.Time{"r": make([]time.Time, fleet.RetrySlack+3)}
			for i := range f.Arrivals["r"] {
				f.Arrivals["r"][i] = start
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
