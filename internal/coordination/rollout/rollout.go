// Package rollout updates engines to the declared model weights, a few at a
// time. Only the gateway that holds a lease gives orders.
//
// # Usage
//
//	r := rollout.New(rollout.Options{Self: id, Catalog: c, Balancer: b, Log: log, Loader: loader, ...})
//	group.Go(func() error { return r.Run(ctx, stopping) })
//
// Run returns when ctx ends. It releases the lease when stopping ends.
package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/lease"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
)

const (
	// leaseStream is the log stream of the lease.
	leaseStream = "rollout"
	// checkInterval is the pause between two checks for engines to update, and
	// standbyInterval the pause between two checks whether the lease is held.
	checkInterval   = 40 * time.Millisecond
	standbyInterval = 250 * time.Millisecond
	// logTimeout limits one call to the log, which is slow at times.
	logTimeout = 800 * time.Millisecond
	// engineTimeout limits one call to an engine; engines answer immediately. An
	// unanswered order is sent again with the same number of accepted orders, up
	// to maxOrderAttempts times in all.
	engineTimeout    = 200 * time.Millisecond
	maxOrderAttempts = 4
	// maxSilence is how long an engine that has answered none of them is asked whether
	// it has accepted one. silentTimeout limits one such request, and reportDelay is
	// how long a report may lag behind.
	maxSilence    = 1200 * time.Millisecond
	silentTimeout = 500 * time.Millisecond
	reportDelay   = 300 * time.Millisecond
	// minUnanswered is the number of engines in a row from which unanswered orders count as a
	// fault of the way to all engines.
	minUnanswered = 2
	// loadingShare is the share of a pool's engines that may load weights at the
	// same time. The limit is never below minLoadLimit.
	loadingShare = 0.19
	minLoadLimit = 2
	// drainingShare is the number of engines that may drain while others load,
	// relative to the number that may load. Draining takes less time than loading.
	drainingShare = 0.75
	// minLoadTime is the minimum duration of a load; the engine's status is not
	// requested earlier.
	minLoadTime = 320 * time.Millisecond
	// statusInterval is the pause between two status requests to a loading engine.
	statusInterval = 60 * time.Millisecond
	// loadTimeout is the time after which a load counts as failed if the engine
	// does not serve the weights.
	loadTimeout = 2500 * time.Millisecond
	// noticeDelay is the time in which a notice reaches the other gateways.
	noticeDelay = 50 * time.Millisecond
	// maxNoticeTime is how long an engine gets no requests if no notice follows that
	// its load has ended.
	maxNoticeTime = 2 * time.Second
	// drainTimeout is how long an engine may take to finish its requests before it
	// receives an order. drainPollInterval is the pause between two checks.
	drainTimeout      = 250 * time.Millisecond
	drainPollInterval = 30 * time.Millisecond
	// retryDelay is the pause after a failed load before the engine is tried again.
	retryDelay = 300 * time.Millisecond
)

// Reasons for which a call to an engine is not made.
var (
	errLeaving = errors.New("engine is leaving")
	errClosed  = errors.New("engine wants no requests for some time")
)

// errNotAccepted means that an engine answers again and has not accepted the order.
var errNotAccepted = errors.New("order not accepted")

// Options configures a Rollout.
type Options struct {
	Self comfreyworks.InstanceID
	// LeaseDuration is how long the lease of a silent holder lasts.
	LeaseDuration time.Duration
	Catalog       *catalog.Catalog
	Balancer      *balance.Balancer
	// Candidate reports whether this gateway should try to take over the lease as
	// soon as it is free; other gateways check it less often. Nil means always.
	Candidate func() bool
	// Announce sends a notice to the other gateways without waiting for them; nil
	// means that there are none.
	Announce func(notice comfreyworks.WeightsLoadNotice)
	Log      comfreyworks.LeaseLog
	Loader   comfreyworks.WeightsLoader
	Clock    comfreyworks.Clock
	Logger   *zap.Logger
	Meter    *meter.Meter
	// Faults records lease records that cannot be decoded, and panics.
	Faults *faults.Recorder
}

// Rollout updates engines to the declared weights.
type Rollout struct {
	options Options
	lease   *lease.Lease
	loads   loadTracker
	// notices counts the notices that this process has given.
	notices atomic.Uint64
	// lastOrderAt is when the last order was sent; nil means never.
	lastOrderAt atomic.Pointer[time.Time]
}

// New returns a rollout that does nothing until Run is called.
func New(options Options) *Rollout {
	return &Rollout{
		options: options,
		lease: lease.New(lease.Options{
			Log: options.Log, Stream: leaseStream, Self: options.Self,
			Duration: options.LeaseDuration, Candidate: options.Candidate, Clock: options.Clock,
			Faults: options.Faults,
		}),
		loads: newLoadTracker(),
	}
}

// Run updates engines until ctx ends. After stopping ends it starts no more
// loads and releases the lease.
func (r *Rollout) Run(ctx, stopping context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		r.options.Faults.Keep(ctx, "lease", func() { _ = r.maintainLease(ctx, stopping) })
		return nil
	})
	group.Go(func() error {
		for pause := standbyInterval; comfreyworks.Sleep(ctx, r.options.Clock, pause); {
			pause = standbyInterval
			if token, ok := r.lease.Held(); ok && stopping.Err() == nil {
				r.options.Faults.Run("rollout", func() { r.startLoads(ctx, group, token) })
				pause = checkInterval
			}
		}
		return nil
	})
	return group.Wait()
}

// maintainLease acquires and renews the lease until stopping ends, and then
// releases it.
func (r *Rollout) maintainLease(ctx, stopping context.Context) error {
	wasHeld := false
	for stopping.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, logTimeout)
		pause, err := r.lease.Step(callCtx)
		cancel()
		token, held := r.lease.Held()
		if held != wasHeld {
			wasHeld = held
			r.options.Logger.Info("rollout lease state changed", zap.Bool("held", held), zap.Uint64("token", token), zap.Error(err))
		}
		if !comfreyworks.Sleep(stopping, r.options.Clock, pause) {
			break
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := r.lease.Release(callCtx, r.sinceLastOrder()); err != nil {
		r.options.Logger.Warn("failed to release rollout lease", zap.Error(err))
	}
	return nil
}

// sinceLastOrder returns the time since the last order, or the duration of the
// lease if this gateway has sent none.
func (r *Rollout) sinceLastOrder() time.Duration {
	if at := r.lastOrderAt.Load(); at != nil {
		return r.options.Clock.Since(*at)
	}
	return r.options.LeaseDuration
}

// startLoads starts as many loads as the limit allows.
func (r *Rollout) startLoads(ctx context.Context, group *errgroup.Group, token uint64) {
	table, _ := r.options.Catalog.Routing()
	if table == nil {
		return
	}
	r.loads.retain(func(id comfreyworks.InstanceID) bool {
		_, listed := r.options.Catalog.Upstream(id)
		return listed
	})
	for _, pool := range table.Declared().Pools {
		for _, model := range pool.Models {
			declared := r.options.Catalog.Weights(model)
			if declared.Revision == 0 {
				continue
			}
			load := r.loadWeights
			if r.loads.ordersGetNoAnswer(r.limits(pool.Name)) {
				load = r.orderAgain
			}
			for _, engine := range r.enginesToLoad(pool.Name, model, declared.Revision) {
				order := comfreyworks.WeightsLoadOrder{
					Upstream: engine, Model: model, Weights: declared.Revision,
					Mode: comfreyworks.LoadWhileRunning, Holder: r.options.Self, FencingToken: token,
				}
				r.loads.start(engine.ID)
				group.Go(func() error {
					if !r.options.Faults.Run("rollout-load", func() { load(ctx, order) }) {
						r.loads.finish(order.Upstream.ID, r.options.Clock.Now().Add(retryDelay))
					}
					return nil
				})
			}
		}
	}
}

// enginesToLoad returns the engines of a pool that are to load a revision now.
func (r *Rollout) enginesToLoad(pool comfreyworks.Pool, model comfreyworks.Model, revision comfreyworks.WeightsRevision) []comfreyworks.Upstream {
	engines := r.options.Catalog.Upstreams(pool)
	var outdated []outdatedEngine
	for i := range engines {
		if engines[i].State != comfreyworks.InstanceLive || r.availability(&engines[i]) != nil {
			continue
		}
		if serving := r.options.Balancer.Weights(&engines[i], model); serving < revision {
			outdated = append(outdated, outdatedEngine{engine: engines[i], serving: serving})
		}
	}
	return r.loads.selectEngines(outdated, limitsOf(len(engines)), r.options.Clock.Now())
}

// limits returns how many engines of a pool may load or drain at the same time.
func (r *Rollout) limits(pool comfreyworks.Pool) loadLimits {
	return limitsOf(len(r.options.Catalog.Upstreams(pool)))
}

// limitsOf returns how many of a pool's engines may load or drain at the same time.
func limitsOf(engines int) loadLimits {
	loading := max(minLoadLimit, int(loadingShare*float64(engines)))
	return loadLimits{loading: loading, total: loading + int(drainingShare*float64(loading))}
}

// loadWeights executes one load: it drains the engine, sends the order and waits
// until the engine serves the weights. All gateways are notified before and
// after.
func (r *Rollout) loadWeights(ctx context.Context, order comfreyworks.WeightsLoadOrder) {
	ctx = comfreyworks.WithAdvice(ctx, func(advice comfreyworks.UpstreamAdvice) { r.options.Balancer.Advise(&order.Upstream, advice) })
	r.announce(order.FencingToken, comfreyworks.WeightsLoadNotice{
		Engine: order.Upstream.ID, Started: order.Upstream.Started, Model: order.Model, For: maxNoticeTime,
	})
	r.drain(ctx, order.Upstream.ID)
	r.awaitLoad(ctx, &order.Upstream)
	startedAt := r.options.Clock.Now()
	result, err := r.giveOrder(ctx, order)
	r.finishLoad(ctx, order, startedAt, result, err)
}

// orderAgain sends an order once while orders get no answer. Such an order may be carried out
// seconds later, so that engines go on serving instead of being drained and waited for. It
// is sent again and again, under the same number of accepted orders, until the engine's
// status shows that one has been accepted.
func (r *Rollout) orderAgain(ctx context.Context, order comfreyworks.WeightsLoadOrder) {
	ctx = comfreyworks.WithAdvice(ctx, func(advice comfreyworks.UpstreamAdvice) { r.options.Balancer.Advise(&order.Upstream, advice) })
	startedAt := r.options.Clock.Now()
	known := r.loads.acceptedOrders(&order.Upstream)
	status, err := r.status(ctx, order.Upstream, engineTimeout)
	var result comfreyworks.WeightsLoadResult
	switch {
	case err != nil:
	case status.Weights[order.Model] >= order.Weights:
		result = comfreyworks.LoadDone
	case status.Loading:
		result = comfreyworks.LoadStarted
	default:
		order.AcceptedOrders = max(status.AcceptedOrders, known)
		result, err = r.sendOrder(ctx, order)
		switch {
		case err != nil && r.availability(&order.Upstream) == nil:
			err = errNotAccepted
		case result == comfreyworks.LoadStarted:
			r.loads.setAcceptedOrders(&order.Upstream, order.AcceptedOrders+1)
		case result == comfreyworks.LoadBusy:
			r.loads.forgetAcceptedOrders(&order.Upstream)
			result = comfreyworks.LoadStarted
		}
	}
	r.finishLoad(ctx, order, startedAt, result, err)
}

// finishLoad waits for the end of a load that has started, and tells all gateways what the
// engine serves.
func (r *Rollout) finishLoad(ctx context.Context, order comfreyworks.WeightsLoadOrder, startedAt time.Time, result comfreyworks.WeightsLoadResult, err error) {
	if errors.Is(err, errNotAccepted) {
		r.loads.orderUnanswered(order.Upstream.ID)
	} else if err == nil {
		r.loads.orderAnswered()
	}
	done := result == comfreyworks.LoadDone
	if err == nil && result == comfreyworks.LoadStarted {
		done = r.waitForWeights(ctx, order)
	}
	notice := comfreyworks.WeightsLoadNotice{Engine: order.Upstream.ID, Started: order.Upstream.Started, Model: order.Model}
	var retryAt time.Time
	if done {
		notice.Weights, notice.Done = order.Weights, true
	} else {
		retryAt = r.options.Clock.Now().Add(retryDelay)
	}
	r.loads.finish(order.Upstream.ID, retryAt)
	r.announce(order.FencingToken, notice)
	r.options.Logger.Info("weights load ended",
		zap.String("upstream", string(order.Upstream.ID)), zap.String("model", string(order.Model)),
		zap.Uint64("weights", uint64(order.Weights)), zap.Uint64("token", order.FencingToken),
		zap.String("result", string(result)), zap.Bool("done", done),
		zap.Duration("took", r.options.Clock.Since(startedAt)), zap.Error(err))
}

// announce notifies this gateway's balancer and the other gateways of a load.
func (r *Rollout) announce(token uint64, notice comfreyworks.WeightsLoadNotice) {
	notice.Token, notice.Sequence = token, r.notices.Add(1)
	r.options.Balancer.ApplyLoadNotice(notice)
	if r.options.Announce != nil {
		r.options.Announce(notice)
	}
}

// drain waits up to drainTimeout for an engine to finish its requests. The notice
// keeps new ones away from it. Requests that are still running continue under
// the new weights, so their answers are lost.
func (r *Rollout) drain(ctx context.Context, engine comfreyworks.InstanceID) {
	deadline := r.options.Clock.Now().Add(drainTimeout)
	if r.options.Announce != nil {
		comfreyworks.Sleep(ctx, r.options.Clock, noticeDelay)
	}
	for r.options.Balancer.Requests(engine) > 0 && r.options.Clock.Now().Before(deadline) {
		if !comfreyworks.Sleep(ctx, r.options.Clock, drainPollInterval) {
			return
		}
	}
}

// awaitLoad waits until the engine may load without exceeding the limit of its
// pool.
func (r *Rollout) awaitLoad(ctx context.Context, engine *comfreyworks.Upstream) {
	for !r.loads.tryLoad(engine.ID, r.limits(engine.Pool)) {
		if !comfreyworks.Sleep(ctx, r.options.Clock, drainPollInterval) {
			return
		}
	}
}

// giveOrder sends an order and repeats it if there is no answer. All attempts
// carry the same number of accepted orders, so the engine executes at most one
// of them, even if some arrive late.
func (r *Rollout) giveOrder(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	status, err := r.status(ctx, order.Upstream, engineTimeout)
	if err != nil {
		return "", err
	}
	if status.Weights[order.Model] >= order.Weights {
		return comfreyworks.LoadDone, nil
	}
	order.AcceptedOrders = max(status.AcceptedOrders, r.loads.acceptedOrders(&order.Upstream))
	var result comfreyworks.WeightsLoadResult
	for attempt := 0; attempt < maxOrderAttempts; attempt++ {
		if result, err = r.sendOrder(ctx, order); err == nil {
			break
		}
		if r.loads.ordersGetNoAnswer(r.limits(order.Upstream.Pool)) {
			return "", errNotAccepted
		}
	}
	switch {
	case err == nil && result == comfreyworks.LoadStarted:
		r.loads.setAcceptedOrders(&order.Upstream, order.AcceptedOrders+1)
	case result == comfreyworks.LoadBusy:
		// Either the number of accepted orders was out of date, or the engine
		// accepted an attempt whose answer was lost. The load may be in progress.
		r.loads.forgetAcceptedOrders(&order.Upstream)
		return comfreyworks.LoadStarted, nil
	case err != nil:
		return r.awaitReport(ctx, order)
	}
	return result, err
}

// awaitReport waits for an engine that has answered no attempt of an order, and reports
// whether it has accepted one. An engine that falls silent may execute the order when
// it goes on, so it gets no requests until then.
func (r *Rollout) awaitReport(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	if err := r.availability(&order.Upstream); err != nil {
		return "", err
	}
	r.announce(order.FencingToken, comfreyworks.WeightsLoadNotice{
		Engine: order.Upstream.ID, Started: order.Upstream.Started, Model: order.Model, For: maxNoticeTime,
	})
	deadline := r.options.Clock.Now().Add(maxSilence)
	for answered := false; ; {
		status, err := r.status(ctx, order.Upstream, silentTimeout)
		switch {
		case errors.Is(err, errLeaving), errors.Is(err, errClosed):
			return "", err
		case err == nil && status.Weights[order.Model] >= order.Weights:
			return comfreyworks.LoadDone, nil
		case err == nil && (status.Loading || status.AcceptedOrders > order.AcceptedOrders):
			return comfreyworks.LoadStarted, nil
		case err == nil && (answered || r.loads.ordersGetNoAnswer(r.limits(order.Upstream.Pool))):
			return "", errNotAccepted
		case err == nil:
			answered = true
		case !r.options.Clock.Now().Before(deadline):
			return "", err
		}
		if !comfreyworks.Sleep(ctx, r.options.Clock, reportDelay) {
			return "", ctx.Err()
		}
	}
}

// availability returns errLeaving or errClosed if no calls may be made to an engine.
func (r *Rollout) availability(engine *comfreyworks.Upstream) error {
	switch {
	case r.options.Balancer.IsLeaving(engine):
		return errLeaving
	case r.options.Balancer.ClosedFor(engine) > 0:
		return errClosed
	default:
		return nil
	}
}

// sendOrder sends an order once, unless this gateway no longer holds the lease
// under which the order was created.
func (r *Rollout) sendOrder(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	if token, ok := r.lease.Held(); !ok || token != order.FencingToken {
		return comfreyworks.LoadFenced, nil
	}
	if err := r.availability(&order.Upstream); err != nil {
		return "", err
	}
	r.options.Meter.Add("comfrey_load_orders_total", meter.Labels{}, 1)
	now := r.options.Clock.Now()
	r.lastOrderAt.Store(&now)
	r.loads.orderSent(order.Upstream.ID, now)
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return r.options.Loader.Load(ctx, order)
}

func (r *Rollout) status(ctx context.Context, engine comfreyworks.Upstream, timeout time.Duration) (comfreyworks.EngineStatus, error) {
	if err := r.availability(&engine); err != nil {
		return comfreyworks.EngineStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.options.Loader.Status(ctx, engine)
}

// waitForWeights reports whether the engine serves the weights of the order
// before loadTimeout.
func (r *Rollout) waitForWeights(ctx context.Context, order comfreyworks.WeightsLoadOrder) bool {
	startedAt, pause := r.options.Clock.Now(), minLoadTime
	for r.options.Clock.Since(startedAt) < loadTimeout && comfreyworks.Sleep(ctx, r.options.Clock, pause) {
		pause = statusInterval
		if r.options.Balancer.Weights(&order.Upstream, order.Model) >= order.Weights {
			return true
		}
		status, err := r.status(ctx, order.Upstream, engineTimeout)
		switch {
		case errors.Is(err, errLeaving):
			return false
		case err == nil && status.Weights[order.Model] >= order.Weights:
			return true
		}
	}
	return false
}
