package tracker

import "time"

const (
	// speedMemory is the weight of the past when a sample is added: about the
	// last fifty requests count.
	speedMemory = 0.98
	// speedTokens is the least number of computed tokens that make a sample;
	// shorter prompts measure the engine's fixed costs and not its speed.
	speedTokens = 256
	// priorTokens is the weight of the first estimate, in tokens.
	priorTokens = 100_000
)

// speed learns how long an engine takes for one prompt token. It divides sums
// of times by sums of tokens. A mean of ratios would be far off: when an engine
// ends two prompts in one step, the whole time is booked on the first and none
// on the second, so single ratios are either too high or zero, and only their
// sums are right.
type speed struct {
	time   float64
	tokens float64
}

func newSpeed(first time.Duration) speed {
	return speed{time: float64(first) * priorTokens, tokens: priorTokens}
}

// add takes the tokens of one request and the time that they took.
func (s *speed) add(tokens int, took time.Duration) {
	if tokens < speedTokens {
		return
	}
	s.time = speedMemory*s.time + float64(took)
	s.tokens = speedMemory*s.tokens + float64(tokens)
}

// prefillTime returns the time for one prompt token.
func (s *speed) prefillTime() time.Duration {
	return max(time.Duration(s.time/s.tokens), 1)
}
