package catalog

import "time"

// beginGrace begins the grace period after an outage that began at a time, or after a restore.
// The mutex must be held.
func (c *Catalog) beginGrace(outageBegan, now time.Time) {
	c.graceEnd = now.Add(lapsedGracePeriod)
	c.outageBegan, c.steadySince = outageBegan, now
}

// endGrace ends the grace period if the sender of a list has followed it for a time that includes
// the outage: the source worked meanwhile, so what the list lacks has left. The mutex must be
// held.
func (c *Catalog) endGrace(steadyFor time.Duration, now time.Time) {
	if !now.Before(c.graceEnd) || steadyFor <= 0 || now.Add(-steadyFor).After(c.outageBegan) {
		return
	}
	c.graceEnd = now
	for id, e := range c.entries {
		if !e.removeAt.IsZero() {
			e.removeAt = now
			c.entries[id] = e
		}
	}
}

// SteadyFor returns for how long this catalog has followed the list of upstreams without an
// outage; zero if it does not now.
func (c *Catalog) SteadyFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.listed.ConfirmedAt.IsZero() || now.Sub(c.listed.ConfirmedAt) > outageThreshold || now.Before(c.graceEnd) {
		return 0
	}
	return now.Sub(c.steadySince)
}
