package forward

import (
	"fmt"
	"math"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/meter"
)

const (
	// maxWaitShare is the share of a route's latency objective that a prompt may
	// wait at its engine. The rest is left for prefilling the prompt.
	maxWaitShare = 0.7
	// A request with less than retryTimeLeftShare of its route's timeout left
	// counts as the caller's retry of a refused request. It may wait for
	// retryWaitShare of the time that it has left.
	retryTimeLeftShare = 0.9
	retryWaitShare     = 0.5
	// While the recent refusals exceed overloadRefusalShare of the recent requests
	// plus overloadMinRefusals, which may occur by chance, retries of callers may
	// wait no longer than other requests: each prompt that is admitted late delays
	// the prompts behind it.
	overloadRefusalShare = 0.1
	overloadMinRefusals  = 2
	// refusalHalfLife is the half-life of the counts of requests and refusals. It
	// is about the time in which an engine answers the prompts in its queue.
	refusalHalfLife = 2 * time.Second
)

// admissionControl refuses prompts whose prefill would start too late. An engine
// with more to prefill than it can keep up with also decodes more slowly, so that
// requests stay longer and evict each other's cached prefixes. Admitting more
// than it can process therefore costs more than the late answers themselves. It
// is safe for concurrent use.
type admissionControl struct {
	mu sync.Mutex
	// requests and refusals are exponentially decaying counts as of updatedAt.
	requests, refusals float64
	updatedAt          time.Time
}

// admit reports whether a prompt with the given expected wait is admitted, and
// counts it. maxWait applies to every prompt; maxRetryWait, if longer, applies to
// retries of callers as long as few requests are refused.
func (a *admissionControl) admit(now time.Time, wait, maxWait, maxRetryWait time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.requests++
	limit := maxWait
	if a.refusals < overloadRefusalShare*a.requests+overloadMinRefusals {
		limit = max(maxWait, maxRetryWait)
	}
	if wait <= limit {
		return true
	}
	a.refusals++
	return false
}

// decay lets the counts decay up to now. The mutex must be held.
func (a *admissionControl) decay(now time.Time) {
	decay := math.Exp2(-float64(now.Sub(a.updatedAt)) / float64(refusalHalfLife))
	a.requests, a.refusals, a.updatedAt = a.requests*decay, a.refusals*decay, now
}

// addRefusal counts the refusal of a prompt that admit has admitted.
func (a *admissionControl) addRefusal(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.refusals++
}

// refusalShare returns the share of recent prompts that were refused.
func (a *admissionControl) refusalShare(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	return a.refusals / max(a.requests, 1)
}

// overloadReason returns why the request is refused instead of being sent to the chosen
// engine, or the empty string if it is sent.
func (r *activeRequest) overloadReason(pick *balance.Pick) string {
	count := func(reason string) {
		r.options.Meter.Add("comfrey_overload_refused_total", meter.Labels{Class: comfreyworks.Class(reason)}, 1)
	}
	switch {
	case r.refusedByAdmission(pick):
		count("wait")
		return fmt.Sprintf("would wait %s", pick.Wait.Round(time.Millisecond))
	case pick.Pressure != "" && r.mayRefuse():
		count(string(pick.Pressure))
		r.admission.addRefusal(r.options.Clock.Now())
		return string(pick.Pressure)
	default:
		return ""
	}
}

// isReturning reports whether the caller has probably sent the request before.
func (r *activeRequest) isReturning() bool {
	left := r.request.Deadline.Sub(r.request.Received)
	return float64(left) < retryTimeLeftShare*float64(r.request.Route.Timeout)
}

// mayRefuse reports whether admission control applies to the request: it has a prompt, was
// not sent yet and does not resume a stream.
func (r *activeRequest) mayRefuse() bool {
	return r.sends == 0 && r.lastEventID == "" && r.request.Prompt.Model != ""
}

// refusedByAdmission reports whether admission control refuses the request
// because the chosen engine has too much to prefill. It does not apply to
// routes without a latency objective.
func (r *activeRequest) refusedByAdmission(pick *balance.Pick) bool {
	route := r.request.Route
	if !r.mayRefuse() || route.Objective == 0 {
		return false
	}
	left := r.options.Clock.Until(r.request.Deadline)
	var maxRetryWait time.Duration
	if r.isReturning() {
		maxRetryWait = time.Duration(retryWaitShare * float64(left))
	}
	maxWait := time.Duration(maxWaitShare * float64(route.Objective))
	return !r.admission.admit(r.options.Clock.Now(), pick.Wait, maxWait, maxRetryWait)
}
