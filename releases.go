package comfreyworks

import (
	"context"
	"maps"
	"slices"
	"time"
)

// ReleaseRecord lists the software releases of upstreams that are in service, or were
// so recently that callers may still take up streams that began at them.
type ReleaseRecord struct {
	// Pools holds the releases of each pool in increasing order. A pool that it does not
	// contain had none when the record was written.
	Pools map[Pool][]string
	// New lists those of them at which no stream was to begin yet because other gateways
	// might not have known them.
	New map[Pool][]string
	// Witnesses names upstreams of each pool that were live when the record was written. While
	// one of them is live without a break, streams of the pool begin only at releases of this
	// record or of a later one. Nil means that an earlier version wrote the record, which
	// names none.
	Witnesses map[Pool][]UpstreamIncarnation
}

// Equal reports whether two records have the same content.
func (r ReleaseRecord) Equal(other ReleaseRecord) bool {
	return maps.EqualFunc(r.Pools, other.Pools, slices.Equal[[]string]) && maps.EqualFunc(r.New, other.New, slices.Equal[[]string]) &&
		maps.EqualFunc(r.Witnesses, other.Witnesses, func(a, b []UpstreamIncarnation) bool {
			return slices.EqualFunc(a, b, UpstreamIncarnation.Equal)
		})
}

// ReleaseStore keeps the newest ReleaseRecord while no gateway runs.
type ReleaseStore interface {
	// Releases returns the newest record and the offset that the next one will get. The
	// record is nil if there is none, if it cannot be decoded, or if the store has been
	// restored from an earlier copy since it was written: later ones may be lost. Offsets
	// only grow, and are zero only as long as no record was ever appended.
	Releases(ctx context.Context) (record *ReleaseRecord, next Offset, err error)
	// RecordReleases appends a record if its offset would be at, and returns the offset
	// after it. Otherwise, or if the store has been restored since at was returned, it
	// returns false. After an error the record may have been appended or may still be.
	RecordReleases(ctx context.Context, record ReleaseRecord, at Offset) (next Offset, written bool, err error)
}

// KnownReleases is what one gateway tells another about the releases of all pools.
type KnownReleases struct {
	// For is how far back the sender knows all releases that were in service.
	For      time.Duration
	Releases []KnownRelease
}

// KnownRelease is a release that is in service or was so recently.
type KnownRelease struct {
	Pool    Pool
	Release string
	// Listed means that an upstream in the sender's list runs the release. Otherwise
	// LeftAgo is the time since the last one was removed.
	Listed  bool
	LeftAgo time.Duration
	// SettlesIn is the time until streams may begin at the release, apart from Recorded.
	SettlesIn time.Duration
	// Recorded means that the ReleaseStore has a record that contains the release and was
	// written since it entered service.
	Recorded bool
	// AwaitsRecord means that no stream begins at the release as long as one that is recorded
	// is listed.
	AwaitsRecord bool
}
