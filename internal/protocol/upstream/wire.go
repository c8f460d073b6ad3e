// Package upstream contains the HTTP clients with which a sidecar calls its
// upstream: a model engine with an OpenAI-compatible API for completions, or a
// plain service.
//
// # Usage
//
//	engine := upstream.NewEngine(address, httpClient)
//	usage, err := engine.Generate(ctx, request, func(token comfreyworks.GeneratedToken) error {
//		buffer.Append(token.Text)
//		return nil
//	})
//
// Each error has a Kind. Only KindNotSent guarantees that the upstream has not
// received the request.
package upstream

import (
	"comfreyworks"
)

// Paths of an engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathEvents      = "/cache/events"
	PathSnapshot    = "/cache/snapshot"
	PathExport      = "/cache/export"
	PathImport      = "/cache/import"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// CompletionRequest is the body of a completion request to an engine.
type CompletionRequest struct {
	RequestID  comfreyworks.RequestID      `json:"request_id"`
	Model      comfreyworks.Model          `json:"model"`
	Weights    comfreyworks.WeightsVersion `json:"weights"`
	Adapter    comfreyworks.Adapter        `json:"adapter,omitempty"`
	CacheSalt  string                      `json:"cache_salt"`
	Prompt     string                      `json:"prompt"`
	MaxTokens  int                         `json:"max_tokens"`
	Priority   int                         `json:"priority"`
	ResumeFrom int                         `json:"resume_from,omitempty"`
	Stream     bool                        `json:"stream"`
}

// CompletionChunk is the data of one event of a completion's stream. The last
// chunk holds the token counts and no text.
type CompletionChunk struct {
	Index int              `json:"index"`
	Text  string           `json:"text,omitempty"`
	Usage *CompletionUsage `json:"usage,omitempty"`
}

// CompletionUsage counts the tokens of a completion.
type CompletionUsage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails tells how many of the prompt tokens were cached.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// WeightsOrder orders an engine to serve other weights.
type WeightsOrder struct {
	// Fencing grows with each order. An engine that checks it refuses orders that
	// are older than the last one it accepted.
	Fencing uint64                      `json:"fencing"`
	Model   comfreyworks.Model          `json:"model"`
	Weights comfreyworks.WeightsVersion `json:"weights"`
}

// OffloadRequest asks an engine to export a prefix to the cache store or to import
// it from there.
type OffloadRequest struct {
	// Key identifies the prefix in the store.
	Key uint64 `json:"key"`
	// Request and Tokens are set for an export, which copies the first tokens of
	// the request's prompt.
	Request comfreyworks.RequestID `json:"request,omitempty"`
	Tokens  int                    `json:"tokens,omitempty"`
}

// OffloadResponse holds the number of tokens that were exported or imported.
type OffloadResponse struct {
	Tokens int `json:"tokens"`
}

// doneData is the data of the last event of a completion's stream.
const doneData = "[DONE]"
