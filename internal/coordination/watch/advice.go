package watch

import (
	"context"
	"time"

	"comfreyworks"
)

// withAdvice returns a context that applies the advice in the answer to a poll.
func (w *Watcher) withAdvice(ctx context.Context, target Target, state *pollState) context.Context {
	var passOn func(comfreyworks.UpstreamAdvice)
	if w.options.Advise != nil {
		passOn = w.options.Advise(target)
	}
	return comfreyworks.WithAdvice(ctx, func(advice comfreyworks.UpstreamAdvice) {
		if until := w.options.Clock.Now().Add(advice.ClosedFor); until.After(state.closedUntil) {
			state.closedUntil = until
		}
		if passOn != nil {
			passOn(advice)
		}
	})
}

// closedFor returns how much longer a target wants no polls; zero means that it may
// be polled.
func (w *Watcher) closedFor(target Target, state *pollState) time.Duration {
	closed := max(w.options.Clock.Until(state.closedUntil), 0)
	if w.options.ClosedFor != nil {
		closed = max(closed, w.options.ClosedFor(target))
	}
	return closed
}
