package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/holdings"
)

// errSilent is the cause when an upstream is given up for its silence.
var errSilent = errors.New("upstream silent")

// attempt is one sending of a request to one upstream.
type attempt struct {
	*journey
	pick      *balance.Pick
	startedAt time.Time
	result    balance.Result
	cause     error
}

func (a *attempt) run(ctx context.Context) (Outcome, step) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := a.patience()
	if patience > 0 {
		timer := a.options.Clock.AfterFunc(patience, func() { cancel(errSilent) })
		defer timer.Stop()
		return a.exchange(ctx, func() { timer.Reset(a.eventPatience()) })
	}
	return a.exchange(ctx, func() {})
}

// patience is how long to wait for the first sign of an answer before the
// request goes elsewhere; zero means as long as the request has time. A queue is
// no silence: leaving it would only make another one longer.
func (a *attempt) patience() time.Duration {
	route := a.request.Route
	if !route.Repeatable() || a.runs+1 >= route.MaxAttempts {
		return 0
	}
	return max(patienceFactor*(route.Objective+a.pick.Wait), leastPatience)
}

// eventPatience is how long to wait for each further event of a stream.
func (a *attempt) eventPatience() time.Duration {
	return max(patienceFactor*a.request.Route.MaxEventGap, leastPatience)
}

func (a *attempt) exchange(ctx context.Context, heard func()) (Outcome, step) {
	defer func() { a.pick.Done(a.result) }()
	a.runs++
	reply, err := a.options.Exchanger.Exchange(ctx, a.request.Message, a.instructions())
	if err != nil {
		return Outcome{}, a.failed(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	a.result.Weights = reply.Weights
	if a.request.Route.Kind == comfreyworks.RouteStream && reply.Status == http.StatusOK && reply.HasDigest {
		return a.relayStream(ctx, reply, heard)
	}
	return a.relayWhole(ctx, reply)
}

func (a *attempt) instructions() comfreyworks.AttemptOptions {
	instructions := comfreyworks.AttemptOptions{
		Upstream:  a.pick.Upstream,
		Remaining: a.options.Clock.Until(a.request.Deadline),
		Priority:  -1, LastEventID: a.lastEvent,
	}
	if a.request.Workspace != nil {
		instructions.Workspace = a.request.Workspace.Name
	}
	if a.request.Prompt.Model != "" {
		instructions.ExpectedWeights = a.pick.Weights
		instructions.CacheSalt = holdings.Salt(wall(a.request.Workspace), a.pick.Weights)
		instructions.ImportFrom = a.pick.ImportFrom
		instructions.SaveTo = a.pick.SaveTo
		instructions.Priority = a.priority()
	}
	return instructions
}

// failed sorts the error of an exchange.
func (a *attempt) failed(ctx context.Context, err error) step {
	a.cause = err
	var failure *comfreyworks.ExchangeError
	if !errors.As(err, &failure) {
		failure = &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Err: err}
	}
	a.result.Weights = failure.Weights
	a.reason = string(failure.Kind)
	switch {
	case failure.Kind == comfreyworks.ExchangeNotRun:
		a.runs--
		a.reason += " " + string(failure.Reason)
		a.result.Outcome = notRunOutcome(failure.Reason)
		return stepNotRun
	case failure.Kind == comfreyworks.ExchangeNotSent:
		a.runs--
		a.result.Outcome = a.blame(ctx, balance.Unreachable)
		return stepNotRun
	default:
		a.result.Outcome = a.blame(ctx, balance.Failed)
		return stepLost
	}
}

// blame spares an upstream whose request was withdrawn by us.
func (a *attempt) blame(ctx context.Context, outcome balance.Outcome) balance.Outcome {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errSilent) || errors.Is(cause, errDeadline) {
		return outcome
	}
	return balance.Withdrawn
}

func notRunOutcome(reason comfreyworks.NotRunReason) balance.Outcome {
	switch reason {
	case comfreyworks.NotRunOtherWeights:
		return balance.OtherWeights
	case comfreyworks.NotRunOtherInstance:
		return balance.Gone
	default:
		return balance.Full
	}
}

// relayWhole passes an answer on once it is complete, or once it is longer
// than what is worth buffering.
func (a *attempt) relayWhole(ctx context.Context, reply *comfreyworks.UpstreamResponse) (Outcome, step) {
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, reply.Body, bufferedBytes)
	complete := errors.Is(err, io.EOF)
	switch {
	case err != nil && !complete:
		return Outcome{}, a.failed(ctx, err)
	case !reply.HasDigest || a.begun:
		return Outcome{}, a.failed(ctx, errors.New("answer without proof"))
	case reply.Status >= http.StatusInternalServerError && a.request.Route.Repeatable() && a.mayRepeat(stepLost):
		a.result.Outcome = balance.Failed
		a.reason = "upstream failed"
		return Outcome{}, stepRepeat
	}
	a.answered(reply.Status)
	a.begun = true
	length := reply.ContentLength
	if complete {
		length = int64(buffer.Len())
	}
	a.sink.Begin(reply.Status, reply.Header, length)
	if _, err := a.sink.Write(buffer.Bytes()); err != nil {
		return Outcome{Verdict: Abandoned, Reason: "caller left"}, stepDone
	}
	if !complete {
		if _, err := io.Copy(a.sink, reply.Body); err != nil {
			return Outcome{Verdict: Broken, Reason: "answer cut off"}, stepDone
		}
	}
	return Outcome{Verdict: Delivered, Status: reply.Status}, stepDone
}

func (a *attempt) answered(status int) {
	a.pick.Begun()
	a.result.Outcome = balance.Answered
	a.result.Elapsed = a.options.Clock.Since(a.startedAt)
	if status >= http.StatusInternalServerError {
		a.result.Outcome = balance.Failed
	}
}

func (a *attempt) log() {
	a.options.Logger.Info("attempt",
		zap.String("request", string(a.request.Message.ID)),
		zap.String("route", a.request.Route.Name),
		zap.String("upstream", string(a.pick.Upstream.ID)),
		zap.Int("send", a.sends),
		zap.Int("candidates", a.pick.Candidates),
		zap.Uint64("weights", uint64(a.pick.Weights)),
		zap.Int("shared", a.request.Prompt.shared()), zap.Int("held", a.pick.Held),
		zap.Duration("wait", a.pick.Wait), zap.Int("importable", a.pick.Importable), zap.Stringer("import-from", a.pick.ImportFrom),
		zap.Duration("list-age", a.options.Clock.Since(a.options.Catalog.UpstreamsProven())),
		zap.Duration("took", a.options.Clock.Since(a.startedAt)),
		zap.String("outcome", string(a.result.Outcome)),
		zap.Error(a.cause),
	)
}
