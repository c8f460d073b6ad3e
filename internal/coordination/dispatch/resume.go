package dispatch

import (
	"context"

	"comfreyworks"
)

// StreamOrigin identifies the stream that tokens of an answer come from.
type StreamOrigin struct {
	Instance comfreyworks.InstanceID
	// Attempt numbers the streams of one request. Start is the number of answer
	// tokens before the stream's first one.
	Attempt int
	Start   int
}

// Resume describes an answer that was partly delivered before, perhaps by
// another entry, and is to be continued.
type Resume struct {
	Origin StreamOrigin
	// Delivered is the number of tokens that the caller already has.
	Delivered int
}

// TokenBatch holds the next tokens of an answer and the stream they come from.
type TokenBatch struct {
	Frames []string
	Origin StreamOrigin
}

// resume prepares the state of a resumed request and relays the rest of its
// last stream if the stream's instance is still listed. Later attempts continue
// the numbering of the streams, so that no stream ID is used twice.
func (d *Dispatcher) resume(ctx context.Context, state *requestState) error {
	resume := state.job.Resume
	if resume == nil {
		return nil
	}
	state.delivered = resume.Delivered
	state.mayHaveStarted = true
	state.attemptOffset = resume.Origin.Attempt
	state.origin = resume.Origin
	instance, ok := d.options.View.Find(state.job.Pool.Name, resume.Origin.Instance)
	if !ok {
		return nil
	}
	return d.relay(ctx, state, instance, state.streamID(state.origin))
}
