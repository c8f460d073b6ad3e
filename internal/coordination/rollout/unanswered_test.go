package rollout

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// declare makes the fixture's engines subject to a revision of the weights.
func (f *fixture) declare(revision comfreyworks.WeightsRevision) {
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{
		Routing: &comfreyworks.Routing{Version: 1, Pools: []comfreyworks.UpstreamPool{{Name: pool, Models: []comfreyworks.Model{model}}}},
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: revision}, Next: comfreyworks.Position(revision),
	}, time.Now())
}

// roll lets the roll-out work for some time and calls each at every check.
func (f *fixture) roll(t *testing.T, d time.Duration, each func()) {
	t.Helper()
	token, _ := f.lease.Held()
	var group errgroup.Group
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(checkInterval) {
		f.startLoads(t.Context(), &group, token)
		each()
	}
	assert.NilError(t, group.Wait())
}

// lateEngines neither execute nor answer orders as long as they are delayed.
type lateEngines struct{ *fakeEngines }

// Load implements comfreyworks.WeightsLoader.
func (e lateEngines) Load(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	result, err := e.fakeEngines.Load(ctx, order)
	if err != nil {
		<-ctx.Done()
	}
	return result, err
}

// TestOrdersWithoutAnswers guards against a roll-out that waits for answers which do not
// come, engine by engine: orders may take effect seconds after they were sent, so that every
// engine has to get one soon, and to serve until then.
func TestOrdersWithoutAnswers(t *testing.T) {
	const engines, orderedWithin = 44, 3 * time.Second
	newUnanswering := func(t *testing.T) *fixture {
		f := newFixtureAt(t, engines, clockwork.NewRealClock())
		f.engines.delayOrders = 1 << 30
		f.options.Loader = lateEngines{f.engines}
		f.declare(2)
		return f
	}
	t.Run("every engine gets an order soon", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newUnanswering(t)
			f.roll(t, orderedWithin, func() {})
			ordered := make(map[comfreyworks.InstanceID]bool)
			for i := range f.engines.orders {
				ordered[f.engines.orders[i].Upstream.ID] = true
			}
			assert.Equal(t, len(ordered), engines)
		})
	})
	t.Run("no more engines are away than load in other times", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newUnanswering(t)
			f.roll(t, orderedWithin, func() {
				away := make(map[comfreyworks.InstanceID]bool)
				for _, notice := range f.announced() {
					away[notice.Engine] = notice.For > 0
				}
				n := 0
				for _, isAway := range away {
					if isAway {
						n++
					}
				}
				assert.Assert(t, n <= limitsOf(engines).total, "%d engines", n)
			})
		})
	})
	t.Run("orders that are carried out late are noticed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newUnanswering(t)
			rng := rand.New(rand.NewPCG(1, 1))
			executeAt := make(map[int]time.Time)
			f.roll(t, 14*time.Second, func() {
				f.engines.mu.Lock()
				defer f.engines.mu.Unlock()
				for i := range f.engines.delayed {
					if executeAt[i].IsZero() {
						executeAt[i] = time.Now().Add(2*time.Second + time.Duration(rng.Int64N(int64(10*time.Second))))
					}
					if !time.Now().Before(executeAt[i]) {
						f.engines.execute(f.engines.delayed[i])
						executeAt[i] = time.Now().Add(time.Hour)
					}
				}
			})
			for _, engine := range f.catalog.Upstreams(pool) {
				assert.Equal(t, f.balancer.Weights(&engine, model), comfreyworks.WeightsRevision(2))
				assert.Equal(t, f.engines.accepted[engine.ID], uint64(1))
			}
		})
	})
	t.Run("one answer ends that", func(t *testing.T) {
		f := newFixture(t, engines)
		for i := range engines {
			f.loads.orderUnanswered(f.catalog.Upstreams(pool)[i].ID)
		}
		assert.Assert(t, f.loads.ordersGetNoAnswer(f.limits(pool)))
		f.loads.orderAnswered()
		assert.Assert(t, !f.loads.ordersGetNoAnswer(f.limits(pool)))
	})
}
