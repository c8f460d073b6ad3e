package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"comfreyworks"
	"comfreyworks/internal/coordination/dispatch"
	"comfreyworks/internal/protocol/completion"
)

// streamEnd is the data of the event that ends a complete stream. A stream
// without it is not complete.
const streamEnd = "[DONE]"

// answer writes one completion to its caller, streamed or whole.
type answer struct {
	entry   *Entry
	w       http.ResponseWriter
	call    *completion.Call
	caller  caller
	id      comfreyworks.RequestID
	created time.Time
	start   time.Time

	tokens  int
	place   dispatch.Place
	last    time.Time
	text    strings.Builder
	started bool
}

// emit takes the next tokens.
func (a *answer) emit(delivery dispatch.Delivery) error {
	a.measure(len(delivery.Frames))
	a.place = delivery.Place
	text := strings.Join(delivery.Frames, "")
	if !a.call.Stream {
		a.text.WriteString(text)
		return nil
	}
	return a.event(a.call.Chunk(a.id, a.created, text))
}

// measure records the time to the first token and the time between tokens.
func (a *answer) measure(tokens int) {
	now := a.entry.options.Clock.Now()
	m := a.entry.options.Meter
	if a.last.IsZero() {
		m.Observe("comfrey_ttft_seconds", a.caller.labels(), now.Sub(a.start))
	} else {
		m.Observe("comfrey_time_between_tokens_seconds", a.caller.labels(), now.Sub(a.last)/time.Duration(tokens))
	}
	a.tokens += tokens
	a.last = now
}

// event sends one event. Its identifier is the place in the answer behind it.
func (a *answer) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.raw(string(data))
}

func (a *answer) raw(data string) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	message := sse.Message{ID: sse.ID(eventID(a.id, a.place, a.tokens))}
	message.AppendData(data)
	if _, err := message.WriteTo(a.w); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// end finishes the answer, or tells the caller what went wrong.
func (a *answer) end(callerCtx context.Context, result dispatch.Result, err error) {
	switch {
	case err != nil && callerCtx.Err() != nil:
		// The caller has left.
	case err != nil && a.started:
		_ = a.event(dispatchProblem(err).body())
	case err != nil:
		writeProblem(a.w, dispatchProblem(err))
	case !a.call.Stream:
		writeJSON(a.w, http.StatusOK, a.call.Whole(a.id, a.created, a.text.String(), result.Usage))
	default:
		a.endStream(result)
	}
}

func (a *answer) endStream(result dispatch.Result) {
	err := a.event(a.call.Last(a.id, a.created))
	if a.call.ShowUsage {
		err = errors.Join(err, a.event(a.call.UsageChunk(a.id, a.created, result.Usage)))
	}
	if err == nil {
		_ = a.raw(streamEnd)
	}
}

func dispatchProblem(err error) problem {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return problemRefused(refused.Refusal)
	}
	var failure *dispatch.Error
	if errors.As(err, &failure) && failure.Kind == dispatch.KindGivenUp {
		return problemDeadline()
	}
	return problemIncomplete()
}
