package balance

import (
	"time"

	"comfreyworks"
)

// ReturnObstacle is why a request can't return to an upstream that it has left. Some may pass.
type ReturnObstacle string

// Obstacles to a return.
const (
	// ReturnPossible means that there is none.
	ReturnPossible ReturnObstacle = ""
	// ReturnUnlisted means that the upstream is not in the list.
	ReturnUnlisted ReturnObstacle = "not listed"
	// ReturnRestarted means that the upstream was started again.
	ReturnRestarted ReturnObstacle = "started again"
	// ReturnLeaving means that the upstream has begun to leave.
	ReturnLeaving ReturnObstacle = "leaving"
	// ReturnOtherRelease means that another release began the stream, or that the stream
	// must not begin at the upstream's release yet.
	ReturnOtherRelease ReturnObstacle = "release not usable"
	// ReturnSupersededWeights means that the upstream's weights were superseded too long ago
	// to begin an answer, or will have been.
	ReturnSupersededWeights ReturnObstacle = "weights superseded"
)

// MayPass reports whether the upstream may receive the request again later.
func (o ReturnObstacle) MayPass() bool {
	return o == ReturnUnlisted || o == ReturnOtherRelease || o == ReturnSupersededWeights
}

// ReturnObstacle returns why a request could not return to an upstream at all times from now
// until the given duration has passed, as far as is known now. As with Query.Only, it doesn't
// matter whether the upstream can be reached and wants requests.
func (b *Balancer) ReturnObstacle(query Query, to comfreyworks.UpstreamIncarnation, within time.Duration) ReturnObstacle {
	upstream, listed := b.options.Catalog.Upstream(to.ID)
	declared := b.options.Catalog.Weights(query.Model)
	now := b.options.Clock.Now()
	query.Exclude, query.Only = nil, []comfreyworks.UpstreamIncarnation{to}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !listed || upstream.Pool != query.Pool:
		return ReturnUnlisted
	case !upstream.Incarnation().Equal(to):
		return ReturnRestarted
	case upstream.State != comfreyworks.InstanceLive || b.leaving.has(&upstream):
		return ReturnLeaving
	}
	c, mayReceive := b.newCandidate(&upstream, &query, declared, now)
	if c.upstream == nil {
		return ReturnOtherRelease
	}
	successor, superseded := declared.Superseded(c.weights)
	if !mayReceive || (superseded && !b.mayUseSuperseded(&c, successor, now.Add(within))) {
		return ReturnSupersededWeights
	}
	return ReturnPossible
}
