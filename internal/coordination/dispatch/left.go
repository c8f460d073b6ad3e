package dispatch

import (
	"context"

	"comfreyworks"
)

// leftStream is a stream at a silent sidecar that was left for another one. It is not cancelled
// before another sidecar has accepted the request, because those may refuse it.
type leftStream struct {
	instance comfreyworks.Instance
	origin   StreamOrigin
}

// cancelLeft cancels the stream that was left at a silent sidecar, if there is one.
func (d *Dispatcher) cancelLeft(ctx context.Context, state *requestState) {
	left := state.left
	if left == nil {
		return
	}
	state.left = nil
	d.cancel(ctx, d.options.Sidecars.Sidecar(left.instance), state.streamID(left.origin))
}

// returnToLeft relays the stream that was left at a silent sidecar.
func (d *Dispatcher) returnToLeft(ctx context.Context, state *requestState) error {
	left := state.left
	state.left, state.origin, state.notSent = nil, left.origin, false
	return d.relay(ctx, state, left.instance, state.streamID(left.origin))
}
