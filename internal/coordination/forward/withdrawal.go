package forward

import (
	"errors"
	"sync"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"comfreyworks/internal/state/meter"
)

// errWeightsExpired is the context's cause when the answer of an upstream has not begun by
// the time until which its weights may be used.
var errWeightsExpired = errors.New("weights superseded for too long")

// withdrawal takes an attempt back from the upstream's queue if its answer has not begun by
// the time until which the weights may be used. When the request was sent, newer ones may not
// have been declared yet, and how long it waits is only an estimate. A nil withdrawal does
// nothing.
type withdrawal struct {
	attempt *attempt

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// newWithdrawal starts to watch an attempt, or returns nil if its weights may be used for
// any time.
func newWithdrawal(a *attempt) *withdrawal {
	by, _ := a.pick.MustBeginBy()
	if by.IsZero() {
		return nil
	}
	w := &withdrawal{attempt: a}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = a.options.Clock.AfterFunc(a.options.Clock.Until(by), w.check)
	return w
}

// check withdraws the attempt if it is time, or else waits on.
func (w *withdrawal) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	a := w.attempt
	by, superseded := a.pick.MustBeginBy()
	if left := a.options.Clock.Until(by); !superseded || left > 0 {
		w.timer.Reset(left)
		return
	}
	w.stopped = true
	a.options.Meter.Add("comfrey_withdrawn_requests_total", meter.Labels{}, 1)
	a.options.Logger.Info("request withdrawn, its answer would begin on weights that were superseded for too long",
		zap.String("request", string(a.request.Message.ID)), zap.String("upstream", string(a.pick.Upstream.ID)),
		zap.Uint64("weights", uint64(a.pick.Weights)), zap.Duration("waited", a.options.Clock.Since(a.startedAt)),
	)
	a.cancel(errWeightsExpired)
}

// stop ends the watch, because the answer has begun or the attempt has ended.
func (w *withdrawal) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
