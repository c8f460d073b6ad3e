package balance

import (
	"math"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// homeWeightExponent makes the share of sessions that have an engine as their
	// first home grow faster than its speed. While engines are not fully used, a prompt
	// is answered sooner where it is also read faster.
	homeWeightExponent = 1.5
	// homeWeightStep is the ratio between two weights. Gateways that measure slightly
	// different speeds thus mostly agree on the homes of a session.
	homeWeightStep = 1.25
	// quietTokens is the number of prompt tokens that an engine may be reading for
	// its events to count as not delayed by prompts.
	quietTokens = 256
)

// scaled returns the time that something takes at a speed; the zero speed counts as 1.
func scaled(d time.Duration, speed float64) time.Duration {
	if speed == 1 || speed == 0 {
		return d
	}
	return comfreyworks.Duration(float64(d)/speed, 1)
}

// wait is the estimated time until the prompt's prefill starts.
func (c *candidate) wait() time.Duration {
	return scaled(time.Duration(c.tokensAhead)*prefillTime, c.pace.Prefill)
}

// runningTime is the estimated time that the running requests add to a new one.
func (c *candidate) runningTime() time.Duration {
	return scaled(time.Duration(c.requests)*runningRequestTime, c.pace.Decode)
}

// slowPrefill is the time that the engine takes longer for a number of prompt tokens
// than the usual one. It is negative for a faster engine.
func (c *candidate) slowPrefill(tokens int) time.Duration {
	usual := time.Duration(tokens) * prefillTime
	return scaled(usual, c.pace.Prefill) - usual
}

// rankHomes returns the indexes of the n upstreams with the highest scores for a key,
// the highest first. While engines differ, faster ones are ranked first more often.
func (b *Balancer) rankHomes(view *catalog.PoolView, key uint64, n int) []int {
	if !b.options.Pace.Differs() {
		return highestScores(view.Seeds, key, n)
	}
	return highest(len(view.Seeds), n, func(i int) uint64 {
		return rendezvous.Weighted(rendezvous.Score(view.Seeds[i], key), b.homeWeight(&view.Upstreams[i]))
	})
}

// homeWeight returns the weight of an engine in the choice of homes.
func (b *Balancer) homeWeight(upstream *comfreyworks.Upstream) float64 {
	speed := b.options.Pace.Lasting(upstream).Prefill
	if speed == 1 {
		return 1
	}
	steps := homeWeightExponent * math.Log(speed) / math.Log(homeWeightStep)
	return math.Pow(homeWeightStep, math.Round(steps))
}

// FirstEvent records the time to the first event of a stream, from which the speed of
// the engine is estimated and which shows whether short prompts wait too long.
func (p *Pick) FirstEvent() {
	b := p.balancer
	if p.query.Model == "" {
		return
	}
	now := b.options.Clock.Now()
	elapsed := now.Sub(p.sentAt)
	b.options.Pace.ObservePrefill(&p.Upstream, p.tokensBefore, elapsed)
	b.mu.Lock()
	b.recordFirstEvent(&p.query, elapsed, now)
	b.mu.Unlock()
}

// Events records that a number of events of a stream arrived within a time.
func (p *Pick) Events(n int, elapsed time.Duration) {
	b := p.balancer
	if p.query.Model == "" {
		return
	}
	now := b.options.Clock.Now()
	b.mu.Lock()
	reading := p.endpoint.backlog
	remote := b.peers.load(p.Upstream.ID, now).Unread
	b.mu.Unlock()
	reading.Add(&remote)
	b.options.Pace.ObserveDecode(&p.Upstream, n, elapsed, reading.Ahead(comfreyworks.NumPriorities-1) > quietTokens)
}

// Gap records the time between two events of a stream and the permitted one.
func (p *Pick) Gap(gap, permitted time.Duration) {
	if p.query.Model != "" {
		p.balancer.options.Pace.ObserveGap(&p.Upstream, gap, permitted)
	}
}
