package front

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/prefix"
)

const (
	// defaultOutputTokens is the limit of an answer whose request sets none.
	defaultOutputTokens = 256
	// maxOutputTokens is the highest limit of an answer that a request may set.
	maxOutputTokens = 128 << 10
	// maxMessages bounds the messages of a chat.
	maxMessages = 4096
)

// completionRequest holds the fields of a completion request that the router
// reads.
type completionRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              *string   `json:"prompt"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	N                   *int      `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// decode sets the fields of r that its body determines.
func decode(r chain.Request, kind chain.Kind) (chain.Request, error) {
	r.Kind = kind
	r.Idempotent = true
	if !utf8.Valid(r.Body) {
		return r, fault.New(fault.Invalid, "the body is no UTF-8: send JSON in UTF-8")
	}
	var c completionRequest
	if err := json.Unmarshal(r.Body, &c); err != nil {
		return r, fault.New(fault.Invalid, "the body is no completion call (%v): correct the JSON", err)
	}
	if err := c.validate(kind); err != nil {
		return r, err
	}
	r.Model = c.Model
	r.Stream = c.Stream
	r.Prompt = c.prompt(kind)
	r.Tokens = prefix.Tokens(len(r.Prompt))
	r.Output = c.output()
	return r, nil
}

// validate returns an error if the request is invalid.
func (c completionRequest) validate(kind chain.Kind) error {
	switch {
	case c.Model == "":
		return fault.New(fault.Invalid, "model is missing: name one of /v1/models")
	case kind == chain.Chat && len(c.Messages) == 0:
		return fault.New(fault.Invalid, "messages is empty: send at least one")
	case len(c.Messages) > maxMessages:
		return fault.New(fault.Invalid, "there are %d messages: send at most %d", len(c.Messages), maxMessages)
	case kind == chain.Text && c.Prompt == nil:
		return fault.New(fault.Invalid, "prompt is missing: send one string")
	case c.N != nil && *c.N != 1:
		return fault.New(fault.Invalid, "n is %d: send one call for each answer", *c.N)
	case c.output() < 1 || c.output() > maxOutputTokens:
		return fault.New(fault.Invalid, "max_tokens is %d: send 1 to %d", c.output(), maxOutputTokens)
	}
	return nil
}

func (c completionRequest) output() int {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return defaultOutputTokens
}

// prompt returns the text whose prefixes engines cache.
func (c completionRequest) prompt(kind chain.Kind) []byte {
	if kind == chain.Text {
		return []byte(*c.Prompt)
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + "\n" + m.text() + "\n")
	}
	return []byte(b.String())
}

// text returns the content of a message. Content that is not a plain string is
// returned in its JSON encoding.
func (m message) text() string {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s
	}
	return string(m.Content)
}
