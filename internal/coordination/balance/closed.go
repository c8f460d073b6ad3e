package balance

import (
	"time"

	"go.uber.org/zap"

	"comfreyworks"
)

const (
	// maxTrials is the number of requests without an answer above which an upstream
	// that was closed takes requests without limit again. It starts with one, and each
	// answer doubles it.
	maxTrials = 16
	// returnInterval is the time after which the number doubles without an answer too.
	// Upstreams turn requests away at once, while answers may take seconds.
	returnInterval = 250 * time.Millisecond
)

// closure keeps the requests of this gateway from an upstream that wants none for
// some time, and lets them return by degrees. The zero value lets all pass. It is
// not synchronized.
type closure struct {
	until time.Time
	// limit is the number of requests that may be without an answer at the same time
	// right after the end; zero means any. trials counts them.
	limit, trials int
}

// closed reports whether the upstream wants no requests.
func (c *closure) closed(now time.Time) bool { return now.Before(c.until) }

// admits reports whether a request may be sent.
func (c *closure) admits(now time.Time) bool {
	limit := c.currentLimit(now)
	return !c.closed(now) && (limit == 0 || c.trials < limit)
}

// currentLimit returns the number of requests that may be without an answer at a time
// after the end; zero means any.
func (c *closure) currentLimit(now time.Time) int {
	limit := c.limit
	for after := now.Sub(c.until); limit > 0 && limit <= maxTrials && after >= returnInterval; after -= returnInterval {
		limit *= 2
	}
	if limit > maxTrials {
		return 0
	}
	return limit
}

// extend closes the upstream for a time from now on, unless it is closed longer.
func (c *closure) extend(now time.Time, closedFor time.Duration) {
	c.until = comfreyworks.Later(c.until, now.Add(closedFor))
	c.limit = 1
}

// start counts a request while their number is limited. It returns false if it is
// not.
func (c *closure) start() bool {
	if c.limit == 0 {
		return false
	}
	c.trials++
	return true
}

// end ends a request that start has counted. It returns true if the number of
// requests is no longer limited from now on.
func (c *closure) end(now time.Time, answered bool) bool {
	c.trials--
	if c.limit == 0 || c.closed(now) {
		return false
	}
	if answered {
		c.limit *= 2
	}
	if c.currentLimit(now) != 0 {
		return false
	}
	c.limit = 0
	return true
}

// endTrial ends the request as a trial, once. The mutex must be held.
func (p *Pick) endTrial(now time.Time, answered bool) {
	p.endRetrial(now, answered)
	if !p.trial {
		return
	}
	p.trial = false
	if p.endpoint.closure.end(now, answered && !p.turnedAway) {
		p.balancer.options.Logger.Info("upstream takes requests as before again", zap.String("upstream", string(p.Upstream.ID)))
	}
}

// Advise applies the advice of an incarnation of an upstream.
func (b *Balancer) Advise(upstream *comfreyworks.Upstream, advice comfreyworks.UpstreamAdvice) {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if advice.Leaving && b.leaving.add(upstream.Incarnation(), now) {
		b.options.Logger.Info("upstream says that it is leaving", zap.String("upstream", string(upstream.ID)), zap.Time("started", upstream.Started))
	}
	if known, ok := b.endpoints[upstream.ID]; advice.ClosedFor <= 0 || (ok && known.started.After(upstream.Started)) {
		return
	}
	e := b.endpoint(upstream, now)
	if !e.closure.closed(now) {
		b.options.Logger.Info("upstream wants no requests for some time", zap.String("upstream", string(upstream.ID)), zap.Duration("for", advice.ClosedFor))
	}
	e.closure.extend(now, advice.ClosedFor)
}

// Advise applies the advice in an answer of the chosen upstream.
func (p *Pick) Advise(advice comfreyworks.UpstreamAdvice) {
	p.balancer.Advise(&p.Upstream, advice)
	if advice.ClosedFor > 0 {
		p.balancer.mu.Lock()
		p.turnedAway = true
		p.balancer.mu.Unlock()
	}
}

// ClosedFor returns how much longer an incarnation of an upstream wants no requests
// from this gateway; zero means that it takes requests.
func (b *Balancer) ClosedFor(upstream *comfreyworks.Upstream) time.Duration {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedFor(upstream, now)
}

func (b *Balancer) closedFor(upstream *comfreyworks.Upstream, now time.Time) time.Duration {
	e, ok := b.endpoints[upstream.ID]
	if !ok || !e.started.Equal(upstream.Started) {
		return 0
	}
	return max(e.closure.until.Sub(now), 0)
}

// OpensIn returns the time, in whole milliseconds, after which the first upstream of
// a pool takes requests again. It returns false unless all live upstreams are closed.
func (b *Balancer) OpensIn(pool comfreyworks.Pool) (time.Duration, bool) {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Duration
	for _, upstream := range b.options.Catalog.Upstreams(pool) {
		if upstream.State != comfreyworks.InstanceLive || b.leaving.has(&upstream) {
			continue
		}
		closed := b.closedFor(&upstream, now)
		if closed == 0 {
			return 0, false
		}
		if first == 0 || closed < first {
			first = closed
		}
	}
	return (first + time.Millisecond - 1).Truncate(time.Millisecond), first > 0
}
