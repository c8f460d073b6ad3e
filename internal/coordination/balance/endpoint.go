package balance

import (
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

// endpoint returns the observations of an upstream. A restarted upstream gets an
// empty record.
func (b *Balancer) endpoint(upstream *comfreyworks.Upstream, now time.Time) *endpoint {
	e, ok := b.endpoints[upstream.ID]
	if !ok || !e.started.Equal(upstream.Started) {
		e = &endpoint{
			seed: rendezvous.Seed(string(upstream.ID)), started: upstream.Started,
			weights: make(map[comfreyworks.Model]comfreyworks.WeightsRevision),
		}
		b.endpoints[upstream.ID] = e
	}
	e.seenAt = now
	return e
}

func (e *endpoint) updateLatency(elapsed time.Duration) {
	if e.latency == 0 {
		e.latency = elapsed
		return
	}
	e.latency += time.Duration(latencyWeight * float64(elapsed-e.latency))
}

// recordFailure counts a failure. Once there are threshold consecutive failures,
// the upstream is avoided.
func (e *endpoint) recordFailure(now time.Time, threshold int) {
	e.failures++
	if e.failures < threshold {
		return
	}
	e.avoidUntil = now.Add(min(baseAvoidTime<<min(e.failures-threshold, 10), maxAvoidTime))
}

// Silent counts the silence of the upstream as the failure of this request, while the
// request still waits for it. Further calls have no effect.
func (p *Pick) Silent() {
	now := p.balancer.options.Clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if !p.silent {
		p.silent = true
		p.endpoint.recordFailure(now, minFailuresToAvoid)
	}
}
