package catalog

import (
	"time"

	"comfreyworks"
)

const (
	// releaseMemory is how long a release counts after the last upstream that runs it
	// was removed: a caller may take up a stream that it began.
	releaseMemory = 30 * time.Second
	// releaseSettleTime is how long streams begin at other releases of a pool while
	// one of them is new. As long as a list of upstreams is younger, no stream that may
	// be continued began at a release that it does not contain.
	releaseSettleTime = 2 * time.Second
	// startupTime is more than an upstream takes from its start until it is listed.
	startupTime = 10 * time.Second
	// maxFormerReleases limits the former releases that are accepted from one peer.
	maxFormerReleases = 256
)

// releaseSpan is the time in which upstreams of a pool ran a release.
type releaseSpan struct {
	// settledAt is when this gateway lets streams begin at the release, countsFrom
	// the earliest time at which another one may.
	settledAt, countsFrom time.Time
	// leftAt is when the last upstream that runs the release was removed; zero if
	// there is one.
	leftAt time.Time
}

// updateReleases records the releases of the listed upstreams. The list before was
// confirmed at lastConfirmedAt. The mutex must be held.
func (c *Catalog) updateReleases(lastConfirmedAt, now time.Time) {
	c.removeForgottenReleases(now)
	for pool, listed := range c.listedReleases() {
		spans := c.releases[pool]
		if spans == nil {
			c.releases[pool] = firstReleases(listed, now)
			continue
		}
		for release := range listed {
			span, known := spans[release]
			if !known || (!span.leftAt.IsZero() && now.Sub(span.leftAt) > releaseMemory/2) {
				// Some gateways may have forgotten a release that returns.
				span = releaseSpan{settledAt: now.Add(releaseSettleTime), countsFrom: lastConfirmedAt.Add(releaseSettleTime)}
			}
			span.leftAt = time.Time{}
			spans[release] = span
		}
	}
	c.markRemovedReleases(now)
}

// listedReleases returns the listed releases of each pool with the earliest start of
// an upstream that runs it. The mutex must be held.
func (c *Catalog) listedReleases() map[comfreyworks.Pool]map[string]time.Time {
	pools := make(map[comfreyworks.Pool]map[string]time.Time)
	for _, e := range c.entries {
		listed := pools[e.upstream.Pool]
		if listed == nil {
			listed = make(map[string]time.Time)
			pools[e.upstream.Pool] = listed
		}
		if started, ok := listed[e.upstream.Release]; !ok || e.upstream.Started.Before(started) {
			listed[e.upstream.Release] = e.upstream.Started
		}
	}
	return pools
}

// firstReleases returns the releases of a pool that was not listed before. Those whose
// upstreams started long ago were listed long ago.
func firstReleases(listed map[string]time.Time, now time.Time) map[string]releaseSpan {
	spans := make(map[string]releaseSpan, len(listed))
	for release, started := range listed {
		var span releaseSpan
		if len(listed) > 1 && now.Sub(started) < startupTime {
			span.settledAt = now.Add(releaseSettleTime)
		}
		spans[release] = span
	}
	return spans
}

// markRemovedReleases sets the time of removal of releases that are no longer listed.
// The mutex must be held.
func (c *Catalog) markRemovedReleases(now time.Time) {
	listed := c.listedReleases()
	for pool, spans := range c.releases {
		for release, span := range spans {
			if _, ok := listed[pool][release]; !ok && span.leftAt.IsZero() {
				span.leftAt = now
				spans[release] = span
			}
		}
	}
}

// removeForgottenReleases removes releases whose streams can no longer be continued.
// The mutex must be held.
func (c *Catalog) removeForgottenReleases(now time.Time) {
	for _, spans := range c.releases {
		for release, span := range spans {
			if span.isForgotten(now) {
				delete(spans, release)
			}
		}
	}
}

func (s releaseSpan) isForgotten(now time.Time) bool {
	return !s.leftAt.IsZero() && now.Sub(s.leftAt) > releaseMemory
}

// settling returns the releases of a pool at which no stream is to begin yet, with the
// time until then, or nil if there are none. The mutex must be held.
func (c *Catalog) settling(pool comfreyworks.Pool, now time.Time) map[string]time.Time {
	var settling map[string]time.Time
	for release, span := range c.releases[pool] {
		if span.settledAt.After(now) {
			if settling == nil {
				settling = make(map[string]time.Time)
			}
			settling[release] = span.settledAt
		}
	}
	return settling
}

// formerReleases returns the releases that are no longer listed but whose streams may
// still be continued. The mutex must be held.
func (c *Catalog) formerReleases(now time.Time) []comfreyworks.FormerRelease {
	var former []comfreyworks.FormerRelease
	for pool, spans := range c.releases {
		for release, span := range spans {
			if !span.leftAt.IsZero() && !span.isForgotten(now) {
				former = append(former, comfreyworks.FormerRelease{Pool: pool, Release: release, LeftAgo: now.Sub(span.leftAt)})
			}
		}
	}
	return former
}

// addFormerReleases records former releases that a peer knows. The mutex must be held.
func (c *Catalog) addFormerReleases(former []comfreyworks.FormerRelease, now time.Time) {
	for _, f := range former[:min(len(former), maxFormerReleases)] {
		spans := c.releases[f.Pool]
		span := releaseSpan{leftAt: now.Add(-max(f.LeftAgo, 0))}
		known, ok := spans[f.Release]
		if spans != nil && (!ok || known.isForgotten(now)) && !span.isForgotten(now) {
			spans[f.Release] = span
		}
	}
}

// OnlyRelease returns the release that began all streams of a pool that may still be
// continued. It returns false if there may be several, or if the list of upstreams is
// too old to tell. A gateway that has just started knows of former releases only what
// its peers know.
func (c *Catalog) OnlyRelease(pool comfreyworks.Pool) (release string, ok bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.listed.ConfirmedAt) >= releaseSettleTime {
		return "", false
	}
	n := 0
	for candidate, span := range c.releases[pool] {
		if !span.isForgotten(now) && !now.Before(span.countsFrom) {
			release = candidate
			n++
		}
	}
	return release, n <= 1
}

// NeedsOrigins reports whether gateways need to know which release began each stream
// of a pool, or soon will.
func (c *Catalog) NeedsOrigins(pool comfreyworks.Pool) bool {
	if _, ok := c.OnlyRelease(pool); !ok {
		return true
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, span := range c.releases[pool] {
		if !span.isForgotten(now) {
			n++
		}
	}
	return n > 1
}
