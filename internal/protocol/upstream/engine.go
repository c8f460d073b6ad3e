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
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the upstream has not seen the request.
	KindNotSent Kind = "not sent"
	// KindBroken means that the connection failed after the request was sent.
	KindBroken Kind = "broken"
	// KindRefused means that the upstream answered that it will not do it.
	KindRefused Kind = "refused"
	// KindStopped means that the receiver of a stream returned an error.
	KindStopped Kind = "stopped"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// IsKind reports whether err is an error of this package of a kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// maxAnswerBytes bounds one answer that is not a stream, in bytes.
const maxAnswerBytes = 64 << 20

// Engine is the client of one model engine.
type Engine struct {
	base string
	http *http.Client
}

var _ comfreyworks.Engine = (*Engine)(nil)

// NewEngine returns a client for the engine at an address.
func NewEngine(address netip.AddrPort, client *http.Client) *Engine {
	return &Engine{base: "http://" + address.String(), http: client}
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
	resp, err := send(ctx, e.http, http.MethodPost, e.base+PathCompletions, jsonHeader(), body)
	if err != nil {
		return comfreyworks.Usage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return comfreyworks.Usage{}, refused("generate", resp)
	}
	return readStream(resp.Body, emit)
}

// readStream hands on the pieces of a stream. A stream that ends without its
// end event is broken, however much of it arrived.
func readStream(body io.Reader, emit func(comfreyworks.GeneratedToken) error) (comfreyworks.Usage, error) {
	var usage comfreyworks.Usage
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return usage, &Error{Op: "generate", Kind: KindBroken, Err: err}
		}
		if event.Data == streamEnd {
			return usage, nil
		}
		var chunk CompletionChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return usage, &Error{Op: "generate", Kind: KindBroken, Err: err}
		}
		if chunk.Usage != nil {
			usage = chunk.Usage.counts()
			continue
		}
		if err := emit(comfreyworks.GeneratedToken{Index: chunk.Index, Text: chunk.Text}); err != nil {
			return usage, &Error{Op: "generate", Kind: KindStopped, Err: err}
		}
	}
	return usage, &Error{Op: "generate", Kind: KindBroken, Err: io.ErrUnexpectedEOF}
}

func (u *CompletionUsage) counts() comfreyworks.Usage {
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
	err := e.get(ctx, "events", path, &events)
	return events, err
}

// Snapshot implements comfreyworks.Engine.
func (e *Engine) Snapshot(ctx context.Context) (comfreyworks.CacheSnapshot, error) {
	var snapshot comfreyworks.CacheSnapshot
	err := e.get(ctx, "snapshot", PathSnapshot, &snapshot)
	return snapshot, err
}

// Load implements comfreyworks.Engine.
func (e *Engine) Load(ctx context.Context) (comfreyworks.EngineLoad, error) {
	var load comfreyworks.EngineLoad
	err := e.get(ctx, "load", PathLoad, &load)
	return load, err
}

// Order sends an order. A refusal has KindRefused.
func (e *Engine) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &Error{Op: "order", Kind: KindNotSent, Err: err}
	}
	resp, err := send(ctx, e.http, http.MethodPost, e.base+PathOrders, jsonHeader(), body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused("order", resp)
	}
	return nil
}

var _ comfreyworks.CacheOffloader = (*Engine)(nil)

// Export implements comfreyworks.CacheOffloader.
func (e *Engine) Export(ctx context.Context, key uint64, request comfreyworks.RequestID, tokens int) error {
	_, err := e.keep(ctx, PathExport, KeepOrder{Key: key, Request: request, Tokens: tokens})
	return err
}

// Import implements comfreyworks.CacheOffloader.
func (e *Engine) Import(ctx context.Context, key uint64) (int, error) {
	answer, err := e.keep(ctx, PathImport, KeepOrder{Key: key})
	return answer.Tokens, err
}

func (e *Engine) keep(ctx context.Context, path string, order KeepOrder) (KeepAnswer, error) {
	var answer KeepAnswer
	body, err := json.Marshal(order)
	if err != nil {
		return answer, &Error{Op: path, Kind: KindNotSent, Err: err}
	}
	resp, err := send(ctx, e.http, http.MethodPost, e.base+path, jsonHeader(), body)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, refused(path, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return answer, &Error{Op: path, Kind: KindBroken, Err: err}
	}
	return answer, nil
}

func (e *Engine) get(ctx context.Context, op, path string, answer any) error {
	resp, err := send(ctx, e.http, http.MethodGet, e.base+path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(op, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return &Error{Op: op, Kind: KindBroken, Err: err}
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": []string{"application/json"}}
}

func setHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// send sends one request at most once. The library's transport sends a request
// again by itself when a kept connection breaks and the request looks safe to
// repeat: a GET, or anything with an Idempotency-Key, whose body is absent or
// can be rewound. A booking with a key and an empty body would then reach the
// service twice. The body is therefore always a plain reader, even when empty.
func send(ctx context.Context, client *http.Client, method, url string, header http.Header, body []byte) (*http.Response, error) {
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

// isDialFailure reports whether no connection was made, so that nothing can
// have been sent.
func isDialFailure(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// refusalBytes bounds how much of a refusal is kept, in bytes.
const refusalBytes = 512

func refused(op string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, refusalBytes))
	return &Error{Op: op, Kind: KindRefused, Err: fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
}
