package peering

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
)

const pool = comfreyworks.Pool("lm")

// network connects the gateways of a test.
type network struct {
	clock       *clockwork.FakeClock
	gateways    map[netip.AddrPort]*gateway
	unreachable map[netip.AddrPort]bool
	// latency is the duration of each direction of a call.
	latency time.Duration
}

type gateway struct {
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	*Peering
	notices int
}

// networkClient calls a gateway over the network.
type networkClient struct {
	network *network
	to      netip.AddrPort
}

var errUnreachable = errors.New("gateway unreachable")

// Sync implements comfreyworks.GatewayClient.
func (c networkClient) Sync(_ context.Context, state comfreyworks.GatewayState) (comfreyworks.GatewayUpdate, error) {
	if c.network.unreachable[c.to] || c.network.gateways[c.to] == nil {
		return comfreyworks.GatewayUpdate{}, errUnreachable
	}
	c.network.clock.Advance(c.network.latency)
	update := c.network.gateways[c.to].HandleSync(state)
	c.network.clock.Advance(c.network.latency)
	return update, nil
}

// Notify implements comfreyworks.GatewayClient.
func (c networkClient) Notify(context.Context, comfreyworks.WeightsLoadNotice) error {
	if c.network.unreachable[c.to] {
		return errUnreachable
	}
	c.network.gateways[c.to].notices++
	return nil
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
}

// newNetwork returns a network of gateways whose only seed is the first one.
func newNetwork(n int) *network {
	net := &network{clock: clockwork.NewFakeClock(), gateways: make(map[netip.AddrPort]*gateway), unreachable: make(map[netip.AddrPort]bool)}
	for i := range n {
		g := &gateway{catalog: catalog.New(net.clock)}
		g.balancer = balance.New(balance.Options{Catalog: g.catalog, Holdings: holdings.New(), Clock: net.clock})
		g.Peering = New(Options{
			Self:      comfreyworks.GatewayPeer{ID: comfreyworks.InstanceID(fmt.Sprint("g", i)), Address: address(i)},
			Seeds:     []netip.AddrPort{address(0)},
			NewClient: func(to netip.AddrPort) comfreyworks.GatewayClient { return networkClient{net, to} },
			Catalog:   g.catalog, Balancer: g.balancer, Clock: net.clock, Logger: zap.NewNop(),
		})
		net.gateways[address(i)] = g
	}
	return net
}

func (n *network) gateway(i int) *gateway { return n.gateways[address(i)] }

// sync makes one gateway call another.
func (n *network) sync(from, to int) error {
	return n.gateway(from).sync(context.Background(), networkClient{n, address(to)}, address(to))
}

// readSource makes a gateway read a declaration from the source now.
func (n *network) readSource(i int, position comfreyworks.Position, version comfreyworks.ConfigRevision) {
	n.gateway(i).catalog.ApplyDeclaration(comfreyworks.Declaration{
		Routing: &comfreyworks.Routing{Version: version}, Next: position,
	}, n.clock.Now())
}

func (n *network) assertRouting(t *testing.T, i int, version comfreyworks.ConfigRevision, age time.Duration) {
	t.Helper()
	table, at := n.gateway(i).catalog.Routing()
	assert.Assert(t, table != nil)
	assert.Equal(t, table.Version(), version)
	assert.Equal(t, n.clock.Since(at), age)
}

func TestSync(t *testing.T) {
	t.Run("a gateway that is behind gets everything", func(t *testing.T) {
		n := newNetwork(2)
		n.readSource(0, 5, 7)
		n.gateway(0).catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{
			Whole: true, Present: []comfreyworks.Upstream{{ID: "u", Pool: pool}}, Next: 9,
		}, n.clock.Now())
		assert.NilError(t, n.sync(1, 0))
		n.assertRouting(t, 1, 7, 0)
		assert.Equal(t, len(n.gateway(1).catalog.Upstreams(pool)), 1)
	})
	t.Run("the age includes the latency and the reported age", func(t *testing.T) {
		n := newNetwork(2)
		n.readSource(0, 5, 7)
		n.clock.Advance(2 * time.Second)
		n.latency = 300 * time.Millisecond
		assert.NilError(t, n.sync(1, 0))
		// When the peer answers, it read the source 2.3 s ago. The latency of both
		// directions is added because the caller knows only their sum.
		n.assertRouting(t, 1, 7, 2900*time.Millisecond)
	})
	t.Run("a peer without changes lowers the age", func(t *testing.T) {
		n := newNetwork(2)
		n.readSource(0, 5, 7)
		n.readSource(1, 5, 7)
		n.clock.Advance(4 * time.Second)
		n.readSource(0, 5, 7)
		assert.NilError(t, n.sync(1, 0))
		n.assertRouting(t, 1, 7, 0)
	})
	t.Run("a peer that is behind does not lower the age", func(t *testing.T) {
		n := newNetwork(2)
		n.readSource(1, 6, 8)
		n.clock.Advance(time.Second)
		n.readSource(0, 5, 7)
		assert.NilError(t, n.sync(1, 0))
		n.assertRouting(t, 1, 8, time.Second)
	})
	t.Run("the called gateway learns nothing from the call", func(t *testing.T) {
		n := newNetwork(2)
		n.readSource(0, 5, 7)
		assert.NilError(t, n.sync(0, 1))
		table, _ := n.gateway(1).catalog.Routing()
		assert.Assert(t, table == nil)
	})
	t.Run("a peer that has read nothing does not lower the age", func(t *testing.T) {
		n := newNetwork(2)
		assert.NilError(t, n.sync(1, 0))
		assert.Assert(t, n.gateway(1).catalog.UpstreamsConfirmedAt().IsZero())
	})
}

// TestSourceUnreachable checks that a gateway that cannot read the source gets
// every declaration from its peers, with an age that counts from their last read.
func TestSourceUnreachable(t *testing.T) {
	n := newNetwork(3)
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
		assert.NilError(t, n.sync(1, 0))
		assert.NilError(t, n.sync(2, 0))
		assert.DeepEqual(t, n.gateway(2).Live(), []comfreyworks.InstanceID{"g0", "g1", "g2"})
	})
	t.Run("an expired peer is neither live nor reported to others", func(t *testing.T) {
		n := newNetwork(3)
		assert.NilError(t, n.sync(1, 0))
		n.unreachable[address(1)] = true
		n.clock.Advance(peerExpiry + time.Second)
		assert.NilError(t, n.sync(2, 0))
		assert.DeepEqual(t, n.gateway(2).Live(), []comfreyworks.InstanceID{"g0", "g2"})
	})
	t.Run("the highest number of gateways is remembered", func(t *testing.T) {
		n := newNetwork(3)
		assert.NilError(t, n.sync(1, 0))
		assert.NilError(t, n.sync(2, 0))
		assert.Equal(t, n.gateway(2).MaxGateways(), 3)
		n.clock.Advance(time.Hour)
		assert.Equal(t, n.gateway(2).MaxGateways(), 3)
	})
	t.Run("a registered gateway is called but is not live until it answers", func(t *testing.T) {
		n := newNetwork(1)
		g := n.gateway(0)
		g.options.Registry = registry{{ID: "old", Address: address(7)}}
		g.readRegistry(context.Background())
		assert.Equal(t, len(g.peers), 1)
		assert.Equal(t, len(g.Live()), 1)
	})
}

// registry is a fixed list.
type registry []comfreyworks.GatewayPeer

// Register implements comfreyworks.GatewayRegistry.
func (registry) Register(context.Context, comfreyworks.GatewayPeer) error { return nil }

// Registered implements comfreyworks.GatewayRegistry.
func (r registry) Registered(context.Context) ([]comfreyworks.GatewayPeer, error) { return r, nil }

func TestLoads(t *testing.T) {
	n := newNetwork(2)
	for i := range 2 {
		n.gateway(i).catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{
			Whole: true, Present: []comfreyworks.Upstream{{ID: "u", Pool: pool, State: comfreyworks.InstanceLive}}, Next: 1,
		}, n.clock.Now())
	}
	assert.Assert(t, n.gateway(0).balancer.Pick(balance.Query{Pool: pool}) != nil)
	assert.NilError(t, n.sync(1, 0))
	assert.Equal(t, n.gateway(1).balancer.Requests("u"), 1)
	n.clock.Advance(loadExpiry)
	assert.Equal(t, n.gateway(1).balancer.Requests("u"), 0)
}

func TestAnnounce(t *testing.T) {
	n := newNetwork(3)
	assert.NilError(t, n.sync(0, 1))
	assert.NilError(t, n.sync(0, 2))
	n.unreachable[address(2)] = true
	n.gateway(0).Announce(context.Background(), comfreyworks.WeightsLoadNotice{Engine: "u"})
	assert.Equal(t, n.gateway(1).notices, 1)
}
