package comfreyworks

import (
	"context"
	"time"
)

// PrefixLevelChange is one level that an upstream's cache gained or lost.
type PrefixLevelChange struct {
	Hash uint64
	// Root is the shallowest level of the chain; it decides which directory
	// shard the change belongs to.
	Root   uint64
	Tokens int32
	Held   bool
}

// DirectoryReport is what one sidecar tells a directory shard about its
// upstream.
type DirectoryReport struct {
	Instance    InstanceID
	Incarnation Incarnation
	Weights     WeightsVersion
	// Sequence grows by one with each report to this shard.
	Sequence uint64
	// Full means that Changes lists everything the upstream holds.
	Full bool
	// Leaving means that the upstream takes no new work.
	Leaving bool
	// Down means that the upstream does not answer.
	Down    bool
	Changes []PrefixLevelChange
	// QueuedTokens and Running describe the upstream's queue.
	QueuedTokens int
	Running      int
	// PrefillTime is the time to compute one prompt token.
	PrefillTime time.Duration
}

// DirectoryShard takes reports; its implementation may be in another process.
type DirectoryShard interface {
	// Report returns true when the shard needs a full report next.
	Report(ctx context.Context, report DirectoryReport) (bool, error)
}
