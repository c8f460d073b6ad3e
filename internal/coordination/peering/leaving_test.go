package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// assertLeaving checks that all gateways know that an engine is leaving.
func (n *network) assertLeaving(t *testing.T, id comfreyworks.InstanceID) {
	t.Helper()
	for _, g := range n.sorted() {
		upstream, ok := g.catalog.Upstream(id)
		assert.Assert(t, ok)
		assert.Assert(t, g.balancer.IsLeaving(&upstream), "%s", g.options.Self.ID)
	}
}

// TestLeavingReachesAll guards against gateways that go on sending requests to an
// engine that has told another gateway that it is leaving. The source of the list is
// not read again: all gateways still have the engine as live.
func TestLeavingReachesAll(t *testing.T) {
	options := networkOptions{gateways: 18, zones: 3, seeds: 3}
	n := newNetworkWith(options)
	n.gateway(0).list(2, 1, 1)
	n.run(3*time.Second, nil)
	reporter := n.gateway(17)
	assert.Assert(t, !reporter.relay)
	upstream, ok := reporter.catalog.Upstream("e0")
	assert.Assert(t, ok)
	reporter.balancer.Advise(&upstream, comfreyworks.UpstreamAdvice{Leaving: true})
	n.run(time.Second, nil)
	t.Run("one report reaches all gateways", func(t *testing.T) { n.assertLeaving(t, "e0") })
	t.Run("a gateway that starts later learns it after the reporter is gone", func(t *testing.T) {
		n.unreachable[reporter.address] = true
		n.run(memberExpiry+time.Second, nil)
		n.start(16, options)
		n.run(3*time.Second, nil)
		n.assertLeaving(t, "e0")
	})
	t.Run("a later incarnation is not bound", func(t *testing.T) {
		later := upstream
		later.Started = n.clock.Now()
		n.gateway(0).catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{later}, Next: 2}, n.clock.Now())
		n.run(3*time.Second, nil)
		for _, g := range n.sorted() {
			listed, _ := g.catalog.Upstream("e0")
			assert.Assert(t, listed.Started.Equal(later.Started))
			assert.Assert(t, !g.balancer.IsLeaving(&listed), "%s", g.options.Self.ID)
			assert.Equal(t, len(g.balancer.Leaving()), 0)
		}
	})
}
