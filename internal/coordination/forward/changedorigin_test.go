package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestChangedOrigin guards against a stream whose first event is passed on while other
// gateways still take the release of an earlier, silent attempt for the one that began it.
// If this gateway ends then, they join its events with those of the other release
// (SoakSeed1021).
func TestChangedOrigin(t *testing.T) {
	for name, test := range map[string]struct {
		releases []string
		added    int
		waits    bool
	}{
		"another release takes over":    {[]string{"v1", "v2"}, 2, true},
		"the same release takes over":   {[]string{"v1", "v1"}, 2, false},
		"no other upstream takes over":  {[]string{"v1"}, 1, false},
		"a release without a name does": {[]string{"v1", ""}, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFreshFixture()
			var present []comfreyworks.Upstream
			for i, release := range test.releases {
				present = append(present, comfreyworks.Upstream{
					ID: comfreyworks.InstanceID(rune('a' + i)), Pool: pool, State: comfreyworks.InstanceLive, Release: release,
				})
			}
			f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 1}, f.clock.Now())
			origins := &fakeOrigins{}
			var answeredAt time.Time
			sound := &soundUpstreams{clock: f.clock, sent: make(map[comfreyworks.RequestID][]sentAttempt), first: neverRespond}
			sound.others = func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
				answeredAt = f.clock.Now()
				return respondOK(wholeStream)(ctx, options)
			}
			if len(test.releases) == 1 {
				sound.first = sound.others
			}
			f.forwarder.options.Origins, f.forwarder.options.Exchanger = origins, sound
			outcomes, sinks := f.forwardAll(t, route(comfreyworks.RouteStream, 2, true), 1)
			assertComplete(t, outcomes[0], &sinks[0], wholeStream)
			assert.Equal(t, len(origins.added), test.added)
			delay := f.clock.Since(answeredAt)
			assert.Equal(t, delay >= originExchangeTime, test.waits, "%s", delay)
		})
	}
}
