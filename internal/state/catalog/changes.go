package catalog

import (
	"time"

	"comfreyworks"
)

// DeclarationAfter returns what was declared after a position: the routing if it
// has changed since, and the latest weights revisions.
func (c *Catalog) DeclarationAfter(after comfreyworks.Position) *comfreyworks.Declaration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &comfreyworks.Declaration{
		Weights: make(map[comfreyworks.Model]comfreyworks.WeightsRevision, len(c.weights)),
		Next:    c.declared.Position,
	}
	if table := c.table.Load(); table != nil && c.routingChangedAt > after {
		d.Routing = table.Declared()
	}
	for model, weights := range c.weights {
		d.Weights[model] = weights.Revision
	}
	return d
}

// UpstreamsAfter returns the changes of the list of upstreams after a position.
// Entries in which only the sequence number changed are left out. The result is
// the whole list if the list was restored since or if not all changes since the
// position are known. Upstreams in their grace period are left
// out for a receiver that has yet to start one.
func (c *Catalog) UpstreamsAfter(after comfreyworks.Position) *comfreyworks.UpstreamChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	changes := &comfreyworks.UpstreamChanges{
		Since: after, Next: c.listed.Position, Checksum: c.currentChecksum(now), Former: c.formerReleases(now),
	}
	restored := after < c.restoredAt
	if restored || !c.known.includes(after) {
		changes.Since, changes.Whole, changes.Restored = 0, true, c.restoredAt
	}
	changes.Undecoded = c.undecodedAfter(changes.Since)
	for id, e := range c.entries {
		if !e.removeAt.IsZero() && after > 0 {
			if !changes.Whole && e.lapsedAt > after {
				changes.Gone = append(changes.Gone, id)
			}
			continue
		}
		if !e.removeAt.IsZero() {
			if changes.Lapsed == nil {
				changes.Lapsed = make(map[comfreyworks.InstanceID]time.Duration)
			}
			changes.Lapsed[id] = e.removeAt.Sub(now)
		}
		if changes.Whole || e.changedAt > after {
			changes.Present = append(changes.Present, e.upstream)
		}
	}
	if changes.Whole {
		return changes
	}
	for _, removed := range c.removals {
		if _, listed := c.entries[removed.id]; !listed && removed.at > after {
			changes.Gone = append(changes.Gone, removed.id)
		}
	}
	return changes
}
