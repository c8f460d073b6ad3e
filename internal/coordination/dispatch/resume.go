package dispatch

import (
	"context"

	"comfreyworks"
)

// Place is where tokens of an answer come from.
type Place struct {
	Instance comfreyworks.InstanceID
	// Attempt numbers the streams of one request, Start is the number of
	// tokens before the stream's first one.
	Attempt int
	Start   int
}

// Resume asks for the rest of an answer that was relayed before, perhaps by
// another entry.
type Resume struct {
	Place Place
	// Delivered is the number of tokens that the caller has.
	Delivered int
}

// Delivery is what emit gets: the next tokens and where they come from.
type Delivery struct {
	Frames []string
	Place  Place
}

// begin prepares an attempt state. Streams of a resumed answer are numbered on
// from the last one, so that none is mistaken for an older one.
func (d *Dispatcher) begin(ctx context.Context, state *attemptState) error {
	resume := state.job.Resume
	if resume == nil {
		return nil
	}
	state.delivered = resume.Delivered
	state.given = true
	state.firstAttempt = resume.Place.Attempt
	state.place = resume.Place
	instance, ok := d.options.View.Find(state.job.Pool.Name, resume.Place.Instance)
	if !ok {
		return nil
	}
	return d.relay(ctx, state, instance, state.streamID())
}
