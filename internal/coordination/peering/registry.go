package peering

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// registryInterval is the pause between two reads of the registry by a relay,
	// and isolatedRegistryInterval the pause while no peer is reachable.
	registryInterval         = 20 * time.Second
	isolatedRegistryInterval = 2 * time.Second
	// registryCheckInterval is the pause between two checks whether a read is due.
	registryCheckInterval = 100 * time.Millisecond
	// seedTimeout is how long a starting gateway waits for its seeds before it reads
	// the registry. Gateways that start together wait for up to seedSpread longer.
	seedTimeout = 100 * time.Millisecond
	seedSpread  = 400 * time.Millisecond
	// contactTimeout is how long a registered gateway that is not known is called.
	// It may no longer exist.
	contactTimeout = time.Second
	// maxContacts limits the registered gateways that are called at the same time.
	// Each one that answers names all others.
	maxContacts = 4
)

// pollRegistry registers this gateway while it is a relay and looks for gateways
// that it does not know, until ctx ends. It registers again if it is no longer
// listed, because the registry was restored from an earlier copy. Leaves learn of other
// gateways from their relay and use the registry only while no peer is reachable.
func (p *Peering) pollRegistry(ctx context.Context) error {
	registered := false
	nextRead := p.startedAt.Add(seedTimeout + p.spreadOver(seedSpread))
	for pause := registryCheckInterval; comfreyworks.Sleep(ctx, p.options.Clock, pause); {
		if !p.starting() {
			pause = isolatedRegistryInterval / 2
		}
		p.mu.Lock()
		relay := p.relay
		p.mu.Unlock()
		if relay && !registered && p.joined() {
			registered = p.register(ctx)
		}
		isolated := p.isolated()
		if now := p.options.Clock.Now(); (relay || isolated) && !now.Before(nextRead) {
			registered = p.readRegistry(ctx) && registered
			nextRead = now.Add(registryInterval)
			if isolated {
				nextRead = now.Add(isolatedRegistryInterval)
			}
		}
	}
	return nil
}

// register reports whether this gateway could be registered.
func (p *Peering) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.options.Registry.Register(ctx, p.options.Self); err != nil {
		p.options.Logger.Warn("failed to register this gateway", zap.Error(err))
		return false
	}
	return true
}

// readRegistry adds registered gateways that are not yet known to the addresses to
// call, each gateway other ones first, but those first that it has not called for
// longest. It returns false if this gateway is known not to be registered.
func (p *Peering) readRegistry(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	registered, err := p.options.Registry.Registered(ctx)
	if err != nil {
		p.options.Logger.Debug("failed to read gateway registry", zap.Error(err))
		return true
	}
	key := rendezvous.Seed(string(p.options.Self.ID))
	until := p.options.Clock.Now().Add(contactTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(registered, func(a, b comfreyworks.GatewayPeer) int {
		return cmp.Or(p.contacted[a.Address].Compare(p.contacted[b.Address]),
			cmp.Compare(rendezvous.Score(rendezvous.Seed(string(a.ID)), key), rendezvous.Score(rendezvous.Seed(string(b.ID)), key)))
	})
	added, listed := 0, false
	contacted := make(map[netip.AddrPort]time.Time)
	for _, other := range registered {
		if at, ok := p.contacted[other.Address]; ok {
			contacted[other.Address] = at
		}
		listed = listed || other.Address == p.options.Self.Address
		m := p.members.members[other.Address]
		if other.Address == p.options.Self.Address || (m != nil && !m.Gone) || added == maxContacts {
			continue
		}
		if _, seed := p.contacts[other.Address]; !seed {
			p.contacts[other.Address], contacted[other.Address] = until, until
			added++
		}
	}
	p.contacted = contacted
	p.requestUpdate()
	return listed
}
