package check

import (
	"io"
	"testing"
	"time"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
)

// TestAnswered guards against gateways that end requests on their own, and against checks
// that blame them for what replicas do.
func TestAnswered(t *testing.T) {
	fault := []fleet.Span{{From: start, To: start}}
	for name, test := range map[string]struct {
		status, gateway int
		took            time.Duration
		replica, other  []fleet.Span
		rules           []Rule
	}{
		"no answer":                           {rules: []Rule{Answered}},
		"no answer, a replica was disturbed":  {replica: fault, rules: []Rule{Answered}},
		"no answer, the gateway was affected": {gateway: 1},
		"cut off":                             {status: 200, rules: []Rule{Answered}},
		"cut off by a disturbed replica":      {status: 200, replica: fault},
		"cut off, another one was disturbed":  {status: 200, other: fault, rules: []Rule{Answered}},
		"cut off after the deadline":          {status: 200, took: caller.RequestDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			observed := servedRequest(caller.Idempotent)
			observed.Gateways = [][]fleet.Span{nil, fault}
			observed.Replicas = []Replica{{ID: "u", Disturbed: test.replica}, {ID: "v", Disturbed: test.other}}
			record := &observed.Records[0]
			record.Status, record.Gateway, record.EndedAt = test.status, test.gateway, start.Add(test.took)
			record.Complete, record.Err, record.ResponseBody = false, io.ErrUnexpectedEOF, nil
			expectViolations(t, observed, test.rules...)
		})
	}
}
