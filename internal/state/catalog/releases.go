package catalog

import (
	"maps"
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
	// recordMargin is how much longer than releaseMemory a release is recorded. Gateways
	// with an older list of upstreams used it for longer than the one that records it.
	recordMargin = 5 * time.Second
	// removalTime is how long after a release expired the record is replaced by one without
	// it. If that fails for longer, the release is recorded for another releaseMemory.
	removalTime = 10 * time.Second
	// maxFormerReleases limits the releases that are accepted from one peer.
	maxFormerReleases = 256
	// unrecordedRelease stands for the releases at which streams may have begun while no
	// record contained them. No upstream runs it.
	unrecordedRelease = "(unrecorded)"
)

// releaseSpan is the time in which upstreams of a pool ran a release.
type releaseSpan struct {
	// settledAt is when this gateway lets streams begin at the release, countsFrom
	// the earliest time at which another one may.
	settledAt, countsFrom time.Time
	// leftAt is when the last upstream that runs the release was removed; zero if
	// there is one.
	leftAt time.Time
	// enteredAt is when this gateway saw or learned that the release entered service;
	// zero if it was listed before this gateway started, as far as is known.
	enteredAt time.Time
	// recorded means that a record which contains the release was written since it
	// entered service. needsRecord means that the newest record may lack it otherwise.
	recorded, needsRecord bool
}

// awaitsRecord reports whether a record without the release may be the newest one.
func (s *releaseSpan) awaitsRecord() bool { return s.needsRecord && !s.recorded }

// newReleaseSpan returns the span of a release that entered service.
func newReleaseSpan(now time.Time) releaseSpan {
	return releaseSpan{enteredAt: now, settledAt: now.Add(releaseSettleTime), needsRecord: true}
}

// updateKnownSince restarts the time since which all releases are known if the list of
// upstreams, last confirmed at lastConfirmedAt, may have missed one: a release serves no
// sooner than releaseSettleTime after it was listed. The mutex must be held.
func (c *Catalog) updateKnownSince(lastConfirmedAt, now time.Time) {
	if now.Sub(lastConfirmedAt) >= releaseSettleTime {
		c.knownSince = now
	}
}

// updateReleases records the releases of the listed upstreams. The list before was
// confirmed at lastConfirmedAt. The mutex must be held.
func (c *Catalog) updateReleases(lastConfirmedAt, now time.Time) {
	c.removeForgottenReleases(now)
	for pool, listed := range c.listedReleases() {
		spans := c.releases[pool]
		if spans == nil {
			c.releases[pool] = c.firstReleases(pool, listed, now)
			continue
		}
		for release := range listed {
			span, known := spans[release]
			if !known || span.mayBeUnknown(now) {
				counts := known && !span.isForgotten(now)
				span = newReleaseSpan(now)
				if !counts {
					span.countsFrom = lastConfirmedAt.Add(releaseSettleTime)
				}
			}
			span.leftAt = time.Time{}
			spans[release] = span
		}
	}
	c.markRemovedReleases(now)
}

// mayBeUnknown reports whether a release that returns may be unknown to other gateways:
// they have not seen it before it left, or have forgotten it. A record without it may then
// still be on its way to the store.
func (s releaseSpan) mayBeUnknown(now time.Time) bool {
	return !s.leftAt.IsZero() && (s.settledAt.After(s.leftAt) || now.Sub(s.leftAt) > releaseMemory/2)
}

// listedReleases returns the listed releases of each pool, without those of upstreams in
// their grace period. The mutex must be held.
func (c *Catalog) listedReleases() map[comfreyworks.Pool]map[string]bool {
	pools := make(map[comfreyworks.Pool]map[string]bool)
	for _, e := range c.entries {
		if !e.removeAt.IsZero() {
			continue
		}
		listed := pools[e.upstream.Pool]
		if listed == nil {
			listed = make(map[string]bool)
			pools[e.upstream.Pool] = listed
		}
		listed[e.upstream.Release] = true
	}
	return pools
}

// firstReleases returns the releases of a pool of which nothing was known. If there are
// several, one of them may be new, until the record or a peer tells which. If releases are
// recorded, the one whose upstream started first is assumed to be. The mutex must be held.
func (c *Catalog) firstReleases(pool comfreyworks.Pool, listed map[string]bool, now time.Time) map[string]releaseSpan {
	spans := make(map[string]releaseSpan, len(listed))
	for release := range listed {
		var span releaseSpan
		if len(listed) > 1 {
			span.settledAt, span.needsRecord = now.Add(releaseSettleTime), true
		}
		spans[release] = span
	}
	if oldest := c.oldestRelease(pool); c.recordsReleases && listed[oldest] {
		spans[oldest] = releaseSpan{}
	}
	return spans
}

// oldestRelease returns the release of the live upstream of a pool that started first, or
// the empty string if there is none. The mutex must be held.
func (c *Catalog) oldestRelease(pool comfreyworks.Pool) string {
	var oldest *comfreyworks.Upstream
	for _, e := range c.entries {
		if e.upstream.Pool != pool || e.upstream.State != comfreyworks.InstanceLive {
			continue
		}
		if oldest == nil || e.upstream.Started.Before(oldest.Started) ||
			(e.upstream.Started.Equal(oldest.Started) && e.upstream.ID < oldest.ID) {
			oldest = &e.upstream
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.Release
}

// markRemovedReleases sets the time of removal of releases that are no longer listed.
// The mutex must be held.
func (c *Catalog) markRemovedReleases(now time.Time) {
	listed := c.listedReleases()
	for pool, spans := range c.releases {
		for release, span := range spans {
			if !listed[pool][release] && span.leftAt.IsZero() {
				span.leftAt = now
				spans[release] = span
			}
		}
	}
}

// removeForgottenReleases removes releases that need no longer be recorded. The mutex
// must be held.
func (c *Catalog) removeForgottenReleases(now time.Time) {
	for pool, spans := range c.releases {
		for release, span := range spans {
			if !span.leftAt.IsZero() && now.Sub(span.leftAt) > releaseMemory+recordMargin {
				delete(spans, release)
				c.addExpired(pool, release, now)
			}
		}
	}
}

// addExpired records that a former release was removed. The mutex must be held.
func (c *Catalog) addExpired(pool comfreyworks.Pool, release string, now time.Time) {
	if c.expired[pool] == nil {
		c.expired[pool] = make(map[string]time.Time)
	}
	maps.DeleteFunc(c.expired[pool], func(_ string, at time.Time) bool { return now.Sub(at) > removalTime })
	c.expired[pool][release] = now
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

// unsettled returns the releases of a pool at which no stream may begin yet, with the time
// until then, or nil if there are none. A gateway whose list is up to releaseSettleTime older
// takes another release for the only one if there was one in the last time. The mutex must
// be held.
func (c *Catalog) unsettled(pool comfreyworks.Pool, now time.Time) map[string]time.Time {
	if !c.recordsReleases {
		return nil
	}
	unsettled := make(map[string]time.Time)
	known := 0
	for release, span := range c.releases[pool] {
		if span.isForgotten(now) {
			continue
		}
		known++
		if span.settledAt.After(now) {
			unsettled[release] = span.settledAt
		}
	}
	if known < 2 {
		return nil
	}
	return unsettled
}

// unrecorded returns the releases of a pool at which no stream may begin until they are
// recorded, or nil if there are none. As long as an upstream of a recorded release is live,
// streams begin at recorded ones only: after all gateways have ended, the record then contains
// every release at which one began. If none is known to be recorded, one of them may be all
// the same, because an append without an answer may have taken effect. Streams then begin at
// the release whose upstream started first, which was recorded first. The mutex must be held.
func (c *Catalog) unrecorded(pool comfreyworks.Pool) map[string]bool {
	if !c.recordsReleases {
		return nil
	}
	oldest := ""
	if !c.hasLiveRecorded(pool) {
		oldest = c.oldestRelease(pool)
	}
	var unrecorded map[string]bool
	for release, span := range c.releases[pool] {
		if span.awaitsRecord() && release != oldest {
			if unrecorded == nil {
				unrecorded = make(map[string]bool)
			}
			unrecorded[release] = true
		}
	}
	return unrecorded
}

// hasLiveRecorded reports whether an upstream of a pool that is not leaving, also one in its
// grace period, runs a release that does not wait for a record. The mutex must be held.
func (c *Catalog) hasLiveRecorded(pool comfreyworks.Pool) bool {
	for _, e := range c.entries {
		if e.upstream.Pool != pool || e.upstream.State != comfreyworks.InstanceLive {
			continue
		}
		if span, ok := c.releases[pool][e.upstream.Release]; ok && !span.awaitsRecord() {
			return true
		}
	}
	return false
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
// continued. It returns false if there may be several, if the list of upstreams is too
// old to tell, or if it is not known which releases were in service while such streams
// began.
func (c *Catalog) OnlyRelease(pool comfreyworks.Pool) (release string, ok bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listIsFresh(now) || !c.knowsReleases(now) {
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
