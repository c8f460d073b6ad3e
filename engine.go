package comfreyworks

import (
	"context"
	"time"
)

// GenerateRequest asks a model engine for one completion.
type GenerateRequest struct {
	// ID is the caller's request.
	ID RequestID
	// Model names the model, Weights the version that must answer.
	Model   Model
	Weights WeightsVersion
	Adapter Adapter
	// CacheSalt separates the cached blocks of workspaces.
	CacheSalt string
	// Prompt is the whole prompt as text.
	Prompt string
	// MaxTokens bounds the answer, in tokens, counted from its start and not
	// from ResumeFrom.
	MaxTokens int
	// Priority orders the engine's queue; larger goes first.
	Priority int
	// ResumeFrom is the number of answer tokens the caller already has.
	ResumeFrom int
}

// GeneratedToken is one generated token.
type GeneratedToken struct {
	// Index is the token's place in the answer, from zero.
	Index int
	// Text is the token's text.
	Text string
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// CacheEventKind tells what happened to a cached block.
type CacheEventKind string

// Kinds of cache events.
const (
	BlocksStored  CacheEventKind = "stored"
	BlocksRemoved CacheEventKind = "removed"
)

// CacheEvent reports blocks that entered or left an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each event; a gap means a lost event.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Request is the request whose prompt was stored; empty on removal.
	Request RequestID `json:"request,omitempty"`
	// Blocks are the engine's own block hashes. On storage they cover the
	// prompt from its first block on, in order.
	Blocks []uint64 `json:"blocks"`
}

// CacheEvents is one read of an engine's event stream.
type CacheEvents struct {
	Incarnation Incarnation  `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheSnapshot lists every block that an engine holds.
type CacheSnapshot struct {
	Incarnation Incarnation `json:"incarnation"`
	// Sequence is the last event that the snapshot includes.
	Sequence uint64   `json:"sequence"`
	Blocks   []uint64 `json:"blocks"`
}

// EngineLoad is an engine's own report of its work; it lags.
type EngineLoad struct {
	Incarnation Incarnation `json:"incarnation"`
	Running     int         `json:"running"`
	Waiting     int         `json:"waiting"`
	// PrefillTokens is the number of prompt tokens not yet computed.
	PrefillTokens int `json:"prefill-tokens"`
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens int `json:"block-tokens"`
	// Weights is the version that the engine serves.
	Weights WeightsVersion `json:"weights"`
}

// Engine is a model engine as its sidecar sees it.
type Engine interface {
	// Generate streams the answer to emit and returns when it is complete. A
	// cancelled context cancels the engine's work. An error from emit stops
	// the stream and is returned.
	Generate(ctx context.Context, req GenerateRequest, emit func(GeneratedToken) error) (Usage, error)
	// Events returns the cache events after a sequence number, waiting up to
	// wait for the first one.
	Events(ctx context.Context, after uint64, wait time.Duration) (CacheEvents, error)
	// Snapshot returns the whole content of the prefix cache.
	Snapshot(ctx context.Context) (CacheSnapshot, error)
	// Load returns the engine's last load report.
	Load(ctx context.Context) (EngineLoad, error)
}
