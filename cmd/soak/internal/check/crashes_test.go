package check

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"comfreyworks"
	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
)

// TestQuarantine guards against gateways that keep sending prompts that crash engines,
// and against checks that blame them for what they cannot know.
func TestQuarantine(t *testing.T) {
	disturbedAt := func(after time.Duration) []fleet.Span {
		return []fleet.Span{{From: start.Add(after), To: start.Add(after)}}
	}
	late := quarantineDelay + time.Second
	for name, test := range map[string]struct {
		crashes, requests int
		after             time.Duration
		gateways          [][]fleet.Span
		rules             []Rule
	}{
		"more than three requests":     {5, 4, late, make([][]fleet.Span, 2), []Rule{Quarantine}},
		"three requests":               {5, 3, late, make([][]fleet.Span, 2), nil},
		"four crashes":                 {4, 4, late, make([][]fleet.Span, 2), nil},
		"within the delay":             {5, 4, quarantineDelay, make([][]fleet.Span, 2), nil},
		"the gateway was restarted":    {5, 4, late, [][]fleet.Span{nil, disturbedAt(late)}, nil},
		"the other one was restarted":  {5, 4, late, [][]fleet.Span{disturbedAt(late), nil}, []Rule{Quarantine}},
		"the other one could not tell": {5, 4, late, [][]fleet.Span{disturbedAt(time.Second), nil}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			observed := servedRequest(caller.Idempotent)
			observed.Gateways, observed.Arrivals = test.gateways, make(map[string][]time.Time)
			add := func(id string, gateway int, at time.Time) {
				observed.Records = append(observed.Records, caller.Record{
					ID: id, Kind: caller.Idempotent, Key: "key-office", Method: http.MethodPost, Target: "/read/1", Gateway: gateway, CrashPart: "p",
				})
				observed.Arrivals[id] = []time.Time{at}
			}
			for i := range test.crashes {
				id := fmt.Sprint("crash-", i)
				add(id, 0, start)
				run := runOn(caller.Idempotent, id)
				run.ID, run.Crashed = comfreyworks.RequestID(id), true
				observed.Runs = append(observed.Runs, run)
			}
			for i := range test.requests {
				add(fmt.Sprint("late-", i), 1, start.Add(test.after))
			}
			expectViolations(t, observed, test.rules...)
		})
	}
}

// TestSoundRequestRefused guards against gateways that blame sound parts of prompts.
func TestSoundRequestRefused(t *testing.T) {
	for part, rules := range map[string][]Rule{"": {Quarantine}, "p": nil} {
		t.Run(part, func(t *testing.T) {
			observed := servedRequest(caller.Stream)
			observed.Records[0].Status, observed.Records[0].CrashPart, observed.Runs = http.StatusBadRequest, part, nil
			expectViolations(t, observed, rules...)
		})
	}
}
