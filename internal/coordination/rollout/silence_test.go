package rollout

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

const (
	// loadTime is how long the silent engine loads weights, reportLag how old its
	// reports are.
	loadTime  = 400 * time.Millisecond
	reportLag = 200 * time.Millisecond
	forGood   = time.Hour
	// maxUnreported and maxUnanswered are how long an engine that is silent for good may
	// keep the place of one that loads, from its first status request or order on.
	maxUnreported = 300 * time.Millisecond
	maxUnanswered = 2200 * time.Millisecond
	// maxReports is the number of status requests in 5 s.
	maxReports = 10
)

// silentEngine falls silent for a time at its first status request or order. When it
// goes on, it carries out what it has received in the meantime.
type silentEngine struct {
	*fakeEngines
	onOrder    bool
	silentFor  time.Duration
	until      time.Time
	executedAt time.Time
	// awayUntil is the time until which the gateways send no prompts. exposed means that
	// they did when the engine accepted an order.
	awayUntil time.Time
	exposed   bool
}

// fallSilent begins the silence, unless it has begun, and waits for its end. It returns
// false if ctx ends before.
func (e *silentEngine) fallSilent(ctx context.Context) bool {
	if e.until.IsZero() {
		e.until = time.Now().Add(e.silentFor)
	}
	return comfreyworks.Sleep(ctx, clockwork.NewRealClock(), time.Until(e.until))
}

// Load implements comfreyworks.WeightsLoader.
func (e *silentEngine) Load(ctx context.Context, order comfreyworks.WeightsLoadOrder) (comfreyworks.WeightsLoadResult, error) {
	e.orders = append(e.orders, order)
	if !e.fallSilent(ctx) {
		time.AfterFunc(time.Until(e.until), func() { e.accept(order) })
		return "", ctx.Err()
	}
	return e.accept(order), nil
}

func (e *silentEngine) accept(order comfreyworks.WeightsLoadOrder) comfreyworks.WeightsLoadResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := e.execute(order)
	if result == comfreyworks.LoadStarted {
		e.executedAt = time.Now()
		e.exposed = !e.executedAt.Before(e.awayUntil)
	}
	return result
}

// Status implements comfreyworks.WeightsLoader.
func (e *silentEngine) Status(ctx context.Context, _ comfreyworks.Upstream) (comfreyworks.EngineStatus, error) {
	e.statusRequests++
	if e.onOrder && len(e.orders) == 0 {
		return comfreyworks.EngineStatus{Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 1}}, nil
	}
	if !e.fallSilent(ctx) {
		return comfreyworks.EngineStatus{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := comfreyworks.EngineStatus{Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 1}}
	since := time.Duration(-1)
	if !e.executedAt.IsZero() {
		since = time.Since(e.executedAt) - reportLag
	}
	if since >= 0 {
		status.AcceptedOrders, status.Loading = e.accepted["e0"], since < loadTime
	}
	if since >= loadTime {
		status.Weights[model] = e.weights["e0"]
	}
	return status, nil
}

// TestSilentEngine guards against prompts for an engine that has not answered an order:
// it may carry the order out when it goes on, while they run.
func TestSilentEngine(t *testing.T) {
	for _, silentFor := range []time.Duration{100 * time.Millisecond, time.Second, 1500 * time.Millisecond, forGood} {
		for _, onOrder := range []bool{false, true} {
			t.Run(fmt.Sprintf("for %s, on the order %t", silentFor, onOrder), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playSilence(t, silentFor, onOrder) })
			})
		}
	}
}

// playSilence loads weights into an engine that falls silent, until it serves them or
// for 5 s. The engine must not receive prompts when it carries out the order.
func playSilence(t *testing.T, silentFor time.Duration, onOrder bool) {
	f := newFixtureAt(t, 1, clockwork.NewRealClock())
	engine := &silentEngine{fakeEngines: f.engines, silentFor: silentFor, onOrder: onOrder}
	f.options.Loader = engine
	announce := f.options.Announce
	f.options.Announce = func(notice comfreyworks.WeightsLoadNotice) {
		announce(notice)
		engine.mu.Lock()
		defer engine.mu.Unlock()
		engine.awayUntil = time.Now().Add(notice.For)
	}
	startedAt := time.Now()
	var held time.Duration
	for time.Since(startedAt) < 5*time.Second && len(f.engines.orders)+f.engines.statusRequests < 100 {
		next := f.enginesToLoad(pool, model, 2)
		if len(next) > 0 {
			began := time.Now()
			f.loads.start(next[0].ID)
			f.loadWeights(t.Context(), f.newOrder(t, 2))
			held = max(held, time.Since(began))
		}
		time.Sleep(checkInterval)
	}
	orders, reports := len(f.engines.orders), f.engines.statusRequests
	assert.Check(t, !engine.exposed, "prompts were sent when the order was executed")
	assert.Check(t, orders <= maxOrderAttempts && reports <= maxReports, "%d orders, %d status requests", orders, reports)
	if silentFor == forGood {
		limit := maxUnreported
		if onOrder {
			limit = maxUnanswered
		}
		assert.Check(t, held <= limit, "%s", held)
		return
	}
	assert.Equal(t, f.balancer.Weights(&f.catalog.Upstreams(pool)[0], model), comfreyworks.WeightsRevision(2))
	assert.Equal(t, f.engines.accepted["e0"], uint64(1))
}
