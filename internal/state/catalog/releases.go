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
	// one of them is new, so that all gateways learn of it first.
	releaseSettleTime = 1500 * time.Millisecond
	// maxReleaseListAge is the age of the list of upstreams up to which it counts as
	// containing all releases.
	maxReleaseListAge = 2500 * time.Millisecond
)

// releaseSpan is the time in which upstreams of a pool ran a release.
type releaseSpan struct {
	// settledAt is when streams may begin at the release.
	settledAt time.Time
	// leftAt is when the last upstream that runs the release was removed; zero if
	// there is one.
	leftAt time.Time
}

// updateReleases records the releases of the listed upstreams. The mutex must be held.
func (c *Catalog) updateReleases(now time.Time) {
	for _, spans := range c.releases {
		for release, span := range spans {
			if span.leftAt.IsZero() {
				span.leftAt = now
				spans[release] = span
			}
		}
	}
	isNew := make(map[comfreyworks.Pool]bool)
	for _, e := range c.entries {
		pool, release := e.upstream.Pool, e.upstream.Release
		if c.releases[pool] == nil {
			c.releases[pool] = make(map[string]releaseSpan)
			isNew[pool] = true
		}
		span, known := c.releases[pool][release]
		if !known && !isNew[pool] {
			span.settledAt = now.Add(releaseSettleTime)
		}
		span.leftAt = time.Time{}
		c.releases[pool][release] = span
	}
	for _, spans := range c.releases {
		for release, span := range spans {
			if !span.leftAt.IsZero() && now.Sub(span.leftAt) > releaseMemory {
				delete(spans, release)
			}
		}
	}
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

// OnlyRelease returns the release that began all streams of a pool that may still be
// continued. It returns false if there may be several, or if the list of upstreams is
// too old to tell.
func (c *Catalog) OnlyRelease(pool comfreyworks.Pool) (release string, ok bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.listed.ConfirmedAt) > maxReleaseListAge {
		return "", false
	}
	n := 0
	for candidate, span := range c.releases[pool] {
		if span.leftAt.IsZero() || now.Sub(span.leftAt) <= releaseMemory {
			release = candidate
			n++
		}
	}
	return release, n <= 1
}
