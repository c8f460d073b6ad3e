// Package dispatch sends requests from an entry to upstreams and relays their
// answers, with as many attempts as a request needs.
//
// An attempt chooses an upstream, starts a stream at its sidecar and reads the
// numbered frames. A read that fails is repeated from the same frame. If the
// sidecar or its engine is lost, a new attempt at another upstream continues
// after the tokens that were already delivered. A sidecar that is only silent is
// left once another one can take over within the retry budget; until then its
// stream is waited for. The caller of this package receives each token once and
// in order, and then the end.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{View: view, Sidecars: clients, Clock: clock, Logger: logger})
//	result, err := d.Generate(ctx, job, func(batch dispatch.TokenBatch) error { ... })
//	outcome := d.Call(ctx, pool, attempt)
//
// Generate fails with KindRefused if no upstream accepted the request, with
// KindIncomplete if an upstream accepted it, or may have, but the answer could
// not be completed, with KindGivenUp if ctx ended or the deadline passed, and
// with KindStopped if emit failed.
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

// RefusedError is the cause of errors with KindRefused.
type RefusedError struct{ Refusal comfreyworks.Refusal }

// Error returns the reason of the refusal.
func (e *RefusedError) Error() string { return string(e.Refusal.Reason) }

const (
	// maxAttempts limits the attempts of one request that are refused or fail.
	// Starts that get no answer are not counted: on a machine that is short of
	// CPU time all sidecars stop answering at once, and the caller of a failed
	// request could do nothing better than send it again.
	maxAttempts = 6
	// maxReadFailures is the number of consecutive failed reads after which a
	// stream may be given up.
	maxReadFailures = 2
	// readWait is how long a sidecar waits for new frames before it answers a
	// read. If there is no answer after that, the connection is lost.
	readWait = time.Second
	// placeTimeout limits a call to a directory shard. The choice without the
	// directory is nearly as good, so a longer wait is not worth its cost.
	placeTimeout = 50 * time.Millisecond
	// cancelTimeout limits the call that cancels a stream. endedCancelTimeout limits it
	// once the request has been given up: its final answer waits for the call, and a
	// stopping entry waits only 100 ms for final answers.
	cancelTimeout      = time.Second
	endedCancelTimeout = 50 * time.Millisecond
	// initialBackoff and maxBackoff limit the waits between attempts when there
	// is no upstream left to try.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// defaultRetryAfter is used for refusals that do not set RetryAfter.
	defaultRetryAfter = time.Second
)

// Options configures a Dispatcher.
type Options struct {
	View     *membership.View
	Sidecars comfreyworks.SidecarClients
	Clock    comfreyworks.Clock
	Logger   *zap.Logger
	// Chooser replaces the prefix directory; nil means that the directory is
	// used.
	Chooser comfreyworks.UpstreamChooser
}

// Dispatcher sends requests to upstreams. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	budgets *retryBudgets
}

// New returns a dispatcher with full retry budgets.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options, budgets: newRetryBudgets()}
}

// Job is one completion request.
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

// Result describes how a request was processed. Usage is set only if the answer
// is complete.
type Result struct {
	Usage     comfreyworks.Usage
	QueueWait time.Duration
	Attempts  int
	// ExpectedTokens is the number of prompt tokens that the directory expected
	// in the upstream's cache.
	ExpectedTokens int
}

// requestState is the state of one request across its attempts.
type requestState struct {
	job       Job
	emit      func(TokenBatch) error
	budgetKey retryBudgetKey
	// retryTaken means that the next attempt's retry was taken from the budget.
	retryTaken bool
	delivered  int
	// attemptOffset is the number of the last stream of a resumed request, zero
	// for a new request.
	attemptOffset int
	origin        StreamOrigin
	// left is nil if no stream was left at a silent sidecar.
	left     *leftStream
	excluded []comfreyworks.InstanceID
	refusal  comfreyworks.Refusal
	result   Result
	// countedTries is the number of attempts and backoff waits that count
	// towards maxAttempts. Starts without an answer and the waits after them do
	// not count.
	countedTries int
	// noAnswer means that the last start got no answer, so that the sidecar may
	// have accepted the request.
	noAnswer bool
	// notSent means that the last attempt reached no engine. Another attempt then
	// adds no load to the pool and needs no retry from the budget.
	notSent bool
	// mayHaveStarted means that a sidecar accepted the request or may have
	// accepted it, so that it can no longer be reported as not run.
	mayHaveStarted bool
	// finished means that no further attempt is made.
	finished bool
}

// Generate sends a request to upstreams until one completes the answer. It
// passes the tokens to emit as they arrive.
func (d *Dispatcher) Generate(ctx context.Context, job Job, emit func(TokenBatch) error) (Result, error) {
	state := &requestState{
		job:       job,
		emit:      emit,
		budgetKey: retryBudgetKey{workspace: job.Workspace, pool: job.Pool.Name},
		refusal:   comfreyworks.Refusal{Reason: comfreyworks.RefusedUpstreamDown, RetryAfter: defaultRetryAfter},
	}
	if err := d.resume(ctx, state); state.finished {
		return state.result, err
	}
	d.budgets.deposit(state.budgetKey)
	defer d.cancelLeft(ctx, state)
	delays := d.newBackoff()
	for state.countedTries < maxAttempts && ctx.Err() == nil {
		if !d.mayAttempt(state) {
			break
		}
		instance, ok := d.chooseInstance(ctx, state)
		if !ok && state.left != nil {
			if err := d.returnToLeft(ctx, state); state.finished {
				return state.result, err
			}
			state.countedTries++
			continue
		}
		if !ok {
			if !d.waitBackoff(ctx, delays) {
				break
			}
			state.excluded = nil
			if !state.noAnswer {
				state.countedTries++
			}
			continue
		}
		state.result.Attempts++
		state.retryTaken = false
		state.noAnswer = false
		state.notSent = false
		err := d.attempt(ctx, state, instance)
		if state.finished {
			return state.result, err
		}
		if !state.noAnswer {
			state.countedTries++
		}
		state.excluded = append(state.excluded, instance.ID)
	}
	return state.result, state.finalError(ctx)
}

// mayAttempt reports whether the retry budget allows another attempt and, if so,
// takes a retry from it unless that was done before. An answer that was partly
// delivered is always continued, because the work done for it would be wasted
// otherwise.
func (d *Dispatcher) mayAttempt(state *requestState) bool {
	if state.result.Attempts == 0 || state.delivered > 0 || state.notSent || state.retryTaken {
		return true
	}
	state.retryTaken = d.budgets.withdraw(state.budgetKey)
	return state.retryTaken
}

func (s *requestState) finalError(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return &Error{Op: "generate", Kind: KindGivenUp, Err: context.Cause(ctx)}
	case s.mayHaveStarted:
		err := fmt.Errorf("stopped after %d tokens: %s", s.delivered, s.refusal.Reason)
		return &Error{Op: "generate", Kind: KindIncomplete, Err: err}
	default:
		return &Error{Op: "generate", Kind: KindRefused, Err: &RefusedError{Refusal: s.refusal}}
	}
}

func (d *Dispatcher) newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialBackoff
	delays.MaxInterval = maxBackoff
	return delays
}

// waitBackoff waits before the pool is tried again. It returns false if ctx
// ends first.
func (d *Dispatcher) waitBackoff(ctx context.Context, delays *backoff.ExponentialBackOff) bool {
	select {
	case <-d.options.Clock.After(delays.NextBackOff()):
		return true
	case <-ctx.Done():
		return false
	}
}

// chooseInstance asks the prefix directory for an upstream. Without its answer
// it uses rendezvous hashing of the same chain, which mostly chooses the same
// upstream.
func (d *Dispatcher) chooseInstance(ctx context.Context, state *requestState) (comfreyworks.Instance, bool) {
	pool := state.job.Pool
	exclude := slices.Concat(state.excluded, d.options.View.Avoided(pool.Name))
	choice := d.requestPlacement(ctx, state.job, exclude)
	state.result.ExpectedTokens = choice.CachedTokens
	if instance, ok := d.options.View.Find(pool.Name, choice.Instance); ok {
		return instance, true
	}
	usable := d.options.View.Usable(pool.Name)
	return placement.Fallback(state.job.Chain, usable, state.excluded)
}

// requestPlacement returns the directory's choice, or an empty placement if
// there is none in time.
func (d *Dispatcher) requestPlacement(ctx context.Context, job Job, exclude []comfreyworks.InstanceID) comfreyworks.Placement {
	if d.options.Chooser != nil {
		id, _ := d.options.Chooser.Choose(job.Pool.Name, job.Request, exclude)
		return comfreyworks.Placement{Instance: id}
	}
	owners := d.options.View.ShardOwners(job.Pool.Name, job.Pool.DirectoryShards)
	owner, ok := owners.Owner(job.Chain[0].Hash)
	if !ok || !d.options.View.DirectoryUsable(owner.ID) {
		return comfreyworks.Placement{}
	}
	request := comfreyworks.PlaceRequest{Pool: job.Pool.Name, Chain: job.Chain, Exclude: exclude}
	choice, err := d.options.Sidecars.Sidecar(owner).Place(ctx, request, placeTimeout)
	if err != nil {
		if ctx.Err() == nil {
			d.options.View.RecordDirectoryFailure(owner.ID)
		}
		return comfreyworks.Placement{}
	}
	d.options.View.RecordDirectorySuccess(owner.ID)
	return choice
}

// attempt tries one upstream. It sets finished if no further attempt is to be
// made.
func (d *Dispatcher) attempt(ctx context.Context, state *requestState, instance comfreyworks.Instance) error {
	sidecar := d.options.Sidecars.Sidecar(instance)
	attempt := d.newAttempt(state)
	refusal, err := d.start(ctx, state, instance, attempt)
	if err != nil {
		state.notSent = !state.noAnswer && errors.Is(err, comfreyworks.ErrNotSent)
		if state.noAnswer {
			d.cancel(ctx, sidecar, attempt.Stream)
		}
		if state.noAnswer && d.remaining(state) <= 0 {
			return d.fail(state, KindGivenUp, errDeadline)
		}
		return err
	}
	if refusal != nil {
		d.recordRefusal(state, instance, *refusal)
		if state.left != nil {
			return d.returnToLeft(ctx, state)
		}
		return nil
	}
	d.cancelLeft(ctx, state)
	state.mayHaveStarted = true
	d.options.View.RecordSuccess(instance.ID)
	state.origin.Instance = instance.ID
	return d.relay(ctx, state, instance, attempt.Stream)
}

// streamID returns the ID of an attempt's stream.
func (s *requestState) streamID(origin StreamOrigin) comfreyworks.StreamID {
	return comfreyworks.StreamID(fmt.Sprintf("%s/%d", s.job.Request.ID, origin.Attempt))
}

func (d *Dispatcher) newAttempt(state *requestState) comfreyworks.GenerateAttempt {
	state.origin = StreamOrigin{Attempt: state.attemptOffset + state.result.Attempts, Start: state.delivered}
	request := state.job.Request
	request.ResumeFrom = state.delivered
	return comfreyworks.GenerateAttempt{
		Stream:    state.streamID(state.origin),
		Workspace: state.job.Workspace,
		Class:     state.job.Class,
		Request:   request,
		Chain:     state.job.Chain,
		Remaining: d.remaining(state),
	}
}

func (d *Dispatcher) recordRefusal(state *requestState, instance comfreyworks.Instance, refusal comfreyworks.Refusal) {
	if refusal.RetryAfter == 0 {
		refusal.RetryAfter = defaultRetryAfter
	}
	state.refusal = refusal
	switch refusal.Reason {
	case comfreyworks.RefusedLeaving:
		d.options.View.RecordLeaving(instance.ID)
	case comfreyworks.RefusedUpstreamDown, comfreyworks.RefusedStarting:
		state.notSent = true
		d.options.View.RecordFailure(instance.ID)
	}
}

// relay reads a stream to its end and emits its tokens. It sets finished unless
// another attempt should continue the answer.
func (d *Dispatcher) relay(ctx context.Context, state *requestState, instance comfreyworks.Instance, id comfreyworks.StreamID) error {
	sidecar := d.options.Sidecars.Sidecar(instance)
	from := state.delivered - state.origin.Start
	failures := 0
	delays := d.newBackoff()
	for {
		update, err := sidecar.Read(ctx, id, from, readWait)
		switch {
		case ctx.Err() != nil:
			d.cancel(ctx, sidecar, id)
			return d.fail(state, KindGivenUp, context.Cause(ctx))
		case err != nil:
			failures++
			if failures < maxReadFailures || !d.leaveSidecar(ctx, state, instance, err, delays) {
				continue
			}
			if d.remaining(state) <= 0 {
				d.cancel(ctx, sidecar, id)
				return d.fail(state, KindGivenUp, errDeadline)
			}
			if state.isSilence(err) {
				state.left = &leftStream{instance, state.origin}
			}
			return err
		case update.Unknown:
			return nil
		}
		failures = 0
		from += len(update.Frames)
		if err := state.deliver(update.Frames); err != nil {
			d.cancel(ctx, sidecar, id)
			return d.fail(state, KindStopped, err)
		}
		state.result.QueueWait = max(state.result.QueueWait, update.QueueWait)
		if update.End != nil {
			return d.handleEnd(state, update.End)
		}
	}
}

func (s *requestState) deliver(frames []string) error {
	if len(frames) == 0 {
		return nil
	}
	s.delivered += len(frames)
	return s.emit(TokenBatch{Frames: frames, Origin: s.origin})
}

func (d *Dispatcher) handleEnd(state *requestState, end *comfreyworks.StreamEnd) error {
	switch end.Reason {
	case comfreyworks.EndComplete:
		state.result.Usage = end.Usage
		state.finished = true
		return nil
	case comfreyworks.EndCancelled:
		// Either the deadline has passed or another entry cancelled the stream.
		// The entry that relayed the stream before may notice that its caller
		// disconnected only after the caller has resumed the answer here.
		if d.remaining(state) <= 0 {
			return d.fail(state, KindGivenUp, errors.New(end.Detail))
		}
		return nil
	default:
		state.notSent = end.NotSent
		return nil
	}
}

// remaining returns the time left until the job's deadline.
func (d *Dispatcher) remaining(state *requestState) time.Duration {
	return state.job.Deadline.Sub(d.options.Clock.Now())
}

// fail marks the request as finished and returns its final error.
func (d *Dispatcher) fail(state *requestState, kind Kind, cause error) error {
	state.finished = true
	return &Error{Op: "generate", Kind: kind, Err: cause}
}

// cancel stops a stream and so frees its engine. If the call is lost, the
// sidecar stops the stream itself once nobody has read it for a while.
func (d *Dispatcher) cancel(ctx context.Context, sidecar comfreyworks.Sidecar, id comfreyworks.StreamID) {
	timeout := cancelTimeout
	if ctx.Err() != nil {
		timeout = endedCancelTimeout
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	if err := sidecar.Cancel(ctx, id); err != nil {
		d.options.Logger.Debug("failed to cancel stream", zap.String("stream", string(id)), zap.Error(err))
	}
}
