package comfreyworks

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// HeaderNames are the names under which a gateway reads and writes what it
// knows about a request. An adapter passes those of its platform.
type HeaderNames struct {
	RequestID string
	// Deadline holds the time left, in milliseconds.
	Deadline  string
	APIKey    string
	Workspace string
	Model     string
	// Tokens holds prompt tokens and most answer tokens, "1460,80".
	Tokens string
	// Prefix holds the shared parts of a prompt in order, "5c1e:800,91bd:410".
	Prefix      string
	LastEventID string
	// Digest is the upstream's digest of its answer.
	Digest string
	// NotRun marks an answer which promises that the request has not run.
	NotRun string
	// Target names the one upstream that may run the request.
	Target   string
	Instance string
	// ExpectedWeights lets only an engine with this revision run the request.
	ExpectedWeights string
	Weights         string
	CacheSalt       string
	ImportFrom      string
	SaveTo          string
	Priority        string
	// Reserved are further names that callers may not set.
	Reserved []string
}

// DefaultHeaderNames returns the gateway's own names.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Comfrey-Request-Id", Deadline: "Comfrey-Deadline-Ms", APIKey: "Comfrey-Key",
		Workspace: "Comfrey-Workspace", Model: "Comfrey-Model", Tokens: "Comfrey-Tokens",
		Prefix: "Comfrey-Prefix", LastEventID: "Last-Event-Id", Digest: "Comfrey-Digest",
		NotRun: "Comfrey-Not-Run", Target: "Comfrey-Target", Instance: "Comfrey-Instance",
		ExpectedWeights: "Comfrey-Expected-Weights", Weights: "Comfrey-Weights",
		CacheSalt: "Comfrey-Cache-Salt", ImportFrom: "Comfrey-Import-From", SaveTo: "Comfrey-Save-To", Priority: "Comfrey-Priority",
	}
}

// PromptPart is one part of a prompt as the caller declares it.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardedRequest is a caller's request as it is passed on.
type ForwardedRequest struct {
	ID     RequestID
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent them.
	Target string
	// Header holds only what may be passed on.
	Header http.Header
	Body   []byte
}

// AttemptOptions are what a gateway adds to a message for one attempt.
type AttemptOptions struct {
	Upstream Upstream
	// Remaining is the time left; it is always passed on.
	Remaining time.Duration
	// Workspace is empty for public routes.
	Workspace Workspace
	// ExpectedWeights is the revision that must answer; zero lets any answer.
	ExpectedWeights WeightsRevision
	CacheSalt       string
	// ImportFrom is another engine or store that holds more of the prompt.
	ImportFrom netip.AddrPort
	// SaveTo is a store that shall get what the engine reads of the prompt.
	SaveTo netip.AddrPort
	// Priority is from 0, the most urgent, to 9; negative means not set.
	Priority int
	// LastEventID resumes a stream; empty means from the start.
	LastEventID string
}

// UpstreamResponse is the head of an upstream's answer.
type UpstreamResponse struct {
	Status int
	Header http.Header
	// HasDigest means that the answer carries the upstream's digest.
	HasDigest bool
	// Weights is the revision that answers; zero when unknown.
	Weights WeightsRevision
	// ContentLength of the body in bytes, negative when the upstream did not say.
	ContentLength int64
	// Body ends with an error if the answer is cut off.
	Body io.ReadCloser
}

// NotRunReason tells why an upstream promises that it did not run a request.
type NotRunReason string

// Reasons for which an upstream did not run a request.
const (
	// NotRunBusy means that it had no room.
	NotRunBusy NotRunReason = "busy"
	// NotRunOtherInstance means that another upstream has the address.
	NotRunOtherInstance NotRunReason = "other-instance"
	// NotRunOtherWeights means that it serves other weights.
	NotRunOtherWeights NotRunReason = "other-weights"
	// NotRunRejected means that it rejected the request as such.
	NotRunRejected NotRunReason = "rejected"
)

// ExchangeKind tells how an exchange failed.
type ExchangeKind string

// Kinds of failed exchanges.
const (
	// ExchangeNotSent means that the upstream has not seen the request.
	ExchangeNotSent ExchangeKind = "not-sent"
	// ExchangeNotRun means that the upstream promises not to have run it.
	ExchangeNotRun ExchangeKind = "not-run"
	// ExchangeLost means that it may have run.
	ExchangeLost ExchangeKind = "lost"
)

// ExchangeError is the error of an Exchanger.
type ExchangeError struct {
	Kind ExchangeKind
	// Reason and Weights explain ExchangeNotRun.
	Reason  NotRunReason
	Weights WeightsRevision
	Err     error
}

// Error formats kind, reason and cause on one line.
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

// Exchanger sends a message to an upstream once.
type Exchanger interface {
	// Exchange returns the head of the answer. Its error is an
	// *ExchangeError. A cancelled context ends the work at the upstream.
	Exchange(ctx context.Context, message *ForwardedRequest, instructions AttemptOptions) (*UpstreamResponse, error)
}

// WeightsLoadMode tells what becomes of running requests when weights change.
type WeightsLoadMode string

// Modes of loading weights.
const (
	// LoadAfterDrain lets running requests finish first.
	LoadAfterDrain WeightsLoadMode = "after-runs"
	// LoadWhileRunning lets running requests go on under the new weights.
	LoadWhileRunning WeightsLoadMode = "under-runs"
)

// WeightsLoadOrder tells an engine to load weights.
type WeightsLoadOrder struct {
	Upstream Upstream
	Model    Model
	Weights  WeightsRevision
	Mode     WeightsLoadMode
	// AcceptedOrders is how many orders the engine has accepted so far. An order that
	// arrives after another one has been accepted is not carried out.
	AcceptedOrders uint64
	// Holder and Token name the lease under which the order is given.
	Holder       InstanceID
	FencingToken uint64
}

// WeightsLoadResult is an engine's answer to an order.
type WeightsLoadResult string

// Results of orders.
const (
	// LoadStarted means that the engine carries the order out.
	LoadStarted WeightsLoadResult = "started"
	// LoadDone means that the engine serves the weights already.
	LoadDone WeightsLoadResult = "done"
	// LoadBusy means that the engine carries out another order, or has accepted
	// one since.
	LoadBusy WeightsLoadResult = "busy"
	// LoadFenced means that a newer holder has given orders.
	LoadFenced WeightsLoadResult = "fenced"
	// LoadRefused means that the engine does not take the order.
	LoadRefused WeightsLoadResult = "refused"
	// LoadOtherInstance means that another engine has the address.
	LoadOtherInstance WeightsLoadResult = "other-instance"
)

// EngineStatus is an engine's own account of its orders; it lags.
type EngineStatus struct {
	Weights map[Model]WeightsRevision
	// Loading means that an order is being carried out.
	Loading bool
	// AcceptedOrders is the number of orders that it has accepted since its start.
	AcceptedOrders uint64
}

// WeightLoader gives orders to engines.
type WeightLoader interface {
	// Load gives an order. After an error it may be carried out, also later.
	Load(ctx context.Context, order WeightsLoadOrder) (WeightsLoadResult, error)
	// Status asks an engine for its account.
	Status(ctx context.Context, upstream Upstream) (EngineStatus, error)
}

// CacheChange tells that an engine or store holds a part of a prompt, or no
// longer does when Tokens is zero.
type CacheChange struct {
	CacheSalt string
	Model     Model
	PartID    string
	Tokens    int
}

// CacheChanges is one answer about what an engine holds.
type CacheChanges struct {
	// Incarnation changes when the engine has restarted.
	Incarnation uint64
	Changes     []CacheChange
	// Lost means that changes before these are missing.
	Lost bool
	Next uint64
}

// CacheSource tells what engines hold.
type CacheSource interface {
	// CacheChanges returns what has changed after a number, waiting up to wait
	// for the first change.
	CacheChanges(ctx context.Context, engine netip.AddrPort, after uint64, wait time.Duration) (CacheChanges, error)
}
