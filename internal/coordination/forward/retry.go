package forward

import (
	"context"
	"errors"
	"time"
)

// attemptResult tells whether a request may be retried after an attempt.
type attemptResult int

const (
	// attemptDone means that the request has its final outcome.
	attemptDone attemptResult = iota
	// attemptNotRun means that the request did not run and may be retried.
	attemptNotRun
	// attemptNotSent means that no byte of the request reached an upstream. Sending
	// it elsewhere adds no load to the pool, so it takes no retry from the budget.
	attemptNotSent
	// attemptRejected means that the request did not run because it is invalid, which
	// it is for every upstream.
	attemptRejected
	// attemptLost means that the request may have run. It may be retried only if
	// its route is repeatable.
	attemptLost
	// attemptNoUpstream means that there was no upstream for a request whose answer has begun.
	// The retry for it has been taken.
	attemptNoUpstream
	// attemptRetryTaken means that a retry has already been taken from the
	// budget.
	attemptRetryTaken
	// attemptReplaced means that activeRequest.next takes its place.
	attemptReplaced
)

// run makes attempts until the request has its final outcome.
func (r *activeRequest) run(ctx context.Context) Outcome {
	for {
		outcome, result := r.attempt(ctx)
		if result == attemptDone {
			return r.finish(outcome)
		}
		goesOn := context.Cause(ctx) == nil && r.goesOn(ctx, result)
		if cause := context.Cause(ctx); cause != nil {
			return r.finish(r.outcomeOnCancel(cause))
		}
		if !goesOn {
			return r.finish(r.outcomeWithoutRetry(result))
		}
	}
}

// goesOn reports whether the request goes on after an attempt that did not end it.
func (r *activeRequest) goesOn(ctx context.Context, after attemptResult) bool {
	switch after {
	case attemptReplaced, attemptRetryTaken:
		return true
	case attemptNoUpstream:
		return r.awaitUpstream(ctx, after)
	default:
		return r.takeRetry(after) || r.awaitUpstream(ctx, after)
	}
}

// takeRetry decides whether the request may be retried and, if so, takes the
// retry from the budget. Otherwise it adds the cause to the reason, and the request may
// still return to an upstream that it has left.
func (r *activeRequest) takeRetry(after attemptResult) bool {
	obstacle := r.retryObstacle(after)
	retryTaken := after == attemptNotSent || after == attemptNoUpstream
	if obstacle == "" && !retryTaken && !r.budget.TryRetry() {
		obstacle = ", retry budget spent"
	}
	r.reason += obstacle
	if obstacle != "" {
		r.returnTo = r.pickReturn(retryTaken)
	}
	return obstacle == "" || r.returnTo != nil
}

// obstacleSends is the obstacle of a request that was sent maxSends times.
const obstacleSends = ", sent too often"

// retryObstacle returns why the request may not be retried whatever the budget, or the
// empty string if it may.
func (r *activeRequest) retryObstacle(after attemptResult) string {
	switch {
	case after == attemptRejected:
		return ", not sent again"
	case r.suspected:
		return ", upstream ended, request suspected"
	case r.sends >= maxSends+r.stalls:
		return obstacleSends
	case after == attemptLost && !r.request.Route.Repeatable():
		return ", may not run again"
	case r.headerWritten && r.lastEventID == "":
		return ", no event to go on after"
	case len(r.runs) >= r.request.Route.MaxAttempts:
		return ", no run left"
	case r.options.Clock.Until(r.request.Deadline) < max(minTimeLeft, r.minRemainingTime()):
		return ", no time left"
	default:
		return ""
	}
}

// outcomeWithoutRetry returns the outcome if no further attempt is made.
func (r *activeRequest) outcomeWithoutRetry(after attemptResult) Outcome {
	switch {
	case r.headerWritten:
		return Outcome{Verdict: Broken}
	case after == attemptRejected && len(r.runs) == 0:
		return Outcome{Verdict: Refused}
	case (after == attemptNotRun || after == attemptNotSent) && len(r.runs) == 0:
		return Outcome{Verdict: Refused, RetryAfter: r.retryAfter(retryAfterBusy)}
	default:
		return Outcome{Verdict: Failed}
	}
}

// retryAfter returns when the first upstream of the pool opens again if all are
// closed, and otherwise the given time.
func (r *activeRequest) retryAfter(otherwise time.Duration) time.Duration {
	if opens, ok := r.options.Balancer.OpensIn(r.request.Pool); ok {
		return opens
	}
	return otherwise
}

// outcomeOnCancel returns the outcome if the caller disconnected, the deadline has
// passed or the process is about to end.
func (r *activeRequest) outcomeOnCancel(cause error) Outcome {
	stopping := errors.Is(cause, ErrStopping)
	switch {
	case !stopping && !errors.Is(cause, errDeadline):
		return Outcome{Verdict: Abandoned, Reason: "caller left"}
	case r.headerWritten:
		return Outcome{Verdict: Broken, Reason: cause.Error()}
	case len(r.runs) == 0:
		return Outcome{Verdict: Refused, Reason: cause.Error(), RetryAfter: retryAfterBusy}
	case stopping:
		return Outcome{Verdict: Failed, Reason: cause.Error()}
	default:
		return Outcome{Verdict: TimedOut, Reason: cause.Error()}
	}
}
