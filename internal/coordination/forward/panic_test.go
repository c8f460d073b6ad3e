package forward

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

// TestPanicDuringTakeover guards against a panic that ends the gateway, or leaves load
// behind, because it does not happen in the goroutine of the request.
func TestPanicDuringTakeover(t *testing.T) {
	f, sound := newSoundFixture(3, 100)
	counts := meter.New()
	f.forwarder.options.Faults = faults.New(faults.Options{Clock: f.clock, Logger: zap.NewNop(), Meter: counts})
	sound.first = pausing(f.clock, wholeStream, untilSecond, 3*time.Second)
	sound.others = func(context.Context, comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		panic("broken")
	}
	outcomes, sinks := f.forwardAll(t, route(comfreyworks.RouteStream, 3, true), 2)
	for i, outcome := range outcomes {
		assert.Equal(t, outcome.Verdict, Delivered)
		assert.Equal(t, sinks[i].body.String(), wholeStream)
	}
	assert.Assert(t, counts.Counter("comfrey_panics_total", meter.Labels{Class: panicPlace}) >= 2)
	assert.Equal(t, len(f.forwarder.options.Balancer.LocalLoads()), 0)
}
