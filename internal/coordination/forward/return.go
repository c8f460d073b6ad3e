package forward

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

const (
	// maxReturns is the maximum number of times that a request returns to upstreams that
	// it has left, including those that do not run it.
	maxReturns = 6
	// returnInterval is the time before the second return. It doubles for each further one,
	// so that the last one comes over 6 s after the first: an upstream may pause twice, for
	// maxPause each, and has to catch up then.
	returnInterval = 200 * time.Millisecond
	// maxPause is how long a sound upstream may be silent. After that, it is replaced even
	// if no retry is left to return to it.
	maxPause = 2 * time.Second
	// maxReturnWait is how long the request waits for an upstream that wants no requests, and
	// maxAnswerWait how long if its answer has begun, which would be cut off otherwise.
	maxReturnWait = time.Second
	maxAnswerWait = 2 * maxPause
)

// leftUpstream is an upstream that a request has left although it had not failed: it was
// silent, or no longer needed.
type leftUpstream struct {
	comfreyworks.UpstreamIncarnation
	// delivered means that it has sent events of the request, so that the request does
	// not crash it.
	delivered bool
}

// leave cancels an attempt whose upstream has not failed. The mutex must be held.
func (a *attempt) leave(cause error) {
	a.left = append(a.left, a.asLeft())
	a.cancel(cause)
}

// asLeft describes the upstream of the attempt as one that the request has left.
func (a *attempt) asLeft() leftUpstream {
	return leftUpstream{a.pick.Upstream.Incarnation(), a.delivered}
}

// leaveAgain records that the attempt has returned to an upstream that did not run it, so
// that the request may return once more.
func (a *attempt) leaveAgain() {
	if a.returnsTo != nil {
		a.left = append(a.left, *a.returnsTo)
	}
}

// awaitReturn waits before the request returns, if it does so once more or to an upstream that
// wants no requests for some time. It returns false if the attempt has ended meanwhile, or if
// the upstream may no longer receive the request.
func (a *attempt) awaitReturn() bool {
	if a.returnsTo == nil {
		return true
	}
	wait := a.closedFor(a.returnsTo)
	if a.returns > 1 {
		wait = max(wait, returnInterval<<(a.returns-2))
	}
	if wait <= 0 {
		return true
	}
	if !comfreyworks.Sleep(a.ctx, a.options.Clock, wait) {
		a.leaveAgain()
		return false
	}
	pick := a.pickOnly(a.returnsTo.UpstreamIncarnation)
	if pick == nil {
		a.leaveAgain()
		a.reason += ", upstream left before may no longer receive it"
		return false
	}
	a.pick.Done(balance.Result{Outcome: balance.Withdrawn})
	a.pick, a.startedAt = pick, a.options.Clock.Now()
	return true
}

// pickOnly chooses one of the given upstreams, or returns nil if none may receive the request.
func (r *activeRequest) pickOnly(upstreams ...comfreyworks.UpstreamIncarnation) *balance.Pick {
	query := r.balanceQuery()
	query.Exclude, query.Only = nil, upstreams
	return r.options.Balancer.Pick(query)
}

// closedFor returns how much longer an upstream that the request has left wants no requests.
func (r *activeRequest) closedFor(left *leftUpstream) time.Duration {
	return r.options.Balancer.ClosedFor(&comfreyworks.Upstream{ID: left.ID, Started: left.Started})
}

// isClosed reports whether an upstream that the request has left wants no requests for longer
// than the request waits.
func (r *activeRequest) isClosed(left leftUpstream) bool {
	limit := maxReturnWait
	if r.headerWritten {
		limit = maxAnswerWait
	}
	return r.closedFor(&left) > limit
}

// isSound reports whether the answer goes on so well that no return is to be expected: the
// upstream did not take over from a silent one, or its answer began long enough ago.
func (a *attempt) isSound() bool {
	return a.response == nil || a.answer.age(a.options.Clock.Now()) >= soundAnswerTime
}

// takeReservingRetry takes a retry from the budget and reserves another one, unless that
// has been done. An upstream that has been silent for maxPause needs no reservation.
func (r *activeRequest) takeReservingRetry(silentFor time.Duration) bool {
	if r.reserved || silentFor >= maxPause {
		return r.budget.TryRetry()
	}
	r.reserved = r.budget.TryRetryAndReserve()
	return r.reserved
}

// returnReserved gives back the retry that is reserved, if any.
func (r *activeRequest) returnReserved() {
	if r.reserved {
		r.reserved = false
		r.budget.ReturnReserved()
	}
}

// takeReturningRetry takes the retry for returning to an upstream.
func (r *activeRequest) takeReturningRetry() bool {
	if !r.reserved {
		return r.budget.TryRetry()
	}
	r.reserved = false
	return r.budget.UseReserved()
}

// pickReturn chooses one of the upstreams that the request has left, or returns nil if it
// can't return to any. retryTaken means that a retry was taken already. The request may
// run there once more than its route allows, because it has run there before: the limit
// is on the number of upstreams.
func (r *activeRequest) pickReturn(retryTaken bool) *balance.Pick {
	upstreams := r.returnable()
	if len(upstreams) == 0 && slices.ContainsFunc(r.left, r.isClosed) {
		r.reason += ", upstream left before wants no requests"
	}
	return r.pickReturnTo(upstreams, retryTaken)
}

// pickReturnTo is pickReturn for some of the upstreams to which the request may return.
func (r *activeRequest) pickReturnTo(upstreams []comfreyworks.UpstreamIncarnation, retryTaken bool) *balance.Pick {
	if len(upstreams) == 0 {
		return nil
	}
	pick := r.pickOnly(upstreams...)
	if pick == nil {
		for _, upstream := range upstreams {
			r.reason += ", no return to upstream left before, " + string(r.options.Balancer.ReturnObstacle(r.balanceQuery(), upstream, 0))
		}
		return nil
	}
	if !retryTaken && !r.takeReturningRetry() {
		pick.Done(balance.Result{Outcome: balance.Withdrawn})
		r.reason += ", retry budget spent for returning"
		return nil
	}
	r.returns++
	r.options.Logger.Info("returning to an upstream that was silent",
		zap.String("request", string(r.request.Message.ID)),
		zap.String("upstream", string(pick.Upstream.ID)),
		zap.String("resumes-after", r.lastEventID), zap.String("reason", r.reason),
	)
	return pick
}

// returnable returns the upstreams to which the request may return; nil if there is none.
func (r *activeRequest) returnable() []comfreyworks.UpstreamIncarnation {
	if len(r.left) == 0 || r.returns >= maxReturns || len(r.runs) > r.request.Route.MaxAttempts || r.options.Clock.Until(r.request.Deadline) < minTimeLeft {
		return nil
	}
	var upstreams []comfreyworks.UpstreamIncarnation
	for _, left := range r.left {
		mayRun := slices.ContainsFunc(r.runs, left.Equal) || r.upstreamsRun() < r.request.Route.MaxAttempts
		if mayRun && !r.isSuspectedAt(&left) && !r.isClosed(left) {
			upstreams = append(upstreams, left.UpstreamIncarnation)
		}
	}
	return upstreams
}

// isSuspectedAt reports whether the request may crash an upstream that it has left.
func (r *activeRequest) isSuspectedAt(left *leftUpstream) bool {
	if left.delivered {
		return false
	}
	_, blamed := r.options.Crashes.Blamed(r.suspects)
	return r.suspected || blamed
}

// obstacleAt returns why the request could not return to an upstream at all times until the
// given duration has passed, or the empty string if it could, as far as is known now.
func (r *activeRequest) obstacleAt(left leftUpstream, within time.Duration) string {
	switch {
	case r.returns >= maxReturns:
		return "returned too often"
	case r.isSuspectedAt(&left):
		return "request suspected"
	case r.closedFor(&left) > maxReturnWait:
		return "wants no requests"
	default:
		return string(r.options.Balancer.ReturnObstacle(r.balanceQuery(), left.UpstreamIncarnation, within))
	}
}

// upstreamsRun returns the number of upstreams on which the request may have run.
func (r *activeRequest) upstreamsRun() int {
	n := 0
	for i, upstream := range r.runs {
		if !slices.ContainsFunc(r.runs[:i], upstream.Equal) {
			n++
		}
	}
	return n
}
