// Package upstream talks to the systems behind a sidecar over HTTP: model
// engines with an OpenAI-compatible completion call, and plain services.
//
// # Usage
//
//	engine := upstream.NewEngine(address, httpClient)
//	usage, err := engine.Generate(ctx, request, func(p comfreyworks.GeneratedToken) error {
//		buffer.Append(p.Text)
//		return nil
//	})
//
// Errors carry a Kind; only KindNotSent promises that the upstream has not
// seen the request.
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

// CompletionRequest is the body of a completion call to an engine.
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

// CompletionChunk is one event of a completion's stream. The last chunk has a
// usage and no text.
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

// UsageDetails splits the prompt tokens.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Order tells an engine which weights to serve.
type Order struct {
	// Fencing grows with each order; an engine that checks refuses older ones.
	Fencing uint64                      `json:"fencing"`
	Model   comfreyworks.Model          `json:"model"`
	Weights comfreyworks.WeightsVersion `json:"weights"`
}

// KeepOrder asks an engine to export or import a prefix.
type KeepOrder struct {
	// Key stands for the prefix in the store.
	Key uint64 `json:"key"`
	// Request and Tokens say what to export: the first tokens of its prompt.
	Request comfreyworks.RequestID `json:"request,omitempty"`
	Tokens  int                    `json:"tokens,omitempty"`
}

// KeepAnswer says how many tokens were exported or imported.
type KeepAnswer struct {
	Tokens int `json:"tokens"`
}

// streamEnd is the data of the event that ends a completion's stream.
const streamEnd = "[DONE]"
