package balance

import (
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
)

const (
	// staleWeightsAfter is how long superseded weights are treated like current
	// ones. Their answers are worth less from 1.5 s on.
	staleWeightsAfter = 1200 * time.Millisecond
	// supersededWeightsMargin is how much of Options.SupersededWeights must be left
	// for a request to be sent to superseded weights, in addition to the time for
	// the prompts queued at the engine. It covers the network latency to the
	// engine, the delay with which declarations arrive and the requests that peers
	// send in the meantime.
	supersededWeightsMargin = 800 * time.Millisecond
	// withdrawalMargin is how much of Options.SupersededWeights must be left for a request
	// to go on waiting for the begin of its answer on superseded weights. It covers the
	// time until the upstream notices that the request has been withdrawn.
	withdrawalMargin = 250 * time.Millisecond
	// unknownAgeLimit is how long a gateway uses superseded weights after it learned
	// of newer ones, whenever these were declared. It is long enough to load new
	// weights after all gateways have failed, and ends before a gateway that was cut
	// off or frozen counts as working again.
	unknownAgeLimit = 1500 * time.Millisecond
)

// Weights returns the newest revision that an upstream is known to serve.
func (b *Balancer) Weights(upstream *comfreyworks.Upstream, model comfreyworks.Model) comfreyworks.WeightsRevision {
	b.mu.Lock()
	defer b.mu.Unlock()
	revision := upstream.Weights[model]
	if e, ok := b.endpoints[upstream.ID]; ok && e.started.Equal(upstream.Started) {
		revision = max(revision, e.weights[model])
	}
	return revision
}

// mayUseSuperseded reports whether the superseded weights of a candidate may still
// generate an answer. Their age counts from the earliest time at which newer ones
// may have been declared: a gateway that was frozen or cut off learns of them late.
func (b *Balancer) mayUseSuperseded(c *candidate, successor catalog.Supersession, now time.Time) bool {
	if b.options.SupersededWeights == 0 {
		return true
	}
	wait := max(c.wait(), c.endpoint.running.longestWait(now))
	return !now.Add(wait).After(supersededUntil(successor, b.options.SupersededWeights-supersededWeightsMargin))
}

// supersededUntil returns until when superseded weights may be used if their age is limited.
func supersededUntil(successor catalog.Supersession, limit time.Duration) time.Time {
	return comfreyworks.Later(successor.NotBefore.Add(limit), successor.LearnedAt.Add(min(limit, unknownAgeLimit)))
}

// MustBeginBy returns until when the answer may begin on the weights with which the request
// was sent. If they are not superseded yet, it returns the earliest time at which it could be
// too late, and false. A zero time means that there is no limit.
func (p *Pick) MustBeginBy() (by time.Time, superseded bool) {
	options := &p.balancer.options
	if options.SupersededWeights == 0 || p.query.Model == "" {
		return time.Time{}, false
	}
	limit := options.SupersededWeights - withdrawalMargin
	successor, superseded := options.Catalog.Weights(p.query.Model).Superseded(p.Weights)
	if !superseded {
		return options.Clock.Now().Add(limit), false
	}
	return supersededUntil(successor, limit), true
}
