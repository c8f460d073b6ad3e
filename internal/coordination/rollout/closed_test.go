package rollout

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestClosedEngine guards against status requests and orders to an engine that wants
// no requests for some time.
func TestClosedEngine(t *testing.T) {
	closed := comfreyworks.UpstreamAdvice{ClosedFor: 5 * time.Second}
	t.Run("it is selected after that time", func(t *testing.T) {
		f := newFixture(t, 1)
		f.balancer.Advise(&f.catalog.Upstreams(pool)[0], closed)
		assert.Equal(t, len(f.enginesToLoad(pool, model, 2)), 0)
		f.clock.Advance(closed.ClosedFor)
		assert.Equal(t, len(f.enginesToLoad(pool, model, 2)), 1)
	})
	for name, test := range map[string]struct {
		advise func(*fakeEngines)
		orders int
	}{
		"the status report": {advise: func(e *fakeEngines) { e.statusAdvice = closed }},
		"an order":          {advise: func(e *fakeEngines) { e.orderAdvice, e.delayOrders = closed, maxOrderAttempts }, orders: 1},
	} {
		t.Run("it says so in the answer to "+name, func(t *testing.T) {
			f := newFixture(t, 1)
			test.advise(f.engines)
			f.loadOnce(t, f.newOrder(t, 2))
			assert.Equal(t, len(f.engines.orders), test.orders)
			_, err := f.status(context.Background(), f.catalog.Upstreams(pool)[0], engineTimeout)
			assert.ErrorIs(t, err, errClosed)
		})
	}
	t.Run("a load in progress is not asked for its status", func(t *testing.T) {
		f := newFixture(t, 1)
		f.engines.orderAdvice = closed
		f.loadOnce(t, f.newOrder(t, 2))
		assert.Equal(t, len(f.engines.orders), 1)
		assert.Equal(t, f.engines.statusRequests, 1, "before the order")
	})
}
