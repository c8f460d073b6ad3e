package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreyworks"
)

const (
	// maxWitnesses is the number of upstreams of a pool that a record names as witnesses. It
	// is replaced when fewer than minWitnesses of them are left.
	maxWitnesses = 6
	minWitnesses = 2
)

// RecordReleases makes streams begin at a new release only once it is recorded, as long as
// an upstream of a recorded one is listed. It must be called before the catalog is used.
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
				Pool: pool, Release: release, Listed: span.leftAt.IsZero(), Recorded: span.recorded, AwaitsRecord: span.awaitsRecord(),
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
			span.enteredAt = now
		}
		if r.AwaitsRecord || (r.SettlesIn > 0 && !ok) {
			span.needsRecord = true
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

// ApplyNoEarlierReleases records that no gateway has run with the store before a read that
// started at readAt. It has no effect if the list of upstreams was not known by then.
func (c *Catalog) ApplyNoEarlierReleases(readAt time.Time) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listed.ConfirmedAt.IsZero() || readAt.Before(c.knownSince) {
		return
	}
	c.recorded = &comfreyworks.ReleaseRecord{}
	c.extendKnownSince(now.Add(-releaseMemory))
	c.publish(now)
}

// ApplyReleaseRecord adds the releases of a record, in a read that started at readAt.
// Those that are not listed count as having left just now: the record does not tell when
// they did. So does unrecordedRelease in a pool of which no witness is live. It has no
// effect if the list of upstreams was not known by readAt.
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
			span.settledAt, span.needsRecord = time.Time{}, false
			if !slices.Contains(releases, release) || slices.Contains(record.New[pool], release) {
				span = newReleaseSpan(now)
			}
			spans[release] = span
		}
	}
	for pool := range c.releases {
		if record.Witnesses != nil && !slices.ContainsFunc(record.Witnesses[pool], c.isLive) {
			c.spansOf(pool)[unrecordedRelease] = releaseSpan{enteredAt: now, leftAt: now, recorded: true}
		}
	}
	c.recorded = &record
	c.extendKnownSince(now.Add(-releaseMemory))
	c.publish(now)
}

// isLive reports whether an incarnation of an upstream is listed or in its grace period, and
// not leaving. The mutex must be held.
func (c *Catalog) isLive(incarnation comfreyworks.UpstreamIncarnation) bool {
	e, ok := c.entries[incarnation.ID]
	return ok && e.upstream.State == comfreyworks.InstanceLive && e.upstream.Incarnation().Equal(incarnation)
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
	c.recorded = &record
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
		Witnesses: c.witnesses(),
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

// witnesses returns the witnesses of each pool: those of the newest record, or other
// upstreams if fewer than minWitnesses of them are left. The mutex must be held.
func (c *Catalog) witnesses() map[comfreyworks.Pool][]comfreyworks.UpstreamIncarnation {
	live := make(map[comfreyworks.Pool][]comfreyworks.UpstreamIncarnation)
	for _, e := range c.entries {
		if e.removeAt.IsZero() && e.upstream.State == comfreyworks.InstanceLive {
			live[e.upstream.Pool] = append(live[e.upstream.Pool], e.upstream.Incarnation())
		}
	}
	witnesses := make(map[comfreyworks.Pool][]comfreyworks.UpstreamIncarnation, len(c.releases))
	for pool, spans := range c.releases {
		if len(spans) > 0 {
			witnesses[pool] = c.poolWitnesses(pool, live[pool])
		}
	}
	return witnesses
}

// poolWitnesses returns the witnesses of one pool with the given live upstreams. The mutex
// must be held.
func (c *Catalog) poolWitnesses(pool comfreyworks.Pool, live []comfreyworks.UpstreamIncarnation) []comfreyworks.UpstreamIncarnation {
	if c.recorded != nil {
		recorded := c.recorded.Witnesses[pool]
		left := 0
		for _, witness := range recorded {
			if c.isLive(witness) {
				left++
			}
		}
		if left >= min(minWitnesses, len(live)) {
			return recorded
		}
	}
	slices.SortFunc(live, func(a, b comfreyworks.UpstreamIncarnation) int { return cmp.Compare(a.ID, b.ID) })
	return live[:min(len(live), maxWitnesses)]
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
