package tracker

import "time"

const (
	// sampleDecay is the factor by which each new sample reduces the weight of
	// the older ones. The estimate reflects about the last fifty requests.
	sampleDecay = 0.98
	// minSampleTokens is the minimum number of computed tokens of a sample. The
	// time for shorter prompts is dominated by the engine's fixed costs.
	minSampleTokens = 256
	// initialTokens is the weight of the initial estimate, in tokens.
	initialTokens = 100_000
)

// prefillEstimator estimates how long an engine takes to prefill one token. It
// divides the sum of the times by the sum of the tokens, because a mean of
// ratios would be far off: when an engine completes two prompts in one step,
// the whole time is attributed to the first and none to the second. Each ratio
// is then either too high or zero, and only the ratio of the sums is right.
type prefillEstimator struct {
	time   float64
	tokens float64
}

func newPrefillEstimator(initial time.Duration) prefillEstimator {
	return prefillEstimator{time: float64(initial) * initialTokens, tokens: initialTokens}
}

// add adds the computed tokens of one request and the time that they took.
func (e *prefillEstimator) add(tokens int, took time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	e.time = sampleDecay*e.time + float64(took)
	e.tokens = sampleDecay*e.tokens + float64(tokens)
}

// timePerToken returns the estimated time to prefill one token.
func (e *prefillEstimator) timePerToken() time.Duration {
	return max(time.Duration(e.time/e.tokens), 1)
}
