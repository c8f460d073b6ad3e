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

// served is a request of a kind that was served as it should.
func served(kind caller.Kind) *Facts {
	names := platform.HeaderNames()
	record := caller.Record{
		ID: "r", Kind: kind, Key: "key-office", Method: http.MethodPost, Target: "/" + string(kind) + "/1",
		SentAt: start, EndedAt: start.Add(time.Second), Status: http.StatusOK, Complete: true,
		Header: http.Header{}, Answer: []byte("answer to r"),
	}
	record.Header.Set(names.RequestID, "r")
	record.Header.Set(names.Digest, "digest-u")
	if kind.Pool() == fleet.EnginePool {
		record.Answer = []byte(replica.Stream(fleet.Events))
	}
	return &Facts{Records: []caller.Record{record}, Runs: []Run{ran(kind, "u")}}
}

func ran(kind caller.Kind, by string) Run {
	run := Run{Replica: by, Pool: kind.Pool(), Run: replica.Run{
		ID: comfreyworks.RequestID("r"), Method: http.MethodPost, Target: "/" + string(kind) + "/1", Header: http.Header{}, At: start,
	}}
	run.Header.Set(platform.HeaderNames().Workspace, "office")
	return run
}

func expect(t *testing.T, facts *Facts, rules ...Rule) {
	t.Helper()
	got := make(map[Rule]bool)
	for _, violation := range All(facts) {
		got[violation.Rule] = true
	}
	want := make(map[Rule]bool)
	for _, rule := range rules {
		want[rule] = true
	}
	assert.DeepEqual(t, got, want)
}

func TestServed(t *testing.T) {
	for _, kind := range []caller.Kind{caller.Book, caller.Read, caller.Note, caller.Brief} {
		t.Run(string(kind), func(t *testing.T) { expect(t, served(kind)) })
	}
}

// TestBroken breaks one promise at a time.
func TestBroken(t *testing.T) {
	names := platform.HeaderNames()
	cases := map[string]struct {
		kind  caller.Kind
		rule  Rule
		spoil func(f *Facts)
	}{
		"ran twice": {caller.Book, Once, func(f *Facts) { f.Runs = append(f.Runs, ran(caller.Book, "v")) }},
		"ran thrice": {caller.Read, Attempts, func(f *Facts) {
			f.Runs = append(f.Runs, ran(caller.Read, "v"), ran(caller.Read, "w"))
		}},
		"refused and ran":   {caller.Book, NotRun, func(f *Facts) { f.Records[0].Status = http.StatusServiceUnavailable }},
		"another's answer":  {caller.Read, Genuine, func(f *Facts) { f.Records[0].Header.Set(names.RequestID, "s") }},
		"no proof":          {caller.Read, Genuine, func(f *Facts) { f.Records[0].Header.Del(names.Digest) }},
		"another body":      {caller.Read, Genuine, func(f *Facts) { f.Records[0].Answer = []byte("answer to s") }},
		"half an answer":    {caller.Read, Genuine, func(f *Facts) { f.Records[0].Answer = []byte("answer") }},
		"a gap":             {caller.Brief, Order, func(f *Facts) { f.Records[0].Answer = []byte(replica.Event(1) + replica.Event(3)) }},
		"an early end":      {caller.Note, Order, func(f *Facts) { f.Records[0].Answer = []byte(replica.Event(1)) }},
		"not sent":          {caller.Read, Unchanged, func(f *Facts) { f.Runs = append(f.Runs, Run{Run: replica.Run{ID: "x"}}) }},
		"another path":      {caller.Read, Unchanged, func(f *Facts) { f.Runs[0].Target = "/other" }},
		"with its key":      {caller.Read, Unchanged, func(f *Facts) { f.Runs[0].Header.Set(names.APIKey, "key-office") }},
		"another workspace": {caller.Read, Unchanged, func(f *Facts) { f.Runs[0].Header.Set(names.Workspace, "lab") }},
		"forged salt":       {caller.Note, Unchanged, func(f *Facts) { f.Runs[0].Header.Set(names.CacheSalt, "forged") }},
		"another pool":      {caller.Read, Route, func(f *Facts) { f.Runs[0].Pool = fleet.EnginePool }},
		"called unknown":    {caller.Read, Known, func(f *Facts) { f.Records[0].Status, f.Runs = http.StatusUnauthorized, nil }},
		"a key for ever": {caller.Read, Revoked, func(f *Facts) {
			f.RevokedAt = start.Add(-fleet.RevokeBound - time.Second)
			f.Records[0].Key = "key-guest"
			f.Runs[0].Header.Set(names.Workspace, "guest")
		}},
		"two holders, one token": {caller.Read, Holder, func(f *Facts) {
			f.Orders = map[string][]standin.Order{"e": {{Holder: "a", Token: 3}, {Holder: "b", Token: 3}}}
		}},
		"cut by a stop": {caller.Read, Stop, func(f *Facts) {
			f.Stops = []Span{{Gateway: 0, From: start, To: start.Add(time.Second)}}
			f.Records[0].Complete = false
			for i := range stopSlack {
				record, run := f.Records[0], ran(caller.Read, "u")
				record.ID = string(rune('a' + i))
				run.ID = comfreyworks.RequestID(record.ID)
				record.Header = record.Header.Clone()
				record.Header.Set(names.RequestID, record.ID)
				record.Answer = nil
				f.Records, f.Runs = append(f.Records, record), append(f.Runs, run)
			}
		}},
		"repeats beyond the budget": {caller.Read, Budget, func(f *Facts) {
			f.Arrivals = map[string][]time.Time{"r": make([]time.Time, fleet.RetrySlack+3)}
			for i := range f.Arrivals["r"] {
				f.Arrivals["r"][i] = start
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			facts := served(c.kind)
			c.spoil(facts)
			expect(t, facts, c.rule)
		})
	}
}
