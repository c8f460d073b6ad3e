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

// chatRequest is the body of a chat completion as a client writes it.
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

// body builds the request of a line: a message for each level and one for the
// tail, which is different in every request.
func (r *runner) body(line trace.Line) ([]byte, error) {
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
		level.Name += strings.Repeat("~", int(r.shifts.Load()))
		request.Messages = append(request.Messages, completion.Message{Role: role, Content: r.options.Texts.Text(level)})
	}
	tail := trace.Level{Name: fmt.Sprintf("tail-%s-%d", line.Workspace, line.At), Tokens: line.TailTokens}
	request.Messages = append(request.Messages, completion.Message{Role: "user", Content: trace.GenerateText(tail)})
	return json.Marshal(request)
}

// maxReconnects is how often a client comes back after a lost connection.
const maxReconnects = 5

// reconnectPause is how long it waits before that.
const reconnectPause = 50 * time.Millisecond

// reception is what a client has of an answer.
type reception struct {
	text  strings.Builder
	id    comfreyworks.RequestID
	event string
	began time.Time
	last  time.Time
}

// complete streams one completion and checks every token of it. A client that
// loses its connection comes back, at whichever entry the balancer gives it,
// and goes on behind the last event that it got.
func (r *runner) complete(ctx context.Context, first int, sample *Sample) {
	body, err := r.body(sample.Line)
	if err != nil {
		fail(sample, OutcomeFailed, err.Error())
		return
	}
	parsed, err := completion.ParseChat(body)
	if err != nil {
		fail(sample, OutcomeFailed, err.Error())
		return
	}
	held := r.bestHeld(sample.Line, strings.Join(parsed.Parts, ""))
	got := &reception{began: r.options.Clock.Now()}
	for try := range maxReconnects {
		if r.receive(ctx, r.options.Rig.EntryURL(first+try), body, sample, got) {
			break
		}
		sample.Reconnects++
		r.options.Clock.Sleep(reconnectPause)
	}
	if sample.Outcome == OutcomeComplete {
		sample.WastedTokens = max(held-sample.CachedTokens, 0)
	}
}

// receive makes one connection. It returns false if the connection was lost.
func (r *runner) receive(ctx context.Context, url string, body []byte, sample *Sample, got *reception) bool {
	resp, err := r.post(ctx, http.MethodPost, url+"/v1/chat/completions", sample.Line, body, got.event)
	if err != nil {
		fail(sample, OutcomeFailed, err.Error())
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		failWith(sample, resp)
		return true
	}
	return r.readStream(resp.Body, sample, got)
}

// readStream reads to the end of a stream and compares the answer with the one
// that the engine generates for the request. It returns false if the stream
// ended without saying so.
func (r *runner) readStream(body io.Reader, sample *Sample, got *reception) bool {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			fail(sample, OutcomeFailed, err.Error())
			return false
		}
		got.event = event.LastEventID
		if event.Data == "[DONE]" {
			judge(sample, got.id, got.text.String())
			return true
		}
		chunk, problem, err := parseChunk(event.Data)
		if err != nil || problem.Error.Code != "" {
			fail(sample, OutcomeIncomplete, problem.Error.Message)
			return true
		}
		got.id = chunk.ID
		if chunk.Usage != nil {
			sample.PromptTokens = chunk.Usage.PromptTokens
			sample.CachedTokens = chunk.Usage.Details.CachedTokens
		}
		if appendText(&got.text, chunk) > 0 {
			r.measure(sample, got)
		}
	}
	fail(sample, OutcomeFailed, "the stream ended without its end event")
	return false
}

// measure notes the time of a token.
func (r *runner) measure(sample *Sample, got *reception) {
	now := r.options.Clock.Now()
	if got.last.IsZero() {
		sample.TTFT = now.Sub(got.began)
	} else {
		sample.Gaps = append(sample.Gaps, now.Sub(got.last))
	}
	got.last = now
}

func parseChunk(data string) (completion.Answer, completion.Problem, error) {
	var chunk struct {
		completion.Answer
		completion.Problem
	}
	err := json.Unmarshal([]byte(data), &chunk)
	return chunk.Answer, chunk.Problem, err
}

func appendText(text *strings.Builder, chunk completion.Answer) int {
	n := 0
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			text.WriteString(choice.Delta.Content)
			n += len(choice.Delta.Content)
		}
	}
	return n
}

// judge compares an answer that claims to be complete.
func judge(sample *Sample, id comfreyworks.RequestID, text string) {
	var expected strings.Builder
	for i := range sample.Line.OutputTokens {
		expected.WriteString(engine.OutputToken(id, i))
	}
	if text != expected.String() {
		fail(sample, OutcomeWrong, fmt.Sprintf("got %d bytes, expected %d", len(text), expected.Len()))
		return
	}
	sample.Outcome = OutcomeComplete
}

// call makes one call to a plain service. A client that loses its connection
// repeats a call that has a key, or that only reads.
func (r *runner) call(ctx context.Context, first int, sample *Sample) {
	began := r.options.Clock.Now()
	for try := range maxReconnects {
		if r.callOnce(ctx, r.options.Rig.EntryURL(first+try), sample) {
			break
		}
		sample.Reconnects++
		r.options.Clock.Sleep(reconnectPause)
	}
	sample.TTFT = r.options.Clock.Since(began)
}

// callOnce makes one connection. It returns false if the connection was lost.
func (r *runner) callOnce(ctx context.Context, url string, sample *Sample) bool {
	line := sample.Line
	resp, err := r.post(ctx, line.Method, url+"/services/"+string(line.Pool)+line.Path, line, []byte(line.Key), "")
	if err != nil {
		fail(sample, OutcomeFailed, err.Error())
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		failWith(sample, resp)
		return true
	}
	var answer struct {
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || answer.Echo != line.Key {
		fail(sample, OutcomeWrong, "the answer belongs to another call")
		return true
	}
	sample.Outcome = OutcomeComplete
	return true
}

func (r *runner) post(ctx context.Context, method, url string, line trace.Line, body []byte, lastEvent string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.options.Key(string(line.Workspace)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.HeaderClass, string(line.Class))
	if lastEvent != "" {
		req.Header.Set(entry.HeaderLastEventID, lastEvent)
	}
	if line.Key != "" {
		req.Header.Set(upstream.HeaderIdempotencyKey, r.idempotencyKey(line.Key))
	}
	return r.client.Do(req)
}

// idempotencyKey returns the key that a line's name stands for in this run.
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

func fail(sample *Sample, outcome Outcome, detail string) {
	sample.Outcome = outcome
	sample.Detail = detail
}

// failWith reads the outcome out of an answer that is not a success.
func failWith(sample *Sample, resp *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch comfreyworks.RunState(resp.Header.Get(entry.HeaderRun)) {
	case comfreyworks.RunStateNotRun:
		fail(sample, OutcomeRefused, detail)
	case comfreyworks.RunStateUnknown:
		fail(sample, OutcomeUnknown, detail)
	default:
		fail(sample, OutcomeIncomplete, detail)
	}
}
