// Package peering keeps gateways in touch with each other: who there is, how
// much each has sent to which upstream, which engines load weights, and what
// the sources of declarations and upstreams said last.
//
// What a peer knows may be used as if the source had been asked, with its age:
// the time of our question less the age that the answer states. So a gateway
// that is cut off from the platform goes on as long as a peer is not.
//
// # Usage
//
//	p := peering.New(peering.Options{Self: self, Seeds: seeds, Link: clients.Link, Catalog: c, Balancer: b, ...})
//	group.Go(func() error { return p.Run(ctx) })
//	news := p.Answer(state) // for a peer's question
//	p.Announce(ctx, notice) // to all peers
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
	// syncInterval is the pause between two questions to one peer; both sides
	// learn each other's load from one.
	syncInterval = 150 * time.Millisecond
	// perPeerPause stretches that pause where there are many peers, so that a
	// gateway makes at most a hundred calls a second.
	perPeerPause = 10 * time.Millisecond
	// callTimeout bounds a question; peers are a few milliseconds away.
	callTimeout = 400 * time.Millisecond
	// silentPause is the pause after a question without an answer.
	silentPause = 500 * time.Millisecond
	// forgottenAfter is how long a silent peer is still asked and passed on.
	forgottenAfter = 8 * time.Second
	// loadAge is how old a peer's account of its load may be.
	loadAge = 1200 * time.Millisecond
	// registryInterval is the pause between two looks at the registry, and
	// lonelyInterval the same while no peer answers.
	registryInterval = 10 * time.Second
	lonelyInterval   = 2 * time.Second
	// introductionInterval is the pause between two times that one peer is told of
	// all others: each is in touch with each, and who is new or gone is not urgent.
	introductionInterval = time.Second
	// reconcileInterval is the pause between two looks at whom to ask.
	reconcileInterval = 100 * time.Millisecond
)

// Options configures a Peering.
type Options struct {
	Self comfreyworks.GatewayPeer
	// Seeds are addresses where peers may be found.
	Seeds []netip.AddrPort
	// Registry may be nil.
	Registry comfreyworks.GatewayRegistry
	Link     func(address netip.AddrPort) comfreyworks.GatewayClient
	Catalog  *catalog.Catalog
	Balancer *balance.Balancer
	Clock    comfreyworks.Clock
	Logger   *zap.Logger
}

// Peering is safe for concurrent use.
type Peering struct {
	options Options
	mu      sync.Mutex
	peers   map[netip.AddrPort]*peer
	// most is the highest number of gateways that were known at once.
	most int
}

// peer is another gateway, or an address where one may be.
type peer struct {
	id      comfreyworks.InstanceID
	heardAt time.Time
	seed    bool
	asking  context.CancelFunc
	lost    bool
	// introducedAt is when it was last told of the others.
	introducedAt time.Time
}

// New returns a peering that knows only its seeds.
func New(options Options) *Peering {
	p := &Peering{options: options, peers: make(map[netip.AddrPort]*peer)}
	for _, seed := range options.Seeds {
		if seed != options.Self.Address {
			p.peers[seed] = &peer{seed: true}
		}
	}
	return p
}

// Run stays in touch until ctx ends.
func (p *Peering) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if p.options.Registry != nil {
		group.Go(func() error { return p.followRegistry(ctx) })
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

// reconcile asks every known peer and stops asking forgotten ones.
func (p *Peering) reconcile(ctx context.Context, group *errgroup.Group) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.peers {
		if !known.seed && now.Sub(known.heardAt) > forgottenAfter {
			if known.asking != nil {
				known.asking()
			}
			delete(p.peers, address)
			p.options.Balancer.ForgetPeer(known.id)
			continue
		}
		if known.asking == nil {
			ask, stop := context.WithCancel(ctx)
			known.asking = stop
			group.Go(func() error {
				p.ask(ask, address)
				return nil
			})
		}
	}
}

// ask asks one peer again and again.
func (p *Peering) ask(ctx context.Context, address netip.AddrPort) {
	link := p.options.Link(address)
	for ctx.Err() == nil {
		pause := p.pause()
		if err := p.sync(ctx, link, address); err != nil {
			pause = silentPause
			p.silent(address, err)
		}
		if !comfreyworks.Sleep(ctx, p.options.Clock, pause) {
			return
		}
	}
}

func (p *Peering) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(syncInterval, time.Duration(len(p.peers))*perPeerPause)
}

func (p *Peering) sync(ctx context.Context, link comfreyworks.GatewayClient, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := p.options.Clock.Now()
	declared, listed := p.options.Catalog.Proofs()
	news, err := link.Sync(ctx, p.state(address, declared, listed))
	if err != nil {
		return err
	}
	p.heard(news.State, address)
	if news.DeclaredAge >= 0 {
		p.learnDeclaration(&news, askedAt.Add(-news.DeclaredAge))
	}
	if news.ListedAge >= 0 {
		p.learnUpstreams(&news, askedAt.Add(-news.ListedAge))
	}
	return nil
}

func (p *Peering) learnDeclaration(news *comfreyworks.GatewayUpdate, provenAt time.Time) {
	declaration := comfreyworks.Declaration{Next: news.State.Declared}
	if news.Declaration != nil {
		declaration = *news.Declaration
	}
	if known, _ := p.options.Catalog.Proofs(); declaration.Next > known.Position && news.Declaration == nil {
		return
	}
	change := p.options.Catalog.ApplyDeclaration(declaration, provenAt)
	p.log(&change, news, provenAt)
}

func (p *Peering) learnUpstreams(news *comfreyworks.GatewayUpdate, provenAt time.Time) {
	changes := comfreyworks.UpstreamChanges{Next: news.State.Listed}
	if news.Upstreams != nil {
		changes = *news.Upstreams
	}
	if _, known := p.options.Catalog.Proofs(); changes.Next > known.Position && news.Upstreams == nil {
		return
	}
	change := p.options.Catalog.ApplyUpstreams(changes, provenAt)
	p.log(&change, news, provenAt)
}

func (p *Peering) log(change *catalog.Change, news *comfreyworks.GatewayUpdate, provenAt time.Time) {
	change.Log(p.options.Logger,
		zap.String("peer", string(news.State.Self.ID)), zap.Duration("age", p.options.Clock.Since(provenAt)))
}

// Answer takes in a peer's state and tells ours.
func (p *Peering) Answer(state comfreyworks.GatewayState) comfreyworks.GatewayUpdate {
	p.heard(state, state.Self.Address)
	declared, listed := p.options.Catalog.Proofs()
	news := comfreyworks.GatewayUpdate{
		State: p.state(state.Self.Address, declared, listed), DeclaredAge: p.age(declared), ListedAge: p.age(listed),
	}
	if state.Declared >= declared.Position && state.Listed >= listed.Position {
		return news
	}
	// What is newer than the proofs by now is told with their age, which is
	// older.
	snapshot := p.options.Catalog.Snapshot()
	if state.Declared < declared.Position {
		news.Declaration = &snapshot.Declaration
	}
	if state.Listed < listed.Position {
		news.Upstreams = &snapshot.Upstreams
	}
	return news
}

// age returns how long ago a source was asked; negative means never.
func (p *Peering) age(proof catalog.Proof) time.Duration {
	if proof.At.IsZero() {
		return -1
	}
	return p.options.Clock.Since(proof.At)
}

// state is what this gateway tells one peer.
func (p *Peering) state(to netip.AddrPort, declared, listed catalog.Proof) comfreyworks.GatewayState {
	now := p.options.Clock.Now()
	state := comfreyworks.GatewayState{
		Self: p.options.Self, Loads: p.options.Balancer.Loads(), Declared: declared.Position, Listed: listed.Position,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[to]; peer != nil {
		if now.Sub(peer.introducedAt) < introductionInterval {
			return state
		}
		peer.introducedAt = now
	}
	for address, known := range p.peers {
		if known.id != "" && now.Sub(known.heardAt) <= forgottenAfter {
			state.Peers = append(state.Peers, comfreyworks.GatewayPeer{
				ID: known.id, Address: address, HeardAgo: now.Sub(known.heardAt),
			})
		}
	}
	return state
}

// heard takes in what a peer told of itself and of others.
func (p *Peering) heard(state comfreyworks.GatewayState, address netip.AddrPort) {
	now := p.options.Clock.Now()
	p.options.Balancer.PeerLoads(state.Self.ID, state.Loads, now.Add(loadAge))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meet(address, state.Self.ID, now)
	if known := p.peers[address]; known != nil && known.lost {
		known.lost = false
		p.options.Logger.Info("peer regained", zap.String("peer", string(state.Self.ID)))
	}
	for _, other := range state.Peers {
		p.meet(other.Address, other.ID, now.Add(-other.HeardAgo))
	}
}

func (p *Peering) meet(address netip.AddrPort, id comfreyworks.InstanceID, heardAt time.Time) {
	if address == p.options.Self.Address || !address.IsValid() || p.options.Clock.Since(heardAt) > forgottenAfter {
		return
	}
	known := p.peers[address]
	if known == nil {
		known = &peer{}
		p.peers[address] = known
		p.options.Logger.Info("peer found", zap.String("peer", string(id)), zap.Stringer("address", address))
	}
	if heardAt.After(known.heardAt) {
		known.id, known.heardAt = id, heardAt
	}
	p.most = max(p.most, len(p.peers)+1)
}

func (p *Peering) silent(address netip.AddrPort, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[address]; known != nil && !known.lost && known.id != "" {
		known.lost = true
		p.options.Logger.Warn("peer lost", zap.String("peer", string(known.id)), zap.Error(err))
	}
}

// recent returns the peers that were heard of lately.
func (p *Peering) recent() map[netip.AddrPort]comfreyworks.InstanceID {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	recent := make(map[netip.AddrPort]comfreyworks.InstanceID)
	for address, known := range p.peers {
		if known.id != "" && now.Sub(known.heardAt) <= loadAge {
			recent[address] = known.id
		}
	}
	return recent
}

// Live returns the gateways that were heard of lately, this one included,
// sorted by ID.
func (p *Peering) Live() []comfreyworks.InstanceID {
	live := append(slices.Collect(maps.Values(p.recent())), p.options.Self.ID)
	slices.Sort(live)
	return live
}

// MostSeen returns the highest number of gateways that were known at once, this
// one included. Gateways that this one cannot reach now may still be at work.
func (p *Peering) MostSeen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

// Chosen reports whether this gateway is among the first n for a duty. All
// gateways that see each other agree, and the duty moves when one is gone.
func (p *Peering) Chosen(duty string, n int) bool {
	return slices.Contains(rendezvous.Top(p.Live(), xxhash.Sum64String(duty), n), p.options.Self.ID)
}

// Announce tells all peers that an engine loads weights. It returns when all
// have answered or the time is up.
func (p *Peering) Announce(ctx context.Context, notice comfreyworks.WeightsLoadNotice) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	for address := range p.recent() {
		group.Go(func() error {
			if err := p.options.Link(address).Notify(ctx, notice); err != nil {
				p.options.Logger.Debug("notice not delivered", zap.Stringer("address", address), zap.Error(err))
			}
			return nil
		})
	}
	_ = group.Wait()
}
