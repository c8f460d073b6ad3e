package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/meter"
)

const (
	pool  = comfreyworks.Pool("lm")
	model = comfreyworks.Model("oak")
)

// fakeEngines execute orders immediately, except as set by loseAnswers and
// delayOrders.
type fakeEngines struct {
	mu           sync.Mutex
	weights      map[comfreyworks.InstanceID]comfreyworks.WeightsRevision
	accepted     map[comfreyworks.InstanceID]uint64
	highestToken map[comfreyworks.InstanceID]uint64
	orders       []comfreyworks.WeightsLoadOrder
	// loseAnswers is the number of orders that are executed but not answered.
	// delayOrders is the number of orders that are neither executed nor answered;
	// they are appended to delayed.
	loseAnswers, delayOrders int
	delayed                  []comfreyworks.WeightsLoadOrder
	// statusAdvice and orderAdvice are in the answers to status requests and orders.
	statusAdvice, orderAdvice comfreyworks.UpstreamAdvice
	statusRequests            int
}

var errNoAnswer = errors.New("no answer")

// Load implements comfreyworks.WeightsLoader.
func (e *fakeEngines) Load(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	comfreyworks.ReportAdvice(ctx, e.orderAdvice)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.delayOrders > 0 {
		e.delayOrders--
		e.delayed = append(e.delayed, order)
		return "", errNoAnswer
	}
	result := e.execute(order)
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return "", errNoAnswer
	}
	return result, nil
}

func (e *fakeEngines) execute(order comfreyworks.WeightsLoadOrder) comfreyworks.WeightsLoadResult {
	id := order.Upstream.ID
	switch {
	case order.FencingToken < e.highestToken[id]:
		return comfreyworks.LoadFenced
	case order.AcceptedOrders != e.accepted[id]:
		return comfreyworks.LoadBusy
	case order.Weights == e.weights[id]:
		return comfreyworks.LoadDone
	}
	e.highestToken[id] = order.FencingToken
	e.accepted[id]++
	e.weights[id] = order.Weights
	return comfreyworks.LoadStarted
}

// Status implements comfreyworks.WeightsLoader.
func (e *fakeEngines) Status(ctx context.Context, engine comfreyworks.Upstream) (comfreyworks.EngineStatus, error) {
	comfreyworks.ReportAdvice(ctx, e.statusAdvice)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statusRequests++
	return comfreyworks.EngineStatus{
		Weights:        map[comfreyworks.Model]comfreyworks.WeightsRevision{model: e.weights[engine.ID]},
		AcceptedOrders: e.accepted[engine.ID],
	}, nil
}

// uncontendedLog is a lease log that no other gateway appends to.
type uncontendedLog struct {
	mu         sync.Mutex
	nextOffset comfreyworks.Offset
}

// Tail implements comfreyworks.LeaseLog.
func (l *uncontendedLog) Tail(context.Context, string) ([]byte, comfreyworks.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return nil, l.nextOffset, nil
}

// AppendAt implements comfreyworks.LeaseLog.
func (l *uncontendedLog) AppendAt(_ context.Context, _ string, at comfreyworks.Offset, _ []byte) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at != l.nextOffset {
		return false, nil
	}
	l.nextOffset++
	return true, nil
}

type fixture struct {
	clock    *clockwork.FakeClock
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	engines  *fakeEngines
	mu       sync.Mutex
	notices  []comfreyworks.WeightsLoadNotice
	*Rollout
}

// announced returns the notices so far.
func (f *fixture) announced() []comfreyworks.WeightsLoadNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.notices)
}

// newFixture returns a rollout that holds the lease, with n engines that serve
// revision 1.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := newFixtureAt(t, n, clock)
	f.clock = clock
	return f
}

// newFixtureAt is newFixture with another clock.
func newFixtureAt(t *testing.T, n int, clock comfreyworks.Clock) *fixture {
	t.Helper()
	f := &fixture{engines: &fakeEngines{
		weights:      make(map[comfreyworks.InstanceID]comfreyworks.WeightsRevision),
		accepted:     make(map[comfreyworks.InstanceID]uint64),
		highestToken: make(map[comfreyworks.InstanceID]uint64),
	}}
	f.catalog = catalog.New(clock)
	f.balancer = balance.New(balance.Options{
		Catalog: f.catalog, Holdings: holdings.New(), Clock: clock,
		Policy: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
	})
	f.Rollout = New(Options{
		Self: "g0", LeaseDuration: time.Hour, Catalog: f.catalog, Balancer: f.balancer, Log: &uncontendedLog{}, Loader: f.engines,
		Announce: func(notice comfreyworks.WeightsLoadNotice) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.notices = append(f.notices, notice)
		},
		Clock: clock, Logger: zap.NewNop(), Meter: meter.New(),
	})
	var present []comfreyworks.Upstream
	for i := range n {
		engine := comfreyworks.Upstream{
			ID: comfreyworks.InstanceID(fmt.Sprint("e", i)), Pool: pool, State: comfreyworks.InstanceLive,
			Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 1},
		}
		f.engines.weights[engine.ID] = 1
		present = append(present, engine)
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 1}, clock.Now())
	_, err := f.lease.Step(context.Background())
	assert.NilError(t, err)
	return f
}

func (f *fixture) newOrder(t *testing.T, revision comfreyworks.WeightsRevision) comfreyworks.WeightsLoadOrder {
	t.Helper()
	token, ok := f.lease.Held()
	assert.Assert(t, ok)
	return comfreyworks.WeightsLoadOrder{
		Upstream: f.catalog.Upstreams(pool)[0], Model: model, Weights: revision, Holder: "g0", FencingToken: token,
	}
}

// loadOnce runs one load and advances the clock until it ends.
func (f *fixture) loadOnce(t *testing.T, order comfreyworks.WeightsLoadOrder) {
	t.Helper()
	var group errgroup.Group
	ctx, done := context.WithCancel(context.Background())
	group.Go(func() error {
		defer done()
		f.loadWeights(context.Background(), order)
		return nil
	})
	for f.clock.BlockUntilContext(ctx, 1) == nil {
		f.clock.Advance(minLoadTime)
	}
	assert.NilError(t, group.Wait())
}

func TestLoad(t *testing.T) {
	t.Run("gateways are notified before and after a load", func(t *testing.T) {
		f := newFixture(t, 1)
		f.loadOnce(t, f.newOrder(t, 2))
		assert.Equal(t, f.engines.weights["e0"], comfreyworks.WeightsRevision(2))
		assert.Equal(t, len(f.notices), 2)
		assert.Assert(t, !f.notices[0].Done && f.notices[0].For > 0)
		assert.Assert(t, f.notices[1].Done && f.notices[1].Weights == 2)
		assert.Equal(t, f.balancer.Weights(&f.catalog.Upstreams(pool)[0], model), comfreyworks.WeightsRevision(2))
	})
	t.Run("an unanswered order is repeated and executed once", func(t *testing.T) {
		for name, inject := range map[string]func(*fakeEngines){
			"answer lost":   func(e *fakeEngines) { e.loseAnswers = 2 },
			"order delayed": func(e *fakeEngines) { e.delayOrders = 2 },
		} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t, 1)
				inject(f.engines)
				f.loadOnce(t, f.newOrder(t, 2))
				assert.Equal(t, f.engines.accepted["e0"], uint64(1))
				assert.Equal(t, f.engines.weights["e0"], comfreyworks.WeightsRevision(2))
			})
		}
	})
	t.Run("a delayed order does not restore older weights", func(t *testing.T) {
		f := newFixture(t, 1)
		f.engines.delayOrders = 1
		f.loadOnce(t, f.newOrder(t, 2))
		f.loadOnce(t, f.newOrder(t, 3))
		assert.Equal(t, f.engines.execute(f.engines.delayed[0]), comfreyworks.LoadBusy)
		assert.Equal(t, f.engines.weights["e0"], comfreyworks.WeightsRevision(3))
	})
	t.Run("no order without the lease", func(t *testing.T) {
		f := newFixture(t, 1)
		order := f.newOrder(t, 2)
		f.clock.Advance(time.Hour)
		f.loadOnce(t, order)
		assert.Equal(t, len(f.engines.orders), 0)
	})
	t.Run("an engine that does not answer is not retried before the retry delay", func(t *testing.T) {
		f := newFixture(t, 1)
		f.engines.delayOrders = maxOrderAttempts
		f.loadOnce(t, f.newOrder(t, 2))
		assert.Equal(t, len(f.enginesToLoad(pool, model, 2)), 0)
		f.clock.Advance(retryDelay)
		assert.Equal(t, len(f.enginesToLoad(pool, model, 2)), 1)
	})
}

// TestEngineSelection checks the choice of engines while new weights are declared
// repeatedly: few engines load at the same time, those with the oldest weights
// come first, and all load the newest weights.
func TestEngineSelection(t *testing.T) {
	for engines, want := range map[int]loadLimits{1: {2, 3}, 9: {2, 3}, 18: {3, 5}, 44: {8, 14}, 160: {30, 52}, 1100: {209, 365}} {
		t.Run(fmt.Sprintf("limit for %d engines", engines), func(t *testing.T) {
			assert.Equal(t, limitsOf(engines), want)
		})
	}
	t.Run("no more engines load than the limit allows", func(t *testing.T) {
		f := newFixture(t, 9)
		limits := limitsOf(9)
		for i := range limits.total {
			next := f.enginesToLoad(pool, model, 2)
			assert.Equal(t, len(next), limits.total-i)
			f.loads.start(next[0].ID)
			assert.Equal(t, f.loads.tryLoad(next[0].ID, limits), i < limits.loading)
		}
		assert.Equal(t, len(f.enginesToLoad(pool, model, 2)), 0)
	})
	t.Run("engines with the oldest weights load first", func(t *testing.T) {
		f := newFixture(t, 9)
		f.balancer.Pick(balance.Query{Pool: pool, Model: model}).Done(balance.Result{Outcome: balance.Answered, Weights: 2})
		var order []comfreyworks.InstanceID
		for range 9 {
			next := f.enginesToLoad(pool, model, 3)
			f.loads.start(next[0].ID)
			order = append(order, next[0].ID)
			f.loads.draining = map[comfreyworks.InstanceID]bool{}
			f.balancer.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: next[0].ID, Model: model, Weights: 3, Sequence: uint64(len(order)), Done: true})
		}
		assert.Equal(t, f.balancer.Weights(&comfreyworks.Upstream{ID: order[8]}, model), comfreyworks.WeightsRevision(3))
		assert.Equal(t, len(f.enginesToLoad(pool, model, 3)), 0)
	})
	t.Run("leaving engines do not load", func(t *testing.T) {
		f := newFixture(t, 1)
		leaving := f.catalog.Upstreams(pool)[0]
		leaving.State = comfreyworks.InstanceLeaving
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{leaving}, Next: 2}, f.clock.Now())
		assert.Equal(t, len(f.enginesToLoad(pool, model, 2)), 0)
	})
}
