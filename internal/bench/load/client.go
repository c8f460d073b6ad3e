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
		request.Messages = append(request.Messages, completion.Message{Role: role, Content: r.options.Texts.Of(level)})
	}
	tail := trace.Level{Name: fmt.Sprintf("tail-%s-%d", line.Workspace, line.At), Tokens: line.TailTokens}
	request.Messages = append(request.Messages, completion.Message{Role: "user", Content: trace.Generated(tail)})
	return json.Marshal(request)
}

// complete streams one completion and checks every token of it.
func (r *runner) complete(ctx context.Context, url string, sample *Sample) {
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
	began := r.options.Clock.Now()
	resp, err := r.post(ctx, http.MethodPost, url+"/v1/chat/completions", sample.Line, body)
	if err != nil {
		fail(sample, OutcomeFailed, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		failWith(sample, resp)
		return
	}
	r.readStream(resp.Body, began, sample)
	sample.WastedTokens = max(held-sample.CachedTokens, 0)
	if sample.Outcome != OutcomeComplete {
		sample.WastedTokens = 0
	}
}

// readStream reads to the end of a stream and compares it with the answer that
// the engine generates for the request.
func (r *runner) readStream(body io.Reader, began time.Time, sample *Sample) {
	var text strings.Builder
	var id comfreyworks.RequestID
	last := began
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			fail(sample, OutcomeFailed, err.Error())
			return
		}
		if event.Data == "[DONE]" {
			judge(sample, id, text.String())
			return
		}
		chunk, problem, err := parseChunk(event.Data)
		if err != nil || problem.Error.Code != "" {
			fail(sample, OutcomeIncomplete, problem.Error.Message)
			return
		}
		id = chunk.ID
		if chunk.Usage != nil {
			sample.PromptTokens = chunk.Usage.PromptTokens
			sample.CachedTokens = chunk.Usage.Details.CachedTokens
		}
		if n := appendText(&text, chunk); n > 0 {
			now := r.options.Clock.Now()
			if last.Equal(began) {
				sample.TTFT = now.Sub(began)
			} else {
				sample.Gaps = append(sample.Gaps, now.Sub(last))
			}
			last = now
		}
	}
	fail(sample, OutcomeFailed, "the stream ended without its end event")
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

// call makes one call to a plain service.
func (r *runner) call(ctx context.Context, url string, sample *Sample) {
	line := sample.Line
	began := r.options.Clock.Now()
	resp, err := r.post(ctx, line.Method, url+"/services/"+string(line.Pool)+line.Path, line, []byte(line.Key))
	if err != nil {
		fail(sample, OutcomeFailed, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	sample.TTFT = r.options.Clock.Since(began)
	if resp.StatusCode != http.StatusOK {
		failWith(sample, resp)
		return
	}
	var answer struct {
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || answer.Echo != line.Key {
		fail(sample, OutcomeWrong, "the answer belongs to another call")
		return
	}
	sample.Outcome = OutcomeComplete
}

func (r *runner) post(ctx context.Context, method, url string, line trace.Line, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.options.Key(string(line.Workspace)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.HeaderClass, string(line.Class))
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
	case comfreyworks.NotRun:
		fail(sample, OutcomeRefused, detail)
	case comfreyworks.RunUnknown:
		fail(sample, OutcomeUnknown, detail)
	default:
		fail(sample, OutcomeIncomplete, detail)
	}
}
