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
	c.graceEnd = now.Add(lapsedGracePeriod)
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
