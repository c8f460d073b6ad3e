// Package rollout brings engines to the weights that are named, a few at a
// time, from one process that holds a lease.
//
// # Usage
//
//	r := rollout.New(rollout.Options{Self: id, Catalog: c, Balancer: b, Log: log, Loader: loader, ...})
//	group.Go(func() error { return r.Run(ctx, stopping) })
//
// Run returns when ctx ends; when stopping ends it gives up the lease.
package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/lease"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/meter"
)

const (
	// leaseStream is the log stream of the lease.
	leaseStream = "rollout"
	// planInterval is the pause between two looks at what has to be loaded.
	planInterval = 40 * time.Millisecond
	// callTimeout bounds one call to the log, which answers slowly at times.
	callTimeout = 800 * time.Millisecond
	// engineTimeout bounds one call to an engine, which answers at once; an
	// order without an answer is sent again under the same number, up to
	// orderTries times.
	engineTimeout = 200 * time.Millisecond
	orderTries    = 4
	// loadShare is the part of a model's engines that load at once, and
	// leastLoads the number below which it does not fall.
	loadShare  = 0.19
	leastLoads = 2
	// loadTime is how long a load takes at least; an engine is not asked
	// earlier.
	loadTime = 300 * time.Millisecond
	// statusInterval is the pause between questions to a loading engine.
	statusInterval = 120 * time.Millisecond
	// loadTimeout is after how long an order counts as lost.
	loadTimeout = 2500 * time.Millisecond
	// clearTime is how long an engine is given to finish its requests before
	// its order, clearInterval the pause between two looks whether it has.
	clearTime     = 250 * time.Millisecond
	clearInterval = 30 * time.Millisecond
	// retryPause is how long an engine is left alone that did not take an order.
	retryPause = 300 * time.Millisecond
)

// Options configures a Rollout.
type Options struct {
	Self     comfreyworks.InstanceID
	Lease    time.Duration
	Catalog  *catalog.Catalog
	Balancer *balance.Balancer
	// Candidate reports whether this process is among the first to become the
	// holder; nil means that it is.
	Candidate func() bool
	// Announce tells the other gateways; nil means that there are none.
	Announce func(ctx context.Context, notice comfreyworks.WeightsLoadNotice)
	Log      comfreyworks.LeaseLog
	Loader   comfreyworks.WeightsLoader
	Clock    comfreyworks.Clock
	Logger   *zap.Logger
	Meter    *meter.Meter
}

// Rollout brings engines to the weights that are named.
type Rollout struct {
	options Options
	lease   *lease.Lease
	loads   loads
	// orderedAt is when the last order was sent.
	orderedAt atomic.Pointer[time.Time]
}

// New returns a rollout that does nothing until Run is called.
func New(options Options) *Rollout {
	return &Rollout{
		options: options,
		lease: lease.New(lease.Options{
			Log: options.Log, Stream: leaseStream, Self: options.Self,
			Duration: options.Lease, Candidate: options.Candidate, Clock: options.Clock,
		}),
		loads: newLoads(),
	}
}

// Run works until ctx ends.
func (r *Rollout) Run(ctx, stopping context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.keepLease(ctx, stopping) })
	group.Go(func() error {
		for comfreyworks.Sleep(ctx, r.options.Clock, planInterval) {
			if token, ok := r.lease.Held(); ok && stopping.Err() == nil {
				r.plan(ctx, group, token)
			}
		}
		return nil
	})
	return group.Wait()
}

func (r *Rollout) keepLease(ctx, stopping context.Context) error {
	holds := false
	for stopping.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		pause, err := r.lease.Step(call)
		cancel()
		token, held := r.lease.Held()
		if held != holds {
			holds = held
			r.options.Logger.Info("lease changed", zap.Bool("held", held), zap.Uint64("token", token), zap.Error(err))
		}
		if !comfreyworks.Sleep(stopping, r.options.Clock, pause) {
			break
		}
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.lease.Release(call, r.idle()); err != nil {
		r.options.Logger.Warn("lease not released", zap.Error(err))
	}
	return nil
}

// idle is the time since the last order.
func (r *Rollout) idle() time.Duration {
	if at := r.orderedAt.Load(); at != nil {
		return r.options.Clock.Since(*at)
	}
	return r.options.Lease
}

// plan starts as many loads as may run at once.
func (r *Rollout) plan(ctx context.Context, group *errgroup.Group, token uint64) {
	table, _ := r.options.Catalog.Routing()
	if table == nil {
		return
	}
	for _, pool := range table.Declared().Pools {
		for _, model := range pool.Models {
			named := r.options.Catalog.Weights(model)
			if named.Revision == 0 {
				continue
			}
			for _, engine := range r.next(pool.Name, model, named.Revision) {
				order := comfreyworks.WeightsLoadOrder{
					Upstream: engine, Model: model, Weights: named.Revision,
					Mode: comfreyworks.LoadWhileRunning, Holder: r.options.Self, FencingToken: token,
				}
				r.loads.begin(engine.ID)
				group.Go(func() error {
					r.load(ctx, order)
					return nil
				})
			}
		}
	}
}

// next returns the engines that shall load now.
func (r *Rollout) next(pool comfreyworks.Pool, model comfreyworks.Model, revision comfreyworks.WeightsRevision) []comfreyworks.Upstream {
	engines := r.options.Catalog.Upstreams(pool)
	var behind []waiting
	for i := range engines {
		if engines[i].State != comfreyworks.InstanceLive {
			continue
		}
		if serves := r.options.Balancer.Weights(&engines[i], model); serves < revision {
			behind = append(behind, waiting{engine: engines[i], serves: serves})
		}
	}
	return r.loads.next(behind, loadLimit(len(engines)), r.options.Clock.Now())
}

// loadLimit is how many of a number of engines may load at once.
func loadLimit(engines int) int { return max(leastLoads, int(loadShare*float64(engines))) }

// load gives one order and watches until the engine serves the weights.
func (r *Rollout) load(ctx context.Context, order comfreyworks.WeightsLoadOrder) {
	r.tell(ctx, comfreyworks.WeightsLoadNotice{Engine: order.Upstream.ID, Model: order.Model, For: clearTime + loadTimeout})
	r.clear(ctx, order.Upstream.ID)
	startedAt := r.options.Clock.Now()
	result, err := r.order(ctx, order)
	done := result == comfreyworks.LoadDone
	if err == nil && result == comfreyworks.LoadStarted {
		done = r.watch(ctx, order, startedAt)
	}
	notice := comfreyworks.WeightsLoadNotice{Engine: order.Upstream.ID, Model: order.Model}
	var pauseUntil time.Time
	if done {
		notice.Weights, notice.Done = order.Weights, true
	} else {
		pauseUntil = r.options.Clock.Now().Add(retryPause)
	}
	r.loads.end(order.Upstream.ID, pauseUntil)
	r.tell(ctx, notice)
	r.options.Logger.Info("load",
		zap.String("upstream", string(order.Upstream.ID)), zap.String("model", string(order.Model)),
		zap.Uint64("weights", uint64(order.Weights)), zap.Uint64("token", order.FencingToken),
		zap.String("result", string(result)), zap.Bool("done", done),
		zap.Duration("took", r.options.Clock.Since(startedAt)), zap.Error(err))
}

// tell tells this and all other gateways about a load.
func (r *Rollout) tell(ctx context.Context, notice comfreyworks.WeightsLoadNotice) {
	r.options.Balancer.Notice(notice)
	if r.options.Announce != nil {
		r.options.Announce(ctx, notice)
	}
}

// clear waits until an engine that gets no new work has finished what it has,
// but not for long: what is left goes on under the new weights and is lost.
func (r *Rollout) clear(ctx context.Context, engine comfreyworks.InstanceID) {
	until := r.options.Clock.Now().Add(clearTime)
	for r.options.Balancer.Requests(engine) > 0 && r.options.Clock.Now().Before(until) {
		if !comfreyworks.Sleep(ctx, r.options.Clock, clearInterval) {
			return
		}
	}
}

// order gives one order, again under the same number if it is not answered: of
// all that arrive, also late, the engine carries out one.
func (r *Rollout) order(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	status, err := r.status(ctx, order.Upstream)
	if err != nil {
		return "", err
	}
	if status.Weights[order.Model] >= order.Weights {
		return comfreyworks.LoadDone, nil
	}
	order.AcceptedOrders = max(status.AcceptedOrders, r.loads.accepted(&order.Upstream))
	var result comfreyworks.WeightsLoadResult
	for try := 0; try < orderTries; try++ {
		if result, err = r.send(ctx, order); err == nil {
			break
		}
	}
	switch {
	case err == nil && result == comfreyworks.LoadStarted:
		r.loads.accept(&order.Upstream, order.AcceptedOrders+1)
	case result == comfreyworks.LoadBusy:
		// The account lags, or one of the tries was accepted without an answer.
		r.loads.forget(&order.Upstream)
		return comfreyworks.LoadStarted, nil
	}
	return result, err
}

// send checks the lease right before it sends.
func (r *Rollout) send(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	if token, ok := r.lease.Held(); !ok || token != order.FencingToken {
		return comfreyworks.LoadFenced, nil
	}
	r.options.Meter.Count("comfrey_load_orders_total", meter.Labels{}, 1)
	now := r.options.Clock.Now()
	r.orderedAt.Store(&now)
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return r.options.Loader.Load(ctx, order)
}

func (r *Rollout) status(ctx context.Context, engine comfreyworks.Upstream) (comfreyworks.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return r.options.Loader.Status(ctx, engine)
}

// watch asks an engine until it serves the weights.
func (r *Rollout) watch(ctx context.Context, order comfreyworks.WeightsLoadOrder, startedAt time.Time) bool {
	pause := loadTime
	for r.options.Clock.Since(startedAt) < loadTimeout && comfreyworks.Sleep(ctx, r.options.Clock, pause) {
		pause = statusInterval
		if r.options.Balancer.Weights(&order.Upstream, order.Model) >= order.Weights {
			return true
		}
		status, err := r.status(ctx, order.Upstream)
		if err == nil && status.Weights[order.Model] >= order.Weights {
			return true
		}
	}
	return false
}
