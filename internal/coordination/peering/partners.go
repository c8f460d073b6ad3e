package peering

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
)

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
		p.keep(pollCtx, group, "peering-poll", func() { p.poll(pollCtx, address) })
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
		p.options.Pace.RemovePeer(m.ID)
		p.options.Logger.Info("peer gone", zap.String("peer", string(m.ID)))
	}
	gateways := len(p.members.present()) + 1
	p.maxSeen = max(p.maxSeen, gateways)
	p.setUsageGateways()
	if p.hasJoined(now) {
		p.options.Balancer.SetGateways(gateways)
	}
	relays := p.members.relays(now)
	own := relays[p.options.Self.Zone]
	wasRelay := p.relay
	p.relay = slices.ContainsFunc(own, func(r zoneRelay) bool { return r.address == p.options.Self.Address })
	if p.relay != wasRelay {
		p.options.Logger.Info("role among gateways changed", zap.Bool("relay", p.relay), zap.Int("gateways", gateways))
		for _, m := range p.members.members {
			m.forgetOrigins()
			m.forgetCrashes()
			m.usageKnown, m.usageSent = comfreyworks.ListVersion{}, 0
		}
	}
	if !p.relay {
		p.setPartners(p.leafPartners(own, wasRelay))
		return p.partners
	}
	p.setPartners(p.relayPartners(relays))
	return p.withContacts(now)
}

// relayPartners returns the addresses of all relays but this one.
func (p *Peering) relayPartners(relays map[comfreyworks.Zone][]zoneRelay) map[netip.AddrPort]bool {
	partners := make(map[netip.AddrPort]bool)
	for _, zone := range relays {
		for _, r := range zone {
			partners[r.address] = true
		}
	}
	delete(partners, p.options.Self.Address)
	return partners
}

// leafPartners returns the address of the relay that this leaf calls.
func (p *Peering) leafPartners(own []zoneRelay, wasRelay bool) map[netip.AddrPort]bool {
	primary := p.primaryRelay(own)
	if m := p.members.members[primary]; wasRelay || !p.partners[primary] {
		// From now on, this relay's list is the one that counts.
		m.known = comfreyworks.ListVersion{}
	}
	return map[netip.AddrPort]bool{primary: true}
}

// setPartners sets the partners. It removes the loads that former ones reported:
// they now arrive in the sum of another one.
func (p *Peering) setPartners(partners map[netip.AddrPort]bool) {
	for address := range p.partners {
		if m := p.members.members[address]; m != nil && !partners[address] {
			p.options.Balancer.RemovePeer(m.ID)
			p.options.Pace.RemovePeer(m.ID)
		}
	}
	p.partners = partners
}

// primaryRelay returns the relay that this leaf calls. The leaves of a zone are
// divided among its relays.
func (p *Peering) primaryRelay(relays []zoneRelay) netip.AddrPort {
	return relays[int(p.spread*float64(len(relays)))].address
}

// withContacts returns the partners and the addresses at which there may be
// further gateways. A relay goes on calling its seeds, through which relays that
// do not know each other find each other.
func (p *Peering) withContacts(now time.Time) map[netip.AddrPort]bool {
	addresses := maps.Clone(p.partners)
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

// requestUpdate makes Run update the set of partners at once.
func (p *Peering) requestUpdate() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
