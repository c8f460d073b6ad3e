package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestSoundUpstreamGivenUpForNone guards against ending the answer of a sound upstream in
// favor of others that turn out not to serve the request.
func TestSoundUpstreamGivenUpForNone(t *testing.T) {
	stream, idempotent := route(comfreyworks.RouteStream, 2, true), route(comfreyworks.RouteIdempotent, 2, false)
	for obstacle, others := range map[string]response{"the others are busy": busy, "the other one breaks off": lost, "the others are not sent": notSent} {
		for name, route := range map[string]*comfreyworks.Route{"idempotent, ": idempotent, "stream of another release, ": stream} {
			t.Run(name+obstacle, func(t *testing.T) {
				f, sound := newSoundFixture(3, 10)
				present := f.catalog.Upstreams(pool)
				for i := range present {
					present[i].Release, present[i].Sequence = []string{"v1", "v2", "v2"}[i], 1
				}
				f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 3}, f.clock.Now())
				sound.first, sound.others = pausing(f.clock, wholeStream, 0, time.Second), others
				outcomes, sinks := f.forwardAll(t, route, 1)
				assertComplete(t, outcomes[0], &sinks[0], wholeStream)
			})
		}
	}
}

// TestSilentUpstreamOfSingleRun guards against giving up a request that may run once
// because its upstream is silent for a while.
func TestSilentUpstreamOfSingleRun(t *testing.T) {
	for name, c := range map[string]struct {
		route *comfreyworks.Route
		after int
	}{
		"before the answer":             {route(comfreyworks.RouteNonIdempotent, 2, false), 0},
		"in the answer":                 {route(comfreyworks.RouteNonIdempotent, 2, false), untilSecond},
		"stream before its first event": {route(comfreyworks.RouteStream, 2, false), 0},
		"stream between two events":     {route(comfreyworks.RouteStream, 2, false), untilSecond},
	} {
		for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", ", pause), func(t *testing.T) {
				f, sound := newSoundFixture(3, 10)
				sound.first, sound.others = pausing(f.clock, wholeStream, c.after, pause), respondRest
				outcomes, sinks := f.forwardAll(t, c.route, 20)
				for i := range outcomes {
					assertComplete(t, outcomes[i], &sinks[i], wholeStream)
					assert.Equal(t, outcomes[i].Sends, 1)
				}
			})
		}
	}
}
