package forward

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

// maxStalls is how often an answer that has begun waits for an upstream: for returnInterval, and
// for returnInterval longer each further time, 2 s in all.
const maxStalls = 4

// awaitUpstream waits until an answer that has begun can go on at an upstream, because one that
// was busy, not listed or not to be used takes the request. Otherwise the answer would be cut
// off. It returns false if none does within the time for that, or if there can't be one.
func (r *activeRequest) awaitUpstream(ctx context.Context, after attemptResult) bool {
	reason := r.reason
	for r.stalls < maxStalls && r.mayGoOnLater(after) {
		r.stalls++
		wait := returnInterval * time.Duration(r.stalls)
		r.options.Logger.Info("answer waits for an upstream",
			zap.String("request", string(r.request.Message.ID)), zap.String("after", r.lastEventID),
			zap.Duration("for", wait), zap.String("reason", reason),
		)
		if !comfreyworks.Sleep(ctx, r.options.Clock, wait) {
			return false
		}
		r.reason, r.tried = reason, nil
		if r.takeRetry(after) {
			return true
		}
	}
	return false
}

// mayGoOnLater reports whether what keeps an answer that has begun from going on may pass.
func (r *activeRequest) mayGoOnLater(after attemptResult) bool {
	if !r.headerWritten || r.lastEventID == "" {
		return false
	}
	obstacle := r.retryObstacle(after)
	mayRun := len(r.runs) < r.request.Route.MaxAttempts
	return obstacle == "" || (obstacle == obstacleSends && mayRun) || r.mayBecomeReturnable()
}

// mayBecomeReturnable reports whether what keeps the request from returning to an upstream
// may pass. If nothing does, the retry budget is spent at the moment.
func (r *activeRequest) mayBecomeReturnable() bool {
	query := r.balanceQuery()
	return slices.ContainsFunc(r.returnable(), func(upstream comfreyworks.UpstreamIncarnation) bool {
		obstacle := r.options.Balancer.ReturnObstacle(query, upstream, 0)
		return obstacle == balance.ReturnPossible || obstacle.MayPass()
	})
}
