package forward

import (
	"testing"
	"time"

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
