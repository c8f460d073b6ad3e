package rollout

import (
	"context"
	"errors"
	"fmt"
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

// fakeEngines carry orders out at once, unless told otherwise.
type fakeEngines struct {
	mu       sync.Mutex
	weights  map[comfreyworks.InstanceID]comfreyworks.WeightsRevision
	accepted map[comfreyworks.InstanceID]uint64
	fence    map[comfreyworks.InstanceID]uint64
	orders   []comfreyworks.WeightsLoadOrder
	// lose is how many orders are carried out without an answer, drop how many
	// are neither answered nor carried out; late collects those.
	lose, drop int
	late       []comfreyworks.WeightsLoadOrder
}

var errNoAnswer = errors.New("no answer")

// Load implements comfreyworks.WeightsLoader.
func (e *fakeEngines) Load(_ context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.drop > 0 {
		e.drop--
		e.late = append(e.late, order)
		return "", errNoAnswer
	}
	result := e.take(order)
	if e.lose > 0 {
		e.lose--
		return "", errNoAnswer
	}
	return result, nil
}

func (e *fakeEngines) take(order comfreyworks.WeightsLoadOrder) comfreyworks.WeightsLoadResult {
	id := order.Upstream.ID
	switch {
	case order.FencingToken < e.fence[id]:
		return comfreyworks.LoadFenced
	case order.AcceptedOrders != e.accepted[id]:
		return comfreyworks.LoadBusy
	case order.Weights == e.weights[id]:
		return comfreyworks.LoadDone
	}
	e.fence[id] = order.FencingToken
	e.accepted[id]++
	e.weights[id] = order.Weights
	return comfreyworks.LoadStarted
}

// Status implements comfreyworks.WeightsLoader.
func (e *fakeEngines) Status(_ context.Context, engine comfreyworks.Upstream) (comfreyworks.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return comfreyworks.EngineStatus{
		Weights:        map[comfreyworks.Model]comfreyworks.WeightsRevision{model: e.weights[engine.ID]},
		AcceptedOrders: e.accepted[engine.ID],
	}, nil
}

// freeLog is a lease log that nobody else writes to.
type freeLog struct {
	mu  sync.Mutex
	end comfreyworks.Offset
}

// Tail implements comfreyworks.LeaseLog.
func (l *freeLog) Tail(context.Context, string) ([]byte, comfreyworks.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return nil, l.end, nil
}

// AppendAt implements comfreyworks.LeaseLog.
func (l *freeLog) AppendAt(_ context.Context, _ string, at comfreyworks.Offset, _ []byte) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at != l.end {
		return false, nil
	}
	l.end++
	return true, nil
}

type fixture struct {
	clock    *clockwork.FakeClock
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	engines  *fakeEngines
	notices  []comfreyworks.WeightsLoadNotice
	*Rollout
}

// newFixture has engines that serve weights 1, and holds the lease.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), engines: &fakeEngines{
		weights:  make(map[comfreyworks.InstanceID]comfreyworks.WeightsRevision),
		accepted: make(map[comfreyworks.InstanceID]uint64),
		fence:    make(map[comfreyworks.InstanceID]uint64),
	}}
	f.catalog = catalog.New(f.clock)
	f.balancer = balance.New(balance.Options{
		Catalog: f.catalog, Holdings: holdings.New(), Clock: f.clock,
		Placer: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
	})
	var mu sync.Mutex
	f.Rollout = New(Options{
		Self: "g0", Lease: time.Hour, Catalog: f.catalog, Balancer: f.balancer, Log: &freeLog{}, Loader: f.engines,
		Announce: func(_ context.Context, notice comfreyworks.WeightsLoadNotice) {
			mu.Lock()
			defer mu.Unlock()
			f.notices = append(f.notices, notice)
		},
		Clock: f.clock, Logger: zap.NewNop(), Meter: meter.New(),
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
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 1}, f.clock.Now())
	_, err := f.lease.Step(context.Background())
	assert.NilError(t, err)
	return f
}

func (f *fixture) order(t *testing.T, revision comfreyworks.WeightsRevision) comfreyworks.WeightsLoadOrder {
	t.Helper()
	token, ok := f.lease.Held()
	assert.Assert(t, ok)
	return comfreyworks.WeightsLoadOrder{
		Upstream: f.catalog.Upstreams(pool)[0], Model: model, Weights: revision, Holder: "g0", FencingToken: token,
	}
}

// loadOnce runs one load while time goes on.
func (f *fixture) loadOnce(t *testing.T, order comfreyworks.WeightsLoadOrder) {
	t.Helper()
	var group errgroup.Group
	ctx, done := context.WithCancel(context.Background())
	group.Go(func() error {
		defer done()
		f.load(context.Background(), order)
		return nil
	})
	for f.clock.BlockUntilContext(ctx, 1) == nil {
		f.clock.Advance(loadTime)
	}
	assert.NilError(t, group.Wait())
}

func TestLoad(t *testing.T) {
	t.Run("announced before and after", func(t *testing.T) {
		f := newFixture(t, 1)
		f.loadOnce(t, f.order(t, 2))
		assert.Equal(t, f.engines.weights["e0"], comfreyworks.WeightsRevision(2))
		assert.Equal(t, len(f.notices), 2)
		assert.Assert(t, !f.notices[0].Done && f.notices[0].For > 0)
		assert.Assert(t, f.notices[1].Done && f.notices[1].Weights == 2)
		assert.Equal(t, f.balancer.Weights(&f.catalog.Upstreams(pool)[0], model), comfreyworks.WeightsRevision(2))
	})
	t.Run("an order without an answer is given again and carried out once", func(t *testing.T) {
		for name, set := range map[string]func(*fakeEngines){
			"answer lost": func(e *fakeEngines) { e.lose = 2 },
			"order late":  func(e *fakeEngines) { e.drop = 2 },
		} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t, 1)
				set(f.engines)
				f.loadOnce(t, f.order(t, 2))
				assert.Equal(t, f.engines.accepted["e0"], uint64(1))
				assert.Equal(t, f.engines.weights["e0"], comfreyworks.WeightsRevision(2))
			})
		}
	})
	t.Run("a late order does not bring older weights back", func(t *testing.T) {
		f := newFixture(t, 1)
		f.engines.drop = 1
		f.loadOnce(t, f.order(t, 2))
		f.loadOnce(t, f.order(t, 3))
		assert.Equal(t, f.engines.take(f.engines.late[0]), comfreyworks.LoadBusy)
		assert.Equal(t, f.engines.weights["e0"], comfreyworks.WeightsRevision(3))
	})
	t.Run("no order without the lease", func(t *testing.T) {
		f := newFixture(t, 1)
		order := f.order(t, 2)
		f.clock.Advance(time.Hour)
		f.loadOnce(t, order)
		assert.Equal(t, len(f.engines.orders), 0)
	})
	t.Run("an engine that does not answer is left alone for a while", func(t *testing.T) {
		f := newFixture(t, 1)
		f.engines.drop = orderTries
		f.loadOnce(t, f.order(t, 2))
		assert.Equal(t, len(f.next(pool, model, 2)), 0)
		f.clock.Advance(retryPause)
		assert.Equal(t, len(f.next(pool, model, 2)), 1)
	})
}

// TestPace is the load of weights that are named again and again: few engines
// load at once, those with the oldest weights first, and only the newest ones.
func TestPace(t *testing.T) {
	for engines, want := range map[int]int{1: 2, 9: 2, 18: 3, 44: 8, 52: 9, 1100: 209} {
		t.Run(fmt.Sprintf("of %d engines", engines), func(t *testing.T) {
			assert.Equal(t, loadLimit(engines), want)
		})
	}
	t.Run("no more than the limit run", func(t *testing.T) {
		f := newFixture(t, 9)
		first := f.next(pool, model, 2)
		assert.Equal(t, len(first), 2)
		f.loads.begin(first[0].ID)
		assert.Equal(t, len(f.next(pool, model, 2)), 1)
		f.loads.begin(first[1].ID)
		assert.Equal(t, len(f.next(pool, model, 2)), 0)
	})
	t.Run("the oldest first", func(t *testing.T) {
		f := newFixture(t, 9)
		f.balancer.Pick(balance.Query{Pool: pool, Model: model}).Done(balance.Result{Outcome: balance.Answered, Weights: 2})
		var order []comfreyworks.InstanceID
		for range 9 {
			next := f.next(pool, model, 3)
			f.loads.begin(next[0].ID)
			order = append(order, next[0].ID)
			f.loads.running = map[comfreyworks.InstanceID]bool{}
			f.balancer.Notice(comfreyworks.WeightsLoadNotice{Engine: next[0].ID, Model: model, Weights: 3, Done: true})
		}
		assert.Equal(t, f.balancer.Weights(&comfreyworks.Upstream{ID: order[8]}, model), comfreyworks.WeightsRevision(3))
		assert.Equal(t, len(f.next(pool, model, 3)), 0)
	})
	t.Run("leaving engines are left alone", func(t *testing.T) {
		f := newFixture(t, 1)
		leaving := f.catalog.Upstreams(pool)[0]
		leaving.State = comfreyworks.InstanceLeaving
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: []comfreyworks.Upstream{leaving}, Next: 2}, f.clock.Now())
		assert.Equal(t, len(f.next(pool, model, 2)), 0)
	})
}
