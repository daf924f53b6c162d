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
	// usualOutput is the length, in tokens, of an answer that has no limit.
	usualOutput = 256
	// maxOutput is the longest answer, in tokens.
	maxOutput = 128 << 10
	// maxMessages is the most messages of a chat.
	maxMessages = 4096
)

// completion is the part of a call that the router reads.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    *string   `json:"prompt"`
	Stream    bool      `json:"stream"`
	MaxTokens *int      `json:"max_tokens"`
	MaxNew    *int      `json:"max_completion_tokens"`
	Count     *int      `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// decode reads a call's body into r.
func decode(r chain.Request, kind chain.Kind) (chain.Request, error) {
	r.Kind = kind
	r.Idempotent = true
	if !utf8.Valid(r.Body) {
		return r, fault.New(fault.Invalid, "the body is no UTF-8: send JSON in UTF-8")
	}
	var c completion
	if err := json.Unmarshal(r.Body, &c); err != nil {
		return r, fault.New(fault.Invalid, "the body is no completion call (%v): correct the JSON", err)
	}
	if err := c.check(kind); err != nil {
		return r, err
	}
	r.Model = c.Model
	r.Stream = c.Stream
	r.Prompt = c.prompt(kind)
	r.Tokens = prefix.Tokens(len(r.Prompt))
	r.Output = c.output()
	return r, nil
}

// check returns what is wrong with a call.
func (c completion) check(kind chain.Kind) error {
	switch {
	case c.Model == "":
		return fault.New(fault.Invalid, "model is missing: name one of /v1/models")
	case kind == chain.Chat && len(c.Messages) == 0:
		return fault.New(fault.Invalid, "messages is empty: send at least one")
	case len(c.Messages) > maxMessages:
		return fault.New(fault.Invalid, "there are %d messages: send at most %d", len(c.Messages), maxMessages)
	case kind == chain.Text && c.Prompt == nil:
		return fault.New(fault.Invalid, "prompt is missing: send one string")
	case c.Count != nil && *c.Count != 1:
		return fault.New(fault.Invalid, "n is %d: send one call for each answer", *c.Count)
	case c.output() < 1 || c.output() > maxOutput:
		return fault.New(fault.Invalid, "max_tokens is %d: send 1 to %d", c.output(), maxOutput)
	}
	return nil
}

func (c completion) output() int {
	switch {
	case c.MaxNew != nil:
		return *c.MaxNew
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return usualOutput
}

// prompt returns the text that engines cache by prefix.
func (c completion) prompt(kind chain.Kind) []byte {
	if kind == chain.Text {
		return []byte(*c.Prompt)
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + "\n" + m.text() + "\n")
	}
	return []byte(b.String())
}

// text returns the content of a message; parts that are no plain text count
// as they are encoded.
func (m message) text() string {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s
	}
	return string(m.Content)
}
