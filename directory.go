package comfreyworks

import (
	"context"
	"time"
)

// PrefixLevelChange reports one prefix level that an upstream's cache gained or
// lost.
type PrefixLevelChange struct {
	// Hash identifies the level, as in PrefixLevel.
	Hash uint64
	// Root is the hash of the shallowest level of the chain. It determines the
	// directory shard that the change is sent to.
	Root uint64
	// Tokens is the length of the prefix in tokens.
	Tokens int32
	// Held is true if the cache gained the level and false if it lost it.
	Held bool
}

// DirectoryReport describes the state of one upstream. Its sidecar sends it to
// a directory shard.
type DirectoryReport struct {
	Instance    InstanceID
	Incarnation Incarnation
	Weights     WeightsVersion
	// Sequence grows by one with each report to this shard.
	Sequence uint64
	// Full means that Changes lists every level that the upstream holds.
	Full bool
	// Leaving means that the upstream accepts no new requests.
	Leaving bool
	// Down means that the upstream does not answer.
	Down    bool
	Changes []PrefixLevelChange
	// QueuedTokens is the number of prompt tokens not yet prefilled.
	QueuedTokens int
	// Running is the number of requests at the upstream.
	Running int
	// PrefillTime is the time to prefill one prompt token.
	PrefillTime time.Duration
}

// DirectoryShard receives reports. It may run in another process.
type DirectoryShard interface {
	// Report delivers a report. It returns true if the next report to this shard
	// has to be a full one.
	Report(ctx context.Context, report DirectoryReport) (bool, error)
}
