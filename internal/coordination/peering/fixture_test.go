package peering

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/usage"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/savedsessions"
	"comfreyworks/internal/state/streamorigins"
)

const pool = comfreyworks.Pool("lm")

// network connects the gateways of a test.
type network struct {
	clock       *clockwork.FakeClock
	gateways    map[netip.AddrPort]*gateway
	unreachable map[netip.AddrPort]bool
	// latency is the duration of each direction of a call.
	latency time.Duration
	// replies holds the last reply of each gateway.
	replies map[netip.AddrPort]comfreyworks.GatewayUpdate
	// passOrigins makes all gateways pass on origins of streams. origins counts those
	// that were sent, originsToLeaves those that leaves received.
	passOrigins              bool
	origins, originsToLeaves int
	// crashes counts the suspicions that were sent.
	crashes int
	// limits are the usage limits of all gateways; nil means none. usage counts the
	// counts that were sent.
	limits *comfreyworks.Routing
	usage  int
	// old are gateways that do not know of suspicions.
	old map[netip.AddrPort]bool
}

type gateway struct {
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	*Peering
	address netip.AddrPort
	// syncs and notifications count the calls that the gateway received, callers
	// the gateways that called it.
	syncs, notifications int
	// answered counts the calls of the gateway that were answered.
	answered int
	// wholeLists counts the whole lists of upstreams that the gateway sent.
	wholeLists int
	callers    map[netip.AddrPort]bool
	// called are the addresses that the gateway calls, and nextCall is when it next
	// calls each of them. nextUpdate is when it next updates its partners.
	called     map[netip.AddrPort]bool
	nextCall   map[netip.AddrPort]time.Time
	nextUpdate time.Time
}

// networkClient calls a gateway over the network.
type networkClient struct {
	network *network
	to      netip.AddrPort
}

var errUnreachable = errors.New("gateway unreachable")

// Sync implements comfreyworks.GatewayClient.
func (c networkClient) Sync(_ context.Context, state comfreyworks.GatewayState) (comfreyworks.GatewayUpdate, error) {
	to := c.network.gateways[c.to]
	if c.network.unreachable[c.to] || to == nil || c.network.unreachable[state.Self.Address] {
		return comfreyworks.GatewayUpdate{}, errUnreachable
	}
	c.advance()
	to.syncs++
	to.callers[state.Self.Address] = true
	if c.network.old[c.to] || c.network.old[state.Self.Address] {
		forgetCrashFields(&state)
	}
	update := to.HandleSync(state)
	if c.network.old[c.to] {
		forgetCrashFields(&update.State)
	}
	c.network.gateways[state.Self.Address].answered++
	c.network.crashes += len(state.Crashes) + len(update.State.Crashes)
	c.network.usage += len(state.Usage) + len(update.State.Usage)
	c.network.replies[c.to] = update
	c.network.origins += len(state.Origins) + len(update.State.Origins)
	if state.Role == comfreyworks.PeerLeaf {
		c.network.originsToLeaves += len(update.State.Origins)
	}
	if !to.relay {
		c.network.originsToLeaves += len(state.Origins)
	}
	if update.Upstreams != nil && update.Upstreams.Whole {
		to.wholeLists++
	}
	c.advance()
	return update, nil
}

// forgetCrashFields removes what a gateway that does not know of suspicions neither sends
// nor reads.
func forgetCrashFields(state *comfreyworks.GatewayState) {
	state.Crashes, state.CrashesList, state.CrashesKnown = nil, comfreyworks.ListVersion{}, comfreyworks.ListVersion{}
}

func (c networkClient) advance() {
	if c.network.latency > 0 {
		c.network.clock.Advance(c.network.latency)
	}
}

// Notify implements comfreyworks.GatewayClient.
func (c networkClient) Notify(_ context.Context, notices comfreyworks.WeightsLoadNotices) error {
	to := c.network.gateways[c.to]
	if c.network.unreachable[c.to] || to == nil {
		return errUnreachable
	}
	to.notifications++
	to.HandleNotify(notices)
	return nil
}

// FindStream implements comfreyworks.GatewayClient.
func (c networkClient) FindStream(_ context.Context, stream uint32) (release uint32, found bool, err error) {
	to := c.network.gateways[c.to]
	if c.network.unreachable[c.to] || to == nil {
		return 0, false, errUnreachable
	}
	release, found = to.HandleFindStream(stream)
	return release, found, nil
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

// networkOptions describes the gateways of a network.
type networkOptions struct {
	gateways, zones, seeds int
	// capacity returns the capacity of a gateway; nil means that all are equal.
	capacity func(i int) int
}

// newNetwork returns a network of gateways in one zone whose only seed is the
// first one.
func newNetwork(n int) *network {
	return newNetworkWith(networkOptions{gateways: n, zones: 1, seeds: 1})
}

// newFullNetwork returns a network of gateways that are the relays of zones of their
// own and know each other.
func newFullNetwork(n int) *network {
	net := newNetworkWith(networkOptions{gateways: n, zones: n, seeds: 1})
	net.run(time.Second, nil)
	return net
}

func newNetworkWith(options networkOptions) *network {
	n := &network{
		clock: clockwork.NewFakeClock(), gateways: make(map[netip.AddrPort]*gateway),
		unreachable: make(map[netip.AddrPort]bool), old: make(map[netip.AddrPort]bool), replies: make(map[netip.AddrPort]comfreyworks.GatewayUpdate),
	}
	for i := range options.gateways {
		n.start(i, options)
	}
	return n
}

// start starts a gateway, in place of an earlier one with the same address.
func (n *network) start(i int, options networkOptions) {
	g := &gateway{
		catalog: catalog.New(n.clock), address: address(i),
		callers: make(map[netip.AddrPort]bool), nextCall: make(map[netip.AddrPort]time.Time),
	}
	g.balancer = balance.New(balance.Options{Catalog: g.catalog, Holdings: holdings.New(), Clock: n.clock})
	self := comfreyworks.GatewayPeer{
		ID: comfreyworks.InstanceID(fmt.Sprint("g", i)), Address: address(i),
		Zone: comfreyworks.Zone(fmt.Sprint("z", i%options.zones)),
	}
	if options.capacity != nil {
		self.Capacity = options.capacity(i)
	}
	var seeds []netip.AddrPort
	for s := range options.seeds {
		seeds = append(seeds, address(s))
	}
	g.Peering = New(Options{
		Self: self, Seeds: seeds, Registry: registry{},
		NewClient: func(to netip.AddrPort) comfreyworks.GatewayClient { return networkClient{n, to} },
		Catalog:   g.catalog, Balancer: g.balancer, Saved: savedsessions.New(n.clock), Clock: n.clock, Logger: zap.NewNop(),
		Origins: streamorigins.New(n.clock), PassOrigins: func() bool { return n.passOrigins },
		Usage: usage.New(usage.Options{Clock: n.clock, Overage: 0.1, Routing: func() *comfreyworks.Routing { return n.limits }}),
	})
	n.gateways[address(i)] = g
}

func (n *network) gateway(i int) *gateway { return n.gateways[address(i)] }

// sorted returns the gateways that are reachable, by address.
func (n *network) sorted() []*gateway {
	var gateways []*gateway
	for at, g := range n.gateways {
		if !n.unreachable[at] {
			gateways = append(gateways, g)
		}
	}
	slices.SortFunc(gateways, func(a, b *gateway) int { return a.address.Compare(b.address) })
	return gateways
}

// sync makes one gateway call another.
func (n *network) sync(from, to int) error {
	return n.gateway(from).sync(context.Background(), networkClient{n, address(to)}, address(to))
}

// stepInterval is the resolution of network.run.
const stepInterval = 50 * time.Millisecond

// run lets all gateways exchange state as Run does, for a duration. It calls
// eachStep, which may be nil, after each step.
func (n *network) run(d time.Duration, eachStep func()) {
	for end := n.clock.Now().Add(d); n.clock.Now().Before(end); n.clock.Advance(stepInterval) {
		for _, g := range n.sorted() {
			n.callPartners(g)
		}
		if eachStep != nil {
			eachStep()
		}
	}
}

// callPartners lets a gateway make the calls that are due.
func (n *network) callPartners(g *gateway) {
	select {
	case <-g.wake:
		g.nextUpdate = time.Time{}
	default:
	}
	if !n.clock.Now().Before(g.nextUpdate) {
		g.called = g.updatePartners()
		g.nextUpdate = n.clock.Now().Add(reconcileInterval)
	}
	var due []netip.AddrPort
	for to := range g.called {
		if !n.clock.Now().Before(g.nextCall[to]) {
			due = append(due, to)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	for _, to := range due {
		err := g.sync(context.Background(), networkClient{n, to}, to)
		pause := g.syncInterval(to, err)
		if err != nil {
			g.recordFailure(to, err)
			pause += callTimeout
		}
		g.nextCall[to] = n.clock.Now().Add(pause)
	}
}

// flush passes on notices until none are pending. Batches that arrive while one is
// passed on go into the next one, as with noticeBatchDelay.
func (n *network) flush() {
	for pending := true; pending; {
		pending = false
		for _, g := range n.sorted() {
			select {
			case <-g.outbox.ready:
				pending = true
				g.flushNotices(context.Background())
			default:
			}
		}
	}
}

// relays returns the gateways that act as relays.
func (n *network) relays() []*gateway {
	return slices.DeleteFunc(n.sorted(), func(g *gateway) bool { return !g.relay })
}

// readSource makes a gateway read a declaration from the source now.
func (n *network) readSource(i int, position comfreyworks.Position, version comfreyworks.ConfigRevision) {
	n.gateway(i).readSource(position, version)
}

func (g *gateway) readSource(position comfreyworks.Position, version comfreyworks.ConfigRevision) {
	g.catalog.ApplyDeclaration(comfreyworks.Declaration{
		Routing: &comfreyworks.Routing{Version: version}, Next: position,
	}, g.options.Clock.Now())
}

// list makes a gateway read a whole list of n engines from the source now.
func (g *gateway) list(n int, position comfreyworks.Position, sequence uint64) {
	changes := comfreyworks.UpstreamChanges{Whole: true, Next: position, Present: engines(n, sequence)}
	g.catalog.ApplyUpstreams(changes, g.options.Clock.Now())
}

// engines returns n live engines.
func engines(n int, sequence uint64) []comfreyworks.Upstream {
	var list []comfreyworks.Upstream
	for i := range n {
		list = append(list, comfreyworks.Upstream{
			ID: comfreyworks.InstanceID(fmt.Sprint("e", i)), Pool: pool, State: comfreyworks.InstanceLive, Sequence: sequence,
		})
	}
	return list
}

func (n *network) assertRouting(t *testing.T, i int, version comfreyworks.ConfigRevision, age time.Duration) {
	t.Helper()
	table, at := n.gateway(i).catalog.Routing()
	assert.Assert(t, table != nil)
	assert.Equal(t, table.Version(), version)
	assert.Equal(t, n.clock.Since(at), age)
}

// assertRoutingWithin checks that a gateway has a version of the routing that was
// confirmed within a limit.
func (g *gateway) assertRoutingWithin(t *testing.T, version comfreyworks.ConfigRevision, limit time.Duration) {
	t.Helper()
	table, at := g.catalog.Routing()
	assert.Assert(t, table != nil, "%s has no routing", g.options.Self.ID)
	assert.Equal(t, table.Version(), version, "%s", g.options.Self.ID)
	assert.Assert(t, g.options.Clock.Since(at) <= limit, "%s: confirmed %s ago", g.options.Self.ID, g.options.Clock.Since(at))
}

// registry is a fixed list.
type registry []comfreyworks.GatewayPeer

// Register implements comfreyworks.GatewayRegistry.
func (registry) Register(context.Context, comfreyworks.GatewayPeer) error { return nil }

// Registered implements comfreyworks.GatewayRegistry.
func (r registry) Registered(context.Context) ([]comfreyworks.GatewayPeer, error) { return r, nil }
