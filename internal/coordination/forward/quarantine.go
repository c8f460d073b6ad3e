package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/state/crashes"
)

const (
	// soundAnswerTime is how long an answer goes on after its first event when it clears the
	// suspects of the request.
	soundAnswerTime = crashes.SoundAnswerTime
	// maxCrashesToRetry is the number of upstreams that may end under a request which is
	// still sent again.
	maxCrashesToRetry = 1
	// maxPartSuspects limits the parts of one prompt that are looked at.
	maxPartSuspects = 64
	// retryAfterSuspected is the Retry-After time while what is under quarantine may still
	// turn out to be sound: an answer that takes no longer clears it.
	retryAfterSuspected = time.Second
	// reasonQuarantine follows the kind of what a request was not sent because of.
	reasonQuarantine = " under quarantine"
)

// PartKey returns the key of a part of a workspace's prompts in the log of crashes.
func PartKey(workspace *comfreyworks.WorkspaceKeys, part string) uint32 {
	return crashes.Key(workspaceGroup(workspace), part)
}

// requestKey returns the key of a whole request in the log of crashes.
func requestKey(request *Request) uint32 {
	var workspace string
	if request.Workspace != nil {
		workspace = string(request.Workspace.Name)
	}
	m := request.Message
	fields := []string{workspace, m.Method, m.Host, m.Target, string(request.Prompt.Model)}
	for _, part := range sharedParts(request) {
		fields = append(fields, part.ID)
	}
	return crashes.RequestKey(m.Body, fields...)
}

// sharedParts returns the parts of a prompt that other prompts may have. The last one is
// specific to the request or to one conversation.
func sharedParts(request *Request) []comfreyworks.PromptPart {
	parts := request.Prompt.Parts
	return parts[:max(0, min(len(parts)-1, maxPartSuspects))]
}

// FormatSuspectKey returns a key as it is written in logs and lists.
func FormatSuspectKey(key uint32) string { return fmt.Sprintf("%08x", key) }

// FormatEnds returns the ends that a suspect is blamed for as they are written in logs.
func FormatEnds(ends []uint32) []string {
	texts := make([]string, len(ends))
	for i, end := range ends {
		texts[i] = FormatSuspectKey(end)
	}
	return texts
}

// suspects returns the keys of what may crash upstreams in a request: the whole request
// with the given key and the shared parts of its prompt.
func suspects(request *Request, key uint32) []uint32 {
	keys := []uint32{key}
	for _, part := range sharedParts(request) {
		keys = append(keys, PartKey(request.Workspace, part.ID))
	}
	return keys
}

// partOf returns the ID of the part of a request with the given key.
func partOf(request *Request, key uint32) string {
	for _, part := range request.Prompt.Parts {
		if PartKey(request.Workspace, part.ID) == key {
			return part.ID
		}
	}
	return ""
}

// quarantined returns the outcome of a request that must not be sent because of what it
// has in common with crashed ones, and whether this is so.
func (r *activeRequest) quarantined() (Outcome, bool) {
	check := r.options.Crashes.Blamed
	if !r.counted {
		check, r.counted = r.options.Crashes.Admit, true
	}
	key, blamed := check(r.suspects)
	if !blamed {
		return Outcome{}, false
	}
	outcome := Outcome{
		Verdict: Quarantined, Reason: string(crashes.KindOf(key)) + reasonQuarantine, Suspect: key, Part: partOf(r.request, key),
	}
	switch {
	case r.headerWritten:
		outcome.Verdict = Broken
	case len(r.runs) > 0:
		outcome.Verdict = Failed
	case r.options.Crashes.Provisional(key):
		outcome.RetryAfter = retryAfterSuspected
	}
	return outcome, true
}

// recordBreak records what is known of an exchange that was lost because the upstream
// ended its connection.
func (a *attempt) recordBreak(ctx context.Context, err error) {
	if context.Cause(ctx) != nil || !isBrokenConnection(err) {
		return
	}
	now := a.options.Clock.Now()
	a.broke = &crashes.Evidence{
		Took: now.Sub(a.startedAt), Answering: a.answer.age(now), Began: a.answer.status != 0 || !a.answer.beganAt.IsZero(),
		Reset: errors.Is(err, syscall.ECONNRESET),
	}
	var failure *comfreyworks.ExchangeError
	if errors.As(err, &failure) {
		a.broke.Reused = failure.Reused
	}
}

// isBrokenConnection reports whether an exchange failed because the other side closed
// or reset the connection.
func isBrokenConnection(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return !errors.Is(err, comfreyworks.ErrCutOff)
		}
	}
	return false
}

// eventArrived records an event, and clears the suspects once the answer has gone on for
// soundAnswerTime.
func (a *attempt) eventArrived() {
	now := a.options.Clock.Now()
	if a.answer.events == 0 {
		a.withdrawal.stop()
	}
	if a.answer.events == 0 && a.trial != nil {
		a.trial.Heard()
	}
	a.answer.addEvent(now)
	a.observePace(now)
	if a.answer.age(now) >= soundAnswerTime {
		a.clearSuspects()
	}
}

// answerComplete clears the suspects unless the answer is an error.
func (a *attempt) answerComplete(status int) {
	if status < http.StatusMultipleChoices {
		a.clearSuspects()
	}
}

// beginTrial records that the request is sent.
func (a *attempt) beginTrial() {
	a.trial = a.options.Crashes.Begin(a.suspects).On(a.pick.Upstream.ID, a.pick.Upstream.Started)
}

// endTrial records whether the upstream ended under the request.
func (a *attempt) endTrial() {
	if a.trial == nil {
		// The request was not sent.
		return
	}
	if a.broke != nil {
		a.judgeBreak()
	}
	a.trial.Done()
}

// judgeBreak records whether the request ended its upstream.
func (a *attempt) judgeBreak() {
	a.finding = a.trial.Broke(*a.broke)
	if a.finding.Verdict != crashes.EndedUnder {
		return
	}
	a.crashed++
	a.suspected = a.finding.Suspected || a.crashed > maxCrashesToRetry
	key, blamed := a.options.Crashes.Blamed(a.suspects)
	if blamed {
		a.options.Logger.Warn(string(crashes.KindOf(key))+" put under quarantine", a.suspectFields(key)...)
	}
	if a.suspected {
		a.logSuspects()
	}
}

// logSuspects names the ends that the suspects of a request which is not sent again are
// blamed for.
func (a *attempt) logSuspects() {
	for _, key := range a.suspects {
		if ends := a.options.Crashes.Ends(key); len(ends) > maxCrashesToRetry {
			a.options.Logger.Info("request suspected", a.suspectFields(key)...)
		}
	}
}

func (a *attempt) clearSuspects() {
	if a.cleared {
		return
	}
	a.cleared = true
	key, blamed := a.options.Crashes.Blamed(a.suspects)
	a.trial.Answered()
	if blamed {
		a.options.Logger.Info(string(crashes.KindOf(key))+" cleared", a.suspectFields(key)...)
	}
}

// suspectFields returns the fields of a log line about the whole request or a part of
// its prompt.
func (a *attempt) suspectFields(key uint32) []zap.Field {
	return []zap.Field{
		zap.String("part", partOf(a.request, key)), zap.String("key", FormatSuspectKey(key)), zap.Int("crashes", a.finding.Crashes),
		zap.String("request", string(a.request.Message.ID)),
		zap.String("upstream", string(a.pick.Upstream.ID)),
		zap.Strings("ends", FormatEnds(a.options.Crashes.Ends(key))),
	}
}
