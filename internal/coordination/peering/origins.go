package peering

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

// findStreamTimeout limits the question to a relay which release began a stream. The
// caller of the stream waits for the answer.
const findStreamTimeout = 150 * time.Millisecond

// StreamOrigin returns the release that began the stream of a request, as in
// comfreyworks.StreamOrigin. A leaf that does not know it asks its relay. It returns
// false if the release is unknown, gateways disagree about it or the relay does not
// answer in time.
func (p *Peering) StreamOrigin(ctx context.Context, id comfreyworks.RequestID) (release uint32, found bool) {
	key := streamorigins.Key(id)
	if release, found = p.options.Origins.Lookup(key); found {
		return release, true
	}
	relay, ok := p.ownRelay()
	if !ok {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	release, found, err := p.options.NewClient(relay).FindStream(ctx, key)
	if err != nil {
		p.options.Logger.Debug("failed to ask relay for the origin of a stream", zap.Stringer("address", relay), zap.Error(err))
		return 0, false
	}
	return release, found
}

// HandleFindStream returns the release that began a stream and whether this gateway
// knows it, for the FindStream call of a peer.
func (p *Peering) HandleFindStream(stream uint32) (release uint32, found bool) {
	return p.options.Origins.Lookup(stream)
}

// ownRelay returns the address of the relay of this gateway. It returns false if
// this gateway is a relay itself.
func (p *Peering) ownRelay() (address netip.AddrPort, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relay {
		return netip.AddrPort{}, false
	}
	for address = range p.partners {
		return address, true
	}
	return netip.AddrPort{}, false
}

// passesOrigins reports whether this gateway sends the origins of streams. The mutex
// must not be held: the option may ask the Peering.
func (p *Peering) passesOrigins() bool {
	return p.options.PassOrigins != nil && p.options.PassOrigins()
}

// requestOrigins adds the origins of the streams of this gateway and of its leaves to
// a request to a peer. Only partners receive any; for others, and while none are passed
// on, the version up to which they are listed stays what it is. The mutex must be held.
func (p *Peering) requestOrigins(request *comfreyworks.GatewayState, to *member, passed bool) {
	request.OriginsKnown, request.OriginsList.Version = to.originsKnown, to.originsSent
	if passed && p.partners[to.Address] {
		request.Origins, request.OriginsList.Version = p.options.Origins.After(to.originsSent, streamorigins.Local)
	}
}

// replyOrigins adds the origins of streams to a reply, as in requestOrigins. Leaves
// receive none, because each would get those of the whole fleet; they ask instead. A
// new relay of the same availability zone also receives those that other relays have
// passed on, because the one that it replaces may have been the only one to list
// them for relays. The mutex must be held.
func (p *Peering) replyOrigins(reply, to *comfreyworks.GatewayState, passed bool) {
	known := to.OriginsKnown.Version
	if to.OriginsKnown.Process != p.members.version.Process {
		known = 0
	}
	reply.OriginsList = comfreyworks.ListVersion{Process: p.members.version.Process, Version: known}
	if !passed || !p.relay || to.Role == comfreyworks.PeerLeaf || !p.partners[to.Self.Address] {
		return
	}
	passedOn := streamorigins.Local
	if m := p.members.members[to.Self.Address]; known > 0 && m != nil {
		known = max(known, m.originsSent)
	} else if to.Self.Zone == p.options.Self.Zone {
		passedOn = streamorigins.Remote
	}
	reply.Origins, reply.OriginsList.Version = p.options.Origins.After(known, passedOn)
}

// recordOriginsRequest stores the origins of streams in a peer's request. What a relay
// knows from replies is not sent to it in requests. The mutex must be held.
func (p *Peering) recordOriginsRequest(m *member, request *comfreyworks.GatewayState) {
	p.options.Origins.Merge(request.Origins, passedOnBy(request.Role))
	if p.relay && request.Role == comfreyworks.PeerRelay && request.OriginsKnown.Process == p.members.version.Process {
		m.originsSent = max(m.originsSent, request.OriginsKnown.Version)
	}
}

// recordOriginsReply stores the origins of streams in a peer's reply and up to which
// version each side knows the log of the other. The mutex must be held.
func (p *Peering) recordOriginsReply(m *member, reply, request *comfreyworks.GatewayState) {
	p.options.Origins.Merge(reply.Origins, streamorigins.Remote)
	if request.Role != p.role() {
		m.forgetOrigins()
		return
	}
	m.originsSent = max(m.originsSent, request.OriginsList.Version)
	if m.originsKnown.Process != reply.OriginsList.Process {
		// Another process answered than the one that got the earlier requests.
		m.originsSent = 0
	}
	m.originsKnown = reply.OriginsList
}

// forgetOrigins makes both sides send all origins again. It is called when the role
// of this gateway changes: what it sent as a relay was not passed on to other relays,
// and as a leaf it received none.
func (m *member) forgetOrigins() {
	m.originsKnown, m.originsSent = comfreyworks.ListVersion{}, 0
}
