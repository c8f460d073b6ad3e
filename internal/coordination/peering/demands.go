package peering

import (
	"time"

	"comfreyworks"
)

const (
	// demandInterval is the minimum interval at which a gateway sends its demands to a peer.
	// They are sums over the last second, so that more frequent ones would hardly differ.
	demandInterval = 500 * time.Millisecond
	// demandExpiry is how long the demands that a peer reported are used. Two of them may
	// be lost.
	demandExpiry = 2 * time.Second
)

// demandsDue reports whether demands are to be sent to a member now. The mutex must be
// held.
func (p *Peering) demandsDue(to *member) bool {
	now := p.options.Clock.Now()
	if to == nil || now.Sub(to.demandsSentAt) < demandInterval {
		return false
	}
	to.demandsSentAt = now
	return true
}

// addDemands adds the demands of this gateway and of its leaves to a request, if they are
// due.
func (p *Peering) addDemands(state *comfreyworks.GatewayState, to *member, leaves map[comfreyworks.InstanceID]bool) {
	if p.demandsDue(to) {
		state.Demands = p.options.Balancer.SumDemands(leaves)
	}
}

// replyDemands adds the demands of all other gateways to a reply to a leaf, and those of
// this gateway and its leaves to any other one, if they are due.
func (p *Peering) replyDemands(state, to *comfreyworks.GatewayState) {
	if !p.demandsDue(p.members.members[to.Self.Address]) {
		return
	}
	if to.Role == comfreyworks.PeerLeaf {
		state.Demands = p.options.Balancer.AllDemandsExcept(to.Self.ID)
		return
	}
	state.Demands = p.options.Balancer.SumDemands(p.attached())
}

// recordDemands stores the demands that a peer reports, if there are any.
func (p *Peering) recordDemands(from *member, state *comfreyworks.GatewayState, now time.Time) {
	if len(state.Demands) > 0 {
		p.options.Balancer.SetPeerDemands(from.ID, state.Demands, now.Add(demandExpiry))
	}
}
