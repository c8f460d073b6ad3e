package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/tmaxmax/go-sse"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the upstream has not received the request.
	KindNotSent Kind = "not sent"
	// KindBroken means that the request may have been sent, but no complete and
	// valid response arrived.
	KindBroken Kind = "broken"
	// KindRefused means that the upstream answered with another status than 200.
	KindRefused Kind = "refused"
	// KindStopped means that the emit function passed to Generate returned an
	// error.
	KindStopped Kind = "stopped"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// IsKind reports whether err is an error of this package with the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// maxResponseBytes limits the size of a response body that is not a stream.
const maxResponseBytes = 64 << 20

// Engine is an HTTP client of one model engine.
type Engine struct {
	baseURL    string
	httpClient *http.Client
}

var _ comfreyworks.Engine = (*Engine)(nil)

// NewEngine returns a client for the engine at an address.
func NewEngine(address netip.AddrPort, client *http.Client) *Engine {
	return &Engine{baseURL: "http://" + address.String(), httpClient: httpclient.New(client)}
}

// Generate implements comfreyworks.Engine.
func (e *Engine) Generate(ctx context.Context, req comfreyworks.GenerateRequest, emit func(comfreyworks.GeneratedToken) error) (comfreyworks.Usage, error) {
	body, err := json.Marshal(CompletionRequest{
		RequestID:  req.ID,
		Model:      req.Model,
		Weights:    req.Weights,
		Adapter:    req.Adapter,
		CacheSalt:  req.CacheSalt,
		Prompt:     req.Prompt,
		MaxTokens:  req.MaxTokens,
		Priority:   req.Priority,
		ResumeFrom: req.ResumeFrom,
		Stream:     true,
	})
	if err != nil {
		return comfreyworks.Usage{}, &Error{Op: "generate", Kind: KindNotSent, Err: err}
	}
	resp, err := sendOnce(ctx, e.httpClient, http.MethodPost, e.baseURL+PathCompletions, jsonHeader(), body)
	if err != nil {
		return comfreyworks.Usage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return comfreyworks.Usage{}, refusedError("generate", resp)
	}
	return readStream(resp.Body, emit)
}

// readStream calls emit for each token of a stream and returns the token counts. A
// stream that ends without the event with doneData was cut off and gives an error
// of KindBroken.
func readStream(body io.Reader, emit func(comfreyworks.GeneratedToken) error) (comfreyworks.Usage, error) {
	var usage comfreyworks.Usage
	reader := &progressReader{Reader: body}
	for event, err := range sse.Read(reader, nil) {
		if err != nil {
			return usage, &Error{Op: "generate", Kind: KindBroken, Err: err}
		}
		if event.Data == doneData {
			return usage, nil
		}
		var chunk struct {
			CompletionChunk
			Index *int `json:"index"`
		}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return usage, &Error{Op: "generate", Kind: KindBroken, Err: err}
		}
		if chunk.Usage != nil {
			usage = chunk.Usage.toUsage()
			continue
		}
		if chunk.Index == nil {
			// An error in the form of an event has no index.
			return usage, &Error{Op: "generate", Kind: KindBroken, Err: fmt.Errorf("event that holds no token: %.200q", event.Data)}
		}
		reader.progress()
		if err := emit(comfreyworks.GeneratedToken{Index: *chunk.Index, Text: chunk.Text}); err != nil {
			return usage, &Error{Op: "generate", Kind: KindStopped, Err: err}
		}
	}
	return usage, &Error{Op: "generate", Kind: KindBroken, Err: io.ErrUnexpectedEOF}
}

func (u *CompletionUsage) toUsage() comfreyworks.Usage {
	return comfreyworks.Usage{
		PromptTokens:     u.PromptTokens,
		CachedTokens:     u.Details.CachedTokens,
		CompletionTokens: u.CompletionTokens,
	}
}

// Events implements comfreyworks.Engine.
func (e *Engine) Events(ctx context.Context, after uint64, wait time.Duration) (comfreyworks.CacheEvents, error) {
	var events comfreyworks.CacheEvents
	path := fmt.Sprintf("%s?after=%d&wait=%s", PathEvents, after, wait)
	err := e.getJSON(ctx, "events", path, &events)
	return events, err
}

// Snapshot implements comfreyworks.Engine.
func (e *Engine) Snapshot(ctx context.Context) (comfreyworks.CacheSnapshot, error) {
	var snapshot comfreyworks.CacheSnapshot
	err := e.getJSON(ctx, "snapshot", PathSnapshot, &snapshot)
	return snapshot, err
}

// Load implements comfreyworks.Engine.
func (e *Engine) Load(ctx context.Context) (comfreyworks.EngineLoad, error) {
	var load comfreyworks.EngineLoad
	err := e.getJSON(ctx, "load", PathLoad, &load)
	return load, err
}

// OrderWeights orders the engine to serve other weights. If the engine refuses,
// the error has KindRefused.
func (e *Engine) OrderWeights(ctx context.Context, order WeightsOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &Error{Op: "order", Kind: KindNotSent, Err: err}
	}
	resp, err := sendOnce(ctx, e.httpClient, http.MethodPost, e.baseURL+PathOrders, jsonHeader(), body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedError("order", resp)
	}
	return nil
}

var _ comfreyworks.CacheOffloader = (*Engine)(nil)

// Export implements comfreyworks.CacheOffloader.
func (e *Engine) Export(ctx context.Context, key uint64, request comfreyworks.RequestID, tokens int) error {
	_, err := e.offload(ctx, PathExport, OffloadRequest{Key: key, Request: request, Tokens: tokens})
	return err
}

// Import implements comfreyworks.CacheOffloader.
func (e *Engine) Import(ctx context.Context, key uint64) (int, error) {
	response, err := e.offload(ctx, PathImport, OffloadRequest{Key: key})
	return response.Tokens, err
}

// offload makes the engine export or import a prefix.
func (e *Engine) offload(ctx context.Context, path string, request OffloadRequest) (OffloadResponse, error) {
	var response OffloadResponse
	body, err := json.Marshal(request)
	if err != nil {
		return response, &Error{Op: path, Kind: KindNotSent, Err: err}
	}
	resp, err := sendOnce(ctx, e.httpClient, http.MethodPost, e.baseURL+path, jsonHeader(), body)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return response, refusedError(path, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
		return response, &Error{Op: path, Kind: KindBroken, Err: err}
	}
	return response, nil
}

// getJSON decodes the JSON response to a GET request into response.
func (e *Engine) getJSON(ctx context.Context, op, path string, response any) error {
	resp, err := sendOnce(ctx, e.httpClient, http.MethodGet, e.baseURL+path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedError(op, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(response); err != nil {
		return &Error{Op: op, Kind: KindBroken, Err: err}
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": []string{"application/json"}}
}

func setHeaderIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// sendOnce sends a request at most once. http.Transport itself retries a request
// when a keep-alive connection breaks, if the method is idempotent or the request
// has an Idempotency-Key, and if the body is absent or can be rewound. A POST with
// a key and an empty body could then reach the service twice. The body is
// therefore always a reader that cannot be rewound, even if it is empty.
func sendOnce(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &Error{Op: method, Kind: KindNotSent, Err: err}
	}
	req.ContentLength = int64(len(body))
	if header != nil {
		req.Header = header
	}
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if isDialFailure(err) {
		return nil, &Error{Op: method, Kind: KindNotSent, Err: fmt.Errorf("%w: %w", comfreyworks.ErrNotSent, err)}
	}
	return nil, &Error{Op: method, Kind: KindBroken, Err: err}
}

// isDialFailure reports whether no connection was established, in which case
// nothing can have been sent.
func isDialFailure(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// maxRefusalBytes limits how much of the body of an error response is copied into
// the error.
const maxRefusalBytes = 512

// refusedError returns the error for a response with another status than 200.
func refusedError(op string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return &Error{Op: op, Kind: KindRefused, Err: fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
}
