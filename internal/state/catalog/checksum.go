package catalog

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

const (
	// minDoubtPause is the minimum time between two doubts in the list of upstreams. It
	// doubles with each one up to maxDoubtPause, so that gateways that keep different
	// lists for a reason that a read does not remove do not overload the source.
	minDoubtPause = time.Second
	maxDoubtPause = time.Minute
	// restorePause is the time without checksums after a restore of the list. Entries of
	// the copy may be older than those that some gateways know.
	restorePause = 10 * time.Second
)

// doubt is the suspicion that the list of upstreams is not what the source held at its
// position. Only a whole list from the source removes it.
type doubt struct {
	open bool
	// notBefore is the earliest time of the next doubt, pause the time after that one.
	notBefore time.Time
	pause     time.Duration
}

// UpstreamsDoubtful reports whether a peer had another list of upstreams at the same
// position. The whole list must then be read from the source.
func (c *Catalog) UpstreamsDoubtful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doubt.open
}

// UpstreamsVerified records that the whole list was read from the source and applied.
func (c *Catalog) UpstreamsVerified() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubt.open = false
}

// compare compares the list with that of the sender of changes that were applied. It
// reports whether there is a new doubt. The mutex must be held.
func (c *Catalog) compare(changes *comfreyworks.UpstreamChanges, now time.Time) bool {
	own := c.currentChecksum(now)
	if own == 0 || changes.Checksum == 0 || own == changes.Checksum || c.doubt.open || now.Before(c.doubt.notBefore) {
		return false
	}
	c.doubt.open = true
	c.doubt.pause = min(max(2*c.doubt.pause, minDoubtPause), maxDoubtPause)
	c.doubt.notBefore = now.Add(c.doubt.pause)
	return true
}

// currentChecksum returns the checksum of the list for peers, or zero if lists may differ
// for a time. The mutex must be held.
func (c *Catalog) currentChecksum(now time.Time) uint32 {
	if c.lapsed > 0 || now.Before(c.checksumsFrom) {
		return 0
	}
	return c.checksum
}

// updateChecksum computes the checksum of all entries. Of undecodable ones only the IDs
// count, as long as all of them are remembered. It is never zero, and does not depend on
// sequence numbers, which gateways do not pass on. The mutex must be held.
func (c *Catalog) updateChecksum() {
	c.lapsed = 0
	var sum uint64
	for id, e := range c.entries {
		if !e.removeAt.IsZero() {
			c.lapsed++
		}
		if _, undecoded := c.undecoded[id]; undecoded {
			continue
		}
		sum += contentHash(&e.upstream)
	}
	if len(c.undecoded) < maxUndecoded {
		for id := range c.undecoded {
			sum += xxhash.Sum64String(string(id))
		}
	}
	c.checksum = max(1, uint32(sum))
}

// contentHash returns the hash of what sameContent compares.
func contentHash(u *comfreyworks.Upstream) uint64 {
	var content []byte
	for _, field := range []string{string(u.ID), string(u.Pool), string(u.Zone), u.Address.String(), string(u.State), u.Release} {
		content = append(append(content, field...), 0)
	}
	content = binary.AppendVarint(content, int64(u.Slots))
	content = binary.AppendVarint(content, u.Started.UnixNano())
	sum := xxhash.Sum64(content)
	for model, revision := range u.Weights {
		sum += xxhash.Sum64(binary.AppendUvarint([]byte(model), uint64(revision)))
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, sum))
}
