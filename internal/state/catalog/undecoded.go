package catalog

import (
	"slices"
	"strings"
	"unicode/utf8"

	"comfreyworks"
)

// maxUndecoded limits the entries that are remembered as undecodable.
const maxUndecoded = 1024

// markUndecoded remembers the entries that cannot be decoded, and forgets in a whole list
// those that it lacks. Gateways that have read a sound entry of the same upstream keep
// that one, others have none, so that the checksum leaves their content out. It reports
// whether the checksum may have changed. The mutex must be held.
func (c *Catalog) markUndecoded(changes *comfreyworks.UpstreamChanges) bool {
	changed := false
	if changes.Whole {
		for id := range c.undecoded {
			// What the list contains was dealt with when it was added.
			if _, listed := c.entries[id]; !slices.Contains(changes.Undecoded, id) && !listed {
				delete(c.undecoded, id)
			}
		}
	}
	for _, id := range changes.Undecoded {
		if strings.ContainsRune(string(id), utf8.RuneError) {
			// No upstream has it, and it depends on the kind of read what replaces its bytes.
			continue
		}
		if _, known := c.undecoded[id]; !known && len(c.undecoded) < maxUndecoded {
			c.undecoded[id] = c.listed.Position
			changed = true
		}
	}
	return changed
}

// undecodedAfter returns the entries that were found undecodable after a position. The
// mutex must be held.
func (c *Catalog) undecodedAfter(after comfreyworks.Position) []comfreyworks.InstanceID {
	var ids []comfreyworks.InstanceID
	for id, at := range c.undecoded {
		if at > after {
			ids = append(ids, id)
		}
	}
	return ids
}
