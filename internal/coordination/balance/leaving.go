package balance

import (
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
)

// departureRetention is how long it is remembered that an incarnation is leaving
// after it was last listed. A source that returns from an outage may list it once
// more.
const departureRetention = 10 * time.Minute

// departures holds the incarnations that have said that they are leaving. Unlike the
// observations of an endpoint, that remains true for the rest of the incarnation,
// whatever the list of upstreams says. It is not synchronized.
type departures map[comfreyworks.InstanceID]departure

// departure is an incarnation that is leaving.
type departure struct {
	started  time.Time
	listedAt time.Time
}

// has reports whether an incarnation is leaving.
func (d departures) has(upstream *comfreyworks.Upstream) bool {
	known, ok := d[upstream.ID]
	return ok && known.started.Equal(upstream.Started)
}

// add adds an incarnation. It returns false if that is known already, or if the
// known one is later.
func (d departures) add(incarnation comfreyworks.UpstreamIncarnation, now time.Time) bool {
	if known, ok := d[incarnation.ID]; ok && !known.started.Before(incarnation.Started) {
		return false
	}
	d[incarnation.ID] = departure{started: incarnation.Started, listedAt: now}
	return true
}

// prune removes incarnations that have not been listed for departureRetention.
func (d departures) prune(listed *catalog.Catalog, now time.Time) {
	for id, known := range d {
		if upstream, ok := listed.Upstream(id); ok && upstream.Started.Equal(known.started) {
			known.listedAt = now
			d[id] = known
		} else if now.Sub(known.listedAt) > departureRetention {
			delete(d, id)
		}
	}
}

// IsLeaving reports whether an incarnation of an upstream has said, to this or
// another gateway, that it is leaving.
func (b *Balancer) IsLeaving(upstream *comfreyworks.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.has(upstream)
}

// Leaving returns the listed incarnations that have said that they are leaving.
func (b *Balancer) Leaving() []comfreyworks.UpstreamIncarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var leaving []comfreyworks.UpstreamIncarnation
	for id := range b.leaving {
		if upstream, ok := b.options.Catalog.Upstream(id); ok && b.leaving.has(&upstream) {
			leaving = append(leaving, upstream.Incarnation())
		}
	}
	return leaving
}

// AddLeaving applies what a peer knows of incarnations that are leaving. Those that
// are not listed are ignored: the peer repeats them as long as it lists them.
func (b *Balancer) AddLeaving(peer comfreyworks.InstanceID, leaving []comfreyworks.UpstreamIncarnation) {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, incarnation := range leaving {
		upstream, ok := b.options.Catalog.Upstream(incarnation.ID)
		if ok && upstream.Started.Equal(incarnation.Started) && b.leaving.add(incarnation, now) {
			b.options.Logger.Info("a peer reports that an upstream is leaving", zap.String("upstream", string(incarnation.ID)),
				zap.Time("started", incarnation.Started), zap.String("peer", string(peer)))
		}
	}
}
