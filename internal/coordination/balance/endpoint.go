package balance

import "time"

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *endpoint) updateLatency(elapsed time.Duration) {
	if e.latency == 0 {
		e.latency = elapsed
		return
	}
	e.latency += time.Duration(latencyWeight * float64(elapsed-e.latency))
}

// recordFailure counts a failure. Once there are threshold consecutive failures,
// the upstream is avoided.
func (e *endpoint) recordFailure(now time.Time, threshold int) {
	e.failures++
	if e.failures < threshold {
		return
	}
	e.avoidUntil = now.Add(min(baseAvoidTime<<min(e.failures-threshold, 10), maxAvoidTime))
}
