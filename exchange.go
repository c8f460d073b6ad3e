package comfreyworks

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// HeaderNames are the names of the HTTP headers that a gateway exchanges with
// callers and upstreams. A platform adapter passes the names of its platform.
type HeaderNames struct {
	RequestID string
	// Deadline holds the time left, in milliseconds.
	Deadline string
	// APIKey holds the key that authenticates the caller's workspace.
	APIKey    string
	Workspace string
	Model     string
	// Tokens holds the number of prompt tokens and the maximum number of answer
	// tokens, for example "1460,80".
	Tokens string
	// Prefix lists the parts of a prompt in order, each with its ID and its
	// number of tokens, for example "5c1e:800,91bd:410".
	Prefix string
	// LastEventID holds the last event that the caller received of a stream.
	LastEventID string
	// Resumes holds the ID of the request that brought the first event of a stream
	// that the caller takes up.
	Resumes string
	// Digest holds the upstream's digest of its response.
	Digest string
	// NotRun marks a response that guarantees that the request has not run.
	NotRun string
	// Target names the only upstream that may run the request.
	Target string
	// Instance names the upstream that responds.
	Instance string
	// ExpectedWeights holds the revision of the weights that must generate the
	// answer.
	ExpectedWeights string
	// Weights holds the revision of the weights that generated the answer.
	Weights string
	// CacheSalt, ImportFrom, SaveTo and Priority are described at
	// AttemptOptions.
	CacheSalt  string
	ImportFrom string
	SaveTo     string
	Priority   string
	// Leaving is 1 in all answers of an upstream that is about to stop.
	Leaving string
	// Reserved lists further headers that callers may not set.
	Reserved []string
}

// DefaultHeaderNames returns the header names that this project defines itself.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Comfrey-Request-Id", Deadline: "Comfrey-Deadline-Ms", APIKey: "Comfrey-Key",
		Workspace: "Comfrey-Workspace", Model: "Comfrey-Model", Tokens: "Comfrey-Tokens",
		Prefix: "Comfrey-Prefix", LastEventID: "Last-Event-Id", Resumes: "Comfrey-Resumes", Digest: "Comfrey-Digest",
		NotRun: "Comfrey-Not-Run", Target: "Comfrey-Target", Instance: "Comfrey-Instance",
		ExpectedWeights: "Comfrey-Expected-Weights", Weights: "Comfrey-Weights",
		CacheSalt: "Comfrey-Cache-Salt", ImportFrom: "Comfrey-Import-From", SaveTo: "Comfrey-Save-To", Priority: "Comfrey-Priority",
		Leaving: "Comfrey-Leaving",
	}
}

// PromptPart is one part of a prompt as the caller declares it.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardedRequest is a caller's request in the form in which it is forwarded to
// upstreams.
type ForwardedRequest struct {
	ID     RequestID
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent them.
	Target string
	// Header holds only the headers that may be forwarded.
	Header http.Header
	Body   []byte
}

// AttemptOptions holds what a gateway adds to a request for one attempt.
type AttemptOptions struct {
	Upstream Upstream
	// Remaining is the time left until the request's deadline. It is always
	// sent, as at least one millisecond.
	Remaining time.Duration
	// Workspace is empty for public routes.
	Workspace Workspace
	// ExpectedWeights is the revision that must generate the answer; zero
	// accepts any.
	ExpectedWeights WeightsRevision
	// CacheSalt keeps the cached prefixes of workspaces apart.
	CacheSalt string
	// ImportFrom is another engine or a cache store that holds more of the
	// prompt's KV cache; an invalid address means none.
	ImportFrom netip.AddrPort
	// SaveTo is the cache store to which the engine copies the prompt's KV cache;
	// an invalid address means none.
	SaveTo netip.AddrPort
	// Priority ranges from 0, the most urgent, to 9; negative means not set.
	Priority int
	// LastEventID is the event after which a stream resumes; empty means from
	// the start.
	LastEventID string
}

// UpstreamResponse is an upstream's response: its status, its header and a body
// that is still to be read.
type UpstreamResponse struct {
	Status int
	Header http.Header
	// HasDigest means that the response carries the upstream's digest and has no
	// Content-Encoding.
	HasDigest bool
	// Weights is the revision that generates the answer; zero if unknown.
	Weights WeightsRevision
	// ContentLength is the length of the body in bytes; negative means that the
	// upstream did not send it.
	ContentLength int64
	// Body returns an error from Read if the response is cut off.
	Body io.ReadCloser
}

// NotRunReason tells why an upstream did not run a request.
type NotRunReason string

// Reasons for which an upstream did not run a request.
const (
	// NotRunBusy means that it had no free capacity.
	NotRunBusy NotRunReason = "busy"
	// NotRunOtherInstance means that another upstream than the addressed one now
	// uses the address.
	NotRunOtherInstance NotRunReason = "other-instance"
	// NotRunOtherWeights means that it serves other weights.
	NotRunOtherWeights NotRunReason = "other-weights"
	// NotRunRejected means that it rejected the request as invalid.
	NotRunRejected NotRunReason = "rejected"
)

// ExchangeKind tells what is known about a request whose exchange failed.
type ExchangeKind string

// Kinds of failed exchanges.
const (
	// ExchangeNotSent means that the upstream has not received the request.
	ExchangeNotSent ExchangeKind = "not-sent"
	// ExchangeNotRun means that the upstream guarantees not to have run it.
	ExchangeNotRun ExchangeKind = "not-run"
	// ExchangeLost means that no usable response arrived; the request may have
	// run.
	ExchangeLost ExchangeKind = "lost"
)

// ExchangeError is the error type of an Exchanger.
type ExchangeError struct {
	Kind ExchangeKind
	// Reason and Weights are set for ExchangeNotRun. Weights is the revision
	// that the upstream serves, zero if unknown.
	Reason  NotRunReason
	Weights WeightsRevision
	// Reused is set for ExchangeLost if the connection had been used before.
	Reused bool
	Err    error
}

// Error returns "exchange: kind (reason): cause" without the parts that are
// not set.
func (e *ExchangeError) Error() string {
	text := "exchange: " + string(e.Kind)
	if e.Reason != "" {
		text += " (" + string(e.Reason) + ")"
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Exchanger sends a request to an upstream at most once.
type Exchanger interface {
	// Exchange returns as soon as the header of the response has arrived. Its
	// error is an *ExchangeError. Cancelling the context aborts the request at
	// the upstream.
	Exchange(ctx context.Context, request *ForwardedRequest, options AttemptOptions) (*UpstreamResponse, error)
}

// WeightsLoadMode tells what happens to running requests when an engine changes
// its weights.
type WeightsLoadMode string

// Modes of loading weights.
const (
	// LoadAfterDrain lets running requests finish before the weights change.
	LoadAfterDrain WeightsLoadMode = "after-runs"
	// LoadWhileRunning continues running requests with the new weights.
	LoadWhileRunning WeightsLoadMode = "under-runs"
)

// WeightsLoadOrder is an order to an engine to load weights.
type WeightsLoadOrder struct {
	Upstream Upstream
	Model    Model
	Weights  WeightsRevision
	Mode     WeightsLoadMode
	// AcceptedOrders is the number of orders that the engine has accepted so
	// far. An order that arrives after another one was accepted is not executed.
	AcceptedOrders uint64
	// Holder and FencingToken identify the lease under which the order is given.
	Holder       InstanceID
	FencingToken uint64
}

// WeightsLoadResult is an engine's answer to a WeightsLoadOrder.
type WeightsLoadResult string

// Results of orders.
const (
	// LoadStarted means that the engine executes the order.
	LoadStarted WeightsLoadResult = "started"
	// LoadDone means that the engine already serves the weights.
	LoadDone WeightsLoadResult = "done"
	// LoadBusy means that the engine executes another order, or has accepted one
	// since this order was given.
	LoadBusy WeightsLoadResult = "busy"
	// LoadFenced means that a newer holder of the lease has given orders.
	LoadFenced WeightsLoadResult = "fenced"
	// LoadRefused means that the engine rejects the order for another reason.
	LoadRefused WeightsLoadResult = "refused"
	// LoadOtherInstance means that another engine now uses the address.
	LoadOtherInstance WeightsLoadResult = "other-instance"
)

// EngineStatus is the state of weights and orders that an engine reports; it
// lags behind the actual state.
type EngineStatus struct {
	// Weights are the revisions that the engine serves.
	Weights map[Model]WeightsRevision
	// Loading means that an order is being executed.
	Loading bool
	// AcceptedOrders is the number of orders accepted since the engine started.
	AcceptedOrders uint64
}

// WeightsLoader orders engines to load weights.
type WeightsLoader interface {
	// Load sends an order. After an error the order may still be executed, even
	// later.
	Load(ctx context.Context, order WeightsLoadOrder) (WeightsLoadResult, error)
	// Status returns the state that an engine reports.
	Status(ctx context.Context, upstream Upstream) (EngineStatus, error)
}

// CacheChange reports that an engine or cache store holds a part of a prompt, or
// no longer holds it.
type CacheChange struct {
	CacheSalt string
	Model     Model
	// PartID is the ID of a PromptPart.
	PartID string
	// Tokens is the number of tokens held; zero means that the part was removed.
	Tokens int
}

// CacheChanges is the result of one read of the cache changes of an engine or
// cache store.
type CacheChanges struct {
	// Incarnation differs after a restart of the engine or cache store.
	Incarnation uint64
	Changes     []CacheChange
	// Lost means that changes before these are missing.
	Lost bool
	// Next is the number to pass as after in the next call.
	Next uint64
}

// CacheHolder is an engine or a cache store.
type CacheHolder struct {
	// ID is that of an engine, and empty for a cache store.
	ID      InstanceID
	Address netip.AddrPort
}

// CacheSource reports what engines and cache stores hold.
type CacheSource interface {
	// CacheChanges returns the changes after a sequence number. If there are
	// none yet, it waits up to wait for the first one. If another upstream uses the
	// address of the engine now, it returns an error.
	CacheChanges(ctx context.Context, holder CacheHolder, after uint64, wait time.Duration) (CacheChanges, error)
}
