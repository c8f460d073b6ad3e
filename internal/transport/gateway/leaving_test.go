package gateway

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/watch"
	"comfreyworks/internal/standin/replica"
)

// callOften sends several requests, one after the other.
func (f *fixture) callOften(t *testing.T, path string) {
	t.Helper()
	for range 5 {
		f.call(t, path)
	}
}

// expectOneArrival checks that each replica has received one request.
func expectOneArrival(t *testing.T, replicas []*replica.Replica) {
	t.Helper()
	for _, r := range replicas {
		assert.Equal(t, len(r.Arrivals()), 1, "%+v", r.Arrivals())
	}
}

// TestLeavingReplica guards against requests that are sent to a replica after an
// answer in which it said that it was leaving, while the store is unreachable and
// the list therefore still shows it as live.
func TestLeavingReplica(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		fault replica.Fault
	}{
		"success":                {path: "/look/x"},
		"failure":                {path: "/look/x", fault: replica.FaultError},
		"not run":                {path: "/look/x", fault: replica.FaultBusy},
		"cut off":                {path: "/look/x", fault: replica.FaultTruncatedResponse},
		"without proof":          {path: "/book/x", fault: replica.FaultNoDigest},
		"stream":                 {path: "/review/x"},
		"stream that breaks":     {path: "/note/x", fault: replica.FaultTruncatedResponse},
		"stream that is torn":    {path: "/note/x", fault: replica.FaultTruncatedEvent},
		"stream that is not run": {path: "/review/x", fault: replica.FaultBusy},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.source.change(func(s *memorySource) { s.down = true })
			replicas := f.services
			if test.path[1] == 'r' || test.path[1] == 'n' {
				replicas = f.engines
			}
			for _, r := range replicas {
				r.SetLeaving(true)
			}
			f.failFirst(replicas, test.fault, 1)
			f.callOften(t, test.path)
			expectOneArrival(t, replicas)
			f.source.change(func(s *memorySource) { s.down = false })
			f.refresh(t)
			f.callOften(t, test.path)
			expectOneArrival(t, replicas)
		})
	}
	t.Run("a pool without other replicas refuses at once", func(t *testing.T) {
		f := newFixture(t)
		for _, r := range f.services {
			r.SetLeaving(true)
		}
		f.callOften(t, "/look/x")
		response := f.call(t, "/look/x")
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, len(f.runs(f.services)), 2)
	})
	t.Run("a later incarnation at the same address is used", func(t *testing.T) {
		f := newFixture(t)
		for _, r := range f.services {
			r.SetLeaving(true)
		}
		f.callOften(t, "/look/x")
		expectOneArrival(t, f.services)
		f.services[0].SetLeaving(false)
		f.source.change(func(s *memorySource) {
			for i := range s.upstreams {
				if s.upstreams[i].ID == "orders-0" {
					s.upstreams[i].Started = f.clock.Now()
				}
			}
		})
		f.refresh(t)
		f.callOften(t, "/look/x")
		assert.Equal(t, len(f.services[0].Arrivals()), 6)
	})
}

// TestLeavingInCacheChanges checks that a gateway neither sends prompts to an engine
// that says in its cache changes that it is leaving, nor reads them further.
func TestLeavingInCacheChanges(t *testing.T) {
	f := newFixture(t)
	targets := f.gateway.cacheTargets()
	assert.Equal(t, len(targets), 2)
	receive := f.gateway.adviceFrom(targets[0])
	receive(comfreyworks.UpstreamAdvice{Leaving: true})
	assert.Assert(t, slices.Equal(f.gateway.cacheTargets(), targets[1:]))
	f.callOften(t, "/review/x")
	assert.Equal(t, len(f.engines[0].Arrivals()), 0)
	t.Run("cache stores and engines that are not listed have no advice", func(t *testing.T) {
		assert.Assert(t, f.gateway.adviceFrom(watch.Target{ID: "store/keep"}) == nil)
	})
}
