package bootclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClock(t *testing.T) {
	clock := New()
	t.Run("has no monotonic reading, which would stop during a suspension", func(t *testing.T) {
		now := clock.Now()
		assert.Equal(t, now, now.Round(0))
	})
	t.Run("advances", func(t *testing.T) {
		before := clock.Now()
		clock.Sleep(2 * time.Millisecond)
		assert.Assert(t, clock.Since(before) >= 2*time.Millisecond)
		assert.Assert(t, clock.Until(before) < 0)
	})
}
