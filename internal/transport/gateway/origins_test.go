package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestOriginsBeforeRelease guards against streams of a gateway that freezes as a new release
// begins, which nobody can take up because nobody else knows that they began before it; and
// against the traffic that it takes to tell of every stream in a large deployment.
func TestOriginsBeforeRelease(t *testing.T) {
	begin := func(f *fixture, perSecond int) {
		for range perSecond * int(rateWindow.Seconds()) {
			f.gateway.origins.Add(comfreyworks.RequestID("r"), 1)
		}
	}
	// pass lets a window pass, with a list of upstreams that is read once a second.
	pass := func(t *testing.T, f *fixture) {
		for end := f.clock.Now().Add(rateWindow); f.clock.Now().Before(end); f.refresh(t) {
			f.clock.Advance(time.Second)
		}
	}
	const few, many = maxOriginTraffic / originBytes, maxOriginTraffic/originBytes + 1
	t.Run("few streams", func(t *testing.T) {
		f := newFixture(t)
		begin(f, few)
		assert.Assert(t, f.gateway.passesOrigins())
		pass(t, f)
		assert.Assert(t, f.gateway.passesOrigins())
	})
	t.Run("many streams", func(t *testing.T) {
		f := newFixture(t)
		begin(f, many)
		assert.Assert(t, !f.gateway.passesOrigins())
		pass(t, f)
		assert.Assert(t, !f.gateway.passesOrigins())
		pass(t, f)
		assert.Assert(t, f.gateway.passesOrigins(), "they have ended")
	})
	t.Run("many streams of two releases", func(t *testing.T) {
		f := newReleaseFixture(t)
		begin(f.fixture, many)
		assert.Assert(t, f.gateway.passesOrigins())
	})
}
