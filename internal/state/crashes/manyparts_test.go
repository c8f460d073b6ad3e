package crashes

import (
	"testing"
	"time"
)

// TestManyPartsThatComeTogether guards against sound requests that were refused for two
// hours after two engines ended under them: they have more parts in common than the
// log remembers, and no request can tell these apart.
func TestManyPartsThatComeTogether(t *testing.T) {
	session := []uint32{11, 12, 13, 14, 15, 16, 17, 18}
	for name, c := range map[string]struct {
		crashes int
		refused time.Duration
	}{
		"two crashes":   {certainAfter - 1, maxTestWait},
		"three crashes": {certainAfter, 2 * minQuarantine},
	} {
		t.Run(name, func(t *testing.T) {
			l, clock := newLog()
			crash(l, c.crashes, session...)
			clock.Advance(c.refused + 1)
			assertBlamed(t, l, 0, session...)
			trial := l.Begin(session)
			assertBlamed(t, l, session[0], session...)
			trial.Answered()
			assertBlamed(t, l, 0, session...)
		})
	}
}
