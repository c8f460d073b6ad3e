package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/meter"
)

// takeoverOverlap is how long a silent upstream is kept after another one was asked. An
// upstream that refuses does so sooner, and two must not work on one request for long.
const takeoverOverlap = 300 * time.Millisecond

// panicPlace is the place of panics while a silent upstream is replaced.
const panicPlace = "takeover"

var (
	// errUpstreamSilent is the context's cause when an upstream did not answer in
	// time and another one has taken its place.
	errUpstreamSilent = errors.New("upstream silent")
	// errNotNeeded is the context's cause when a silent upstream went on before
	// another one had taken its place.
	errNotNeeded = errors.New("silent upstream went on")
)

// takeover replaces the upstream of an attempt if it is silent for too long. A sound
// upstream may be silent for a while, so that it is not given up before the answer of
// another one has begun. One whose answer has not begun, or that is taken for dead, is also
// given up if the other one has not refused within takeoverOverlap; keep.go decides that. If the
// silent upstream goes on before, that ends the takeover. If the other one fails later, the
// request may return to the silent one, for which a retry is reserved.
//
// Its fields, and those of the activeRequest that its goroutines use, are protected
// by activeRequest.mu.
type takeover struct {
	silent *attempt
	timer  clockwork.Timer
	// limit is how long the upstream may be silent, heardAt when its last new event, or the
	// request, was complete. partAt is when any part of its answer arrived last; zero means that
	// none has.
	limit           time.Duration
	heardAt, partAt time.Time
	// bodyBegun means that a part of the body has arrived, so that the upstream runs the request.
	bodyBegun bool
	// writing means that a new event is being passed on, so that the caller is waited for.
	writing bool
	// successor is the attempt that waits for the answer of another upstream.
	successor *attempt
	// abandoned means that the upstream was given up for a successor, lost that the
	// attempt has failed and its successor is waited for, stopped that the takeover has
	// ended.
	abandoned, lost, stopped bool
	// obstacle is why the upstream was last not replaced; empty if it was not tried.
	obstacle string
	group    errgroup.Group
}

// watch starts to watch for the silence of the attempt's upstream.
func (a *attempt) watch(ctx context.Context, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &takeover{silent: a, limit: limit, heardAt: a.options.Clock.Now()}
	t.timer = a.options.Clock.AfterFunc(limit, func() {
		a.options.Faults.Run(panicPlace, func() { t.expired(ctx) })
	})
	a.takeover = t
}

// expired looks for another upstream. If none can serve the request, it looks again
// when the same time has passed once more.
func (t *takeover) expired(ctx context.Context) {
	r := t.silent.activeRequest
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.stopped || (t.lost && t.successor == nil) {
		return
	}
	t.timer.Reset(t.limit)
	silentFor, pause := r.options.Clock.Since(t.heardAt), t.pause()
	if t.writing || silentFor < t.limit {
		return
	}
	t.silent.pick.Silent()
	pick, obstacle := t.pick(pause)
	if pick == nil {
		if t.successor == nil {
			t.recordObstacle(obstacle, silentFor)
			t.timer.Reset(t.nextCheck(pause))
		}
		return
	}
	if t.successor != nil {
		t.successor.leave(errUpstreamSilent)
		t.successor = nil
	}
	next := r.newAttempt(ctx, pick)
	r.options.Logger.Info("upstream silent, asking another one",
		zap.String("request", string(r.request.Message.ID)),
		zap.String("upstream", string(t.silent.pick.Upstream.ID)), zap.String("successor", string(pick.Upstream.ID)),
		zap.Duration("silent-for", silentFor), zap.String("resumes-after", r.lastEventID),
	)
	r.countSend(next)
	next.recordOrigin()
	t.successor = next
	options := next.attemptOptions()
	t.group.Go(func() error {
		if !r.options.Faults.Run(panicPlace, func() { t.await(next, options) }) {
			t.abort(next)
		}
		return nil
	})
}

// recordObstacle records why a silent upstream is not replaced, unless the reason is the
// same as before.
func (t *takeover) recordObstacle(obstacle string, silentFor time.Duration) {
	if t.obstacle == obstacle {
		return
	}
	t.obstacle = obstacle
	r := t.silent.activeRequest
	r.options.Meter.Add("comfrey_silent_upstreams_kept_total", meter.Labels{Class: comfreyworks.Class(obstacle)}, 1)
	r.options.Logger.Info("silent upstream not replaced",
		zap.String("request", string(r.request.Message.ID)),
		zap.String("upstream", string(t.silent.pick.Upstream.ID)),
		zap.Duration("silent-for", silentFor), zap.String("reason", obstacle),
	)
}

// pick chooses the upstream that takes over from one that has paused for some time,
// and takes a retry from the budget. It returns nil and the reason if the request cannot be
// sent again now.
func (t *takeover) pick(pause time.Duration) (pick *balance.Pick, obstacle string) {
	r := t.silent.activeRequest
	if outcome, quarantined := r.quarantined(); quarantined {
		return nil, outcome.Reason
	}
	if obstacle := r.retryObstacle(attemptLost); obstacle != "" {
		return t.pickWithdrawn(pause), strings.TrimPrefix(obstacle, ", ")
	}
	silent, silentFor := t.silent, pause
	if t.successor != nil {
		silent, silentFor = t.successor, r.options.Clock.Since(t.successor.startedAt)
	}
	if obstacle := silent.returnObstacle(silentFor, maxPause); obstacle != "" {
		return nil, obstacle
	}
	keep := []comfreyworks.InstanceID{t.silent.pick.Upstream.ID}
	if t.successor != nil {
		keep = append(keep, t.successor.pick.Upstream.ID)
	}
	pick = r.pick(keep...)
	if pick == nil {
		return nil, "no other upstream"
	}
	if !r.takeReservingRetry(pause) {
		pick.Done(balance.Result{Outcome: balance.Withdrawn})
		return nil, "retry budget spent"
	}
	return pick, ""
}

// finish ends the silent attempt in favor of the next one.
func (t *takeover) finish(next *attempt) {
	t.stopped = true
	t.timer.Stop()
	t.successor = nil
	t.silent.next = next
	t.leaveSilent()
}

// leaveSilent ends the silent attempt. If it has not failed, the request may return to it.
func (t *takeover) leaveSilent() {
	switch {
	case t.lost:
		t.silent.cancel(errUpstreamSilent)
	case !t.abandoned:
		t.abandoned = true
		t.silent.leave(errUpstreamSilent)
	}
}

// await waits for the answer of the attempt that is to take over.
func (t *takeover) await(next *attempt, options comfreyworks.AttemptOptions) {
	r := t.silent.activeRequest
	overlap := r.options.Clock.AfterFunc(takeoverOverlap, func() {
		r.options.Faults.Run(panicPlace, func() { t.abandon(next) })
	})
	defer overlap.Stop()
	response, err := r.options.Exchanger.Exchange(comfreyworks.WithAdvice(next.ctx, next.pick.Advise), r.request.Message, options)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		next.result.Weights = response.Weights
		if err = context.Cause(next.ctx); err == nil && !next.accepts(response) {
			err = fmt.Errorf("answer with status %d", response.Status)
		}
		switch {
		case err != nil:
		case t.successor == next && t.keepsSilent(true):
			next.leave(errNotNeeded)
			err = errNotNeeded
		default:
			next.response = response
			t.finish(next)
			return
		}
		_ = response.Body.Close()
	}
	result := next.classifyError(next.ctx, err)
	next.end()
	if t.successor != next {
		return
	}
	t.successor = nil
	if !t.abandoned {
		r.returnReserved()
	}
	switch {
	case t.lost:
	case result == attemptRejected:
		t.stopped = true
	case result != attemptLost && next.pick.Candidates > 1:
		t.timer.Reset(0)
	}
}

// abort ends the attempt that was to take over after a panic. The silent one goes on.
func (t *takeover) abort(next *attempt) {
	r := t.silent.activeRequest
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.silent.next == next {
		return
	}
	if t.successor == next {
		t.successor = nil
	}
	if !next.ended {
		next.end()
	}
}

// abandon gives the silent upstream up for a successor that has not refused, or withdraws the
// request from that one.
func (t *takeover) abandon(successor *attempt) {
	r := t.silent.activeRequest
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.successor != successor || t.stopped {
		return
	}
	if t.keepsSilent(false) {
		t.withdraw()
		return
	}
	t.leaveSilent()
}

// accepts reports whether an answer of the upstream that is to take over is as good as
// that of the silent one.
func (a *attempt) accepts(response *comfreyworks.UpstreamResponse) bool {
	if a.request.Route.Kind == comfreyworks.RouteStream {
		return response.HasDigest && response.Status == http.StatusOK && (!a.headerWritten || a.fits(response.Header))
	}
	return response.HasDigest && response.Status < http.StatusInternalServerError
}

// beginEvent prepares for passing an event on. If the event is new, that ends a
// takeover that has not succeeded yet. It returns false if one has.
func (a *attempt) beginEvent(isNew bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.takeover
	if a.next != nil || (t != nil && t.abandoned) {
		return false
	}
	if !a.headerWritten {
		a.headerWritten = true
		a.release = a.upstreamRelease()
		if a.sentTo != a.release {
			// The successor that was asked runs another release.
			a.recordOrigin()
		}
	}
	a.delivered = true
	if isNew && a.isSound() {
		a.returnReserved()
	}
	if t != nil && isNew {
		t.writing = true
		t.withdraw()
	}
	return true
}

// withdraw withdraws the request from the upstream that is about to take over.
func (t *takeover) withdraw() {
	if t.successor != nil {
		t.successor.leave(errNotNeeded)
		t.successor = nil
	}
}

// endEvent records an event that was passed on. A new one restarts the time in which
// the next event must arrive.
func (a *attempt) endEvent(id string, isNew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != "" {
		a.lastEventID = id
	}
	if t := a.takeover; t != nil && isNew {
		t.writing = false
		t.limit, t.heardAt = a.eventTimeout(), a.options.Clock.Now()
		t.timer.Reset(t.limit)
	}
}

// settle ends the takeover. If the attempt is lost, it waits for the answer of an
// upstream that is about to take over; otherwise it withdraws the request there.
// Afterwards no goroutine uses the request, and next is the attempt that has taken
// over, if any.
func (a *attempt) settle(lost bool) {
	t := a.takeover
	if t == nil {
		return
	}
	a.mu.Lock()
	t.lost = lost
	if !lost {
		t.stopped = true
		t.withdraw()
	}
	a.mu.Unlock()
	_ = t.group.Wait()
	a.mu.Lock()
	t.stopped = true
	t.timer.Stop()
	a.mu.Unlock()
}
