package peering

import (
	"context"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

func TestSync(t *testing.T) {
	t.Run("a gateway that is behind gets everything", func(t *testing.T) {
		n := newFullNetwork(2)
		n.readSource(0, 5, 7)
		n.gateway(0).catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{
			Whole: true, Present: []comfreyworks.Upstream{{ID: "u", Pool: pool}}, Next: 9,
		}, n.clock.Now())
		assert.NilError(t, n.sync(1, 0))
		n.assertRouting(t, 1, 7, 0)
		assert.Equal(t, len(n.gateway(1).catalog.Upstreams(pool)), 1)
	})
	t.Run("the age includes the latency and the reported age", func(t *testing.T) {
		n := newFullNetwork(2)
		n.readSource(0, 5, 7)
		n.clock.Advance(2 * time.Second)
		n.latency = 300 * time.Millisecond
		assert.NilError(t, n.sync(1, 0))
		// When the peer answers, it read the source 2.3 s ago. The latency of both
		// directions is added because the caller knows only their sum.
		n.assertRouting(t, 1, 7, 2900*time.Millisecond)
	})
	t.Run("a peer without changes lowers the age", func(t *testing.T) {
		n := newFullNetwork(2)
		n.readSource(0, 5, 7)
		n.readSource(1, 5, 7)
		n.clock.Advance(4 * time.Second)
		n.readSource(0, 5, 7)
		assert.NilError(t, n.sync(1, 0))
		n.assertRouting(t, 1, 7, 0)
	})
	t.Run("what a peer's read waited for in vain is known not to have been declared", func(t *testing.T) {
		n := newFullNetwork(2)
		n.readSource(0, 5, 7)
		readAt := n.clock.Now()
		n.clock.Advance(2 * time.Second)
		n.gateway(0).catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 5, WaitedInVain: 1200 * time.Millisecond}, readAt)
		n.latency = 100 * time.Millisecond
		assert.NilError(t, n.sync(1, 0))
		declared, _ := n.gateway(1).catalog.SourceStates()
		assert.Equal(t, declared.ConfirmedAt.Sub(readAt), -n.latency)
		assert.Equal(t, declared.CompleteAt.Sub(readAt), 1200*time.Millisecond-n.latency)
	})
	t.Run("a peer that is behind does not lower the age", func(t *testing.T) {
		n := newFullNetwork(2)
		n.readSource(1, 6, 8)
		n.clock.Advance(time.Second)
		n.readSource(0, 5, 7)
		assert.NilError(t, n.sync(1, 0))
		n.assertRouting(t, 1, 8, time.Second)
	})
	t.Run("the called gateway learns nothing from the call", func(t *testing.T) {
		n := newFullNetwork(2)
		n.readSource(0, 5, 7)
		assert.NilError(t, n.sync(0, 1))
		table, _ := n.gateway(1).catalog.Routing()
		assert.Assert(t, table == nil)
	})
	t.Run("a peer that has read nothing does not lower the age", func(t *testing.T) {
		n := newFullNetwork(2)
		assert.NilError(t, n.sync(1, 0))
		assert.Assert(t, n.gateway(1).catalog.UpstreamsConfirmedAt().IsZero())
	})
}

// TestSourceUnreachable checks that a gateway that cannot read the source gets
// every declaration from its peers, with an age that counts from their last read.
func TestSourceUnreachable(t *testing.T) {
	n := newFullNetwork(3)
	for second := range 30 {
		n.readSource(0, comfreyworks.Position(second+1), comfreyworks.ConfigRevision(second+1))
		n.clock.Advance(500 * time.Millisecond)
		assert.NilError(t, n.sync(2, 0))
		n.assertRouting(t, 2, comfreyworks.ConfigRevision(second+1), 500*time.Millisecond)
		n.clock.Advance(500 * time.Millisecond)
	}
}

func TestDiscovery(t *testing.T) {
	t.Run("through a seed", func(t *testing.T) {
		n := newNetwork(3)
		n.run(time.Second, nil)
		for _, g := range n.sorted() {
			assert.Equal(t, g.Gateways(), 3)
		}
	})
	t.Run("an expired peer is neither counted nor reported to others", func(t *testing.T) {
		n := newNetwork(3)
		assert.NilError(t, n.sync(1, 0))
		n.unreachable[address(1)] = true
		n.clock.Advance(memberExpiry + time.Second)
		n.gateway(0).updatePartners()
		assert.NilError(t, n.sync(2, 0))
		assert.Equal(t, n.gateway(2).Gateways(), 2)
	})
	t.Run("a leaf learns from its relay that another leaf is gone", func(t *testing.T) {
		n := newNetwork(6)
		n.run(time.Second, nil)
		lost := leaf(n)
		n.unreachable[lost.address] = true
		n.run(2*memberExpiry, nil)
		for _, g := range n.sorted() {
			assert.Equal(t, g.Gateways(), 5, "%s", g.options.Self.ID)
		}
		delete(n.unreachable, lost.address)
		n.run(3*time.Second, nil)
		for _, g := range n.sorted() {
			assert.Equal(t, g.Gateways(), 6, "%s", g.options.Self.ID)
		}
	})
	// A gateway for which all others had expired went on as a relay that knew only its
	// seeds: they did not name gateways again that they had named before.
	t.Run("a gateway that was cut off knows all others and its role again", func(t *testing.T) {
		n := newNetworkWith(originsFleet)
		n.run(4*time.Second, nil)
		g := n.gateway(originsFleet.gateways - 1)
		assert.Assert(t, !g.relay)
		n.unreachable[g.address] = true
		n.run(2*memberExpiry, func() { n.callPartners(g) })
		delete(n.unreachable, g.address)
		n.run(2*time.Second, nil)
		assert.Equal(t, g.Gateways(), originsFleet.gateways)
		assert.Assert(t, !g.relay)
	})
	t.Run("the highest number of gateways is remembered", func(t *testing.T) {
		n := newNetwork(3)
		n.run(time.Second, nil)
		assert.Equal(t, n.gateway(2).MaxGateways(), 3)
		n.clock.Advance(time.Hour)
		n.gateway(2).updatePartners()
		assert.Equal(t, n.gateway(2).MaxGateways(), 3)
	})
	t.Run("a registered gateway is called but is not live until it answers", func(t *testing.T) {
		n := newNetwork(1)
		g := n.gateway(0)
		g.options.Registry = registry{{ID: "old", Address: address(7)}}
		g.readRegistry(context.Background())
		assert.Assert(t, g.updatePartners()[address(7)])
		assert.Equal(t, len(g.Live()), 1)
		n.clock.Advance(contactTimeout)
		assert.Assert(t, !g.updatePartners()[address(7)])
	})
	t.Run("few registered gateways are called at a time", func(t *testing.T) {
		n := newNetwork(1)
		g := n.gateway(0)
		var list registry
		for i := range 100 {
			list = append(list, comfreyworks.GatewayPeer{ID: comfreyworks.InstanceID(address(i + 1).String()), Address: address(i + 1)})
		}
		g.options.Registry = list
		g.readRegistry(context.Background())
		called := maps.Clone(g.updatePartners())
		assert.Equal(t, len(called), maxContacts)
		// Gateways that no longer exist must not keep those from being called that do.
		for range len(list)/maxContacts - 1 {
			n.clock.Advance(isolatedRegistryInterval)
			g.updatePartners()
			g.readRegistry(context.Background())
			maps.Copy(called, g.updatePartners())
		}
		assert.Equal(t, len(called), len(list))
	})
}

// leaf returns a gateway that is no relay.
func leaf(n *network) *gateway {
	for _, g := range n.sorted() {
		if !g.relay {
			return g
		}
	}
	return nil
}

func TestLoads(t *testing.T) {
	t.Run("expire", func(t *testing.T) {
		n := newNetwork(2)
		for i := range 2 {
			n.gateway(i).list(1, 1, 0)
		}
		n.run(time.Second, nil)
		assert.Assert(t, n.gateway(0).balancer.Pick(balance.Query{Pool: pool}) != nil)
		assert.NilError(t, n.sync(1, 0))
		assert.Equal(t, n.gateway(1).balancer.Requests("e0"), 1)
		n.clock.Advance(loadExpiry)
		assert.Equal(t, n.gateway(1).balancer.Requests("e0"), 0)
	})
	t.Run("of all gateways reach every gateway once", func(t *testing.T) {
		n := newNetworkWith(networkOptions{gateways: 30, zones: 3, seeds: 1})
		for _, g := range n.sorted() {
			g.list(1, 1, 0)
		}
		n.run(3*time.Second, nil)
		for _, g := range n.sorted() {
			assert.Assert(t, g.balancer.Pick(balance.Query{Pool: pool}) != nil)
		}
		n.run(time.Second, nil)
		for _, g := range n.sorted() {
			assert.Equal(t, g.balancer.Requests("e0"), 30, "%s", g.options.Self.ID)
		}
	})
}
