package comfreyworks

import (
	"context"
	"time"
)

// GenerateRequest asks a model engine for one completion.
type GenerateRequest struct {
	// ID identifies the caller's request.
	ID RequestID
	// Model names the model, Weights the version that must generate the answer.
	Model   Model
	Weights WeightsVersion
	Adapter Adapter
	// CacheSalt keeps the cached blocks of workspaces apart.
	CacheSalt string
	// Prompt is the whole prompt as text.
	Prompt string
	// MaxTokens is the maximum length of the answer in tokens, counted from its
	// start and not from ResumeFrom.
	MaxTokens int
	// Priority orders the engine's queue. Larger values are served first, unlike
	// in AttemptOptions.
	Priority int
	// ResumeFrom is the number of answer tokens the caller already has.
	ResumeFrom int
}

// GeneratedToken is one generated token.
type GeneratedToken struct {
	// Index is the token's position in the answer, starting at zero.
	Index int
	Text  string
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens int
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens     int
	CompletionTokens int
}

// CacheEventKind tells whether cached blocks were stored or removed.
type CacheEventKind string

// Kinds of cache events.
const (
	BlocksStored  CacheEventKind = "stored"
	BlocksRemoved CacheEventKind = "removed"
)

// CacheEvent reports blocks that entered or left an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each event; a gap means that events were lost.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Request is the request whose prompt was stored; empty on removal.
	Request RequestID `json:"request,omitempty"`
	// Blocks are the engine's own block hashes. For stored blocks they cover
	// the prompt in order, starting with its first block.
	Blocks []uint64 `json:"blocks"`
}

// CacheEvents is the result of one read of an engine's event stream.
type CacheEvents struct {
	Incarnation Incarnation  `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheSnapshot lists every block that an engine holds.
type CacheSnapshot struct {
	Incarnation Incarnation `json:"incarnation"`
	// Sequence is the sequence number of the last event that the snapshot
	// includes.
	Sequence uint64   `json:"sequence"`
	Blocks   []uint64 `json:"blocks"`
}

// EngineLoad is the load that an engine reports; it lags behind the actual load.
type EngineLoad struct {
	Incarnation Incarnation `json:"incarnation"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens not yet prefilled.
	PrefillTokens int `json:"prefill-tokens"`
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens int `json:"block-tokens"`
	// Weights is the version of the weights that the engine serves.
	Weights WeightsVersion `json:"weights"`
}

// Engine is a sidecar's connection to its model engine.
type Engine interface {
	// Generate calls emit for each generated token and returns when the answer
	// is complete. Cancelling the context also cancels the request at the
	// engine. An error from emit stops the stream and is returned.
	Generate(ctx context.Context, req GenerateRequest, emit func(GeneratedToken) error) (Usage, error)
	// Events returns the cache events after a sequence number. If there are
	// none yet, it waits up to wait for the first one.
	Events(ctx context.Context, after uint64, wait time.Duration) (CacheEvents, error)
	// Snapshot returns the complete list of blocks in the prefix cache.
	Snapshot(ctx context.Context) (CacheSnapshot, error)
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (EngineLoad, error)
}
