package peering

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/savedsessions"
	"comfreyworks/internal/state/sharedlog"
)

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
		readAt := sentAt.Add(-update.ListedAge)
		p.applyUpstreams(&update, readAt)
		if update.Releases != nil {
			p.options.Catalog.LearnReleases(update.Releases, readAt)
		}
	}
	return nil
}

// request returns the state that this gateway sends to a peer.
func (p *Peering) request(to netip.AddrPort) comfreyworks.GatewayState {
	declared, listed := p.options.Catalog.SourceStates()
	starting, passesOrigins, wantsReleases := p.starting(), p.passesOrigins(), p.options.Catalog.WantsReleases()
	state := comfreyworks.GatewayState{
		Self: p.options.Self, Role: comfreyworks.PeerLeaf, Declared: declared.Position, Listed: listed.Position,
		Leaving: p.options.Balancer.Leaving(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state.WantsState = p.partners[to] ||
		(starting && p.relay && !p.heardAt.IsZero() && p.options.Clock.Since(p.heardAt) >= seedStateDelay)
	m := p.members.members[to]
	state.WantsReleases = wantsReleases && p.mayAskForReleases(m)
	p.requestCrashes(&state, m)
	if m != nil {
		state.Known, state.SavedKnown = m.known, m.savedKnown
		state.Saved, state.SavedList.Version = p.options.Saved.After(m.savedSent, savedsessions.Local)
		p.requestOrigins(&state, m, passesOrigins)
		p.requestUsage(&state, m)
	}
	sendsPaces := p.sendsPaces(m)
	if !p.relay {
		state.Loads = p.options.Balancer.LocalLoads()
		p.addDemands(&state, m, nil)
		if sendsPaces {
			state.Paces = p.options.Pace.Local()
		}
		return state
	}
	state.Role = comfreyworks.PeerRelay
	attached := p.attached()
	state.Loads = p.options.Balancer.SumLoads(attached)
	p.addDemands(&state, m, attached)
	if sendsPaces {
		state.Paces = p.options.Pace.Sum(attached)
	}
	state.Peers = p.attachedList(m)
	return state
}

// mayAskForReleases reports whether this gateway may ask another one now which releases
// it knows. The mutex must be held.
func (p *Peering) mayAskForReleases(of *member) bool {
	now := p.options.Clock.Now()
	if of == nil || now.Sub(of.releasesAskedAt) < releasesInterval {
		return of == nil
	}
	of.releasesAskedAt = now
	return true
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

// sendsPaces reports whether a peer is to be sent the speeds of engines now, and counts
// them as sent. The mutex must be held.
func (p *Peering) sendsPaces(to *member) bool {
	now := p.options.Clock.Now()
	if to == nil || now.Sub(to.pacesSentAt) < paceInterval {
		return false
	}
	to.pacesSentAt = now
	return true
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
		ListedSteady: p.options.Catalog.SteadyFor(),
		DeclaredWait: declared.CompleteAt.Sub(declared.ConfirmedAt),
	}
	update.DeclaredRestored, update.Redeclared = p.options.Catalog.Redeclared()
	if state.WantsReleases {
		update.Releases = p.options.Catalog.KnownReleases()
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
	passesOrigins := p.passesOrigins()
	state := comfreyworks.GatewayState{
		Self: p.options.Self, Role: comfreyworks.PeerLeaf, Declared: declared.Position, Listed: listed.Position,
		Leaving: p.options.Balancer.Leaving(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relay {
		state.Role = comfreyworks.PeerRelay
	}
	passedOn := savedsessions.Local
	sendsPaces := p.sendsPaces(p.members.members[to.Self.Address])
	if to.Role == comfreyworks.PeerLeaf {
		state.Loads = p.options.Balancer.AllLoadsExcept(to.Self.ID)
		passedOn = savedsessions.Remote
		if sendsPaces {
			state.Paces = p.options.Pace.AllExcept(to.Self.ID)
		}
	} else {
		attached := p.attached()
		state.Loads = p.options.Balancer.SumLoads(attached)
		if sendsPaces {
			state.Paces = p.options.Pace.Sum(attached)
		}
	}
	p.replyDemands(&state, to)
	savedKnown := to.SavedKnown
	if savedKnown.Process != p.members.version.Process {
		savedKnown.Version = 0
	}
	state.Saved, state.SavedList.Version = p.options.Saved.After(savedKnown.Version, passedOn)
	state.SavedList.Process = p.members.version.Process
	p.replyOrigins(&state, to, passesOrigins)
	p.replyCrashes(&state, to)
	p.replyUsage(&state, to)
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
		p.recordDemands(m, state, now)
		p.options.Pace.SetReport(m.ID, state.Paces, now.Add(paceExpiry))
	}
	for _, other := range state.Peers {
		p.members.record(other, now.Add(-other.HeardAgo), now)
	}
	p.options.Saved.Merge(state.Saved, passedOnBy(state.Role))
	p.recordOriginsRequest(m, state)
	p.recordUsageRequest(state)
	p.mergeCrashes(state.Crashes, passedOnBy(state.Role))
	p.options.Balancer.AddLeaving(m.ID, state.Leaving)
}

// passedOnBy returns the origin of log entries that a peer in the given role
// reports. Relays tell all other relays of the entries that they and their leaves
// have added, so only those of leaves are passed on to relays.
func passedOnBy(role comfreyworks.PeerRole) sharedlog.Origin {
	if role == comfreyworks.PeerRelay {
		return sharedlog.Remote
	}
	return sharedlog.Local
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
		p.recordDemands(m, state, now)
		p.options.Pace.SetReport(m.ID, state.Paces, now.Add(paceExpiry))
	}
	for _, other := range state.Peers {
		p.recordReported(other, m.Address, now)
	}
	if request.Role == comfreyworks.PeerLeaf {
		p.members.confirm(m.Address, now)
	}
	p.options.Saved.Merge(state.Saved, savedsessions.Remote)
	p.options.Balancer.AddLeaving(m.ID, state.Leaving)
	m.savedSent = request.SavedList.Version
	// Another process may have answered than the one that got the earlier requests.
	restarted := m.savedKnown.Process != state.SavedList.Process
	if restarted {
		m.savedSent = 0
	}
	p.recordOriginsReply(m, state, request)
	p.recordUsageReply(m, state, request)
	p.recordCrashesReply(m, state, request, restarted)
	m.known, m.savedKnown = state.PeerList, state.SavedList
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
	declaration.WaitedInVain = update.DeclaredWait
	declaration.Restored, declaration.Redeclared = update.DeclaredRestored, update.Redeclared
	if known, _ := p.options.Catalog.SourceStates(); declaration.Next > known.Position && update.Declaration == nil {
		return
	}
	change := p.options.Catalog.ApplyDeclaration(declaration, readAt)
	p.logChange(&change, update, readAt)
}

// applyUpstreams applies a list of upstreams that a peer has read, like
// applyDeclaration.
func (p *Peering) applyUpstreams(update *comfreyworks.GatewayUpdate, readAt time.Time) {
	changes := comfreyworks.UpstreamChanges{Since: update.State.Listed, Next: update.State.Listed}
	if update.Upstreams != nil {
		changes = *update.Upstreams
	}
	if _, known := p.options.Catalog.SourceStates(); changes.Next > known.Position && update.Upstreams == nil {
		return
	}
	changes.SteadyFor = update.ListedSteady
	change := p.options.Catalog.ApplyUpstreams(changes, readAt)
	p.logChange(&change, update, readAt)
}

func (p *Peering) logChange(change *catalog.Change, update *comfreyworks.GatewayUpdate, readAt time.Time) {
	change.Log(p.options.Logger,
		zap.String("peer", string(update.State.Self.ID)), zap.Duration("age", p.options.Clock.Since(readAt)))
}
