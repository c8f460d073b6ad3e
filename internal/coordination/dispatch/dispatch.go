// Package dispatch carries a request from an entry to an upstream and its
// answer back, over as many attempts as it takes.
//
// An attempt chooses an upstream, starts a stream at its sidecar and reads the
// numbered frames. A lost or silent connection is replaced and reading goes on
// at the same frame. A lost sidecar or engine costs a new attempt elsewhere
// that goes on behind the tokens already delivered. The caller of this package
// sees each token once and in order, then the end.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{View: view, Gates: clients, Clock: clock, Logger: logger})
//	result, err := d.Generate(ctx, job, func(delivery dispatch.Delivery) error { ... })
//	outcome, err := d.Call(ctx, pool, work)
//
// Generate fails with KindRefused when nothing was delivered and nothing more
// will be tried, with KindIncomplete when the answer broke off for good, with
// KindGivenUp when ctx ended and with KindStopped when emit failed.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/membership"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/state/settings"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindRefused    Kind = "refused"
	KindIncomplete Kind = "incomplete"
	KindGivenUp    Kind = "given up"
	KindStopped    Kind = "stopped"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// RefusedError is the cause of an error with KindRefused.
type RefusedError struct{ Refusal comfreyworks.Refusal }

// Error names the reason.
func (e *RefusedError) Error() string { return string(e.Refusal.Reason) }

const (
	// maxAttempts bounds the upstreams that refuse or fail one request. Those
	// that say nothing do not count: on a starved machine all are silent at
	// once, and the caller would do no better than to ask again.
	maxAttempts = 6
	// maxReadFailures bounds the reads of one stream that fail in a row.
	maxReadFailures = 2
	// readWait is how long a sidecar holds a read back for news. Silence
	// beyond it means that the connection is lost.
	readWait = time.Second
	// placeTimeout bounds the question to a directory shard; the answer
	// without a directory is nearly as good, so waiting is not worth much.
	placeTimeout = 50 * time.Millisecond
	// cancelTimeout bounds the message that gives a stream up.
	cancelTimeout = time.Second
	// firstPause and maxPause bound the pauses between attempts when no
	// upstream is left to try.
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// defaultRetryAfter is when a caller may come back after a refusal that
	// names no time.
	defaultRetryAfter = time.Second
)

// Options configures a Dispatcher.
type Options struct {
	View   *membership.View
	Gates  comfreyworks.SidecarClients
	Clock  comfreyworks.Clock
	Logger *zap.Logger
	// Chooser replaces the prefix directory; nil means the directory.
	Chooser comfreyworks.UpstreamChooser
}

// Dispatcher carries requests. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	budgets *budgets
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options, budgets: newBudgets()}
}

// Job is one request for a model.
type Job struct {
	Workspace comfreyworks.Workspace
	Class     comfreyworks.Class
	Pool      *settings.Pool
	Request   comfreyworks.GenerateRequest
	Chain     comfreyworks.PrefixChain
	Deadline  time.Time
	// Resume is nil for a new request.
	Resume *Resume
}

// Result sums up a complete answer.
type Result struct {
	Usage     comfreyworks.Usage
	QueueWait time.Duration
	Attempts  int
	// ExpectedTokens is how many of the prompt's tokens the directory expected
	// the upstream to hold.
	ExpectedTokens int
}

// attemptState is what is carried from one attempt to the next.
type attemptState struct {
	job       Job
	emit      func(Delivery) error
	delivered int
	// firstAttempt is the number of the last stream before this dispatch.
	firstAttempt int
	place        Place
	excluded     []comfreyworks.InstanceID
	refusal      comfreyworks.Refusal
	result       Result
	// answered counts the attempts and waits that did not end in silence.
	answered int
	// silent means that the last upstream did not say whether it took the work.
	silent bool
	// given means that some sidecar took the work or may have taken it, so that
	// "not run" would no longer be true.
	given bool
	// finished means that err is final.
	finished bool
}

// Generate carries one request.
func (d *Dispatcher) Generate(ctx context.Context, job Job, emit func(Delivery) error) (Result, error) {
	state := &attemptState{
		job:     job,
		emit:    emit,
		refusal: comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown, RetryAfter: defaultRetryAfter},
	}
	if err := d.begin(ctx, state); state.finished {
		return state.result, err
	}
	budget := budgetKey{workspace: job.Workspace, pool: job.Pool.Name}
	d.budgets.earn(budget)
	pauses := d.newPauses()
	for state.answered < maxAttempts && ctx.Err() == nil {
		if !d.mayTry(state, budget) {
			break
		}
		instance, ok := d.choose(ctx, state)
		if !ok {
			if !d.pause(ctx, pauses) {
				break
			}
			state.excluded = nil
			if !state.silent {
				state.answered++
			}
			continue
		}
		state.result.Attempts++
		state.silent = false
		err := d.attempt(ctx, state, instance)
		if state.finished {
			return state.result, err
		}
		if !state.silent {
			state.answered++
		}
		state.excluded = append(state.excluded, instance.ID)
	}
	return state.result, state.failure(ctx)
}

// mayTry reports whether another attempt is within the budget. An answer that
// has begun always goes on: giving it up would waste all that was done for it.
func (d *Dispatcher) mayTry(state *attemptState, budget budgetKey) bool {
	return state.result.Attempts == 0 || state.delivered > 0 || d.budgets.spend(budget)
}

func (s *attemptState) failure(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return &Error{Op: "generate", Kind: KindGivenUp, Err: context.Cause(ctx)}
	case s.given:
		err := fmt.Errorf("stopped after %d tokens: %s", s.delivered, s.refusal.Reason)
		return &Error{Op: "generate", Kind: KindIncomplete, Err: err}
	default:
		return &Error{Op: "generate", Kind: KindRefused, Err: &RefusedError{Refusal: s.refusal}}
	}
}

func (d *Dispatcher) newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = maxPause
	return pauses
}

// pause waits before the pool is tried again; false means that ctx ended.
func (d *Dispatcher) pause(ctx context.Context, pauses *backoff.ExponentialBackOff) bool {
	select {
	case <-d.options.Clock.After(pauses.NextBackOff()):
		return true
	case <-ctx.Done():
		return false
	}
}

// choose asks the directory for an upstream and falls back to rendezvous over
// the same chain, which lands mostly where the directory would.
func (d *Dispatcher) choose(ctx context.Context, state *attemptState) (comfreyworks.Instance, bool) {
	pool := state.job.Pool
	exclude := slices.Concat(state.excluded, d.options.View.Avoided(pool.Name))
	choice := d.ask(ctx, state.job, exclude)
	state.result.ExpectedTokens = choice.CachedTokens
	if instance, ok := d.options.View.Find(pool.Name, choice.Instance); ok {
		return instance, true
	}
	usable := d.options.View.Usable(pool.Name)
	return placement.Fallback(state.job.Chain, usable, state.excluded)
}

// ask returns the directory's choice, or nothing if there is none in time.
func (d *Dispatcher) ask(ctx context.Context, job Job, exclude []comfreyworks.InstanceID) comfreyworks.Placement {
	if d.options.Chooser != nil {
		id, _ := d.options.Chooser.Choose(job.Pool.Name, job.Request, exclude)
		return comfreyworks.Placement{Instance: id}
	}
	ring := d.options.View.Ring(job.Pool.Name, job.Pool.DirectoryShards)
	owner, ok := ring.Owner(job.Chain[0].Hash)
	if !ok || !d.options.View.DirectoryUsable(owner.ID) {
		return comfreyworks.Placement{}
	}
	request := comfreyworks.PlaceRequest{Pool: job.Pool.Name, Chain: job.Chain, Exclude: exclude}
	choice, err := d.options.Gates.Sidecar(owner).Place(ctx, request, placeTimeout)
	if err != nil {
		if ctx.Err() == nil {
			d.options.View.DirectoryFailed(owner.ID)
		}
		return comfreyworks.Placement{}
	}
	d.options.View.DirectoryWorked(owner.ID)
	return choice
}

// attempt tries one upstream. It sets finished when its error is final.
func (d *Dispatcher) attempt(ctx context.Context, state *attemptState, instance comfreyworks.Instance) error {
	gate := d.options.Gates.Sidecar(instance)
	work := d.work(state)
	refusal, err := gate.Start(ctx, work)
	if err != nil {
		if !errors.Is(err, comfreyworks.ErrNotSent) {
			state.given = true
			state.silent = true
			d.cancel(ctx, gate, work.Stream)
		}
		if ctx.Err() == nil {
			d.options.View.Failed(instance.ID)
		}
		return err
	}
	if refusal != nil {
		d.noteRefusal(state, instance, *refusal)
		return nil
	}
	state.given = true
	d.options.View.Worked(instance.ID)
	state.place.Instance = instance.ID
	return d.relay(ctx, state, instance, work.Stream)
}

// streamID names the stream of the current attempt.
func (s *attemptState) streamID() comfreyworks.StreamID {
	return comfreyworks.StreamID(fmt.Sprintf("%s/%d", s.job.Request.ID, s.place.Attempt))
}

func (d *Dispatcher) work(state *attemptState) comfreyworks.GenerateAttempt {
	state.place = Place{Attempt: state.firstAttempt + state.result.Attempts, Start: state.delivered}
	request := state.job.Request
	request.ResumeFrom = state.delivered
	return comfreyworks.GenerateAttempt{
		Stream:    state.streamID(),
		Workspace: state.job.Workspace,
		Class:     state.job.Class,
		Request:   request,
		Chain:     state.job.Chain,
		Remaining: d.remaining(state),
	}
}

func (d *Dispatcher) noteRefusal(state *attemptState, instance comfreyworks.Instance, refusal comfreyworks.Refusal) {
	if refusal.RetryAfter == 0 {
		refusal.RetryAfter = defaultRetryAfter
	}
	state.refusal = refusal
	switch refusal.Reason {
	case comfreyworks.RefusedLeaving:
		d.options.View.Leaving(instance.ID)
	case comfreyworks.RefusedUpstreamDown, comfreyworks.RefusedStarting:
		d.options.View.Failed(instance.ID)
	}
}

// relay reads a stream to its end. It sets finished unless another upstream
// should go on.
func (d *Dispatcher) relay(ctx context.Context, state *attemptState, instance comfreyworks.Instance, id comfreyworks.StreamID) error {
	gate := d.options.Gates.Sidecar(instance)
	from := state.delivered - state.place.Start
	failures := 0
	for {
		news, err := gate.Read(ctx, id, from, readWait)
		switch {
		case ctx.Err() != nil:
			d.cancel(ctx, gate, id)
			return d.finish(state, KindGivenUp, context.Cause(ctx))
		case err != nil:
			failures++
			if failures >= maxReadFailures {
				d.options.View.Failed(instance.ID)
				return err
			}
			continue
		case news.Unknown:
			return nil
		}
		failures = 0
		from += len(news.Frames)
		if err := state.deliver(news.Frames); err != nil {
			d.cancel(ctx, gate, id)
			return d.finish(state, KindStopped, err)
		}
		state.result.QueueWait = max(state.result.QueueWait, news.QueueWait)
		if news.End != nil {
			return d.end(state, news.End)
		}
	}
}

func (s *attemptState) deliver(frames []string) error {
	if len(frames) == 0 {
		return nil
	}
	s.delivered += len(frames)
	return s.emit(Delivery{Frames: frames, Place: s.place})
}

func (d *Dispatcher) end(state *attemptState, end *comfreyworks.StreamEnd) error {
	switch end.Reason {
	case comfreyworks.EndComplete:
		state.result.Usage = end.Usage
		state.finished = true
		return nil
	case comfreyworks.EndCancelled:
		// Either the deadline has passed, or somebody else gave the stream up:
		// the entry that relayed it before may have noticed that its caller
		// left only after the caller came here.
		if d.remaining(state) <= 0 {
			return d.finish(state, KindGivenUp, errors.New(end.Detail))
		}
		return nil
	default:
		return nil
	}
}

// remaining is the time left until the job's deadline.
func (d *Dispatcher) remaining(state *attemptState) time.Duration {
	return state.job.Deadline.Sub(d.options.Clock.Now())
}

func (d *Dispatcher) finish(state *attemptState, kind Kind, cause error) error {
	state.finished = true
	return &Error{Op: "generate", Kind: kind, Err: cause}
}

// cancel frees a stream's work; if the message is lost, the sidecar notices
// that nobody reads.
func (d *Dispatcher) cancel(ctx context.Context, gate comfreyworks.Sidecar, id comfreyworks.StreamID) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if err := gate.Cancel(ctx, id); err != nil {
		d.options.Logger.Debug("cancel failed", zap.String("stream", string(id)), zap.Error(err))
	}
}
