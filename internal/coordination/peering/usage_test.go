package peering

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

const (
	workspace = comfreyworks.Workspace("w")
	// usageNewsTime is how long counts take from a leaf to all others.
	usageNewsTime = 800 * time.Millisecond
)

// settleWithLimits starts a fleet with a limit of 1,000 a second and waits until the
// bucket is full.
func settleWithLimits(options networkOptions) *network {
	n := newNetworkWith(options)
	n.limits = &comfreyworks.Routing{Workspaces: []comfreyworks.WorkspaceKeys{{
		Name: workspace, Limit: comfreyworks.UsageLimit{Unit: comfreyworks.UsageTokens, Rate: 1000, Burst: 1000},
	}}}
	n.run(5*time.Second, func() { listEngines(n, 1) })
	return n
}

// admits reports whether a gateway admits a small request.
func (g *gateway) admits() bool { return g.options.Usage.Admit(workspace, 1, 0).Admitted }

func assertAdmits(t *testing.T, gateways []*gateway, want bool) {
	t.Helper()
	for _, g := range gateways {
		assert.Equal(t, g.admits(), want, "%s, a %s", g.options.Self.ID, g.role())
	}
}

// TestUsageReachesAll guards against a workspace that uses its whole limit at several
// gateways, because they do not learn of each other's admissions or count them twice.
func TestUsageReachesAll(t *testing.T) {
	for name, options := range map[string]networkOptions{"large": largeFleet, "small": {gateways: 4, zones: 2, seeds: 2}} {
		for _, role := range []comfreyworks.PeerRole{comfreyworks.PeerLeaf, comfreyworks.PeerRelay} {
			t.Run(fmt.Sprint(name, " from a ", role), func(t *testing.T) {
				n := settleWithLimits(options)
				from := n.relays()[0]
				if role == comfreyworks.PeerLeaf && len(n.relays()) < options.gateways {
					from = leaf(n)
				}
				assert.Assert(t, from.options.Usage.Admit(workspace, 5000, 0).Admitted)
				n.run(usageNewsTime, nil)
				assertAdmits(t, n.sorted(), false)
				// 4,000 are owed, which takes four seconds if they are counted once.
				n.run(5500*time.Millisecond-usageNewsTime, nil)
				assertAdmits(t, n.sorted()[:3], true)
			})
		}
	}
}

// TestUsageWithoutLimits guards against messages that grow in deployments without limits,
// and against counts that are sent again although they have not changed.
func TestUsageWithoutLimits(t *testing.T) {
	t.Run("nothing is sent", func(t *testing.T) {
		n := newNetworkWith(networkOptions{gateways: 12, zones: 2, seeds: 2})
		n.run(3*time.Second, func() { listEngines(n, 1) })
		assert.Equal(t, n.usage, 0)
		for _, reply := range n.replies {
			assert.Equal(t, reply.State.UsageList, comfreyworks.ListVersion{})
		}
	})
	t.Run("unchanged counts are not sent again", func(t *testing.T) {
		n := settleWithLimits(networkOptions{gateways: 12, zones: 2, seeds: 2})
		assert.Assert(t, leaf(n).admits())
		n.run(2*time.Second, nil)
		assert.Assert(t, n.usage > 0)
		n.usage = 0
		n.run(2*time.Second, nil)
		assert.Equal(t, n.usage, 0)
	})
}

// TestUsageAfterRestart guards against a new burst for processes that start again, alone
// or all at once, and against lost or doubled counts when a relay or a leaf restarts.
func TestUsageAfterRestart(t *testing.T) {
	options := networkOptions{gateways: 12, zones: 2, seeds: 2}
	for name, restarts := range map[string]func(n *network, from *gateway) bool{
		"all":       func(*network, *gateway) bool { return true },
		"the user":  func(_ *network, from *gateway) bool { return false },
		"relays":    func(_ *network, from *gateway) bool { return from.relay },
		"all leafs": func(_ *network, from *gateway) bool { return !from.relay },
	} {
		t.Run(name, func(t *testing.T) {
			n := settleWithLimits(options)
			user := leaf(n)
			assert.Assert(t, user.options.Usage.Admit(workspace, 5000, 0).Admitted)
			n.run(usageNewsTime, nil)
			for i := range options.gateways {
				if g := n.gateway(i); restarts(n, g) || g == user {
					n.start(i, options)
				}
			}
			n.run(time.Second, func() { listEngines(n, 1) })
			if name != "all" {
				assertAdmits(t, n.sorted(), false)
				n.run(2*time.Second, nil)
				assertAdmits(t, n.sorted(), false)
				n.run(2*time.Second, nil)
				assertAdmits(t, n.sorted()[:3], true)
				return
			}
			taken := 0
			n.run(3*time.Second, func() {
				for _, g := range n.sorted() {
					for range 4 {
						if g.options.Usage.Admit(workspace, 5, 0).Admitted {
							taken += 5
						}
					}
				}
			})
			// Four seconds at 1,000, and what the overage allows.
			assert.Assert(t, taken <= 4900, "%d taken four seconds after the start", taken)
		})
	}
}
