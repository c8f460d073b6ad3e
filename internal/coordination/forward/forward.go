// Package forward sends a caller's request to the upstreams of a pool until one
// of them answers or no further attempt is allowed.
//
// The route determines which requests may be retried. A request that may have
// run on an upstream and may run only once is neither sent again nor refused,
// because a refusal guarantees that the request has not run. A request that an
// upstream guarantees not to have run is sent to another one, within the retry
// budget.
//
// # Usage
//
//	f := forward.New(forward.Options{Balancer: b, Exchanger: client, Clock: clock, ...})
//	outcome := f.Forward(ctx, request, sink)
//
// The sink receives the answer as it arrives. Unless the verdict is Delivered or
// Broken, or Abandoned in the middle of an answer, nothing was written to the
// sink, and the caller of Forward can still answer.
package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/retrybudget"
)

const (
	// maxSends is the maximum number of times that one request is sent, including
	// the sends that an upstream refuses.
	maxSends = 4
	// responseTimeoutFactor is the multiple of the latency objective after which
	// a repeatable request that has no answer is sent to another upstream.
	responseTimeoutFactor = 2
	// minResponseTimeout is the lower bound of that timeout. Without it, routes
	// with a short objective would send every request twice.
	minResponseTimeout = 400 * time.Millisecond
	// minTimeLeft is the minimum time until the deadline for a retry. With less,
	// it could not be answered in time.
	minTimeLeft = 10 * time.Millisecond
	// retryAfterBusy and retryAfterNoUpstream are the Retry-After times when
	// every upstream is busy, and when there is none. A queue usually moves
	// sooner than a pool gets new upstreams.
	retryAfterBusy       = 200 * time.Millisecond
	retryAfterNoUpstream = 500 * time.Millisecond
	// maxBufferedBytes is the part of an answer that is buffered before any of it
	// is passed on. As long as nothing was passed on, an answer that is cut off
	// can be replaced by that of another upstream.
	maxBufferedBytes = 256 << 10
)

// Verdict classifies how a request ended.
type Verdict string

// Verdicts on requests.
const (
	// Delivered means that the sink received an upstream's complete answer.
	Delivered Verdict = "delivered"
	// Refused means that the request has not run and will not run.
	Refused Verdict = "refused"
	// Failed means that the request may have run, but there is no answer.
	Failed Verdict = "failed"
	// TimedOut means that the request may have run, but there was no answer
	// before its deadline.
	TimedOut Verdict = "timed-out"
	// Broken means that the answer was cut off after the sink had received a part
	// of it.
	Broken Verdict = "broken"
	// Quarantined means that the request has not run, because upstreams have crashed
	// under the same request or under a part of its prompt.
	Quarantined Verdict = "quarantined"
	// Abandoned means that the caller disconnected.
	Abandoned Verdict = "abandoned"
)

// Outcome describes how a request ended and why.
type Outcome struct {
	Verdict Verdict
	Reason  string
	// Status is the upstream's HTTP status; set for Delivered.
	Status int
	// RetryAfter is how long the caller should wait before a retry; set for
	// Refused, and for Quarantined if a retry may be answered.
	RetryAfter time.Duration
	// Suspect is the key of what the request was not sent, or not sent again, because
	// of; zero if there is none. Part is its ID if it is a part of the prompt.
	Suspect uint32
	Part    string
	// RequestKey is the key of the whole request in the log of crashes.
	RequestKey uint32
	// Sends is the number of times that the request was sent, Runs the number of
	// upstreams on which it may have run.
	Sends, Runs int
}

// Request is a caller's request with its route, pool and workspace.
type Request struct {
	Message   *comfreyworks.ForwardedRequest
	Route     *comfreyworks.Route
	Pool      comfreyworks.Pool
	Workspace *comfreyworks.WorkspaceKeys
	// Received is when the request arrived, Deadline when it must be answered.
	Received, Deadline time.Time
	// Usage is what was taken from the usage limit of the workspace.
	Usage  int
	Prompt Prompt
	// LastEventID is the event after which a stream resumes; empty means from the
	// start. Resumes is the request that brought the first event of that stream.
	LastEventID string
	Resumes     comfreyworks.RequestID
}

// Prompt holds what the caller declares about a prompt. The zero value means
// that the request has none.
type Prompt struct {
	Model comfreyworks.Model
	Parts []comfreyworks.PromptPart
	// Tokens is the length of the whole prompt, OutputTokens the maximum length of the
	// answer; zero if unknown.
	Tokens, OutputTokens int
}

// Sink receives an answer.
type Sink interface {
	// Begin receives the status and header. A negative length means that the
	// length of the body is unknown.
	Begin(status int, header http.Header, length int64)
	// Write receives a part of the body and passes it on without buffering.
	Write(p []byte) (int, error)
}

// Options configures a Forwarder.
type Options struct {
	Catalog   *catalog.Catalog
	Balancer  *balance.Balancer
	Exchanger comfreyworks.Exchanger
	Clock     comfreyworks.Clock
	Logger    *zap.Logger
	// Faults records panics while a silent upstream is replaced.
	Faults *faults.Recorder
	// Origins knows the releases that began streams. If it is nil, a stream is
	// continued only if its pool has had one release.
	Origins comfreyworks.StreamOrigins
	// Crashes knows what crashes upstreams; nil means a log of its own.
	Crashes *crashes.Log
	// Meter counts requests that are refused because of overload; it may be nil.
	Meter *meter.Meter
	// RetryLimit returns this gateway's share of the retry budget.
	RetryLimit func() retrybudget.Limit
	// Memory accounts for the answers that are held; nil means that it has no limit.
	Memory *memory.Budget
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	options Options
	mu      sync.Mutex
	pools   map[comfreyworks.Pool]*poolState
}

// poolState is the state that all requests to one pool share.
type poolState struct {
	budget    *retrybudget.Budget
	admission admissionControl
	events    eventLength
	// poolSkipsIDs means that a complete stream had event IDs that skip numbers.
	poolSkipsIDs atomic.Bool
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	if options.Crashes == nil {
		options.Crashes = crashes.New(crashes.Options{Clock: options.Clock})
	}
	if options.Meter == nil {
		options.Meter = meter.New()
	}
	return &Forwarder{options: options, pools: make(map[comfreyworks.Pool]*poolState)}
}

// pool returns the state of a pool, created on first use, with the current
// retry limit.
func (f *Forwarder) pool(name comfreyworks.Pool) *poolState {
	limit := f.options.RetryLimit()
	f.mu.Lock()
	defer f.mu.Unlock()
	pool, ok := f.pools[name]
	if !ok {
		pool = &poolState{budget: retrybudget.New(f.options.Clock, limit)}
		f.pools[name] = pool
	}
	pool.budget.SetLimit(limit)
	return pool
}

// Forward sends a request until it has an answer or no further attempt is
// allowed.
func (f *Forwarder) Forward(ctx context.Context, request *Request, sink Sink) Outcome {
	key := requestKey(request)
	outcome := f.forward(ctx, request, key, sink)
	outcome.RequestKey = key
	return outcome
}

func (f *Forwarder) forward(ctx context.Context, request *Request, key uint32, sink Sink) Outcome {
	ctx, cancel := context.WithTimeoutCause(ctx, f.options.Clock.Until(request.Deadline), errDeadline)
	defer cancel()
	r := &activeRequest{
		Forwarder: f, request: request, key: key, sink: sink, lastEventID: request.LastEventID, suspects: suspects(request, key),
	}
	if request.LastEventID != "" {
		if outcome, quarantined := r.quarantined(); quarantined {
			return outcome
		}
		var ok bool
		if r.release, request.Pool, ok = f.findOrigin(ctx, request); !ok {
			return Outcome{Verdict: Refused, Reason: "origin of the stream unknown", RetryAfter: retryAfterUnknownOrigin}
		}
	}
	r.poolState = f.pool(request.Pool)
	r.budget.AddRequest()
	defer r.returnReserved()
	return r.run(ctx)
}

// ErrStopping is the cause with which a caller of Forward cancels the context to have
// requests answered before the process ends.
var ErrStopping = errors.New("gateway stopping")

// errDeadline is the context's cause when a request's deadline has passed.
var errDeadline = errors.New("deadline passed")

// activeRequest is the state of one request while it is being forwarded.
type activeRequest struct {
	*Forwarder
	*poolState
	request *Request
	key     uint32
	sink    Sink

	// mu protects the fields below while a takeover is in progress.
	mu    sync.Mutex
	tried []comfreyworks.InstanceID
	sends int
	// runs lists the upstreams on which the request may have run, those that ran it
	// twice two times.
	runs []comfreyworks.UpstreamIncarnation
	// left lists the upstreams that the request has left although they had not failed.
	// returns is how often it has returned to one. reserved means that a retry is
	// reserved for that, returnTo is the one that takeRetry has chosen.
	left     []leftUpstream
	returns  int
	reserved bool
	returnTo *balance.Pick
	// stalls is how often the request has waited for an upstream because its answer would have
	// been cut off.
	stalls int
	// headerWritten means that the sink has received the header of an answer.
	headerWritten bool
	lastEventID   string
	// mediaType is that of the stream in that answer. skipsIDs means that the event IDs of
	// the stream skip numbers, torn that it broke off within the event after the last one.
	mediaType      string
	skipsIDs, torn bool
	// release is the release that began the stream; zero as long as none has.
	release uint32
	// sentTo is the release to which the last attempt to begin the stream was sent;
	// zero if there was none.
	sentTo uint32
	// originChangedAt is when an attempt to begin the stream was last sent to another
	// release than the one before; zero if never.
	originChangedAt time.Time
	reason          string
	// next is the attempt that takes the place of the current one; nil if there is
	// none.
	next *attempt
	// suspects are the keys of what may crash upstreams, and crashed is the number of
	// upstreams that ended under this request. suspected means that several have ended
	// under it or under one of the suspects.
	suspects  []uint32
	crashed   int
	suspected bool
	// counted means that the log of crashes has counted the request.
	counted bool
}

// finish completes an outcome with the reason and the counters.
func (r *activeRequest) finish(outcome Outcome) Outcome {
	if outcome.Reason == "" {
		outcome.Reason = r.reason
	}
	outcome.Sends, outcome.Runs = r.sends, r.upstreamsRun()
	if next := r.next; next != nil {
		// It has lost against the answer that it was to replace, or against the deadline.
		if next.response != nil {
			_ = next.response.Body.Close()
		}
		next.cause, next.result.Outcome = errNotNeeded, balance.Withdrawn
		next.end()
	}
	if r.returnTo != nil {
		r.returnTo.Done(balance.Result{Outcome: balance.Withdrawn})
	}
	return outcome
}

// attempt sends the request to one upstream, unless there is none or admission
// control refuses the request.
func (r *activeRequest) attempt(ctx context.Context) (Outcome, attemptResult) {
	if next := r.next; next != nil {
		r.next = nil
		return next.run(ctx)
	}
	if pick := r.returnTo; pick != nil {
		r.returnTo = nil
		return r.newAttempt(ctx, pick).run(ctx)
	}
	if outcome, quarantined := r.quarantined(); quarantined {
		if pick := r.pickReturn(true); pick != nil {
			return r.newAttempt(ctx, pick).run(ctx)
		}
		return outcome, attemptDone
	}
	pick := r.pick()
	if pick == nil {
		r.reason = strings.TrimPrefix(r.reason+", no upstream", ", ")
		switch {
		case r.headerWritten:
			return Outcome{}, attemptNoUpstream
		case len(r.runs) > 0:
			return r.outcomeWithoutRetry(attemptLost), attemptDone
		}
		return Outcome{Verdict: Refused, RetryAfter: r.retryAfter(retryAfterNoUpstream)}, attemptDone
	}
	if reason := r.overloadReason(pick); reason != "" {
		pick.JudgeStream(true)
		pick.Done(balance.Result{Outcome: balance.Withdrawn})
		r.reason = "overload, " + reason
		return Outcome{Verdict: Refused, RetryAfter: r.overloadRetryAfter(pick.Wait)}, attemptDone
	}
	return r.newAttempt(ctx, pick).run(ctx)
}

// pick chooses an upstream, or returns nil if there is none. If all were tried, the request
// returns to one that it has left, or else to any of them except for the given ones.
func (r *activeRequest) pick(except ...comfreyworks.InstanceID) *balance.Pick {
	query := r.balanceQuery()
	if r.sentTo != 0 && r.beginsStream() {
		// Other gateways may know of the last attempt and not of this one.
		query.Release = r.sentTo
		if pick := r.options.Balancer.Pick(query); pick != nil {
			return pick
		}
		query.Release = 0
	}
	pick := r.options.Balancer.Pick(query)
	if pick == nil && len(except) == 0 {
		pick = r.pickReturn(true)
	}
	if pick == nil && len(r.tried) > len(except) && r.sends < maxSends {
		// Every upstream has been tried. One that was busy may have capacity again.
		r.tried = except
		pick = r.options.Balancer.Pick(r.balanceQuery())
	}
	return pick
}

// balanceQuery describes the request to the balancer.
func (r *activeRequest) balanceQuery() balance.Query {
	return balance.Query{
		Pool: r.request.Pool, Model: r.request.Prompt.Model,
		CacheScope: r.cacheScope(), AffinityKey: affinityKey(r.request), StoreKey: storeKey(r.request),
		Parts: r.request.Prompt.Parts, Tokens: r.request.Prompt.Tokens, OutputTokens: r.request.Prompt.OutputTokens,
		Events: r.expectedEvents(), Deadline: r.request.Deadline, Objective: r.request.Route.Objective, MaxWait: r.maxWait(),
		RoutePriority: r.request.Route.Priority, Priority: r.priority(), Returning: r.isReturning(),
		Exclude: r.tried, Release: r.release, BeginsStream: r.beginsStream(),
	}
}

// priority returns the priority of the workspace, or that of the route if the
// workspace has none.
func (r *activeRequest) priority() int {
	if r.request.Workspace != nil && r.request.Workspace.Priority >= 0 {
		return r.request.Workspace.Priority
	}
	return r.request.Route.Priority
}
