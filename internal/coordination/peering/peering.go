// Package peering exchanges state between gateways: which gateways exist, the
// load that each of them has put on each upstream, which engines load weights,
// and the newest declaration and list of upstreams.
//
// A gateway uses what a peer has read from a source as if it had read the source
// itself. The age of that data is the age that the peer reports plus the time
// since the request was sent, so it is never underestimated. A gateway that
// cannot reach the platform therefore keeps working as long as it reaches a peer
// that can.
//
// # Usage
//
//	p := peering.New(peering.Options{Self: self, Seeds: seeds, NewClient: newClient, Catalog: c, Balancer: b, ...})
//	group.Go(func() error { return p.Run(ctx) })
//	update := p.HandleSync(state) // for the Sync call of a peer
//	p.Announce(ctx, notice)       // to all peers
package peering

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// syncInterval is the pause between two Sync calls to one peer. One call gives
	// both sides the load of the other.
	syncInterval = 150 * time.Millisecond
	// syncIntervalPerPeer times the number of peers is the minimum pause. It limits
	// a gateway to 100 calls per second.
	syncIntervalPerPeer = 10 * time.Millisecond
	// callTimeout limits one call to a peer, which is a few milliseconds away, or
	// to the registry.
	callTimeout = 400 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
	// peerExpiry is how long a peer that sends nothing is still called and reported
	// to other peers.
	peerExpiry = 8 * time.Second
	// loadExpiry is how long the load that a peer reported is used.
	loadExpiry = 1200 * time.Millisecond
	// registryInterval is the pause between two reads of the registry, and
	// isolatedRegistryInterval the pause while no peer is reachable or this
	// gateway is not registered.
	registryInterval         = 10 * time.Second
	isolatedRegistryInterval = 2 * time.Second
	// peerListInterval is the minimum interval at which the list of peers is sent
	// to the same peer. Every gateway calls every other one, so changes to the list
	// are not urgent.
	peerListInterval = time.Second
	// reconcileInterval is the pause between two updates of the set of peers that
	// are called.
	reconcileInterval = 100 * time.Millisecond
)

// Options configures a Peering.
type Options struct {
	Self comfreyworks.GatewayPeer
	// Seeds are addresses where peers may be found.
	Seeds []netip.AddrPort
	// Registry is used to discover further peers; it may be nil.
	Registry comfreyworks.GatewayRegistry
	// NewClient returns a client for the gateway at an address.
	NewClient func(address netip.AddrPort) comfreyworks.GatewayClient
	Catalog   *catalog.Catalog
	Balancer  *balance.Balancer
	Clock     comfreyworks.Clock
	Logger    *zap.Logger
}

// Peering exchanges state with the other gateways. It is safe for concurrent use.
type Peering struct {
	options Options
	mu      sync.Mutex
	// peers holds the other gateways by address.
	peers map[netip.AddrPort]*peer
	// maxSeen is the highest number of gateways known at the same time.
	maxSeen int
}

// peer is another gateway, or an address at which there may be one.
type peer struct {
	// id is empty until the gateway has been heard of.
	id comfreyworks.InstanceID
	// heardAt is when the peer last called or answered any gateway.
	heardAt time.Time
	// seed means that the address is configured and never expires.
	seed bool
	// stopPolling is nil until the peer is polled.
	stopPolling context.CancelFunc
	// unreachable means that a call to the peer has failed since it last called or
	// answered this gateway.
	unreachable bool
	// peerListSentAt is when the list of peers was last sent to this peer.
	peerListSentAt time.Time
}

// New returns a Peering that knows only its seeds.
func New(options Options) *Peering {
	p := &Peering{options: options, peers: make(map[netip.AddrPort]*peer)}
	for _, seed := range options.Seeds {
		if seed != options.Self.Address {
			p.peers[seed] = &peer{seed: true}
		}
	}
	return p
}

// Run exchanges state with peers until ctx ends.
func (p *Peering) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if p.options.Registry != nil {
		group.Go(func() error { return p.pollRegistry(ctx) })
	}
	group.Go(func() error {
		for {
			p.reconcile(ctx, group)
			if !comfreyworks.Sleep(ctx, p.options.Clock, reconcileInterval) {
				return nil
			}
		}
	})
	return group.Wait()
}

// reconcile starts to poll new peers and removes expired ones.
func (p *Peering) reconcile(ctx context.Context, group *errgroup.Group) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.peers {
		if !known.seed && now.Sub(known.heardAt) > peerExpiry {
			if known.stopPolling != nil {
				known.stopPolling()
			}
			delete(p.peers, address)
			p.options.Balancer.RemovePeer(known.id)
			continue
		}
		if known.stopPolling == nil {
			pollCtx, stop := context.WithCancel(ctx)
			known.stopPolling = stop
			group.Go(func() error {
				p.poll(pollCtx, address)
				return nil
			})
		}
	}
}

// poll calls one peer repeatedly until ctx ends.
func (p *Peering) poll(ctx context.Context, address netip.AddrPort) {
	client := p.options.NewClient(address)
	for ctx.Err() == nil {
		pause := p.currentSyncInterval()
		if err := p.sync(ctx, client, address); err != nil {
			pause = retryDelay
			p.recordFailure(address, err)
		}
		if !comfreyworks.Sleep(ctx, p.options.Clock, pause) {
			return
		}
	}
}

// currentSyncInterval returns the pause between two calls to one peer.
func (p *Peering) currentSyncInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(syncInterval, time.Duration(len(p.peers))*syncIntervalPerPeer)
}

// sync exchanges state with a peer once. The age of what the peer reports counts
// from before the request was sent.
func (p *Peering) sync(ctx context.Context, client comfreyworks.GatewayClient, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := p.options.Clock.Now()
	declared, listed := p.options.Catalog.SourceStates()
	update, err := client.Sync(ctx, p.state(address, declared, listed))
	if err != nil {
		return err
	}
	p.recordState(update.State, address)
	if update.DeclaredAge >= 0 {
		p.applyDeclaration(&update, sentAt.Add(-update.DeclaredAge))
	}
	if update.ListedAge >= 0 {
		p.applyUpstreams(&update, sentAt.Add(-update.ListedAge))
	}
	return nil
}

// applyDeclaration applies a declaration that a peer has read. It does nothing if
// the peer is ahead of this gateway but did not send its declaration.
func (p *Peering) applyDeclaration(update *comfreyworks.GatewayUpdate, readAt time.Time) {
	declaration := comfreyworks.Declaration{Next: update.State.Declared}
	if update.Declaration != nil {
		declaration = *update.Declaration
	}
	if known, _ := p.options.Catalog.SourceStates(); declaration.Next > known.Position && update.Declaration == nil {
		return
	}
	change := p.options.Catalog.ApplyDeclaration(declaration, readAt)
	p.logChange(&change, update, readAt)
}

// applyUpstreams applies a list of upstreams that a peer has read, like
// applyDeclaration.
func (p *Peering) applyUpstreams(update *comfreyworks.GatewayUpdate, readAt time.Time) {
	changes := comfreyworks.UpstreamChanges{Next: update.State.Listed}
	if update.Upstreams != nil {
		changes = *update.Upstreams
	}
	if _, known := p.options.Catalog.SourceStates(); changes.Next > known.Position && update.Upstreams == nil {
		return
	}
	change := p.options.Catalog.ApplyUpstreams(changes, readAt)
	p.logChange(&change, update, readAt)
}

func (p *Peering) logChange(change *catalog.Change, update *comfreyworks.GatewayUpdate, readAt time.Time) {
	change.Log(p.options.Logger,
		zap.String("peer", string(update.State.Self.ID)), zap.Duration("age", p.options.Clock.Since(readAt)))
}

// HandleSync stores the state that a peer sent and returns the update for it.
func (p *Peering) HandleSync(state comfreyworks.GatewayState) comfreyworks.GatewayUpdate {
	p.recordState(state, state.Self.Address)
	declared, listed := p.options.Catalog.SourceStates()
	update := comfreyworks.GatewayUpdate{
		State: p.state(state.Self.Address, declared, listed), DeclaredAge: p.sinceRead(declared), ListedAge: p.sinceRead(listed),
	}
	if state.Declared >= declared.Position && state.Listed >= listed.Position {
		return update
	}
	// The snapshot may be newer than the positions above. It is sent with their
	// age, which is then too high but never too low.
	snapshot := p.options.Catalog.Snapshot()
	if state.Declared < declared.Position {
		update.Declaration = &snapshot.Declaration
	}
	if state.Listed < listed.Position {
		update.Upstreams = &snapshot.Upstreams
	}
	return update
}

// sinceRead returns how long ago the latest read of a source started; negative
// means never.
func (p *Peering) sinceRead(source catalog.SourceState) time.Duration {
	if source.ConfirmedAt.IsZero() {
		return -1
	}
	return p.options.Clock.Since(source.ConfirmedAt)
}

// state returns the state that this gateway sends to one peer.
func (p *Peering) state(to netip.AddrPort, declared, listed catalog.SourceState) comfreyworks.GatewayState {
	now := p.options.Clock.Now()
	state := comfreyworks.GatewayState{
		Self: p.options.Self, Loads: p.options.Balancer.LocalLoads(), Declared: declared.Position, Listed: listed.Position,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[to]; peer != nil {
		if now.Sub(peer.peerListSentAt) < peerListInterval {
			return state
		}
		peer.peerListSentAt = now
	}
	for address, known := range p.peers {
		if known.id != "" && now.Sub(known.heardAt) <= peerExpiry {
			state.Peers = append(state.Peers, comfreyworks.GatewayPeer{
				ID: known.id, Address: address, HeardAgo: now.Sub(known.heardAt),
			})
		}
	}
	return state
}

// recordState stores what a peer reported about itself and about other gateways.
func (p *Peering) recordState(state comfreyworks.GatewayState, address netip.AddrPort) {
	now := p.options.Clock.Now()
	p.options.Balancer.SetPeerLoads(state.Self.ID, state.Loads, now.Add(loadExpiry))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordPeer(address, state.Self.ID, now)
	if known := p.peers[address]; known != nil && known.unreachable {
		known.unreachable = false
		p.options.Logger.Info("peer reachable again", zap.String("peer", string(state.Self.ID)))
	}
	for _, other := range state.Peers {
		p.recordPeer(other.Address, other.ID, now.Add(-other.HeardAgo))
	}
}

// recordPeer adds a gateway or updates when it was last heard of. It ignores this
// gateway and expired ones.
func (p *Peering) recordPeer(address netip.AddrPort, id comfreyworks.InstanceID, heardAt time.Time) {
	if address == p.options.Self.Address || !address.IsValid() || p.options.Clock.Since(heardAt) > peerExpiry {
		return
	}
	known := p.peers[address]
	if known == nil {
		known = &peer{}
		p.peers[address] = known
		p.options.Logger.Info("peer discovered", zap.String("peer", string(id)), zap.Stringer("address", address))
	}
	if heardAt.After(known.heardAt) {
		known.id, known.heardAt = id, heardAt
	}
	p.maxSeen = max(p.maxSeen, len(p.peers)+1)
}

// recordFailure marks a peer as unreachable and logs the first failure.
func (p *Peering) recordFailure(address netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[address]; known != nil && !known.unreachable && known.id != "" {
		known.unreachable = true
		p.options.Logger.Warn("peer unreachable", zap.String("peer", string(known.id)), zap.Error(err))
	}
}

// reachablePeers returns the peers that were heard of within loadExpiry.
func (p *Peering) reachablePeers() map[netip.AddrPort]comfreyworks.InstanceID {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable := make(map[netip.AddrPort]comfreyworks.InstanceID)
	for address, known := range p.peers {
		if known.id != "" && now.Sub(known.heardAt) <= loadExpiry {
			reachable[address] = known.id
		}
	}
	return reachable
}

// Live returns the gateways that were heard of recently, including this one,
// sorted by ID.
func (p *Peering) Live() []comfreyworks.InstanceID {
	live := append(slices.Collect(maps.Values(p.reachablePeers())), p.options.Self.ID)
	slices.Sort(live)
	return live
}

// MaxGateways returns the highest number of gateways known at the same time,
// including this one. Gateways that are unreachable from here may still be
// running.
func (p *Peering) MaxGateways() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxSeen
}

// IsSelected reports whether this gateway is among the n gateways that are
// selected for a task by rendezvous hashing. Gateways that see the same peers
// agree on the selection, and another gateway takes over when a selected one
// disappears.
func (p *Peering) IsSelected(task string, n int) bool {
	return slices.Contains(rendezvous.Top(p.Live(), xxhash.Sum64String(task), n), p.options.Self.ID)
}

// Announce notifies all reachable peers that an engine loads weights. It returns
// when all have answered or the timeout has passed.
func (p *Peering) Announce(ctx context.Context, notice comfreyworks.WeightsLoadNotice) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	for address := range p.reachablePeers() {
		group.Go(func() error {
			if err := p.options.NewClient(address).Notify(ctx, notice); err != nil {
				p.options.Logger.Debug("failed to notify peer of weights load", zap.Stringer("address", address), zap.Error(err))
			}
			return nil
		})
	}
	_ = group.Wait()
}
