package check

import (
	"testing"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
)

// TestDrain guards against gateways that never learn that a replica left, and against
// checks that blame them for what they cannot know.
func TestDrain(t *testing.T) {
	second := time.Second
	span := func(from, to time.Duration) []fleet.Span {
		return []fleet.Span{{From: start.Add(from), To: start.Add(to)}}
	}
	late := fleet.DrainBound + time.Millisecond
	for name, test := range map[string]struct {
		after          time.Duration
		gateway, store []fleet.Span
		rules          []Rule
	}{
		"after the bound":               {after: late, rules: []Rule{Drain}},
		"within the bound":              {after: fleet.DrainBound},
		"the gateway started":           {after: late, gateway: span(-second, second)},
		"long after the start":          {after: late + second, gateway: span(-second, second), rules: []Rule{Drain}},
		"the gateway is paused":         {after: late, gateway: []fleet.Span{{From: start}}},
		"the store was out of reach":    {after: late + second, store: span(-second, second)},
		"an outage before":              {after: late, store: span(-2*second, -second)},
		"long after the outage":         {after: late + second + fleet.DrainBound, store: span(-second, second), rules: []Rule{Drain}},
		"an outage before it, long ago": {after: late, store: span(-9*second, -8*second), rules: []Rule{Drain}},
	} {
		t.Run(name, func(t *testing.T) {
			observed := withLaterRequests(1, 0, test.after)
			observed.Replicas[0].Left = start
			observed.Gateways, observed.Stores = [][]fleet.Span{test.gateway}, [][]fleet.Span{test.store}
			expectViolations(t, observed, test.rules...)
		})
	}
}
