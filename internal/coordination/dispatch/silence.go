package dispatch

import (
	"context"
	"errors"
	"net"
	"slices"

	"github.com/cenkalti/backoff/v5"

	"comfreyworks"
)

// errDeadline is the cause when the deadline passes while a sidecar is silent.
var errDeadline = errors.New("deadline passed without an answer")

// start starts a stream. The sidecar may have started it without an answer having
// arrived, so the call is repeated under the same stream ID until there is an
// answer or the sidecar is to be left. Repeating it neither adds a stream nor takes
// a retry from the budget.
func (d *Dispatcher) start(ctx context.Context, state *requestState, instance comfreyworks.Instance, attempt comfreyworks.GenerateAttempt) (*comfreyworks.Refusal, error) {
	sidecar := d.options.Sidecars.Sidecar(instance)
	delays := d.newBackoff()
	for {
		refusal, err := sidecar.Start(ctx, attempt)
		if err == nil {
			state.noAnswer = false
			return refusal, nil
		}
		if !errors.Is(err, comfreyworks.ErrNotSent) {
			state.mayHaveStarted = true
			state.noAnswer = true
		}
		if ctx.Err() != nil || d.leaveSidecar(ctx, state, instance, err, delays) {
			return nil, err
		}
		attempt.Remaining = d.remaining(state)
	}
}

// leaveSidecar records a failed call to the sidecar of the current stream and
// reports whether to give the stream up. A silent sidecar is left only for another
// one: the stream may run, and if all sidecars are silent for a moment, leaving them
// would use up the budget and end requests that would have been answered. If the
// stream is not given up, leaveSidecar returns after a delay.
func (d *Dispatcher) leaveSidecar(ctx context.Context, state *requestState, instance comfreyworks.Instance, err error, delays *backoff.ExponentialBackOff) bool {
	d.options.View.RecordFailure(instance.ID)
	if !state.isSilence(err) || d.remaining(state) <= 0 || d.secureReplacement(state, instance) {
		return true
	}
	d.waitBackoff(ctx, delays)
	return false
}

// isSilence reports whether a sidecar that may run the request has not answered. An
// unreachable sidecar is silent; one that refuses connections is not.
func (s *requestState) isSilence(err error) bool {
	if errors.Is(err, comfreyworks.ErrNoAnswer) {
		return true
	}
	var netError net.Error
	return s.mayHaveStarted && errors.As(err, &netError) && netError.Timeout()
}

// secureReplacement reports whether a sidecar that is not avoided can take over the
// request and, if so, takes the retry from the budget.
func (d *Dispatcher) secureReplacement(state *requestState, instance comfreyworks.Instance) bool {
	pool := state.job.Pool.Name
	avoided := d.options.View.Avoided(pool)
	for _, other := range d.options.View.Usable(pool) {
		if other.ID != instance.ID && !slices.Contains(avoided, other.ID) {
			return d.mayAttempt(state)
		}
	}
	return false
}
