package check

import (
	"testing"
	"time"

	"comfreyworks"
	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
)

// withLaterRequests adds requests that a gateway sent to replica u one after the
// other, the first one after a time.
func withLaterRequests(n, gateway int, after time.Duration) *Observations {
	observed := servedRequest(caller.Idempotent)
	observed.Replicas = []Replica{{ID: "u", Starts: []time.Time{start.Add(-time.Minute)}}}
	for i := range n {
		id := string(rune('a' + i))
		at := start.Add(after + time.Duration(i)*time.Millisecond)
		observed.Records = append(observed.Records, caller.Record{ID: id, Kind: caller.Idempotent, Gateway: gateway, SentAt: at, EndedAt: at})
		observed.Replicas[0].Arrivals = append(observed.Replicas[0].Arrivals, replica.Arrival{ID: comfreyworks.RequestID(id), At: at})
	}
	return observed
}

func TestClosure(t *testing.T) {
	turnedAway := []replica.TurnedAway{{ID: "r", At: start, Until: start.Add(2 * time.Second)}}
	for name, test := range map[string]struct {
		requests, gateway int
		after             time.Duration
		disturbances      []Disturbance
		rules             []Rule
	}{
		"more than two requests":  {requests: 3, after: time.Second, rules: []Rule{Closure}},
		"two requests":            {requests: 2, after: time.Second},
		"requests on their way":   {requests: 3, after: 400 * time.Millisecond},
		"after the time":          {requests: 3, after: 2 * time.Second},
		"another gateway":         {requests: 3, gateway: 1, after: time.Second},
		"the gateway was stopped": {requests: 3, after: time.Second, disturbances: []Disturbance{{Gateway: 0, Replica: -1, From: start, To: start}}},
		"another one was stopped": {requests: 3, after: time.Second, disturbances: []Disturbance{{Gateway: 1, Replica: -1, From: start, To: start}}, rules: []Rule{Closure}},
		"the link was disturbed":  {requests: 3, after: time.Second, disturbances: []Disturbance{{Gateway: -1, Replica: 0, From: start, To: start}}},
	} {
		t.Run(name, func(t *testing.T) {
			observed := withLaterRequests(test.requests, test.gateway, test.after)
			observed.Replicas[0].TurnedAway, observed.Disturbances = turnedAway, test.disturbances
			expectViolations(t, observed, test.rules...)
		})
	}
}

func TestDeparture(t *testing.T) {
	afterBound := time.Second + fleet.DepartureBound + time.Millisecond
	for name, test := range map[string]struct {
		gateway  int
		after    time.Duration
		restarts []time.Time
		rules    []Rule
	}{
		"a request after the bound":  {after: afterBound, rules: []Rule{Departure}},
		"a request within the bound": {after: fleet.DepartureBound},
		"another gateway":            {gateway: 1, after: afterBound},
		"a later incarnation":        {after: afterBound, restarts: []time.Time{start.Add(2 * time.Second)}},
		"an uncertain incarnation":   {after: afterBound, restarts: []time.Time{start.Add(time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			observed := withLaterRequests(1, test.gateway, test.after)
			observed.Records[0].ResponseHeader.Set(platform.HeaderNames().Leaving, "1")
			observed.Replicas[0].Starts = append(observed.Replicas[0].Starts, test.restarts...)
			expectViolations(t, observed, test.rules...)
		})
	}
}
