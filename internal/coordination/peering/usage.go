package peering

import (
	"comfreyworks"
	"comfreyworks/internal/coordination/usage"
)

// unknownGateways is the number of gateways that may be running if this one has never
// heard of another although there should be some. Deployments have up to 340, but most
// have fewer than this.
const unknownGateways = 64

// requestUsage adds the usage counts of this gateway and of its leaves to a request to a
// partner. The mutex must be held.
func (p *Peering) requestUsage(request *comfreyworks.GatewayState, to *member) {
	if !p.partners[to.Address] || !p.options.Usage.Active() {
		return
	}
	request.UsageKnown = to.usageKnown
	request.Usage, request.UsageList, request.UsageGateways = p.options.Usage.Near(to.usageSent)
	request.UsageWhole = to.usageSent == 0
}

// replyUsage adds usage counts to a reply: to a leaf those of all others, to a relay
// those of this gateway and of its leaves. The mutex must be held.
func (p *Peering) replyUsage(reply, to *comfreyworks.GatewayState) {
	if to.UsageList.Process == 0 || !p.options.Usage.Active() {
		return
	}
	known := to.UsageKnown
	if to.Role == comfreyworks.PeerLeaf {
		reply.Usage, reply.UsageList, reply.UsageWhole, reply.UsageGateways = p.options.Usage.All(to.Self.ID, known)
		return
	}
	reply.UsageWhole = known.Process != p.options.Usage.Process()
	if reply.UsageWhole {
		known.Version = 0
	}
	reply.Usage, reply.UsageList, reply.UsageGateways = p.options.Usage.Near(known.Version)
}

// recordUsageRequest stores the usage counts in a request. The sums of relays are
// stored only by relays: others get them from their own relay.
func (p *Peering) recordUsageRequest(request *comfreyworks.GatewayState) {
	if request.UsageList.Process != 0 && (p.relay || request.Role == comfreyworks.PeerLeaf) {
		p.options.Usage.Record(usageNews(request, request.Role))
	}
}

// recordUsageReply stores the usage counts in a reply and up to which version each side
// knows the counts of the other. The mutex must be held.
func (p *Peering) recordUsageReply(m *member, reply, request *comfreyworks.GatewayState) {
	if request.Role != p.role() || !p.partners[m.Address] || request.UsageList.Process == 0 || reply.UsageList.Process == 0 {
		m.usageKnown, m.usageSent = comfreyworks.ListVersion{}, 0
		return
	}
	m.usageSent = request.UsageList.Version
	p.options.Usage.Confirm()
	if m.usageKnown.Process != reply.UsageList.Process {
		// Another process answered than the one that got the earlier requests.
		m.usageSent = 0
	}
	m.usageKnown = reply.UsageList
	if p.relay && reply.Role != comfreyworks.PeerRelay {
		return
	}
	news := usageNews(reply, request.Role)
	news.Near = false
	p.options.Usage.Record(news)
}

// usageNews returns the usage counts in a state. Caller is the role of the gateway that
// made the call.
func usageNews(state *comfreyworks.GatewayState, caller comfreyworks.PeerRole) usage.News {
	return usage.News{
		From: state.Self.ID, Near: caller == comfreyworks.PeerLeaf, Relays: caller == comfreyworks.PeerRelay, List: state.UsageList, Whole: state.UsageWhole,
		Gateways: state.UsageGateways, Counts: state.Usage,
	}
}

// setUsageGateways tells the limiter how many gateways may be running: those that are
// known, also if they have been silent for a while. The mutex must be held.
func (p *Peering) setUsageGateways() {
	gateways := len(p.members.members) + 1
	if gateways == 1 && (len(p.contacts) > 0 || p.options.Registry != nil) {
		gateways = unknownGateways
	}
	p.options.Usage.SetGateways(gateways)
}
