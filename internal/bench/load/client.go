package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"comfreyworks"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/protocol/completion"
	"comfreyworks/internal/protocol/upstream"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/transport/entry"
)

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model         comfreyworks.Model   `json:"model"`
	Messages      []completion.Message `json:"messages"`
	MaxTokens     int                  `json:"max_tokens"`
	Stream        bool                 `json:"stream"`
	StreamOptions streamOptions        `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatBody builds the request body of a trace line: one message for each prefix
// level and one for the tail, whose text differs between requests. Each
// hot-shift fault adds a "~" to the names of the levels, which changes their text.
func (r *runner) chatBody(line trace.Line) ([]byte, error) {
	request := chatRequest{
		Model:         line.Model,
		MaxTokens:     line.OutputTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	}
	for i, level := range line.Prefix {
		role := "user"
		if i == 0 {
			role = "system"
		}
		level.Name += strings.Repeat("~", int(r.prefixShifts.Load()))
		request.Messages = append(request.Messages, completion.Message{Role: role, Content: r.options.Texts.Text(level)})
	}
	tail := trace.Level{Name: fmt.Sprintf("tail-%s-%d", line.Workspace, line.At), Tokens: line.TailTokens}
	request.Messages = append(request.Messages, completion.Message{Role: "user", Content: trace.GenerateText(tail)})
	return json.Marshal(request)
}

// maxConnections is the maximum number of connections that a client makes for one
// request.
const maxConnections = 5

// reconnectDelay is how long a client waits after a lost connection.
const reconnectDelay = 50 * time.Millisecond

// streamState is the part of an answer that a client has received so far.
type streamState struct {
	text        strings.Builder
	requestID   comfreyworks.RequestID
	lastEventID string
	started     time.Time
	lastToken   time.Time
}

// runCompletion streams one completion and verifies its text. After a lost
// connection the client reconnects to the next entry, as it might through a load
// balancer, and resumes after the last event that it received.
func (r *runner) runCompletion(ctx context.Context, first int, sample *Sample) {
	body, err := r.chatBody(sample.Line)
	if err != nil {
		setOutcome(sample, OutcomeFailed, err.Error())
		return
	}
	parsed, err := completion.ParseChat(body)
	if err != nil {
		setOutcome(sample, OutcomeFailed, err.Error())
		return
	}
	cached := r.maxCachedTokens(sample.Line, strings.Join(parsed.PromptParts, ""))
	state := &streamState{started: r.options.Clock.Now()}
	for attempt := range maxConnections {
		if r.streamOnce(ctx, r.options.Rig.EntryURL(first+attempt), body, sample, state) {
			break
		}
		sample.Reconnects++
		r.options.Clock.Sleep(reconnectDelay)
	}
	if sample.Outcome == OutcomeComplete {
		sample.WastedTokens = max(cached-sample.CachedTokens, 0)
	}
}

// streamOnce streams an answer over one connection. It returns false if the
// connection was lost.
func (r *runner) streamOnce(ctx context.Context, url string, body []byte, sample *Sample, state *streamState) bool {
	resp, err := r.doRequest(ctx, http.MethodPost, url+"/v1/chat/completions", sample.Line, body, state.lastEventID)
	if err != nil {
		setOutcome(sample, OutcomeFailed, err.Error())
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		setOutcomeFromResponse(sample, resp)
		return true
	}
	return r.readStream(resp.Body, sample, state)
}

// readStream reads events until the stream ends, and verifies the answer if it is
// complete. It returns false if the stream was cut off, which means that it
// ended without an end or error event.
func (r *runner) readStream(body io.Reader, sample *Sample, state *streamState) bool {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			setOutcome(sample, OutcomeFailed, err.Error())
			return false
		}
		state.lastEventID = event.LastEventID
		if event.Data == "[DONE]" {
			verifyAnswer(sample, state.requestID, state.text.String())
			return true
		}
		chunk, errorResponse, err := parseChunk(event.Data)
		if err != nil || errorResponse.Error.Code != "" {
			setOutcome(sample, OutcomeIncomplete, errorResponse.Error.Message)
			return true
		}
		state.requestID = chunk.ID
		if chunk.Usage != nil {
			sample.PromptTokens = chunk.Usage.PromptTokens
			sample.CachedTokens = chunk.Usage.Details.CachedTokens
		}
		if appendText(&state.text, chunk) > 0 {
			r.recordTokenTime(sample, state)
		}
	}
	setOutcome(sample, OutcomeFailed, "the stream ended without its end event")
	return false
}

// recordTokenTime records when a token arrived.
func (r *runner) recordTokenTime(sample *Sample, state *streamState) {
	now := r.options.Clock.Now()
	if state.lastToken.IsZero() {
		sample.TTFT = now.Sub(state.started)
	} else {
		sample.Gaps = append(sample.Gaps, now.Sub(state.lastToken))
	}
	state.lastToken = now
}

func parseChunk(data string) (completion.Response, completion.ErrorResponse, error) {
	var chunk struct {
		completion.Response
		completion.ErrorResponse
	}
	err := json.Unmarshal([]byte(data), &chunk)
	return chunk.Response, chunk.ErrorResponse, err
}

func appendText(text *strings.Builder, chunk completion.Response) int {
	n := 0
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			text.WriteString(choice.Delta.Content)
			n += len(choice.Delta.Content)
		}
	}
	return n
}

// verifyAnswer compares an answer that was reported as complete with the text that
// the engine generates for the request.
func verifyAnswer(sample *Sample, id comfreyworks.RequestID, text string) {
	var expected strings.Builder
	for i := range sample.Line.OutputTokens {
		expected.WriteString(engine.OutputToken(id, i))
	}
	if text != expected.String() {
		setOutcome(sample, OutcomeWrong, fmt.Sprintf("got %d bytes, expected %d", len(text), expected.Len()))
		return
	}
	sample.Outcome = OutcomeComplete
}

// runCall makes one call to a plain service. After a lost connection it retries
// the call at the next entry. Calls other than reads are expected to have an
// idempotency key, which makes the retry safe.
func (r *runner) runCall(ctx context.Context, first int, sample *Sample) {
	began := r.options.Clock.Now()
	for attempt := range maxConnections {
		if r.callOnce(ctx, r.options.Rig.EntryURL(first+attempt), sample) {
			break
		}
		sample.Reconnects++
		r.options.Clock.Sleep(reconnectDelay)
	}
	sample.TTFT = r.options.Clock.Since(began)
}

// callOnce makes a call over one connection. It returns false if the connection
// was lost.
func (r *runner) callOnce(ctx context.Context, url string, sample *Sample) bool {
	line := sample.Line
	resp, err := r.doRequest(ctx, line.Method, url+"/services/"+string(line.Pool)+line.Path, line, []byte(line.Key), "")
	if err != nil {
		setOutcome(sample, OutcomeFailed, err.Error())
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		setOutcomeFromResponse(sample, resp)
		return true
	}
	var answer struct {
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || answer.Echo != line.Key {
		setOutcome(sample, OutcomeWrong, "the answer belongs to another call")
		return true
	}
	sample.Outcome = OutcomeComplete
	return true
}

func (r *runner) doRequest(ctx context.Context, method, url string, line trace.Line, body []byte, lastEventID string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.options.Key(string(line.Workspace)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.HeaderClass, string(line.Class))
	if lastEventID != "" {
		req.Header.Set(entry.HeaderLastEventID, lastEventID)
	}
	if line.Key != "" {
		req.Header.Set(upstream.HeaderIdempotencyKey, r.idempotencyKey(line.Key))
	}
	return r.client.Do(req)
}

// idempotencyKey returns the random key that replaces the key of a trace line in
// this run, so that runs of the same trace use different keys.
func (r *runner) idempotencyKey(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	key, ok := r.keys[name]
	if !ok {
		key = uuid.Must(uuid.NewV7()).String()
		r.keys[name] = key
	}
	return key
}

func setOutcome(sample *Sample, outcome Outcome, detail string) {
	sample.Outcome = outcome
	sample.Detail = detail
}

// setOutcomeFromResponse sets the outcome from an error response.
func setOutcomeFromResponse(sample *Sample, resp *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch comfreyworks.RunState(resp.Header.Get(entry.HeaderRun)) {
	case comfreyworks.RunStateNotRun:
		setOutcome(sample, OutcomeRefused, detail)
	case comfreyworks.RunStateUnknown:
		setOutcome(sample, OutcomeUnknown, detail)
	default:
		setOutcome(sample, OutcomeIncomplete, detail)
	}
}
