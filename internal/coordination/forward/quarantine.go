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
	// soundAnswerTime is how long an answer goes on after its first event when no part
	// of its prompt counts as the cause if the engine ends.
	soundAnswerTime = 500 * time.Millisecond
	// maxCrashesToRetry is the number of crashes of a part of its prompt, or of engines
	// under it, with which a request is still sent again.
	maxCrashesToRetry = 1
	// maxSuspects limits the parts of one prompt that are looked at.
	maxSuspects = 64
	// retryAfterSuspected is the Retry-After time while a part under quarantine may still
	// turn out to be sound: an answer that takes no longer clears it.
	retryAfterSuspected = time.Second
	// reasonQuarantine is the reason of requests that are not sent because of a part.
	reasonQuarantine = "prompt part under quarantine"
)

// PartKey returns the key of a part of a workspace's prompts in the log of crashes.
func PartKey(workspace *comfreyworks.WorkspaceKeys, part string) uint32 {
	return crashes.Key(cacheScope(workspace), part)
}

// requestKey returns the key of a whole request in the log of crashes.
func requestKey(request *Request) uint32 {
	var workspace string
	if request.Workspace != nil {
		workspace = string(request.Workspace.Name)
	}
	m := request.Message
	return crashes.RequestKey(workspace, m.Method, m.Host, m.Target, m.Body)
}

// FormatPartKey returns a key as it is written in logs and lists.
func FormatPartKey(key uint32) string { return fmt.Sprintf("%08x", key) }

// suspects returns the keys of the parts of a prompt that may crash engines. The last
// part is left out: it is specific to the request or to one conversation.
func suspects(request *Request) []uint32 {
	parts := request.Prompt.Parts
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, maxSuspects)]
	keys := make([]uint32, len(parts))
	for i, part := range parts {
		keys[i] = PartKey(request.Workspace, part.ID)
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

// quarantined returns the outcome of a request that must not be sent because of a part
// of its prompt, and whether this is so.
func (r *activeRequest) quarantined() (Outcome, bool) {
	key, blamed := r.options.Crashes.Blamed(r.suspects)
	if !blamed {
		return Outcome{}, false
	}
	outcome := Outcome{Verdict: Quarantined, Reason: reasonQuarantine, Part: partOf(r.request, key)}
	switch {
	case r.headerWritten:
		outcome.Verdict = Broken
	case r.runs > 0:
		outcome.Verdict = Failed
	case r.options.Crashes.Provisional(key):
		outcome.RetryAfter = retryAfterSuspected
	}
	return outcome, true
}

// recordBreak records whether an exchange was lost because the engine ended under it.
func (a *attempt) recordBreak(ctx context.Context, err error) {
	a.engineEnded = context.Cause(ctx) == nil && isBrokenConnection(err) && a.answer.age(a.options.Clock.Now()) < soundAnswerTime
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

// eventArrived records an event, and clears the parts of the prompt once the answer has
// gone on for soundAnswerTime.
func (a *attempt) eventArrived() {
	now := a.options.Clock.Now()
	a.answer.addEvent(now)
	if a.answer.age(now) >= soundAnswerTime {
		a.clearParts()
	}
}

// answerComplete clears the parts of the prompt unless the answer is an error.
func (a *attempt) answerComplete(status int) {
	if status < http.StatusMultipleChoices {
		a.clearParts()
	}
}

// beginTrial records that a request with the parts of the prompt is sent.
func (a *attempt) beginTrial() { a.trial = a.options.Crashes.Begin(a.suspects) }

// endTrial records whether the engine ended under the parts of the prompt.
func (a *attempt) endTrial() {
	if a.trial == nil {
		// The request was not sent.
		return
	}
	if a.engineEnded && len(a.suspects) > 0 {
		a.blameParts()
	}
	a.trial.Done()
}

func (a *attempt) blameParts() {
	a.crashes = a.trial.EngineEnded()
	a.crashed++
	a.suspected = max(a.crashes, a.crashed) > maxCrashesToRetry
	if key, blamed := a.options.Crashes.Blamed(a.suspects); blamed {
		a.options.Logger.Warn("prompt part put under quarantine", a.partFields(key)...)
	}
}

func (a *attempt) clearParts() {
	if a.cleared {
		return
	}
	a.cleared = true
	key, blamed := a.options.Crashes.Blamed(a.suspects)
	a.trial.Answered()
	if blamed {
		a.options.Logger.Info("prompt part cleared", a.partFields(key)...)
	}
}

// partFields returns the fields of a log line about a part of the prompt.
func (a *attempt) partFields(key uint32) []zap.Field {
	return []zap.Field{
		zap.String("part", partOf(a.request, key)), zap.String("key", FormatPartKey(key)), zap.Int("crashes", a.crashes),
		zap.String("request", string(a.request.Message.ID)),
		zap.String("upstream", string(a.pick.Upstream.ID)),
	}
}
