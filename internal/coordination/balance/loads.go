package balance

import (
	"time"

	"comfreyworks"
)

const (
	// Loads of at most idleRequests requests and idleTokens tokens to prefill are
	// left out of the sum for a leaf. They delay a request by less than what it costs
	// to leave the first home.
	idleRequests = 2
	idleTokens   = 4096
	// maxPeerRequests limits what is believed of the counts in one report.
	maxPeerRequests = 1 << 20
)

// peerLoads holds the loads that peers reported, and their sum, so that the load
// of an upstream is found without looking at each peer.
type peerLoads struct {
	reports map[comfreyworks.InstanceID]loadReport
	sum     map[comfreyworks.InstanceID]comfreyworks.UpstreamLoad
	// nextExpiry is no later than the earliest expiry of a report; zero means that
	// there are no reports.
	nextExpiry time.Time
}

// loadReport holds the loads that one peer reported. They count until the given
// time.
type loadReport struct {
	loads []comfreyworks.UpstreamLoad
	until time.Time
}

func newPeerLoads() peerLoads {
	return peerLoads{
		reports: make(map[comfreyworks.InstanceID]loadReport),
		sum:     make(map[comfreyworks.InstanceID]comfreyworks.UpstreamLoad),
	}
}

// load returns the total load that peers have put on an upstream.
func (p *peerLoads) load(id comfreyworks.InstanceID, now time.Time) comfreyworks.UpstreamLoad {
	p.removeExpired(now)
	return p.sum[id]
}

// set replaces the report of a peer.
func (p *peerLoads) set(peer comfreyworks.InstanceID, report loadReport) {
	p.remove(peer)
	p.reports[peer] = report
	for _, load := range report.loads {
		p.add(load, 1)
	}
	if p.nextExpiry.IsZero() || report.until.Before(p.nextExpiry) {
		p.nextExpiry = report.until
	}
}

// remove removes the report of a peer.
func (p *peerLoads) remove(peer comfreyworks.InstanceID) {
	for _, load := range p.reports[peer].loads {
		p.add(load, -1)
	}
	delete(p.reports, peer)
}

// add adds a load to the sum, multiplied by sign.
func (p *peerLoads) add(load comfreyworks.UpstreamLoad, sign int) {
	total := p.sum[load.ID]
	total.ID = load.ID
	total.Requests += sign * load.Requests
	total.Unreachable += sign * load.Unreachable
	total.Memory += sign * load.Memory
	for priority, tokens := range load.Unread {
		total.Unread[priority] += sign * tokens
	}
	if total.Requests == 0 && total.Unreachable == 0 && total.Memory == 0 && total.Unread == (comfreyworks.PrefillBacklog{}) {
		delete(p.sum, load.ID)
		return
	}
	p.sum[load.ID] = total
}

// removeExpired removes the reports that no longer count.
func (p *peerLoads) removeExpired(now time.Time) {
	if p.nextExpiry.IsZero() || now.Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = time.Time{}
	for peer, report := range p.reports {
		if !now.Before(report.until) {
			p.remove(peer)
		} else if p.nextExpiry.IsZero() || report.until.Before(p.nextExpiry) {
			p.nextExpiry = report.until
		}
	}
}

// SetGateways sets the number of gateways, including this one; zero means that it is
// not known.
func (b *Balancer) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = n
}

// SetPeerLoads sets the loads that a peer reports, of itself or of several
// gateways. They count until the given time. Counts that make no sense are corrected in
// place.
func (b *Balancer) SetPeerLoads(peer comfreyworks.InstanceID, loads []comfreyworks.UpstreamLoad, until time.Time) {
	for i := range loads {
		loads[i].Requests = min(max(loads[i].Requests, 0), maxPeerRequests)
		loads[i].Unreachable = min(max(loads[i].Unreachable, 0), maxPeerRequests)
		loads[i].Memory = min(max(loads[i].Memory, 0), maxPeerRequests)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.set(peer, loadReport{loads: loads, until: until})
}

// RemovePeer removes the loads and demands that a peer reported.
func (b *Balancer) RemovePeer(peer comfreyworks.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.demands.reports, peer)
	b.peers.remove(peer)
}

// LocalLoads returns the load that this gateway has put on each upstream.
func (b *Balancer) LocalLoads() []comfreyworks.UpstreamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.localLoads()
}

func (b *Balancer) localLoads() []comfreyworks.UpstreamLoad {
	now := b.options.Clock.Now()
	var loads []comfreyworks.UpstreamLoad
	for id, e := range b.endpoints {
		load := comfreyworks.UpstreamLoad{ID: id, Requests: e.requests, Unread: e.backlog, Memory: e.running.reportedMemory()}
		if (e.unreachable && now.Before(e.avoidUntil)) || e.isSilent(b.permittedGap(id), now) {
			load.Unreachable = 1
		}
		if load.Requests > 0 || load.Unreachable > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// SumLoads returns the sum of the loads of this gateway and those that the given
// peers reported.
func (b *Balancer) SumLoads(peers map[comfreyworks.InstanceID]bool) []comfreyworks.UpstreamLoad {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.removeExpired(now)
	sum := newPeerLoads()
	sum.set("", loadReport{loads: b.localLoads()})
	for peer := range peers {
		if report, ok := b.peers.reports[peer]; ok {
			sum.set(peer, report)
		}
	}
	return sum.list(0, 0)
}

// AllLoadsExcept returns the sum of the loads of this gateway and all that peers
// reported, without the report of one peer and without upstreams that are almost
// idle.
func (b *Balancer) AllLoadsExcept(peer comfreyworks.InstanceID) []comfreyworks.UpstreamLoad {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.removeExpired(now)
	excluded := b.peers.reports[peer]
	local := b.localLoads()
	b.peers.remove(peer)
	for _, load := range local {
		b.peers.add(load, 1)
	}
	loads := b.peers.list(idleRequests, idleTokens)
	for _, load := range local {
		b.peers.add(load, -1)
	}
	if !excluded.until.IsZero() {
		b.peers.set(peer, excluded)
	}
	return loads
}

// list returns the sums with more than the given number of requests or tokens to
// prefill.
func (p *peerLoads) list(requests, tokens int) []comfreyworks.UpstreamLoad {
	loads := make([]comfreyworks.UpstreamLoad, 0, len(p.sum))
	for _, load := range p.sum {
		if load.Unreachable > 0 || load.Requests > requests || load.Unread.Ahead(comfreyworks.NumPriorities-1) > tokens {
			loads = append(loads, load)
		}
	}
	return loads
}
