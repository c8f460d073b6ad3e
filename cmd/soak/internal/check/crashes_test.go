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
	part, whole := &fleet.Harmful{Prompt: "*:1,+:1"}, &fleet.Harmful{Prompt: "*:1"}
	for name, test := range map[string]struct {
		harmful           *fleet.Harmful
		crashes, requests int
		after             time.Duration
		gateways          [][]fleet.Span
		rules             []Rule
	}{
		"more than three requests":     {part, 5, 4, late, make([][]fleet.Span, 2), []Rule{Quarantine}},
		"three requests":               {part, 5, 3, late, make([][]fleet.Span, 2), nil},
		"four crashes":                 {part, 4, 4, late, make([][]fleet.Span, 2), nil},
		"within the delay":             {part, 5, 4, quarantineDelay, make([][]fleet.Span, 2), nil},
		"the gateway was restarted":    {part, 5, 4, late, [][]fleet.Span{nil, disturbedAt(late)}, nil},
		"the other one was restarted":  {part, 5, 4, late, [][]fleet.Span{disturbedAt(late), nil}, []Rule{Quarantine}},
		"a whole request":              {whole, 3, 4, late, make([][]fleet.Span, 2), []Rule{Quarantine}},
		"two crashes":                  {whole, 2, 4, late, make([][]fleet.Span, 2), nil},
		"the other one could not tell": {part, 5, 4, late, [][]fleet.Span{disturbedAt(time.Second), nil}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			observed := servedRequest(caller.Idempotent)
			observed.Gateways, observed.Arrivals = test.gateways, make(map[string][]time.Time)
			add := func(id string, gateway int, at time.Time) {
				observed.Records = append(observed.Records, caller.Record{
					ID: id, Kind: caller.Idempotent, Key: "key-office", Method: http.MethodPost, Target: "/read/1", Gateway: gateway, Harmful: test.harmful,
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

// TestRefused guards against gateways that blame sound requests, with whatever final status.
func TestRefused(t *testing.T) {
	for name, test := range map[string]struct {
		harmful *fleet.Harmful
		status  int
		rules   []Rule
	}{
		"sound":                     {nil, http.StatusBadRequest, []Rule{Quarantine}},
		"sound, another status":     {nil, http.StatusUnprocessableEntity, []Rule{Quarantine}},
		"sound, asked to try again": {nil, http.StatusTooManyRequests, nil},
		"harmful":                   {&fleet.Harmful{}, http.StatusBadRequest, nil},
	} {
		t.Run(name, func(t *testing.T) {
			observed := servedRequest(caller.Stream)
			observed.Records[0].Status, observed.Records[0].Harmful, observed.Runs = test.status, test.harmful, nil
			expectViolations(t, observed, test.rules...)
		})
	}
}
