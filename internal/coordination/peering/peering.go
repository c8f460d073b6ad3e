// Package peering exchanges state between gateways: which gateways exist, the
// load that they have put on each upstream, which engines load weights, and the
// newest declaration and list of upstreams.
//
// In each availability zone a few gateways are relays. Relays exchange state with
// all other relays; every other gateway is a leaf and exchanges state with one
// relay of its zone. A gateway therefore has as many partners as there are relays,
// or one, however many gateways there are. A relay that does not answer is
// replaced by the next gateway in an order that all gateways compute alike. In a
// small fleet every gateway is a relay.
//
// Loads are summed on the way: a leaf sends its own, a relay sends other relays
// the sum of its own and those of its leaves, and sends its leaves the sum of all.
// No gateway passes on a sum that it received from a relay to another relay, so
// that gateways that disagree about who is a relay cannot count a load in a circle.
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
//	p.HandleNotify(notices)       // for the Notify call of a peer
//	p.Announce(notice)            // to all gateways
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
	"comfreyworks/internal/state/savedsessions"
)

const (
	// relayInterval is the pause between two Sync calls of a relay to another one.
	// One call gives both sides the load of the other. relayIntervalPerPartner times
	// the number of partners is the minimum pause, which bounds the calls of a
	// relay.
	relayInterval           = 150 * time.Millisecond
	relayIntervalPerPartner = 20 * time.Millisecond
	// leafInterval is the pause between two Sync calls of a leaf to its relay.
	leafInterval = 250 * time.Millisecond
	// contactInterval is the pause between two calls of a relay to a seed that is not
	// its partner.
	contactInterval = time.Second
	// attachedListInterval is the minimum interval at which a relay tells another
	// one which leaves call it.
	attachedListInterval = 2 * time.Second
	// callTimeout limits one call to a peer, which is a few milliseconds away, or
	// to the registry.
	callTimeout = 400 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
	// startInterval is the pause between two calls of a gateway that has no routing
	// or no list of upstreams yet. startCallTimeout limits such a call to a contact,
	// startStateTimeout one that may return the whole list.
	startInterval     = 100 * time.Millisecond
	startCallTimeout  = 200 * time.Millisecond
	startStateTimeout = 1200 * time.Millisecond
	// startDelay is how long a starting gateway waits for state from its peers before
	// it reads the sources itself. Gateways that start together wait for up to
	// startSpread longer, so that the first ones can supply the others.
	startDelay  = 200 * time.Millisecond
	startSpread = 1200 * time.Millisecond
	// seedStateDelay is how long after its first peer answered a starting relay asks
	// its seeds for their state. By then it knows the other relays, and gateways that
	// are leaves know that they are: the seeds of a large fleet cannot send the whole
	// list of upstreams to everyone.
	seedStateDelay = 150 * time.Millisecond
	// wholeListsPerInterval limits the whole lists of upstreams that a gateway sends
	// in one wholeListInterval. Who gets none asks again.
	wholeListsPerInterval = 4
	wholeListInterval     = 100 * time.Millisecond
	// loadExpiry is how long the load that a peer reported is used, and how long a
	// partner that is silent counts as live.
	loadExpiry = 1200 * time.Millisecond
	// reconcileInterval is the pause between two updates of the set of partners,
	// unless a partner fails earlier.
	reconcileInterval = 250 * time.Millisecond
	// joinTimeout is how long a starting gateway that is no seed waits for a seed or
	// registered gateway to answer before it acts as if it were alone. Gateways
	// that start together wait for up to joinSpread longer, each for another time.
	joinTimeout = 700 * time.Millisecond
	joinSpread  = 900 * time.Millisecond
	// settleTime is how long a starting gateway takes to find out who the relays
	// are. Until then it calls its seeds as often as a relay and is not selected for
	// tasks.
	settleTime = 600 * time.Millisecond
	// leafFallbackDelay and leafFallbackSpread are how much later than a relay a
	// leaf turns to the sources itself. The state of a leaf is older by two calls,
	// and leaves that lose their relays at the same time must not all read the
	// sources at once.
	leafFallbackDelay  = 500 * time.Millisecond
	leafFallbackSpread = 800 * time.Millisecond
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
	// RetainClients closes the clients of all other addresses; it may be nil.
	RetainClients func(addresses map[netip.AddrPort]bool)
	Catalog       *catalog.Catalog
	Balancer      *balance.Balancer
	Saved         *savedsessions.Log
	Clock         comfreyworks.Clock
	Logger        *zap.Logger
}

// Peering exchanges state with the other gateways. It is safe for concurrent use.
type Peering struct {
	options   Options
	startedAt time.Time
	// spread is between 0 and 1 and differs between gateways. It spreads what many
	// gateways would otherwise do at the same time.
	spread float64
	// wake makes Run update the set of partners at once.
	wake   chan struct{}
	outbox outbox

	mu      sync.Mutex
	members memberList
	// contacts are addresses at which there may be gateways that are not known yet,
	// with the time until which they are called; zero means always.
	contacts map[netip.AddrPort]time.Time
	// relay means that this gateway is a relay. partners are the gateways that it
	// calls.
	relay    bool
	partners map[netip.AddrPort]bool
	// heardAt is when a peer first called or answered this process; zero means
	// never.
	heardAt time.Time
	// maxSeen is the highest number of gateways known at the same time.
	maxSeen int
	// wholeLists counts the whole lists asked for since wholeListsSince.
	wholeLists      int
	wholeListsSince time.Time
}

// New returns a Peering that knows only its seeds.
func New(options Options) *Peering {
	now := options.Clock.Now()
	p := &Peering{
		options: options, startedAt: now,
		spread:   float64(xxhash.Sum64String(string(options.Self.ID))>>11) / (1 << 53),
		wake:     make(chan struct{}, 1),
		outbox:   newOutbox(),
		members:  newMemberList(options.Self, uint64(now.UnixNano())),
		contacts: make(map[netip.AddrPort]time.Time),
		partners: make(map[netip.AddrPort]bool),
		relay:    true,
	}
	for _, seed := range options.Seeds {
		if seed != options.Self.Address {
			p.contacts[seed] = time.Time{}
		} else {
			// Other gateways wait for this one.
			p.heardAt = now.Add(-settleTime)
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
	group.Go(func() error { return p.sendNotices(ctx) })
	group.Go(func() error {
		polls := make(map[netip.AddrPort]context.CancelFunc)
		for ctx.Err() == nil {
			p.reconcile(ctx, group, polls)
			p.awaitChange(ctx)
		}
		return nil
	})
	return group.Wait()
}

// awaitChange waits for reconcileInterval or until the set of partners must
// change.
func (p *Peering) awaitChange(ctx context.Context) {
	timer := p.options.Clock.NewTimer(reconcileInterval)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-p.wake:
	case <-ctx.Done():
	}
}

// reconcile updates the role and the partners of this gateway, and starts and
// stops the polls of partners accordingly.
func (p *Peering) reconcile(ctx context.Context, group *errgroup.Group, polls map[netip.AddrPort]context.CancelFunc) {
	partners := p.updatePartners()
	for address := range partners {
		if polls[address] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		polls[address] = stop
		group.Go(func() error {
			p.poll(pollCtx, address)
			return nil
		})
	}
	for address, stop := range polls {
		if !partners[address] {
			stop()
			delete(polls, address)
		}
	}
	if p.options.RetainClients != nil {
		p.options.RetainClients(p.connected(partners))
	}
}

// updatePartners removes expired gateways, decides whether this gateway is a
// relay and returns the addresses that it calls.
func (p *Peering) updatePartners() map[netip.AddrPort]bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members.expire(now) {
		p.options.Balancer.RemovePeer(m.ID)
		p.options.Logger.Info("peer gone", zap.String("peer", string(m.ID)))
	}
	present := p.members.present()
	p.maxSeen = max(p.maxSeen, len(present)+1)
	if p.hasJoined(now) {
		p.options.Balancer.SetGateways(len(present) + 1)
	}
	relays := p.members.relays(now)
	own := relays[p.options.Self.Zone]
	relay := slices.ContainsFunc(own, func(r zoneRelay) bool { return r.address == p.options.Self.Address })
	becameLeaf := p.relay && !relay
	if relay != p.relay {
		p.relay = relay
		p.options.Logger.Info("role among gateways changed", zap.Bool("relay", relay), zap.Int("gateways", len(present)+1))
	}
	partners := make(map[netip.AddrPort]bool)
	if relay {
		for _, zone := range relays {
			for _, r := range zone {
				partners[r.address] = true
			}
		}
		delete(partners, p.options.Self.Address)
	} else {
		primary := p.primaryRelay(own)
		partners[primary] = true
		if m := p.members.members[primary]; becameLeaf || !p.partners[primary] {
			// From now on, this relay's list is the one that counts.
			m.known = comfreyworks.ListVersion{}
		}
	}
	p.removeFormerPartners(partners)
	p.partners = partners
	if relay {
		return p.withContacts(partners, now)
	}
	return partners
}

// primaryRelay returns the relay that this leaf calls. The leaves of a zone are
// divided among its relays.
func (p *Peering) primaryRelay(relays []zoneRelay) netip.AddrPort {
	return relays[int(p.spread*float64(len(relays)))].address
}

// removeFormerPartners removes the loads that gateways reported as partners
// and that now arrive in the sum of another one.
func (p *Peering) removeFormerPartners(partners map[netip.AddrPort]bool) {
	for address := range p.partners {
		if m := p.members.members[address]; m != nil && !partners[address] {
			p.options.Balancer.RemovePeer(m.ID)
		}
	}
}

// withContacts returns the partners and the addresses at which there may be
// further gateways. A relay goes on calling its seeds, through which relays that
// do not know each other find each other.
func (p *Peering) withContacts(partners map[netip.AddrPort]bool, now time.Time) map[netip.AddrPort]bool {
	addresses := make(map[netip.AddrPort]bool, len(partners)+len(p.contacts))
	for address := range partners {
		addresses[address] = true
	}
	for address, until := range p.contacts {
		m := p.members.members[address]
		if !until.IsZero() && (!now.Before(until) || (m != nil && !m.Gone)) {
			delete(p.contacts, address)
			continue
		}
		addresses[address] = true
	}
	return addresses
}

// neighbours returns the addresses to which this gateway passes on notices: its
// partners and, if it is a relay, the leaves that call it.
func (p *Peering) neighbours() map[netip.AddrPort]bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	neighbours := maps.Clone(p.partners)
	if p.relay {
		for _, m := range p.members.present() {
			if now.Sub(m.attachedAt) <= loadExpiry {
				neighbours[m.Address] = true
			}
		}
	}
	return neighbours
}

// connected returns the addresses to which connections are kept open.
func (p *Peering) connected(polled map[netip.AddrPort]bool) map[netip.AddrPort]bool {
	connected := p.neighbours()
	for address := range polled {
		connected[address] = true
	}
	return connected
}

// poll calls one peer repeatedly until ctx ends.
func (p *Peering) poll(ctx context.Context, address netip.AddrPort) {
	client := p.options.NewClient(address)
	for ctx.Err() == nil {
		err := p.sync(ctx, client, address)
		if err != nil && ctx.Err() == nil {
			p.recordFailure(address, err)
		}
		pause := p.syncInterval(address, err)
		if !comfreyworks.Sleep(ctx, p.options.Clock, pause) {
			return
		}
	}
}

// syncInterval returns the pause after a call to a peer that ended with err.
func (p *Peering) syncInterval(address netip.AddrPort, err error) time.Duration {
	starting := p.starting()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case starting:
		return startInterval
	case err != nil:
		return retryDelay
	case !p.relay:
		return leafInterval
	case !p.partners[address] && p.options.Clock.Since(p.startedAt) > 2*settleTime:
		return contactInterval
	default:
		return max(relayInterval, time.Duration(len(p.partners))*relayIntervalPerPartner)
	}
}

// sync exchanges state with a peer once. The age of what the peer reports counts
// from before the request was sent.
func (p *Peering) sync(ctx context.Context, client comfreyworks.GatewayClient, address netip.AddrPort) error {
	sentAt := p.options.Clock.Now()
	request := p.request(address)
	timeout := callTimeout
	if p.starting() {
		timeout = startCallTimeout
		if request.WantsState {
			timeout = startStateTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, err := client.Sync(ctx, request)
	if err != nil {
		return err
	}
	update.State.Self.Address = address
	p.recordReply(&update.State, &request)
	if update.DeclaredAge >= 0 {
		p.applyDeclaration(&update, sentAt.Add(-update.DeclaredAge))
	}
	if update.ListedAge >= 0 {
		p.applyUpstreams(&update, sentAt.Add(-update.ListedAge))
	}
	return nil
}

// request returns the state that this gateway sends to a peer.
func (p *Peering) request(to netip.AddrPort) comfreyworks.GatewayState {
	declared, listed := p.options.Catalog.SourceStates()
	starting := p.starting()
	state := comfreyworks.GatewayState{Self: p.options.Self, Role: comfreyworks.PeerLeaf, Declared: declared.Position, Listed: listed.Position}
	p.mu.Lock()
	defer p.mu.Unlock()
	state.WantsState = p.partners[to] ||
		(starting && p.relay && !p.heardAt.IsZero() && p.options.Clock.Since(p.heardAt) >= seedStateDelay)
	m := p.members.members[to]
	if m != nil {
		state.Known, state.SavedKnown = m.known, m.savedKnown
		state.Saved, state.SavedList.Version = p.options.Saved.After(m.savedSent, savedsessions.Local)
	}
	if !p.relay {
		state.Loads = p.options.Balancer.LocalLoads()
		return state
	}
	state.Role = comfreyworks.PeerRelay
	state.Loads = p.options.Balancer.SumLoads(p.attached())
	state.Peers = p.attachedList(m)
	return state
}

// attached returns the leaves that have called this gateway recently. The mutex
// must be held.
func (p *Peering) attached() map[comfreyworks.InstanceID]bool {
	now := p.options.Clock.Now()
	attached := make(map[comfreyworks.InstanceID]bool)
	for _, m := range p.members.members {
		if now.Sub(m.attachedAt) <= loadExpiry {
			attached[m.ID] = true
		}
	}
	return attached
}

// attachedList returns the gateways that call this one, to be sent to another
// relay, or nil if it has received them within attachedListInterval. The mutex
// must be held.
func (p *Peering) attachedList(to *member) []comfreyworks.GatewayPeer {
	now := p.options.Clock.Now()
	if to == nil || now.Sub(to.listSentAt) < attachedListInterval {
		return nil
	}
	to.listSentAt = now
	var list []comfreyworks.GatewayPeer
	for _, m := range p.members.members {
		if now.Sub(m.attachedAt) <= attachedListInterval {
			list = append(list, m.report(now))
		}
	}
	return list
}

// HandleSync stores the state that a peer sent and returns the update for it.
func (p *Peering) HandleSync(state comfreyworks.GatewayState) comfreyworks.GatewayUpdate {
	p.recordRequest(&state)
	declared, listed := p.options.Catalog.SourceStates()
	update := comfreyworks.GatewayUpdate{
		State: p.reply(&state, declared, listed), DeclaredAge: p.sinceRead(declared), ListedAge: p.sinceRead(listed),
	}
	if !state.WantsState {
		return update
	}
	// The changes may reach beyond the positions above. They are sent with the age
	// of these positions, which is then too high but never too low.
	if state.Declared < declared.Position {
		update.Declaration = p.options.Catalog.DeclarationAfter(state.Declared)
	}
	if state.Listed < listed.Position {
		update.Upstreams = p.options.Catalog.UpstreamsAfter(state.Listed)
		if update.Upstreams.Whole && !p.takeWholeList() {
			update.Upstreams = nil
		}
	}
	return update
}

// takeWholeList reports whether this gateway may send a whole list of upstreams now.
func (p *Peering) takeWholeList() bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.wholeListsSince) >= wholeListInterval {
		p.wholeListsSince, p.wholeLists = now, 0
	}
	p.wholeLists++
	return p.wholeLists <= wholeListsPerInterval
}

// reply returns the state that this gateway sends in reply to a peer's request.
func (p *Peering) reply(to *comfreyworks.GatewayState, declared, listed catalog.SourceState) comfreyworks.GatewayState {
	state := comfreyworks.GatewayState{Self: p.options.Self, Role: comfreyworks.PeerLeaf, Declared: declared.Position, Listed: listed.Position}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relay {
		state.Role = comfreyworks.PeerRelay
	}
	passedOn := savedsessions.Local
	if to.Role == comfreyworks.PeerLeaf {
		state.Loads = p.options.Balancer.AllLoadsExcept(to.Self.ID)
		passedOn = savedsessions.Remote
	} else {
		state.Loads = p.options.Balancer.SumLoads(p.attached())
	}
	savedKnown := to.SavedKnown
	if savedKnown.Process != p.members.version.Process {
		savedKnown.Version = 0
	}
	state.Saved, state.SavedList.Version = p.options.Saved.After(savedKnown.Version, passedOn)
	state.SavedList.Process = p.members.version.Process
	state.Peers = p.members.changesAfter(to.Known, p.options.Clock.Now())
	state.PeerList = p.members.version
	return state
}

// recordRequest stores what a peer that calls this gateway reports.
func (p *Peering) recordRequest(state *comfreyworks.GatewayState) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.recordDirect(state.Self, now)
	if m == nil {
		return
	}
	m.attachedAt = time.Time{}
	if state.Role == comfreyworks.PeerLeaf {
		m.attachedAt = now
	}
	if p.relay {
		p.options.Balancer.SetPeerLoads(m.ID, state.Loads, now.Add(loadExpiry))
	}
	for _, other := range state.Peers {
		p.members.record(other, now.Add(-other.HeardAgo), now)
	}
	p.options.Saved.Merge(state.Saved, savedOrigin(state.Role))
}

// savedOrigin returns the origin of saved sessions that a peer in the given role
// reports. Relays tell all other relays of the sessions that they and their leaves
// have saved, so only those of leaves are passed on to relays.
func savedOrigin(role comfreyworks.PeerRole) savedsessions.Origin {
	if role == comfreyworks.PeerRelay {
		return savedsessions.Remote
	}
	return savedsessions.Local
}

// recordReply stores what a peer reports in reply to a request of this gateway.
func (p *Peering) recordReply(state, request *comfreyworks.GatewayState) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.recordDirect(state.Self, now)
	if m == nil {
		return
	}
	if p.partners[m.Address] && request.Role == p.role() {
		p.options.Balancer.SetPeerLoads(m.ID, state.Loads, now.Add(loadExpiry))
	}
	for _, other := range state.Peers {
		p.recordReported(other, m.Address, now)
	}
	if request.Role == comfreyworks.PeerLeaf {
		p.members.confirm(m.Address, now)
	}
	p.options.Saved.Merge(state.Saved, savedsessions.Remote)
	m.savedSent = request.SavedList.Version
	if m.savedKnown.Process != state.SavedList.Process {
		// Another process answered than the one that got the earlier requests.
		m.savedSent = 0
	}
	m.known, m.savedKnown = state.PeerList, state.SavedList
}

// role returns the role of this gateway. The mutex must be held.
func (p *Peering) role() comfreyworks.PeerRole {
	if p.relay {
		return comfreyworks.PeerRelay
	}
	return comfreyworks.PeerLeaf
}

// recordDirect records that a peer has called or answered this gateway.
func (p *Peering) recordDirect(peer comfreyworks.GatewayPeer, now time.Time) *member {
	known := p.members.members[peer.Address]
	isNew := known == nil || known.Gone
	m := p.members.record(peer, now, now)
	if m == nil {
		return nil
	}
	if isNew {
		p.options.Logger.Info("peer discovered", zap.String("peer", string(peer.ID)), zap.Stringer("address", peer.Address))
	}
	if !m.unreachableUntil.IsZero() {
		p.options.Logger.Info("peer reachable again", zap.String("peer", string(m.ID)))
	}
	if isNew || !m.unreachableUntil.IsZero() {
		p.requestUpdate()
	}
	m.directAt, m.unreachableUntil = now, time.Time{}
	if p.heardAt.IsZero() {
		p.heardAt = now
	}
	return m
}

// recordReported records what a peer reports about another gateway.
func (p *Peering) recordReported(other comfreyworks.GatewayPeer, reporter netip.AddrPort, now time.Time) {
	if !other.Gone {
		if m := p.members.record(other, now.Add(-other.HeardAgo), now); m != nil && !p.relay && p.partners[reporter] {
			m.listedBy = reporter
		}
		return
	}
	if m := p.members.members[other.Address]; m != nil && !m.Gone && now.Sub(m.directAt) > memberExpiry {
		m.heardAt, m.listedBy = now.Add(-memberExpiry-time.Millisecond), netip.AddrPort{}
	}
}

// requestUpdate makes Run update the set of partners at once.
func (p *Peering) requestUpdate() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// recordFailure marks a peer as unreachable and logs the first failure.
func (p *Peering) recordFailure(address netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members.members[address]
	if m == nil || m.Gone {
		return
	}
	if m.unreachableUntil.IsZero() {
		p.options.Logger.Warn("peer unreachable", zap.String("peer", string(m.ID)), zap.Error(err))
	}
	m.unreachableUntil = p.options.Clock.Now().Add(unreachablePause)
	p.requestUpdate()
}

// Live returns the relays that were heard of recently, including this gateway if
// it is one, sorted by ID.
func (p *Peering) Live() []comfreyworks.InstanceID {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []comfreyworks.InstanceID
	if p.relay {
		live = append(live, p.options.Self.ID)
	}
	for address := range p.partners {
		if m := p.members.members[address]; m != nil && now.Sub(m.directAt) <= loadExpiry {
			live = append(live, m.ID)
		}
	}
	slices.Sort(live)
	return live
}

// isolated reports whether no partner was heard of recently.
func (p *Peering) isolated() bool {
	return !slices.ContainsFunc(p.Live(), func(id comfreyworks.InstanceID) bool { return id != p.options.Self.ID })
}

// Gateways returns the number of gateways known now, including this one.
func (p *Peering) Gateways() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members.present()) + 1
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
// selected for a task by rendezvous hashing. Only relays are selected. Relays that
// see the same peers agree on the selection, and another one takes over when a
// selected one disappears. A starting gateway that waits for its first peer is not
// selected.
func (p *Peering) IsSelected(task string, n int) bool {
	if !p.joined() {
		return false
	}
	return slices.Contains(rendezvous.Top(p.Live(), xxhash.Sum64String(task), n), p.options.Self.ID)
}

// joined reports whether this gateway knows the relays or has waited long enough
// for a peer.
func (p *Peering) joined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasJoined(p.options.Clock.Now())
}

func (p *Peering) hasJoined(now time.Time) bool {
	if !p.heardAt.IsZero() {
		return now.Sub(p.heardAt) >= settleTime
	}
	return len(p.contacts) == 0 && p.options.Registry == nil ||
		now.Sub(p.startedAt) >= joinTimeout+p.spreadOver(joinSpread)
}

// FallbackDelay returns how much later than a relay this gateway turns to the
// sources itself when it gets no state from its peers.
func (p *Peering) FallbackDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relay && !p.heardAt.IsZero() {
		return 0
	}
	return leafFallbackDelay + p.spreadOver(leafFallbackSpread)
}

// StartDelay returns how long after its start this gateway turns to the sources
// itself when it gets no state from its peers.
func (p *Peering) StartDelay() time.Duration { return startDelay + p.spreadOver(startSpread) }

// starting reports whether this gateway has no routing or no list of upstreams yet.
func (p *Peering) starting() bool {
	declared, listed := p.options.Catalog.SourceStates()
	return declared.Position == 0 || listed.Position == 0
}

// spreadOver returns a part of d that differs between gateways.
func (p *Peering) spreadOver(d time.Duration) time.Duration {
	return time.Duration(p.spread * float64(d))
}

// sinceRead returns how long ago the latest read of a source started; negative
// means never.
func (p *Peering) sinceRead(source catalog.SourceState) time.Duration {
	if source.ConfirmedAt.IsZero() {
		return -1
	}
	return p.options.Clock.Since(source.ConfirmedAt)
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
