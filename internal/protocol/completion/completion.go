// Package completion parses the OpenAI-compatible requests that callers send to an
// entry and builds the responses.
//
// # Usage
//
//	request, err := completion.ParseChat(body)
//	chunk := request.Chunk(id, created, text)
//
// The Parse functions return an error of KindMalformed if the body is not JSON
// with the expected types, and of KindInvalid, with the name of the field, if a
// value is missing or not supported.
package completion

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindMalformed means that the body is not JSON with the expected types.
	KindMalformed Kind = "malformed body"
	// KindInvalid means that a value is missing or not supported.
	KindInvalid Kind = "invalid value"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// DefaultMaxTokens is the maximum length of an answer, in tokens, if the request
	// sets none.
	DefaultMaxTokens = 256
	// MaxTokensLimit is the highest maximum length, in tokens, that a request may
	// set.
	MaxTokensLimit = 16384
)

// Request is a parsed request for a chat completion or a text completion.
type Request struct {
	Model comfreyworks.Model
	// PromptParts are the parts of the prompt in order: one for each message of a
	// chat, or the whole prompt of a text completion.
	PromptParts []string
	MaxTokens   int
	Stream      bool
	// IncludeUsage asks for a chunk with the token counts at the end of a stream.
	IncludeUsage bool
	chat         bool
}

// options are the fields of both kinds of requests. Its name and those of the
// other request types are part of the errors of encoding/json, which callers
// receive.
type options struct {
	Model               comfreyworks.Model `json:"model"`
	MaxTokens           *int               `json:"max_tokens"`
	MaxCompletionTokens *int               `json:"max_completion_tokens"`
	N                   *int               `json:"n"`
	Stream              bool               `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatBody struct {
	options
	Messages []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type textBody struct {
	options
	Prompt json.RawMessage `json:"prompt"`
}

// ParseChat parses the body of a chat completion request.
func ParseChat(body []byte) (*Request, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, malformedError(err)
	}
	request, err := parsed.toRequest()
	if err != nil {
		return nil, err
	}
	request.chat = true
	if len(parsed.Messages) == 0 {
		return nil, invalidError("messages", "expected at least one message")
	}
	for i, m := range parsed.Messages {
		text, err := parseContent(m.Content)
		if err != nil {
			return nil, invalidError(fmt.Sprintf("messages[%d].content", i), err.Error())
		}
		if m.Role == "" {
			return nil, invalidError(fmt.Sprintf("messages[%d].role", i), "expected a role")
		}
		request.PromptParts = append(request.PromptParts, "<|"+m.Role+"|>"+text)
	}
	return request, nil
}

// ParseText parses the body of a text completion request.
func ParseText(body []byte) (*Request, error) {
	var parsed textBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, malformedError(err)
	}
	request, err := parsed.toRequest()
	if err != nil {
		return nil, err
	}
	var prompt string
	if err := json.Unmarshal(parsed.Prompt, &prompt); err != nil || prompt == "" {
		return nil, invalidError("prompt", "expected a text")
	}
	request.PromptParts = []string{prompt}
	return request, nil
}

func (o *options) toRequest() (*Request, error) {
	maxTokens := DefaultMaxTokens
	switch {
	case o.MaxCompletionTokens != nil:
		maxTokens = *o.MaxCompletionTokens
	case o.MaxTokens != nil:
		maxTokens = *o.MaxTokens
	}
	if maxTokens < 1 || maxTokens > MaxTokensLimit {
		return nil, invalidError("max_tokens", fmt.Sprintf("expected 1 to %d", MaxTokensLimit))
	}
	if o.Model == "" {
		return nil, invalidError("model", "expected the name of a model")
	}
	if o.N != nil && *o.N != 1 {
		return nil, invalidError("n", "expected 1")
	}
	return &Request{
		Model:        o.Model,
		MaxTokens:    maxTokens,
		Stream:       o.Stream,
		IncludeUsage: o.StreamOptions.IncludeUsage,
	}, nil
}

// parseContent returns the text of a message's content, which is a string or a
// list of text parts.
func parseContent(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("expected a text or a list of text parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("found a part of type %q, expected text", part.Type)
		}
		text += part.Text
	}
	return text, nil
}

func malformedError(err error) error { return &Error{Op: "parse", Kind: KindMalformed, Err: err} }

func invalidError(field, message string) error {
	return &Error{Op: "parse", Kind: KindInvalid, Err: fmt.Errorf("%s: %s", field, message)}
}

// Response is the body of a response, or one chunk of a streamed response.
type Response struct {
	ID      comfreyworks.RequestID `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   comfreyworks.Model     `json:"model"`
	Choices []Choice               `json:"choices"`
	Usage   *Usage                 `json:"usage,omitempty"`
}

// Choice holds generated text: in Text for a text completion, in Message for a
// chat completion and in Delta for a chunk of a chat completion.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a generated message of a chat, or a part of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how many of the prompt tokens were cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Response returns the body of a response that is not streamed.
func (r *Request) Response(id comfreyworks.RequestID, created time.Time, text string, usage comfreyworks.Usage) Response {
	choice := Choice{FinishReason: new("length")}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return Response{
		ID: id, Object: object, Created: created.Unix(), Model: r.Model,
		Choices: []Choice{choice}, Usage: newUsage(usage),
	}
}

// Chunk returns a chunk with the next part of a streamed answer.
func (r *Request) Chunk(id comfreyworks.RequestID, created time.Time, text string) Response {
	return r.chunk(id, created, []Choice{r.chunkChoice(text, nil)})
}

// FinalChunk returns the chunk with the finish reason, which follows the text.
func (r *Request) FinalChunk(id comfreyworks.RequestID, created time.Time) Response {
	return r.chunk(id, created, []Choice{r.chunkChoice("", new("length"))})
}

// UsageChunk returns the chunk with the token counts.
func (r *Request) UsageChunk(id comfreyworks.RequestID, created time.Time, usage comfreyworks.Usage) Response {
	chunk := r.chunk(id, created, []Choice{})
	chunk.Usage = newUsage(usage)
	return chunk
}

func (r *Request) chunk(id comfreyworks.RequestID, created time.Time, choices []Choice) Response {
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
	}
	return Response{ID: id, Object: object, Created: created.Unix(), Model: r.Model, Choices: choices}
}

func (r *Request) chunkChoice(text string, finish *string) Choice {
	if r.chat {
		return Choice{Delta: &Message{Content: text}, FinishReason: finish}
	}
	return Choice{Text: &text, FinishReason: finish}
}

func newUsage(counts comfreyworks.Usage) *Usage {
	return &Usage{
		PromptTokens:     counts.PromptTokens,
		CompletionTokens: counts.CompletionTokens,
		TotalTokens:      counts.PromptTokens + counts.CompletionTokens,
		Details:          PromptDetails{CachedTokens: counts.CachedTokens},
	}
}

// Model is one element of a ModelList.
type Model struct {
	ID      comfreyworks.Model `json:"id"`
	Object  string             `json:"object"`
	OwnedBy string             `json:"owned_by"`
}

// ModelList is the body of the response that lists the models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Type is its general category, Code its
// specific cause.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}
