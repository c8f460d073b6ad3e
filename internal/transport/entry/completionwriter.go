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

// doneData is the data of the last event of a complete stream. A stream that
// ends without it was cut off.
const doneData = "[DONE]"

// completionWriter writes one completion to its caller, as a stream of events or
// as a single JSON body.
type completionWriter struct {
	entry   *Entry
	w       http.ResponseWriter
	request *completion.Request
	caller  caller
	id      comfreyworks.RequestID
	created time.Time
	start   time.Time

	// tokens is the number of answer tokens that the caller has, including those
	// before a resumption.
	tokens int
	// origin is the stream that the last tokens came from.
	origin dispatch.StreamOrigin
	// lastAt is when the last tokens arrived; zero before the first ones.
	lastAt time.Time
	// text buffers the answer if it is not streamed.
	text          strings.Builder
	headerWritten bool
}

// writeTokens sends the next tokens, or buffers them if the answer is not streamed.
func (c *completionWriter) writeTokens(batch dispatch.TokenBatch) error {
	c.recordTokens(len(batch.Frames))
	c.origin = batch.Origin
	text := strings.Join(batch.Frames, "")
	if !c.request.Stream {
		c.text.WriteString(text)
		return nil
	}
	return c.writeEvent(c.request.Chunk(c.id, c.created, text))
}

// recordTokens counts tokens and records the time to the first token or the time
// between tokens.
func (c *completionWriter) recordTokens(tokens int) {
	now := c.entry.options.Clock.Now()
	m := c.entry.options.Meter
	if c.lastAt.IsZero() {
		m.Observe("comfrey_ttft_seconds", c.caller.labels(), now.Sub(c.start))
	} else {
		m.Observe("comfrey_time_between_tokens_seconds", c.caller.labels(), now.Sub(c.lastAt)/time.Duration(tokens))
	}
	c.tokens += tokens
	c.lastAt = now
}

// writeEvent sends an event with the JSON encoding of v.
func (c *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.writeEventData(string(data))
}

// writeEventData sends an event with the given data, after the response header if
// it is the first one. The ID of the event identifies the position in the answer
// from which another request can resume it.
func (c *completionWriter) writeEventData(data string) error {
	if !c.headerWritten {
		c.headerWritten = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
		c.w.WriteHeader(http.StatusOK)
	}
	message := sse.Message{ID: sse.ID(eventID(c.id, c.origin, c.tokens))}
	message.AppendData(data)
	if _, err := message.WriteTo(c.w); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// finish ends the response. If err is set, it sends an error response, or an error
// event if the stream has begun. A caller that seems to have disconnected may have closed only
// its sending side.
func (c *completionWriter) finish(result dispatch.Result, err error) {
	switch {
	case err != nil && c.entry.isKilled():
		// As when a process ends: the caller may take a stream up at another entry.
		panic(http.ErrAbortHandler)
	case err != nil && c.headerWritten:
		_ = c.writeEvent(errorFromDispatch(err).body())
	case err != nil:
		writeError(c.w, errorFromDispatch(err))
	case !c.request.Stream:
		writeJSON(c.w, http.StatusOK, c.request.Response(c.id, c.created, c.text.String(), result.Usage))
	default:
		c.finishStream(result)
	}
}

func (c *completionWriter) finishStream(result dispatch.Result) {
	err := c.writeEvent(c.request.FinalChunk(c.id, c.created))
	if c.request.IncludeUsage {
		err = errors.Join(err, c.writeEvent(c.request.UsageChunk(c.id, c.created, result.Usage)))
	}
	if err == nil {
		_ = c.writeEventData(doneData)
	}
}

// errorFromDispatch returns the error response for an error of the dispatcher.
func errorFromDispatch(err error) apiError {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return refusedError(refused.Refusal)
	}
	var failure *dispatch.Error
	if errors.As(err, &failure) && failure.Kind == dispatch.KindGivenUp && !errors.Is(err, errStopping) && !errors.Is(err, context.Canceled) {
		return deadlineError()
	}
	return incompleteError()
}
