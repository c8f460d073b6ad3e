// Package peering exchanges state between gateways: which gateways exist, the
// load that they have put on each upstream, how fast engines are, which engines load
// weights, which release began each stream, which parts of prompts may crash engines,
// what workspaces with usage limits have used, and the newest declaration and list of
// upstreams.
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
//	release, found := p.HandleFindStream(key) // for the FindStream call of a peer
//	p.Announce(notice)            // to all gateways
package peering

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/usage"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/enginepace"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/savedsessions"
	"comfreyworks/internal/state/streamorigins"
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
	// releasesInterval is the minimum interval at which a gateway asks another one which
	// releases it knows. It bounds the bytes while none of them knows all.
	releasesInterval = 400 * time.Millisecond
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
	// paceInterval is the minimum interval at which a gateway tells another one how
	// fast engines are, and paceExpiry how long such a report is used. Lasting speeds
	// change slowly.
	paceInterval = 500 * time.Millisecond
	paceExpiry   = 3 * time.Second
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
	// Pace records how fast engines are; gateways exchange it. Nil means a log of its
	// own.
	Pace *enginepace.Log
	// Saved records the sessions that are in a cache store; gateways exchange it.
	Saved *savedsessions.Log
	// Origins records which release began each stream; nil means a log of its own.
	Origins *streamorigins.Log
	// PassOrigins reports whether this gateway sends the origins of streams to
	// others; nil means never.
	PassOrigins func() bool
	// Crashes records which parts of prompts may crash engines; gateways exchange it.
	// Nil means a log of its own.
	Crashes *crashes.Log
	// Usage limits what workspaces use; gateways exchange its counts. Nil means one
	// without limits.
	Usage  *usage.Limiter
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	// Faults records panics, after which the exchange goes on.
	Faults *faults.Recorder
}

// Peering exchanges state with the other gateways. It is safe for concurrent use.
type Peering struct {
	options   Options
	startedAt time.Time
	// spread is the result of Spread.
	spread float64
	// wake makes Run update the set of partners at once.
	wake   chan struct{}
	outbox outbox

	mu      sync.Mutex
	members memberList
	// contacts are addresses at which there may be gateways that are not known yet,
	// with the time until which they are called; zero means always.
	contacts map[netip.AddrPort]time.Time
	// contacted holds the registered gateways that were contacts, with the time until
	// which they were last called.
	contacted map[netip.AddrPort]time.Time
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
	if options.Origins == nil {
		options.Origins = streamorigins.New(options.Clock)
	}
	if options.Pace == nil {
		options.Pace = enginepace.New(enginepace.Options{Clock: options.Clock})
	}
	if options.Crashes == nil {
		options.Crashes = crashes.New(crashes.Options{Clock: options.Clock})
	}
	if options.Usage == nil {
		options.Usage = usage.New(usage.Options{Clock: options.Clock})
	}
	p := &Peering{
		options: options, startedAt: now,
		spread:   Spread(options.Self.ID),
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

// Spread returns a number between 0 and 1 that differs between gateways. It spreads what
// many gateways would otherwise do at the same time.
func Spread(id comfreyworks.InstanceID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}

// Run exchanges state with peers until ctx ends.
func (p *Peering) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if p.options.Registry != nil {
		p.keep(ctx, group, "peering-registry", func() { _ = p.pollRegistry(ctx) })
	}
	p.keep(ctx, group, "peering-notices", func() { _ = p.sendNotices(ctx) })
	polls := make(map[netip.AddrPort]context.CancelFunc)
	p.keep(ctx, group, "peering", func() {
		for ctx.Err() == nil {
			p.reconcile(ctx, group, polls)
			p.awaitChange(ctx)
		}
	})
	return group.Wait()
}

// keep runs f in the group, and again after a panic.
func (p *Peering) keep(ctx context.Context, group *errgroup.Group, place string, f func()) {
	group.Go(func() error {
		p.options.Faults.Keep(ctx, place, f)
		return nil
	})
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
		return p.relayPause()
	}
}

// relayPause returns the pause between two calls of this gateway to a relay, if it is one
// itself. The mutex must be held.
func (p *Peering) relayPause() time.Duration {
	return max(relayInterval, time.Duration(len(p.partners))*relayIntervalPerPartner)
}

// role returns the role of this gateway. The mutex must be held.
func (p *Peering) role() comfreyworks.PeerRole {
	if p.relay {
		return comfreyworks.PeerRelay
	}
	return comfreyworks.PeerLeaf
}

// recordFailure marks a peer as unreachable and logs the first failure.
func (p *Peering) recordFailure(address netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members.members[address]
	if m == nil {
		return
	}
	m.forgetCrashes()
	// The peer may have dropped what it knew of this gateway.
	m.usageSent = 0
	if m.Gone {
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
