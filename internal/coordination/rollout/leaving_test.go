package rollout

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestLeavingEngine guards against orders to an engine that has said that it is
// leaving.
func TestLeavingEngine(t *testing.T) {
	leaving := comfreyworks.UpstreamAdvice{Leaving: true}
	t.Run("it is not selected", func(t *testing.T) {
		f := newFixture(t, 2)
		f.balancer.Advise(&f.catalog.Upstreams(pool)[0], leaving)
		engines := f.enginesToLoad(pool, model, 2)
		assert.Equal(t, len(engines), 1)
		assert.Equal(t, engines[0].ID, comfreyworks.InstanceID("e1"))
	})
	t.Run("it gets no order that was already decided", func(t *testing.T) {
		f := newFixture(t, 1)
		f.balancer.Advise(&f.catalog.Upstreams(pool)[0], leaving)
		f.loadOnce(t, f.newOrder(t, 2))
		assert.Equal(t, len(f.engines.orders), 0)
	})
	for name, advise := range map[string]func(*fakeEngines){
		"the status report": func(e *fakeEngines) { e.statusAdvice = leaving },
		"a lost order":      func(e *fakeEngines) { e.orderAdvice, e.delayOrders = leaving, maxOrderAttempts },
	} {
		t.Run("it says so in the answer to "+name, func(t *testing.T) {
			f := newFixture(t, 1)
			advise(f.engines)
			f.loadOnce(t, f.newOrder(t, 2))
			assert.Assert(t, len(f.engines.orders) <= 1, "%d orders", len(f.engines.orders))
			_, err := f.status(context.Background(), f.catalog.Upstreams(pool)[0], engineTimeout)
			assert.ErrorIs(t, err, errLeaving)
		})
	}
}
