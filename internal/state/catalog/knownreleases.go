package catalog

import (
	"maps"
	"slices"
	"time"

	"comfreyworks"
)

// RecordReleases makes streams begin at a new release only once it is recorded or
// maxRecordWait has passed. It must be called before the catalog is used.
func (c *Catalog) RecordReleases() { c.recordsReleases = true }

// listIsFresh reports whether the list of upstreams contains every release at which
// streams begin. The mutex must be held.
func (c *Catalog) listIsFresh(now time.Time) bool {
	return now.Sub(c.listed.ConfirmedAt) < releaseSettleTime
}

// knowsReleases reports whether all releases are known that began streams which may
// still be taken up. The mutex must be held.
func (c *Catalog) knowsReleases(now time.Time) bool { return now.Sub(c.knownSince) >= releaseMemory }

// KnowsReleases reports whether the list of upstreams was read and all releases are
// known that began streams which may still be taken up.
func (c *Catalog) KnowsReleases() bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.listed.ConfirmedAt.IsZero() && c.knowsReleases(now)
}

// WantsReleases reports whether this gateway should ask others which releases they know
// or which of them are recorded.
func (c *Catalog) WantsReleases() bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed.ConfirmedAt.IsZero() || !c.knowsReleases(now) || (c.recordsReleases && c.hasUnrecorded())
}

// hasUnrecorded reports whether there is a release that is not recorded. The mutex must
// be held.
func (c *Catalog) hasUnrecorded() bool {
	for _, spans := range c.releases {
		for _, span := range spans {
			if !span.recorded {
				return true
			}
		}
	}
	return false
}

// KnownReleases returns the releases that this gateway knows, to be sent to another one,
// or nil if its list of upstreams is too old.
func (c *Catalog) KnownReleases() *comfreyworks.KnownReleases {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listIsFresh(now) {
		return nil
	}
	known := &comfreyworks.KnownReleases{For: min(now.Sub(c.knownSince), releaseMemory)}
	for pool, spans := range c.releases {
		for release, span := range spans {
			if span.isForgotten(now) {
				continue
			}
			r := comfreyworks.KnownRelease{
				Pool: pool, Release: release, Listed: span.leftAt.IsZero(), Recorded: span.recorded,
				SettlesIn: max(0, span.settledAt.Sub(now)),
			}
			if !r.Listed {
				r.LeftAgo = now.Sub(span.leftAt)
			}
			known.Releases = append(known.Releases, r)
		}
	}
	return known
}

// LearnReleases adds what a peer knows, whose list of upstreams was confirmed at readAt.
// It has no effect if this gateway has no list yet or if the peer's one is so much older
// than what this gateway knows itself that a release may have served in between.
func (c *Catalog) LearnReleases(known *comfreyworks.KnownReleases, readAt time.Time) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listed.ConfirmedAt.IsZero() || len(known.Releases) > maxFormerReleases || c.knownSince.Sub(readAt) >= releaseSettleTime {
		return
	}
	for i := range known.Releases {
		c.learnRelease(&known.Releases[i], now)
	}
	c.extendKnownSince(now.Add(-min(known.For, releaseMemory)))
	c.publish(now)
}

// learnRelease adds a release that a peer knows. The mutex must be held.
func (c *Catalog) learnRelease(r *comfreyworks.KnownRelease, now time.Time) {
	spans := c.spansOf(r.Pool)
	span, ok := spans[r.Release]
	leftAt := now
	if !r.Listed {
		leftAt = now.Add(-max(r.LeftAgo, 0))
	}
	switch {
	case !ok || span.isForgotten(now):
		span = releaseSpan{leftAt: leftAt}
	case !span.leftAt.IsZero() && !c.knowsReleases(now):
		// It may have returned and left again unnoticed.
		span.leftAt = comfreyworks.Later(span.leftAt, leftAt)
	}
	if span.enteredAt.IsZero() {
		span.settledAt = now.Add(min(max(r.SettlesIn, 0), releaseSettleTime))
		if r.SettlesIn > 0 {
			span.enteredAt, span.recordBy = now, now.Add(maxRecordWait)
		}
	}
	span.countsFrom, span.recorded = time.Time{}, span.recorded || r.Recorded
	spans[r.Release] = span
}

// spansOf returns the releases of a pool, also if none of its upstreams is listed. The
// mutex must be held.
func (c *Catalog) spansOf(pool comfreyworks.Pool) map[string]releaseSpan {
	if c.releases[pool] == nil {
		c.releases[pool] = make(map[string]releaseSpan)
	}
	return c.releases[pool]
}

// extendKnownSince records that all releases are known since a time. The mutex must be
// held.
func (c *Catalog) extendKnownSince(since time.Time) {
	if since.Before(c.knownSince) {
		c.knownSince = since
	}
}

// ApplyReleaseRecord adds the releases of a record, in a read that started at readAt.
// Those that are not listed count as having left just now: the record does not tell when
// they did. It has no effect if the list of upstreams was not known by readAt.
func (c *Catalog) ApplyReleaseRecord(record comfreyworks.ReleaseRecord, readAt time.Time) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listed.ConfirmedAt.IsZero() || readAt.Before(c.knownSince) {
		return
	}
	listed := c.listedReleases()
	for pool, releases := range record.Pools {
		spans := c.spansOf(pool)
		for _, release := range releases {
			span := spans[release]
			if !listed[pool][release] {
				// If it returns, other gateways may have forgotten it or never known it.
				span.leftAt, span.settledAt = now, now.Add(releaseSettleTime)
			}
			// A record without one of several releases may be on its way to the store.
			span.countsFrom, span.recorded = time.Time{}, span.recorded || len(releases) == 1
			spans[release] = span
		}
		for release := range listed[pool] {
			span := spans[release]
			if !span.enteredAt.IsZero() {
				continue
			}
			span.settledAt, span.recordBy = time.Time{}, time.Time{}
			if !slices.Contains(releases, release) || slices.Contains(record.New[pool], release) {
				span = newReleaseSpan(now)
			}
			spans[release] = span
		}
	}
	c.recorded = &record
	c.extendKnownSince(now.Add(-releaseMemory))
	c.publish(now)
}

// AddRecorded adds the releases of the newest record that this gateway has never known,
// before it replaces the record: another one with a newer list may have recorded them.
func (c *Catalog) AddRecorded(record comfreyworks.ReleaseRecord) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool, releases := range record.Pools {
		spans := c.spansOf(pool)
		for _, release := range releases {
			expiredAt, expired := c.expired[pool][release]
			if _, ok := spans[release]; !ok && (!expired || now.Sub(expiredAt) > removalTime) {
				spans[release] = releaseSpan{enteredAt: now, leftAt: now, settledAt: now.Add(releaseSettleTime)}
			}
		}
	}
}

// ReleaseRecording describes the record of releases that the store should have.
type ReleaseRecording struct {
	Record comfreyworks.ReleaseRecord
	// Due means that the store may have another record. MustAppend means that one has to
	// be appended even if the newest one is the same: an earlier one may still arrive.
	Due, MustAppend bool
	// at is when the record was put together.
	at time.Time
}

// ReleasesToRecord returns the record that the store should have. None is due as long as
// not all releases are known.
func (c *Catalog) ReleasesToRecord() ReleaseRecording {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeForgottenReleases(now)
	if !c.listIsFresh(now) || !c.knowsReleases(now) {
		return ReleaseRecording{}
	}
	r := ReleaseRecording{Record: c.releaseRecord(now), MustAppend: c.hasUnrecorded(), at: now}
	r.Due = r.MustAppend || c.recorded == nil || !c.recorded.Equal(r.Record)
	return r
}

// releaseRecord returns all releases. The mutex must be held.
func (c *Catalog) releaseRecord(now time.Time) comfreyworks.ReleaseRecord {
	record := comfreyworks.ReleaseRecord{
		Pools: make(map[comfreyworks.Pool][]string, len(c.releases)), New: make(map[comfreyworks.Pool][]string),
	}
	for pool, spans := range c.releases {
		for _, release := range slices.Sorted(maps.Keys(spans)) {
			record.Pools[pool] = append(record.Pools[pool], release)
			if spans[release].settledAt.After(now) {
				record.New[pool] = append(record.New[pool], release)
			}
		}
	}
	return record
}

// ReleasesRecorded records that the store has the record of a ReleaseRecording. Releases
// that have entered service since are not affected.
func (c *Catalog) ReleasesRecorded(r *ReleaseRecording) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool, releases := range r.Record.Pools {
		for _, release := range releases {
			if span, ok := c.releases[pool][release]; ok && !span.enteredAt.After(r.at) {
				span.recorded = true
				c.releases[pool][release] = span
			}
		}
	}
	c.recorded = &r.Record
	c.publish(now)
}
