package catalog

import (
	"time"

	"comfreyworks"
)

const (
	// maxClockLead is how far the clock of an upstream may be ahead of that of a gateway.
	maxClockLead = time.Hour
	// maxEntries is the number of entries that an upstream may write at once after its
	// start, beyond one each millisecond since.
	maxEntries = 1 << 20
)

// isOlder reports whether an entry belongs to an earlier incarnation than the
// known one or was written earlier in the same incarnation. An entry of another writer
// may look newer than all that the upstream itself will write, so that a plausible entry
// is not older than one that is not.
func isOlder(upstream, known *comfreyworks.Upstream, now time.Time) bool {
	if isPlausible(upstream, now) && !isPlausible(known, now) {
		return false
	}
	if !upstream.Started.Equal(known.Started) {
		return upstream.Started.Before(known.Started)
	}
	return upstream.Sequence < known.Sequence
}

// isPlausible reports whether an upstream may have written the entry by now. If the clock
// of this gateway is far behind, no entry is plausible, and their order is what they say.
func isPlausible(upstream *comfreyworks.Upstream, now time.Time) bool {
	running := now.Sub(upstream.Started)
	return running >= -maxClockLead && upstream.Sequence <= maxEntries+uint64(max(running, 0).Milliseconds())
}
