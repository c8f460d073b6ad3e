package catalog

import (
	"slices"
	"time"

	"comfreyworks"
)

// crossRestore prepares for a whole list that is the first one since the list was
// restored from an earlier copy. Upstreams that it lacks get a grace period,
// because they renew their entries only at their own pace. Entries of upstreams
// whose removal is known are dropped from it.
func (c *Catalog) crossRestore(changes *comfreyworks.UpstreamChanges, now time.Time, change *Change) {
	if changes.Restored <= c.restoredAt {
		return
	}
	c.restoredAt = changes.Restored
	if c.listed.Position == 0 || c.listed.Position >= changes.Restored {
		return
	}
	change.Restored = true
	c.recorded = nil
	c.checksumsFrom = now.Add(restorePause)
	c.beginGrace(now, now)
	removed := make(map[comfreyworks.InstanceID]comfreyworks.Upstream, len(c.removals))
	for _, r := range c.removals {
		removed[r.id] = comfreyworks.Upstream{Started: r.started, Sequence: r.sequence}
	}
	changes.Present = slices.DeleteFunc(slices.Clone(changes.Present), func(upstream comfreyworks.Upstream) bool {
		last, ok := removed[upstream.ID]
		_, listed := c.entries[upstream.ID]
		return ok && !listed && !isOlder(&last, &upstream, now)
	})
}

// redeclareTime is how long after a restore operators may take to declare again what the copy
// lacks. If nothing is declared for as long, it lacked nothing.
const redeclareTime = 4 * time.Second

// redeclaration is the time after a restore of the declarations in which a read shows only
// what the copy contains: a change that was acknowledged after the copy is missing.
type redeclaration struct {
	// restored is the first position since the restore; zero if there was none. since is
	// when this gateway learned of the restore, before the state until then.
	restored comfreyworks.Position
	since    time.Time
	before   SourceState
	// done means that the routing was declared since then.
	done bool
}

// awaited reports whether operators may still have to declare again what was lost.
func (r *redeclaration) awaited(now time.Time) bool {
	return r.restored > 0 && !r.done && now.Sub(r.since) < redeclareTime
}

// limit returns how current the declarations are known to be. As long as a change may be
// missing, nothing confirms them.
func (r *redeclaration) limit(declared SourceState, now time.Time) SourceState {
	if r.awaited(now) {
		return r.before
	}
	return declared
}

// updateRedeclaration takes a restore of the declarations or the end of the time after one
// from a read or from a peer. The mutex must be held.
func (c *Catalog) updateRedeclaration(d *comfreyworks.Declaration, now time.Time) {
	r := &c.redeclaration
	table := c.table.Load()
	switch {
	case d.Restored > r.restored:
		*r = redeclaration{restored: d.Restored, since: now, before: r.limit(c.declared, now), done: d.Redeclared}
	case d.Redeclared && d.Restored == r.restored:
		r.done = true
	case d.Restored == 0 && d.Routing != nil && (table == nil || d.Routing.Version >= table.Version()):
		// A read of what was declared since the position before.
		r.done = true
	}
}

// Redeclared returns the first position since the declarations were restored, or zero, and
// whether they are known to be complete again.
func (c *Catalog) Redeclared() (restored comfreyworks.Position, redeclared bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.redeclaration.restored, !c.redeclaration.awaited(now)
}

// RestoredAt returns the first position since the source of the list of upstreams was last
// restored from an earlier copy, as far as this gateway knows, or zero.
func (c *Catalog) RestoredAt() comfreyworks.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restoredAt
}
