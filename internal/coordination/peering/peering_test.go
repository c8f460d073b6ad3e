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
	clock    *clockwork.FakeClock
	gateways map[netip.AddrPort]*gateway
	cut      map[netip.AddrPort]bool
	// transit is how long each way takes.
	transit time.Duration
}

type gateway struct {
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	*Peering
	notices int
}

// link reaches a gateway over the network.
type link struct {
	network *network
	to      netip.AddrPort
}

var errCut = errors.New("cut")

// Sync implements comfreyworks.GatewayClient.
func (l link) Sync(_ context.Context, state comfreyworks.GatewayState) (comfreyworks.GatewayUpdate, error) {
	if l.network.cut[l.to] || l.network.gateways[l.to] == nil {
		return comfreyworks.GatewayUpdate{}, errCut
	}
	l.network.clock.Advance(l.network.transit)
	news := l.network.gateways[l.to].Answer(state)
	l.network.clock.Advance(l.network.transit)
	return news, nil
}

// Notify implements comfreyworks.GatewayClient.
func (l link) Notify(context.Context, comfreyworks.WeightsLoadNotice) error {
	if l.network.cut[l.to] {
		return errCut
	}
	l.network.gateways[l.to].notices++
	return nil
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
}

// newNetwork has gateways that know the first one as a seed.
func newNetwork(n int) *network {
	net := &network{clock: clockwork.NewFakeClock(), gateways: make(map[netip.AddrPort]*gateway), cut: make(map[netip.AddrPort]bool)}
	for i := range n {
		g := &gateway{catalog: catalog.New(net.clock)}
		g.balancer = balance.New(balance.Options{Catalog: g.catalog, Holdings: holdings.New(), Clock: net.clock})
		g.Peering = New(Options{
			Self:    comfreyworks.GatewayPeer{ID: comfreyworks.InstanceID(fmt.Sprint("g", i)), Address: address(i)},
			Seeds:   []netip.AddrPort{address(0)},
			Link:    func(to netip.AddrPort) comfreyworks.GatewayClient { return link{net, to} },
			Catalog: g.catalog, Balancer: g.balancer, Clock: net.clock, Logger: zap.NewNop(),
		})
		net.gateways[address(i)] = g
	}
	return net
}

func (n *network) gateway(i int) *gateway { return n.gateways[address(i)] }

// sync lets one gateway ask another.
func (n *network) sync(from, to int) error {
	return n.gateway(from).sync(context.Background(), link{n, address(to)}, address(to))
}

// declare lets a gateway learn from the source, right now.
func (n *network) declare(i int, position comfreyworks.Position, version comfreyworks.ConfigRevision) {
	n.gateway(i).catalog.ApplyDeclaration(comfreyworks.Declaration{
		Routing: &comfreyworks.Routing{Version: version}, Next: position,
	}, n.clock.Now())
}

func (n *network) expectRouting(t *testing.T, i int, version comfreyworks.ConfigRevision, age time.Duration) {
	t.Helper()
	table, at := n.gateway(i).catalog.Routing()
	assert.Assert(t, table != nil)
	assert.Equal(t, table.Version(), version)
	assert.Equal(t, n.clock.Since(at), age)
}

func TestNews(t *testing.T) {
	t.Run("a peer that is behind gets everything", func(t *testing.T) {
		n := newNetwork(2)
		n.declare(0, 5, 7)
		n.gateway(0).catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{
			Whole: true, Present: []comfreyworks.Upstream{{ID: "u", Pool: pool}}, Next: 9,
		}, n.clock.Now())
		assert.NilError(t, n.sync(1, 0))
		n.expectRouting(t, 1, 7, 0)
		assert.Equal(t, len(n.gateway(1).catalog.Upstreams(pool)), 1)
	})
	t.Run("the age covers the way and what the answer says", func(t *testing.T) {
		n := newNetwork(2)
		n.declare(0, 5, 7)
		n.clock.Advance(2 * time.Second)
		n.transit = 300 * time.Millisecond
		assert.NilError(t, n.sync(1, 0))
		// The peer's answer is 2.3 s old when it leaves; both ways count, as it
		// is not known which part of the time each took.
		n.expectRouting(t, 1, 7, 2900*time.Millisecond)
	})
	t.Run("proof without news", func(t *testing.T) {
		n := newNetwork(2)
		n.declare(0, 5, 7)
		n.declare(1, 5, 7)
		n.clock.Advance(4 * time.Second)
		n.declare(0, 5, 7)
		assert.NilError(t, n.sync(1, 0))
		n.expectRouting(t, 1, 7, 0)
	})
	t.Run("a peer that is behind proves nothing", func(t *testing.T) {
		n := newNetwork(2)
		n.declare(1, 6, 8)
		n.clock.Advance(time.Second)
		n.declare(0, 5, 7)
		assert.NilError(t, n.sync(1, 0))
		n.expectRouting(t, 1, 8, time.Second)
	})
	t.Run("a question proves nothing to the one that is asked", func(t *testing.T) {
		n := newNetwork(2)
		n.declare(0, 5, 7)
		assert.NilError(t, n.sync(0, 1))
		table, _ := n.gateway(1).catalog.Routing()
		assert.Assert(t, table == nil)
	})
	t.Run("a peer that knows nothing proves nothing", func(t *testing.T) {
		n := newNetwork(2)
		assert.NilError(t, n.sync(1, 0))
		assert.Assert(t, n.gateway(1).catalog.UpstreamsProven().IsZero())
	})
}

// TestCutOff keeps one of three gateways from the source: it goes on with what
// its peers know, no older than they are asked.
func TestCutOff(t *testing.T) {
	n := newNetwork(3)
	for second := range 30 {
		n.declare(0, comfreyworks.Position(second+1), comfreyworks.ConfigRevision(second+1))
		n.clock.Advance(500 * time.Millisecond)
		assert.NilError(t, n.sync(2, 0))
		n.expectRouting(t, 2, comfreyworks.ConfigRevision(second+1), 500*time.Millisecond)
		n.clock.Advance(500 * time.Millisecond)
	}
}

func TestMeeting(t *testing.T) {
	t.Run("through a seed", func(t *testing.T) {
		n := newNetwork(3)
		assert.NilError(t, n.sync(1, 0))
		assert.NilError(t, n.sync(2, 0))
		assert.DeepEqual(t, n.gateway(2).Live(), []comfreyworks.InstanceID{"g0", "g1", "g2"})
	})
	t.Run("a silent one is not live, and not passed on for ever", func(t *testing.T) {
		n := newNetwork(3)
		assert.NilError(t, n.sync(1, 0))
		n.cut[address(1)] = true
		n.clock.Advance(forgottenAfter + time.Second)
		assert.NilError(t, n.sync(2, 0))
		assert.DeepEqual(t, n.gateway(2).Live(), []comfreyworks.InstanceID{"g0", "g2"})
	})
	t.Run("the most that were seen are remembered", func(t *testing.T) {
		n := newNetwork(3)
		assert.NilError(t, n.sync(1, 0))
		assert.NilError(t, n.sync(2, 0))
		assert.Equal(t, n.gateway(2).MostSeen(), 3)
		n.clock.Advance(time.Hour)
		assert.Equal(t, n.gateway(2).MostSeen(), 3)
	})
	t.Run("a registered address is asked for a while only", func(t *testing.T) {
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
	n.clock.Advance(loadAge)
	assert.Equal(t, n.gateway(1).balancer.Requests("u"), 0)
}

func TestAnnounce(t *testing.T) {
	n := newNetwork(3)
	assert.NilError(t, n.sync(0, 1))
	assert.NilError(t, n.sync(0, 2))
	n.cut[address(2)] = true
	n.gateway(0).Announce(context.Background(), comfreyworks.WeightsLoadNotice{Engine: "u"})
	assert.Equal(t, n.gateway(1).notices, 1)
}
