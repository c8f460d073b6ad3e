package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// maxOverlap is how long two upstreams may work on the same request.
const maxOverlap = 400 * time.Millisecond

// TestTakeoverOverlap guards against two upstreams that work on the same request for
// longer than maxOverlap.
func TestTakeoverOverlap(t *testing.T) {
	for name, pause := range map[string]time.Duration{"the silent one goes on": 2 * time.Second, "the silent one is dead": time.Hour} {
		for kind, after := range map[string]int{"in the midst": untilSecond, "before the first event": 0} {
			t.Run(kind+", "+name, func(t *testing.T) {
				f, sound := newSoundFixture(3, 10)
				sound.first = pausing(f.clock, wholeStream, after, pause)
				sound.others = func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
					select {
					case <-f.clock.After(maxOverlap):
					case <-ctx.Done():
						return neverRespond(ctx, options)
					}
					sound.mu.Lock()
					first := sound.sent["r0"][0].ctx
					sound.mu.Unlock()
					assert.Check(t, first.Err() != nil, "both are asked after %s", maxOverlap)
					return respondRest(ctx, options)
				}
				outcomes, sinks := f.forwardAll(t, route(comfreyworks.RouteStream, 2, true), 1)
				assertComplete(t, outcomes[0], &sinks[0], wholeStream)
			})
		}
	}
}
