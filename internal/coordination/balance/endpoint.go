package balance

import (
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// minProbeInterval is how long after its last answer an upstream without requests,
	// which others outpace, receives one to measure its latency anew. The interval
	// doubles up to maxProbeInterval with each probe that is not twice as fast.
	minProbeInterval = 750 * time.Millisecond
	maxProbeInterval = 12 * time.Second
	// probeLatencyFactor is the latency that such an upstream counts with, relative to
	// the fastest one, so that only requests that would wait there probe it.
	probeLatencyFactor = 1.5
	// maxRetrialTime is how long one request without an answer keeps others from an
	// upstream that was avoided.
	maxRetrialTime = 800 * time.Millisecond
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

// mayProbe reports whether the latency may be measured anew by one request.
func (e *endpoint) mayProbe(now time.Time) bool {
	return e.requests == 0 && now.Sub(e.answeredAt) >= max(e.probeInterval, minProbeInterval)
}

// updateLatency adds the latency of an answer to the moving average. That of a probe
// replaces the average if it is twice as fast.
func (e *endpoint) updateLatency(elapsed time.Duration, isProbe bool) {
	switch {
	case e.latency == 0:
		e.latency = elapsed
		return
	case isProbe && elapsed <= e.latency/2:
		e.latency, e.probeInterval = elapsed, 0
		return
	case isProbe:
		e.probeInterval = min(2*max(e.probeInterval, minProbeInterval), maxProbeInterval)
	}
	e.latency += time.Duration(latencyWeight * float64(elapsed-e.latency))
}

// recordFailure counts a failure. Once there are threshold consecutive failures,
// the upstream is avoided. Failures while it is avoided already are attributed to
// those before.
func (e *endpoint) recordFailure(now time.Time, threshold int) {
	if now.Before(e.avoidUntil) {
		return
	}
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
		p.endRetrial(now, false)
		p.endpoint.recordFailure(now, minFailuresToAvoid)
	}
}

// startRetrial keeps other requests from an upstream that has not answered since it was
// avoided. It returns false if the upstream has answered.
func (e *endpoint) startRetrial() bool {
	if e.avoidUntil.IsZero() {
		return false
	}
	e.retrialUntil = e.seenAt.Add(maxRetrialTime)
	return true
}

// endRetrial ends the request as a retrial, once. An answer ends the avoidance. The
// mutex must be held.
func (p *Pick) endRetrial(now time.Time, answered bool) {
	if !p.isRetrial {
		return
	}
	p.isRetrial = false
	p.endpoint.retrialUntil = time.Time{}
	if answered && !now.Before(p.endpoint.avoidUntil) {
		p.endpoint.avoidUntil = time.Time{}
	}
}
