// Package forward takes one caller's request to upstreams until it has an
// answer or none can be had.
//
// What may be repeated follows from the route. A request that may have reached
// an upstream and may run only once is never sent again, and never refused:
// a refusal promises that the request has not run. Requests that an upstream
// promised not to have run go on elsewhere within the retry budget.
//
// # Usage
//
//	f := forward.New(forward.Options{Balancer: b, Exchanger: client, Clock: clock, ...})
//	outcome := f.Forward(ctx, request, sink)
//
// The sink gets the answer as it arrives. Outcomes other than Delivered and
// Broken leave the sink untouched, so that the caller of Forward can still
// answer.
package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/retrybudget"
)

const (
	// maxSends bounds how often one request is sent, refusals included.
	maxSends = 4
	// patienceFactor is how many latency objectives a repeatable request waits
	// for an answer before it is sent elsewhere.
	patienceFactor = 2
	// leastPatience keeps short objectives from sending everything twice.
	leastPatience = 400 * time.Millisecond
	// leastRemaining is the time below which sending is pointless.
	leastRemaining = 10 * time.Millisecond
	// retryAfterFull and retryAfterNone are when to come back if all upstreams
	// are full, and if there are none: a queue moves sooner than a pool.
	retryAfterFull = 200 * time.Millisecond
	retryAfterNone = 500 * time.Millisecond
	// bufferedBytes is how much of an answer is read before it is passed on, so
	// that an answer which is cut off can still be replaced.
	bufferedBytes = 256 << 10
)

// Verdict tells how a request ended.
type Verdict string

// Verdicts on requests.
const (
	// Delivered means that the whole answer of an upstream went to the sink.
	Delivered Verdict = "delivered"
	// Refused means that the request has not run and never will.
	Refused Verdict = "refused"
	// Failed means that it may have run and there is no answer.
	Failed Verdict = "failed"
	// TimedOut means the same when its time is up.
	TimedOut Verdict = "timed-out"
	// Broken means that the answer was cut off after it had begun.
	Broken Verdict = "broken"
	// Abandoned means that the caller left.
	Abandoned Verdict = "abandoned"
)

// Outcome is how a request ended and why.
type Outcome struct {
	Verdict Verdict
	Reason  string
	// Status is the upstream's, for Delivered.
	Status int
	// RetryAfter is when the caller may come back, for Refused.
	RetryAfter time.Duration
	// Sends counts how often the request was sent, Runs on how many upstreams
	// it may have run.
	Sends, Runs int
}

// Request is a caller's request with what is known about it.
type Request struct {
	Message   *comfreyworks.ForwardedRequest
	Route     *comfreyworks.Route
	Pool      comfreyworks.Pool
	Workspace *comfreyworks.WorkspaceKeys
	// Received is when the request began, Deadline when it ends.
	Received, Deadline time.Time
	Prompt             Prompt
	// LastEventID resumes a stream; empty means from the start.
	LastEventID string
}

// Prompt is what a caller declares of a prompt; the zero value means no prompt.
type Prompt struct {
	Model comfreyworks.Model
	Parts []comfreyworks.PromptPart
	// Tokens is the length of the whole prompt.
	Tokens int
}

// Sink takes an answer.
type Sink interface {
	// Begin takes the head; a negative length means that it is not known.
	Begin(status int, header http.Header, length int64)
	// Write takes a part of the body and sends it on at once.
	Write(p []byte) (int, error)
}

// Options configures a Forwarder.
type Options struct {
	Catalog   *catalog.Catalog
	Balancer  *balance.Balancer
	Exchanger comfreyworks.Exchanger
	Clock     comfreyworks.Clock
	Logger    *zap.Logger
	// RetryLimit is this process's share of the budget for repeats.
	RetryLimit func() retrybudget.Limit
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	options Options
	mu      sync.Mutex
	pools   map[comfreyworks.Pool]*poolState
}

// poolState is what the requests to one pool share.
type poolState struct {
	budget    *retrybudget.Budget
	admission admission
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, pools: make(map[comfreyworks.Pool]*poolState)}
}

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

// Forward sends a request until it has an answer or none can be had.
func (f *Forwarder) Forward(ctx context.Context, request *Request, sink Sink) Outcome {
	ctx, cancel := context.WithTimeoutCause(ctx, f.options.Clock.Until(request.Deadline), errDeadline)
	defer cancel()
	j := &journey{
		Forwarder: f, request: request, sink: sink, poolState: f.pool(request.Pool),
		lastEvent: request.LastEventID,
	}
	j.budget.Earn()
	return j.run(ctx)
}

// errDeadline is the cause when a request's time is up.
var errDeadline = errors.New("deadline passed")

// journey is one request on its way.
type journey struct {
	*Forwarder
	*poolState
	request *Request
	sink    Sink
	tried   []comfreyworks.InstanceID
	sends   int
	runs    int
	// begun means that the sink has the head of an answer.
	begun     bool
	lastEvent string
	reason    string
}

// step tells what to do after an attempt.
type step int

const (
	stepDone step = iota
	// stepNotRun allows another attempt: nothing ran.
	stepNotRun
	// stepLost allows another attempt only of what may run again.
	stepLost
	// stepRepeat means that another attempt has been taken from the budget.
	stepRepeat
)

func (j *journey) run(ctx context.Context) Outcome {
	for {
		outcome, next := j.attempt(ctx)
		if next == stepDone {
			return j.finish(outcome)
		}
		if cause := context.Cause(ctx); cause != nil {
			return j.finish(j.interrupted(cause))
		}
		if next != stepRepeat && !j.mayRepeat(next) {
			return j.finish(j.exhausted(next))
		}
	}
}

// mayRepeat decides on another attempt and takes it from the budget.
func (j *journey) mayRepeat(after step) bool {
	switch {
	case j.sends >= maxSends:
		j.reason += ", sent too often"
	case after == stepLost && !j.request.Route.Repeatable():
		j.reason += ", may not run again"
	case j.runs >= j.request.Route.MaxAttempts:
		j.reason += ", no run left"
	case j.options.Clock.Until(j.request.Deadline) < leastRemaining:
		j.reason += ", no time left"
	case !j.budget.Spend():
		j.reason += ", retry budget spent"
	default:
		return true
	}
	return false
}

// exhausted is the outcome when no further attempt is made.
func (j *journey) exhausted(after step) Outcome {
	switch {
	case j.begun:
		return Outcome{Verdict: Broken}
	case after == stepNotRun && j.runs == 0:
		return Outcome{Verdict: Refused, RetryAfter: retryAfterFull}
	default:
		return Outcome{Verdict: Failed}
	}
}

// interrupted is the outcome when the caller left or the time is up.
func (j *journey) interrupted(cause error) Outcome {
	switch {
	case !errors.Is(cause, errDeadline):
		return Outcome{Verdict: Abandoned, Reason: "caller left"}
	case j.begun:
		return Outcome{Verdict: Broken, Reason: "deadline passed"}
	case j.runs == 0:
		return Outcome{Verdict: Refused, Reason: "deadline passed", RetryAfter: retryAfterFull}
	default:
		return Outcome{Verdict: TimedOut, Reason: "deadline passed"}
	}
}

func (j *journey) finish(outcome Outcome) Outcome {
	if outcome.Reason == "" {
		outcome.Reason = j.reason
	}
	outcome.Sends, outcome.Runs = j.sends, j.runs
	return outcome
}

// attempt sends the request to one upstream.
func (j *journey) attempt(ctx context.Context) (Outcome, step) {
	pick := j.options.Balancer.Pick(j.query())
	if pick == nil && len(j.tried) > 0 && j.sends < maxSends {
		// All have been tried; one that was full may have room again.
		j.tried = nil
		pick = j.options.Balancer.Pick(j.query())
	}
	if pick == nil {
		j.reason = "no upstream"
		if j.runs > 0 || j.begun {
			return j.exhausted(stepLost), stepDone
		}
		return Outcome{Verdict: Refused, RetryAfter: retryAfterNone}, stepDone
	}
	if j.overloaded(pick) {
		pick.Done(balance.Result{Outcome: balance.Withdrawn})
		j.reason = fmt.Sprintf("overload, would wait %s", pick.Wait.Round(time.Millisecond))
		return Outcome{Verdict: Refused, RetryAfter: max(drainFactor*pick.Wait, leastRetryAfter)}, stepDone
	}
	j.sends++
	j.tried = append(j.tried, pick.Upstream.ID)
	a := &attempt{journey: j, pick: pick, startedAt: j.options.Clock.Now()}
	outcome, next := a.run(ctx)
	a.log()
	return outcome, next
}

func (j *journey) query() balance.Query {
	return balance.Query{
		Pool: j.request.Pool, Model: j.request.Prompt.Model,
		Wall: wall(j.request.Workspace), Affinity: affinity(j.request),
		Parts: j.request.Prompt.Parts, Tokens: j.request.Prompt.Tokens,
		Priority: j.priority(), Exclude: j.tried,
	}
}

// priority is the workspace's, else the route's.
func (j *journey) priority() int {
	if j.request.Workspace != nil && j.request.Workspace.Priority >= 0 {
		return j.request.Workspace.Priority
	}
	return j.request.Route.Priority
}
