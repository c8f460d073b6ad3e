package peering

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

const (
	// findStreamTimeout limits the question to relays which release began a stream. The
	// caller of the stream waits for the answer.
	findStreamTimeout = 150 * time.Millisecond
	// maxAskedRelays limits the relays that are asked about one stream. Of so many, one has
	// been a relay for a while unless nearly all gateways have ended.
	maxAskedRelays = 8
)

// StreamOrigin returns the release that began the stream of a request, as in
// comfreyworks.StreamOrigin. If this gateway does not know it, it asks relays. It returns
// false if the release is unknown, gateways disagree about it or no relay that knows it
// answers in time.
func (p *Peering) StreamOrigin(ctx context.Context, id comfreyworks.RequestID) (release uint32, found bool) {
	key := streamorigins.Key(id)
	if release, found = p.options.Origins.Lookup(key); found || p.options.Origins.Conflicts(key) {
		return release, found
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	var mu sync.Mutex
	conflict := false
	var group errgroup.Group
	for _, relay := range p.relaysToAsk() {
		group.Go(func() error {
			answer, ok, err := p.options.NewClient(relay).FindStream(ctx, key)
			if err != nil {
				p.options.Logger.Debug("failed to ask relay for the origin of a stream", zap.Stringer("address", relay), zap.Error(err))
			}
			if err == nil && ok {
				mu.Lock()
				defer mu.Unlock()
				conflict = conflict || answer == 0 || (found && answer != release)
				release, found = answer, true
			}
			return nil
		})
	}
	_ = group.Wait()
	if conflict {
		return 0, false
	}
	return release, found
}

// relaysToAsk returns the addresses of the relays that may know the origin of a stream,
// the partners first. All relays know the same origins, but after many gateways have
// ended at once some of those that are left have just become relays.
func (p *Peering) relaysToAsk() []netip.AddrPort {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []netip.AddrPort
	for _, relays := range p.members.relays(now) {
		for _, r := range relays {
			if r.address != p.options.Self.Address {
				addresses = append(addresses, r.address)
			}
		}
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		if p.partners[a] != p.partners[b] {
			return map[bool]int{true: -1, false: 1}[p.partners[a]]
		}
		return a.Compare(b)
	})
	return addresses[:min(len(addresses), maxAskedRelays)]
}

// HandleFindStream returns the release that began a stream and whether this gateway
// knows it, for the FindStream call of a peer. Zero and true mean that gateways disagree.
func (p *Peering) HandleFindStream(stream uint32) (release uint32, found bool) {
	release, found = p.options.Origins.Lookup(stream)
	return release, found || p.options.Origins.Conflicts(stream)
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
