package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryAfterSpread guards against refused requests that all return at the same moment,
// and are refused again, and against urgent ones that return after others.
func TestRetryAfterSpread(t *testing.T) {
	const left = 15 * time.Second
	t.Run("few refused: as soon as the engine has worked off its queue", func(t *testing.T) {
		s := retrySpread{left: left, draw: 0.9}
		assert.Equal(t, s.retryAfter(), minRetryAfter)
		s.wait = time.Second
		assert.Equal(t, s.retryAfter(), retryAfterFactor*time.Second)
	})
	t.Run("three quarters refused: spread over three times as long", func(t *testing.T) {
		first, last := retrySpread{left: left, refused: 0.75}, retrySpread{left: left, refused: 0.75, draw: 1}
		assert.Equal(t, last.retryAfter(), 4*first.retryAfter())
	})
	t.Run("urgent first", func(t *testing.T) {
		urgent, other := retrySpread{left: left, refused: 0.5, draw: 0.5}, retrySpread{left: left, refused: 0.5, draw: 0.5, priority: 2}
		assert.Assert(t, urgent.retryAfter() < other.retryAfter())
	})
	t.Run("time left for the answer", func(t *testing.T) {
		s := retrySpread{left: 2 * time.Second, refused: 1, priority: 9, draw: 1}
		assert.Equal(t, s.retryAfter(), time.Second)
		s.left = 0
		assert.Equal(t, s.retryAfter(), minRetryAfter)
	})
}
