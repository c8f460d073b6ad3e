package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/replica"
)

// TestClosedReplicas guards against requests to replicas that have turned one away
// and want none for some time. Callers are refused at once with the time that is
// left, and served again after it.
func TestClosedReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		fault replica.Fault
	}{
		"not run":            {path: "/look/x", fault: replica.FaultBusy},
		"not run, book":      {path: "/book/x", fault: replica.FaultBusy},
		"may have run":       {path: "/look/x", fault: replica.FaultUnavailable},
		"may have run, book": {path: "/book/x", fault: replica.FaultUnavailable},
		"stream":             {path: "/review/x", fault: replica.FaultBusy},
		"resumable stream":   {path: "/note/x", fault: replica.FaultBusy},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			replicas := f.services
			if test.path[1] == 'r' || test.path[1] == 'n' {
				replicas = f.engines
			}
			for i, r := range replicas {
				r.InjectFault(test.fault, 1)
				r.SetRetryAfter([]string{"2.5", "4"}[i])
			}
			f.callOften(t, test.path)
			expectOneArrival(t, replicas)
			expectRefusedFor(t, f.call(t, test.path), "2.500")
			f.clock.Advance(1300 * time.Millisecond)
			expectRefusedFor(t, f.call(t, test.path), "1.200")
			expectOneArrival(t, replicas)
			f.clock.Advance(1200 * time.Millisecond)
			assert.Equal(t, f.call(t, test.path).StatusCode, http.StatusOK)
			assert.Equal(t, len(replicas[0].Arrivals()), 2)
			assert.Equal(t, len(replicas[1].Arrivals()), 1)
		})
	}
	t.Run("the first caller is refused with the time that is left", func(t *testing.T) {
		f := newFixture(t)
		for _, r := range f.services {
			r.InjectFault(replica.FaultBusy, 1)
			r.SetRetryAfter("7")
		}
		expectRefusedFor(t, f.call(t, "/look/x"), "7.000")
	})
	t.Run("a later incarnation at the same address is used", func(t *testing.T) {
		f := newFixture(t)
		for _, r := range f.services {
			r.InjectFault(replica.FaultBusy, 1)
			r.SetRetryAfter("20")
		}
		expectRefusedFor(t, f.call(t, "/look/x"), "20.000")
		f.source.change(func(s *memorySource) {
			for i := range s.upstreams {
				s.upstreams[i].Started = f.clock.Now()
			}
		})
		f.refresh(t)
		assert.Equal(t, f.call(t, "/look/x").StatusCode, http.StatusOK)
	})
}

// expectRefusedFor checks that a request was refused with a Retry-After time.
func expectRefusedFor(t *testing.T, r response, seconds string) {
	t.Helper()
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get("Retry-After"), seconds)
}

// TestClosedCacheTarget checks that the cache changes of an engine are not read
// while it wants no requests, whichever call it said so to.
func TestClosedCacheTarget(t *testing.T) {
	f := newFixture(t)
	targets := f.gateway.cacheTargets()
	assert.Equal(t, len(targets), 2)
	f.gateway.adviceFrom(targets[0])(comfreyworks.UpstreamAdvice{ClosedFor: 3 * time.Second})
	for i, want := range []time.Duration{3 * time.Second, 0} {
		t.Run(fmt.Sprint("engine ", i), func(t *testing.T) {
			assert.Equal(t, f.gateway.closedFor(targets[i]), want)
		})
	}
	assert.Equal(t, len(f.gateway.cacheTargets()), 2, "what it has cached is not forgotten")
}
