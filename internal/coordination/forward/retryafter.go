package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

const (
	// minRetryAfter is the minimum Retry-After time: it lets an engine finish the
	// work in its queue. retryAfterFactor multiplies the expected wait to allow
	// for what other callers send in the meantime.
	minRetryAfter    = 600 * time.Millisecond
	retryAfterFactor = 2
	// maxRefusalShare bounds the share of refused requests that the Retry-After time takes
	// into account. Without a bound, the time would grow without limit.
	maxRefusalShare = 0.8
	// priorityDelay is what one step of priority adds to that time, relative to the time
	// over which refused requests are spread, so that more urgent ones return first.
	priorityDelay = 0.25
)

// retrySpread describes a refused request.
type retrySpread struct {
	// wait is the expected wait at the engine, left the time until the deadline.
	wait, left time.Duration
	// refused is the share of recent requests that were refused, from 0 to 1.
	refused  float64
	priority int
	// draw spreads requests evenly, from 0 to 1.
	draw float64
}

// retryAfter returns the Retry-After time. As refused requests return in addition to new
// ones, they are spread over a time that grows with the share that was refused. A time that
// leaves none for the answer would be of no use, so that it is at most half of what is left,
// and at least minRetryAfter.
func (s *retrySpread) retryAfter() time.Duration {
	earliest := max(retryAfterFactor*s.wait, minRetryAfter)
	refused := min(max(s.refused, 0), maxRefusalShare)
	delay := s.draw + priorityDelay*float64(min(max(s.priority, 0), comfreyworks.NumPriorities-1))
	factor := 1 + delay*refused/(1-refused)
	return max(min(comfreyworks.Duration(factor, earliest), s.left/2), earliest)
}

// overloadRetryAfter returns the Retry-After time of the request when it is refused because
// of overload.
func (r *activeRequest) overloadRetryAfter(wait time.Duration) time.Duration {
	now := r.options.Clock.Now()
	spread := retrySpread{
		wait: wait, left: r.request.Deadline.Sub(now), refused: r.admission.refusalShare(now), priority: r.priority(),
		draw: float64(xxhash.Sum64String(string(r.request.Message.ID))>>11) / (1 << 53),
	}
	return spread.retryAfter()
}
