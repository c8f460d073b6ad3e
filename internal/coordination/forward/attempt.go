package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/memory"
)

// attempt is one attempt to get the answer to a request from one upstream.
type attempt struct {
	*activeRequest
	pick      *balance.Pick
	startedAt time.Time
	// ctx is the context of the exchange with the upstream.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *comfreyworks.UpstreamResponse
	result   balance.Result
	cause    error
	// silenceLimit is the response timeout, and takeover replaces an upstream that
	// exceeds it. Zero and nil mean that there is no limit.
	silenceLimit time.Duration
	takeover     *takeover
	answer       receivedAnswer
	trial        *crashes.Request
	// broke is set if the upstream ended its connection, finding is what follows from that.
	// cleared means that the suspects were cleared, so that nothing does.
	broke   *crashes.Evidence
	finding crashes.Finding
	cleared bool
	pace    streamPace
	// ended means that end was called, delivered that an event was passed on.
	ended, delivered bool
	// returnsTo is the upstream if the request had left it; nil if not.
	returnsTo *leftUpstream
	// resumesAfter is the event after which the attempt continues a stream; empty
	// means from the start.
	resumesAfter string
	// withdrawal is nil if the answer may begin at any time.
	withdrawal *withdrawal
}

// newAttempt returns an attempt at a chosen upstream. It must be ended.
func (r *activeRequest) newAttempt(ctx context.Context, pick *balance.Pick) *attempt {
	a := &attempt{activeRequest: r, pick: pick, startedAt: r.options.Clock.Now(), resumesAfter: r.lastEventID}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.silenceLimit = a.responseTimeout()
	if i := slices.IndexFunc(r.left, func(l leftUpstream) bool { return l.Equal(pick.Upstream.Incarnation()) }); i >= 0 {
		left := r.left[i]
		r.left, a.returnsTo = slices.Delete(r.left, i, i+1), &left
	}
	a.withdrawal = newWithdrawal(a)
	return a
}

// countSend counts an attempt that is about to be sent, and that may run.
func (r *activeRequest) countSend(a *attempt) {
	upstream := a.pick.Upstream.Incarnation()
	r.sends++
	r.tried = append(r.tried, upstream.ID)
	r.runs = append(r.runs, upstream)
	a.beginTrial()
}

// removeRun records that the attempt has not run.
func (a *attempt) removeRun() {
	if i := slices.IndexFunc(a.runs, a.pick.Upstream.Incarnation().Equal); i >= 0 {
		a.runs = slices.Delete(a.runs, i, i+1)
	}
}

// run sends the request, unless that has been done, and relays the answer. If the
// upstream is silent for longer than the response timeout, another one takes over.
func (a *attempt) run(ctx context.Context) (Outcome, attemptResult) {
	defer a.end()
	if a.response == nil {
		if !a.awaitReturn() {
			a.result.Outcome = balance.Withdrawn
			return Outcome{}, attemptNotRun
		}
		a.countSend(a)
		a.recordOrigin()
	}
	if a.silenceLimit > 0 {
		a.watch(ctx, a.silenceLimit)
		defer a.settle(false)
	}
	return a.exchange()
}

// end releases the attempt's resources and reports its result.
func (a *attempt) end() {
	a.ended = true
	a.withdrawal.stop()
	a.cancel(nil)
	a.judgePace()
	a.pick.Done(a.result)
	a.endTrial()
	a.log()
}

// responseTimeout returns how long to wait for the complete answer, or the first
// event of a stream, before the request is sent to another upstream. Zero means
// until the request's deadline. The expected wait in the upstream's queue is
// added, because leaving a queue would only lengthen that of another upstream.
func (a *attempt) responseTimeout() time.Duration {
	route := a.request.Route
	if !route.Repeatable() || len(a.runs)+1 >= route.MaxAttempts {
		return 0
	}
	return max(responseTimeoutFactor*(route.Objective+a.pick.Wait), minResponseTimeout)
}

// eventTimeout returns how long to wait for each further event of a stream.
func (a *attempt) eventTimeout() time.Duration {
	return max(responseTimeoutFactor*a.request.Route.MaxEventGap, minResponseTimeout)
}

// exchange sends the request, unless its response has begun, and relays the answer.
func (a *attempt) exchange() (Outcome, attemptResult) {
	response := a.response
	if response == nil {
		var err error
		response, err = a.options.Exchanger.Exchange(comfreyworks.WithAdvice(a.ctx, a.pick.Advise), a.request.Message, a.attemptOptions())
		if err != nil {
			return a.lost(err)
		}
	}
	defer func() { _ = response.Body.Close() }()
	a.result.Weights = response.Weights
	a.answer.status = response.Status
	a.answer.hear(a.options.Clock.Now())
	a.hearPart(false)
	response.Body = &watchedBody{response.Body, a}
	if a.request.Route.Kind == comfreyworks.RouteStream && response.Status == http.StatusOK && response.HasDigest {
		return a.relayEvents(response)
	}
	return a.relayBody(response)
}

// lost ends the attempt without an answer. An upstream that was asked to take over may
// still answer the request.
func (a *attempt) lost(err error) (Outcome, attemptResult) {
	a.settle(true)
	result := a.classifyError(a.ctx, err)
	if a.next != nil {
		result = attemptReplaced
	}
	return Outcome{}, result
}

// attemptOptions returns what is sent along with the request in this attempt.
func (a *attempt) attemptOptions() comfreyworks.AttemptOptions {
	options := comfreyworks.AttemptOptions{
		Upstream:  a.pick.Upstream,
		Remaining: a.options.Clock.Until(a.request.Deadline),
		Priority:  -1, LastEventID: a.lastEventID,
	}
	if a.request.Workspace != nil {
		options.Workspace = a.request.Workspace.Name
	}
	if a.request.Prompt.Model != "" {
		options.ExpectedWeights = a.pick.Weights
		options.CacheSalt = holdings.Salt(a.pick.CacheScope(), a.pick.Weights)
		options.ImportFrom = a.pick.ImportFrom
		options.SaveTo = a.pick.SaveTo
		options.Priority = a.priority()
	}
	return options
}

// classifyError records the error of an exchange as the result for the balancer
// and returns whether the request may be retried. A request that has not run is
// not counted as a run.
func (a *attempt) classifyError(ctx context.Context, err error) attemptResult {
	a.cause = err
	var failure *comfreyworks.ExchangeError
	if !errors.As(err, &failure) {
		failure = &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Err: err}
	}
	a.result.Weights = failure.Weights
	a.reason = string(failure.Kind)
	switch {
	case failure.Kind == comfreyworks.ExchangeNotRun && failure.Reason == comfreyworks.NotRunRejected:
		a.removeRun()
		a.reason += " " + string(failure.Reason)
		a.result.Outcome = balance.Withdrawn
		return attemptRejected
	case failure.Kind == comfreyworks.ExchangeNotRun:
		a.removeRun()
		a.leaveAgain()
		a.reason += " " + string(failure.Reason)
		a.result.Outcome = notRunOutcome(failure.Reason)
		return attemptNotRun
	case failure.Kind == comfreyworks.ExchangeNotSent:
		a.removeRun()
		a.leaveAgain()
		a.result.Outcome = a.balanceOutcome(ctx, balance.Unreachable)
		return attemptNotSent
	default:
		a.recordBreak(ctx, err)
		a.result.Outcome = a.balanceOutcome(ctx, balance.Failed)
		return attemptLost
	}
}

// balanceOutcome returns the outcome to report to the balancer. A request that
// was cancelled because its caller disconnected says nothing about the upstream.
func (a *attempt) balanceOutcome(ctx context.Context, outcome balance.Outcome) balance.Outcome {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errUpstreamSilent) || errors.Is(cause, errDeadline) {
		return outcome
	}
	return balance.Withdrawn
}

// notRunOutcome maps the reason for which an upstream did not run a request to
// the outcome for the balancer.
func notRunOutcome(reason comfreyworks.NotRunReason) balance.Outcome {
	switch reason {
	case comfreyworks.NotRunOtherWeights:
		return balance.OtherWeights
	case comfreyworks.NotRunOtherInstance:
		return balance.OtherInstance
	default:
		return balance.Full
	}
}

// relayBody passes an answer on once it has arrived completely, or once it
// exceeds maxBufferedBytes or the memory that there is. An answer without the upstream's digest counts as
// lost, and so does any answer after the sink has received a part of a stream. Their
// bodies are not read, because they may never end.
func (a *attempt) relayBody(response *comfreyworks.UpstreamResponse) (Outcome, attemptResult) {
	if !response.HasDigest || a.headerWritten {
		return a.lost(errors.New("answer without proof"))
	}
	a.withdrawal.stop()
	var buffer bytes.Buffer
	hold := a.options.Memory.Hold(memory.Answer, nil)
	defer hold.Release()
	// Instead of giving way, an answer is passed on without being buffered.
	hold.Complete()
	err := bufferAnswer(&buffer, &answerBody{response.Body, a.options.Clock, &a.answer}, hold)
	complete := errors.Is(err, io.EOF)
	if err != nil && !complete {
		return a.lost(err)
	}
	failed := response.Status >= http.StatusInternalServerError && a.request.Route.Repeatable()
	a.settle(failed)
	switch {
	case a.next != nil && (failed || !complete):
		a.result.Outcome = balance.Failed
		return Outcome{}, attemptReplaced
	case failed && a.takeRetry(attemptLost):
		a.result.Outcome = balance.Failed
		a.reason = "upstream failed"
		return Outcome{}, attemptRetryTaken
	}
	a.recordAnswer(response.Status)
	a.headerWritten = true
	length := response.ContentLength
	if complete {
		length = int64(buffer.Len())
	}
	a.sink.Begin(response.Status, response.Header, length)
	if _, err := a.sink.Write(buffer.Bytes()); err != nil {
		return Outcome{Verdict: Abandoned, Reason: "caller left"}, attemptDone
	}
	if !complete {
		buffered := int64(buffer.Len())
		buffer = bytes.Buffer{}
		hold.Empty()
		if err := a.relayRest(response, buffered); err != nil {
			a.cause = err
			a.recordBreak(a.ctx, err)
			return Outcome{Verdict: Broken, Reason: "answer cut off"}, attemptDone
		}
	}
	a.answerComplete(response.Status)
	return Outcome{Verdict: Delivered, Status: response.Status}, attemptDone
}

// relayRest passes on what follows the buffered part of an answer, up to its declared
// length or up to maxAnswerBytes in all.
func (a *attempt) relayRest(response *comfreyworks.UpstreamResponse, buffered int64) error {
	if response.ContentLength >= 0 {
		_, err := io.Copy(a.sink, response.Body)
		return err
	}
	_, err := io.CopyN(a.sink, response.Body, maxAnswerBytes-buffered)
	switch {
	case err == nil:
		return fmt.Errorf("%w: %d bytes without a declared length", comfreyworks.ErrCutOff, maxAnswerBytes)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// recordAnswer tells the balancer that the answer has started, and records for
// it the outcome and the time since the request was sent. For a stream it is
// called at the first event and at the end.
func (a *attempt) recordAnswer(status int) {
	a.pick.AnswerStarted()
	a.result.Outcome = balance.Answered
	a.result.Elapsed = a.options.Clock.Since(a.startedAt)
	if status >= http.StatusInternalServerError {
		a.result.Outcome = balance.Failed
	}
}

// endName identifies the end of the upstream; it is empty if it did not end.
func (a *attempt) endName() string {
	if a.finding.Verdict == "" {
		return ""
	}
	return FormatSuspectKey(a.finding.End)
}

// log writes one line about the attempt, and one more if its answer was cut off.
func (a *attempt) log() {
	if errors.Is(a.cause, comfreyworks.ErrCutOff) {
		a.options.Logger.Warn("answer cut off",
			zap.String("request", string(a.request.Message.ID)),
			zap.String("upstream", string(a.pick.Upstream.ID)),
			zap.Error(a.cause),
		)
	}
	a.options.Logger.Info("attempt finished",
		zap.String("request", string(a.request.Message.ID)), zap.String("request-key", FormatSuspectKey(a.key)),
		zap.String("route", a.request.Route.Name),
		zap.String("upstream", string(a.pick.Upstream.ID)), zap.String("release", a.pick.Upstream.Release),
		zap.String("resumes-after", a.resumesAfter),
		zap.Int("send", a.sends),
		zap.Int("candidates", a.pick.Candidates),
		zap.Uint64("weights", uint64(a.pick.Weights)),
		zap.Int("shared", a.request.Prompt.declaredTokens()), zap.Int("held", a.pick.CachedTokens),
		zap.String("session", strconv.FormatUint(affinityKey(a.request), 36)), zap.Int("home", a.pick.Home), zap.Duration("wait", a.pick.Wait), zap.Int("importable", a.pick.ImportableTokens), zap.Stringer("import-from", a.pick.ImportFrom),
		zap.Duration("list-age", a.options.Clock.Since(a.options.Catalog.UpstreamsConfirmedAt())),
		zap.Duration("took", a.options.Clock.Since(a.startedAt)),
		zap.String("outcome", string(a.result.Outcome)),
		zap.Strings("parts", a.request.Prompt.loggedParts()),
		zap.Int("status", a.answer.status), zap.Int("events", a.answer.events), zap.Duration("answering", a.answer.age(a.options.Clock.Now())),
		zap.Duration("silent-for", a.answer.silentFor(a.startedAt, a.options.Clock.Now())), zap.Duration("longest-pause", a.answer.longestPause),
		zap.Bool("upstream-ended", a.finding.Verdict == crashes.EndedUnder), zap.String("break", string(a.finding.Verdict)), zap.String("end", a.endName()), zap.Int("doubt", a.finding.Doubt), zap.Int("crashes", a.finding.Crashes),
		zap.Error(a.cause),
	)
}
