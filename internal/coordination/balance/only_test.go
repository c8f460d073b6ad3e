package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestOnly guards against requests that can't return to an upstream because it was silent
// before or wants no requests for a moment, and against those that return to one that is leaving or was started again.
func TestOnly(t *testing.T) {
	changes := map[string]func(u *comfreyworks.Upstream){
		"leaves":        func(u *comfreyworks.Upstream) { u.State = comfreyworks.InstanceLeaving },
		"started again": func(u *comfreyworks.Upstream) { u.Started = u.Started.Add(time.Hour) },
	}
	for _, query := range []Query{{Pool: services}, {Pool: engines, Model: model, Tokens: 1000}} {
		for _, gateways := range []int{1, 40} {
			for name, change := range changes {
				t.Run(fmt.Sprint(query.Pool, ", ", gateways, " gateways, ", name), func(t *testing.T) {
					f := newFixture(20)
					f.SetGateways(gateways)
					upstreams := f.catalog.Upstreams(query.Pool)
					last := upstreams[len(upstreams)-1]
					query.Only = []comfreyworks.UpstreamIncarnation{last.Incarnation()}
					f.Pick(query).Done(Result{Outcome: Unreachable})
					f.Advise(&last, comfreyworks.UpstreamAdvice{ClosedFor: time.Second})
					assert.Equal(t, f.Pick(query).Upstream.ID, last.ID)
					change(&last)
					f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{last}, Next: 9}, f.clock.Now())
					assert.Equal(t, len(f.catalog.Upstreams(query.Pool)), 1)
					assert.Assert(t, f.Pick(query) == nil)
				})
			}
		}
	}
}
