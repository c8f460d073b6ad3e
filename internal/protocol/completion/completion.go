// Package completion holds the OpenAI-compatible messages that callers
// exchange with an entry.
//
// # Usage
//
//	call, err := completion.ParseChat(body)
//	chunk := call.Chunk(id, created, text)
//
// Parse functions fail with KindMalformed for bodies that are not JSON of the
// expected form, and with KindInvalid, naming the field, for values that make
// no sense.
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
	KindMalformed Kind = "malformed body"
	KindInvalid   Kind = "invalid value"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// DefaultMaxTokens is the length of an answer when the caller names none.
	DefaultMaxTokens = 256
	// MaxMaxTokens is the longest answer that a caller may ask for.
	MaxMaxTokens = 16384
)

// Call is a parsed request of either form.
type Call struct {
	Model comfreyworks.Model
	// Parts are the prompt's messages as text, in order.
	Parts     []string
	MaxTokens int
	Stream    bool
	// ShowUsage asks for a last chunk with the usage.
	ShowUsage bool
	chat      bool
}

// options are the fields that both forms share.
type options struct {
	Model         comfreyworks.Model `json:"model"`
	MaxTokens     *int               `json:"max_tokens"`
	MaxCompletion *int               `json:"max_completion_tokens"`
	N             *int               `json:"n"`
	Stream        bool               `json:"stream"`
	StreamOptions struct {
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

// ParseChat parses the body of a chat completion.
func ParseChat(body []byte) (*Call, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, malformed(err)
	}
	call, err := parsed.call()
	if err != nil {
		return nil, err
	}
	call.chat = true
	if len(parsed.Messages) == 0 {
		return nil, invalid("messages", "expected at least one message")
	}
	for i, m := range parsed.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return nil, invalid(fmt.Sprintf("messages[%d].content", i), err.Error())
		}
		if m.Role == "" {
			return nil, invalid(fmt.Sprintf("messages[%d].role", i), "expected a role")
		}
		call.Parts = append(call.Parts, "<|"+m.Role+"|>"+text)
	}
	return call, nil
}

// ParseText parses the body of a plain completion.
func ParseText(body []byte) (*Call, error) {
	var parsed textBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, malformed(err)
	}
	call, err := parsed.call()
	if err != nil {
		return nil, err
	}
	var prompt string
	if err := json.Unmarshal(parsed.Prompt, &prompt); err != nil || prompt == "" {
		return nil, invalid("prompt", "expected a text")
	}
	call.Parts = []string{prompt}
	return call, nil
}

func (o *options) call() (*Call, error) {
	maxTokens := DefaultMaxTokens
	switch {
	case o.MaxCompletion != nil:
		maxTokens = *o.MaxCompletion
	case o.MaxTokens != nil:
		maxTokens = *o.MaxTokens
	}
	if maxTokens < 1 || maxTokens > MaxMaxTokens {
		return nil, invalid("max_tokens", fmt.Sprintf("expected 1 to %d", MaxMaxTokens))
	}
	if o.Model == "" {
		return nil, invalid("model", "expected the name of a model")
	}
	if o.N != nil && *o.N != 1 {
		return nil, invalid("n", "expected 1")
	}
	return &Call{
		Model:     o.Model,
		MaxTokens: maxTokens,
		Stream:    o.Stream,
		ShowUsage: o.StreamOptions.IncludeUsage,
	}, nil
}

// contentText reads a message's content: a text, or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
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

func malformed(err error) error { return &Error{Op: "parse", Kind: KindMalformed, Err: err} }

func invalid(field, message string) error {
	return &Error{Op: "parse", Kind: KindInvalid, Err: fmt.Errorf("%s: %s", field, message)}
}

// Answer is a whole answer, or one chunk of a streamed one.
type Answer struct {
	ID      comfreyworks.RequestID `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   comfreyworks.Model     `json:"model"`
	Choices []Choice               `json:"choices"`
	Usage   *Usage                 `json:"usage,omitempty"`
}

// Choice carries text: Text for a plain completion, Message for a chat, Delta
// for a chunk of a chat.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails splits the prompt tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Whole returns a whole answer.
func (c *Call) Whole(id comfreyworks.RequestID, created time.Time, text string, usage comfreyworks.Usage) Answer {
	choice := Choice{FinishReason: new("length")}
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return Answer{
		ID: id, Object: object, Created: created.Unix(), Model: c.Model,
		Choices: []Choice{choice}, Usage: usageOf(usage),
	}
}

// Chunk returns one chunk of a streamed answer.
func (c *Call) Chunk(id comfreyworks.RequestID, created time.Time, text string) Answer {
	return c.chunk(id, created, []Choice{c.delta(text, nil)})
}

// Last returns the chunk that ends the text.
func (c *Call) Last(id comfreyworks.RequestID, created time.Time) Answer {
	return c.chunk(id, created, []Choice{c.delta("", new("length"))})
}

// UsageChunk returns the chunk that carries the usage.
func (c *Call) UsageChunk(id comfreyworks.RequestID, created time.Time, usage comfreyworks.Usage) Answer {
	chunk := c.chunk(id, created, []Choice{})
	chunk.Usage = usageOf(usage)
	return chunk
}

func (c *Call) chunk(id comfreyworks.RequestID, created time.Time, choices []Choice) Answer {
	object := "text_completion"
	if c.chat {
		object = "chat.completion.chunk"
	}
	return Answer{ID: id, Object: object, Created: created.Unix(), Model: c.Model, Choices: choices}
}

func (c *Call) delta(text string, finish *string) Choice {
	if c.chat {
		return Choice{Delta: &Message{Content: text}, FinishReason: finish}
	}
	return Choice{Text: &text, FinishReason: finish}
}

func usageOf(usage comfreyworks.Usage) *Usage {
	return &Usage{
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		TotalTokens:      usage.PromptTokens + usage.CompletionTokens,
		Details:          PromptDetails{CachedTokens: usage.CachedTokens},
	}
}

// Model is one entry of the list of models.
type Model struct {
	ID      comfreyworks.Model `json:"id"`
	Object  string             `json:"object"`
	OwnedBy string             `json:"owned_by"`
}

// ModelList is the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Problem is the body of an error.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail describes an error: Type is its family, Code is precise.
type ProblemDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}
