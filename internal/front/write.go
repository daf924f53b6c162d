package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

var statusByKind = map[fault.Kind]int{
	fault.Internal:    http.StatusInternalServerError,
	fault.Invalid:     http.StatusBadRequest,
	fault.Denied:      http.StatusUnauthorized,
	fault.Missing:     http.StatusNotFound,
	fault.Large:       http.StatusRequestEntityTooLarge,
	fault.Uncovered:   http.StatusForbidden,
	fault.Mismatch:    http.StatusUnprocessableEntity,
	fault.Busy:        http.StatusConflict,
	fault.Limited:     http.StatusTooManyRequests,
	fault.Overload:    http.StatusServiceUnavailable,
	fault.Stale:       http.StatusServiceUnavailable,
	fault.Unavailable: http.StatusServiceUnavailable,
	fault.Lost:        http.StatusBadGateway,
	fault.Conflict:    http.StatusConflict,
}

// Problem is a problem document (RFC 9457).
type Problem struct {
	// Type is the URN of the kind of fault.
	Type string `json:"type"`
	// Title is the name of the kind of fault.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail describes the problem and its remedy.
	Detail string `json:"detail"`
	// Run is the run status of the request: not_run or unknown.
	Run string `json:"run"`
	// Request is the id of the request.
	Request string `json:"request"`
}

func newProblem(id string, err error) (Problem, fault.Error) {
	f := fault.From(err)
	return Problem{
		Type:    "urn:baobabtally:" + f.Kind.String(),
		Title:   f.Kind.String(),
		Status:  statusByKind[f.Kind],
		Detail:  f.Detail,
		Run:     f.Run.String(),
		Request: id,
	}, f
}

// writeProblem writes the problem document for err.
func writeProblem(c echo.Context, id string, err error) error {
	p, f := newProblem(id, err)
	h := c.Response().Header()
	if f.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.Retry.Seconds()))))
	}
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, "application/problem+json", data)
}

// WriteFailure responds to a request whose handler failed. Nothing is known of what
// it did.
func WriteFailure(w http.ResponseWriter, id string) {
	p, _ := newProblem(id, fault.Error{
		Kind:   fault.Lost,
		Detail: "the instance failed to handle the request: look the result up before you send it again, and report this with the request's id",
	})
	data, err := json.Marshal(p)
	if err != nil {
		data = nil
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
}

// streamWriter writes an answer as server-sent events.
type streamWriter struct {
	c       echo.Context
	signer  stream.Signer
	request chain.Request
	begun   bool
}

// Begin writes the status and the header.
func (w *streamWriter) Begin(chain.Head) error {
	w.begun = true
	h := w.c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.c.Response().WriteHeader(http.StatusOK)
	return nil
}

// streamEvent is the encoding of one event's data.
type streamEvent struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices json.RawMessage `json:"choices"`
}

// Write writes one event. Its id lets the caller resume the stream after it.
func (w *streamWriter) Write(c chain.Chunk) error {
	id := w.signer.Sign(stream.Token{
		Endpoint: c.Next.Endpoint,
		Attempt:  c.Next.Attempt,
		Team:     c.Next.Team,
		Offset:   c.Next.Offset,
		Base:     c.Next.Base,
	})
	data := []byte("[DONE]")
	if !c.End {
		raw, err := json.Marshal(streamEvent{
			ID:      "cmpl-" + w.request.ID,
			Object:  objects[w.request.Kind].chunk,
			Created: w.request.Arrived.Unix(),
			Model:   w.request.Model,
			Choices: c.Data,
		})
		if err != nil {
			return err
		}
		data = raw
	}
	if _, err := fmt.Fprintf(w.c.Response(), "id: %s\ndata: %s\n\n", id, data); err != nil {
		return err
	}
	return http.NewResponseController(w.c.Response()).Flush()
}

// finish writes err as a problem document. If the stream has already started, it
// writes an error event instead, which no end marker follows.
func (w *streamWriter) finish(err error) error {
	switch {
	case err == nil:
		return nil
	case !w.begun:
		return writeProblem(w.c, w.request.ID, err)
	}
	p, _ := newProblem(w.request.ID, err)
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w.c.Response(), "event: error\ndata: %s\n\n", data)
	return err
}

// objectNames are the names of response objects in the OpenAI protocol.
type objectNames struct {
	chunk    string
	response string
}

var objects = map[chain.Kind]objectNames{
	chain.Chat: {
		chunk:    "chat.completion.chunk",
		response: "chat.completion",
	},
	chain.Text: {
		chunk:    "text_completion",
		response: "text_completion",
	},
}

// bufferedWriter collects an answer that is sent as one response.
type bufferedWriter struct {
	text         strings.Builder
	finishReason string
}

// Begin does nothing because the header depends on the outcome.
func (*bufferedWriter) Begin(chain.Head) error { return nil }

// Write appends the text of the chunk and keeps its finish reason.
func (w *bufferedWriter) Write(c chain.Chunk) error {
	w.text.WriteString(c.Text)
	var choices []struct {
		Finish string `json:"finish_reason"`
	}
	if err := json.Unmarshal(c.Data, &choices); err == nil && len(choices) > 0 && choices[0].Finish != "" {
		w.finishReason = choices[0].Finish
	}
	return nil
}

// completionResponse is the encoding of an answer that is not streamed.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *content `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  string   `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	Prompt  int     `json:"prompt_tokens"`
	Output  int     `json:"completion_tokens"`
	Total   int     `json:"total_tokens"`
	Details details `json:"prompt_tokens_details"`
}

type details struct {
	Cached int `json:"cached_tokens"`
}

func (w *bufferedWriter) response(r chain.Request, result chain.Result) completionResponse {
	text := w.text.String()
	answer := choice{
		Finish: w.finishReason,
	}
	if r.Kind == chain.Chat {
		answer.Message = &content{
			Role:    "assistant",
			Content: text,
		}
	} else {
		answer.Text = &text
	}
	return completionResponse{
		ID:      "cmpl-" + r.ID,
		Object:  objects[r.Kind].response,
		Created: time.Now().Unix(),
		Model:   r.Model,
		Choices: []choice{answer},
		Usage: usage{
			Prompt: result.Prompt,
			Output: result.Output,
			Total:  result.Prompt + result.Output,
			Details: details{
				Cached: result.Cached,
			},
		},
	}
}

// serviceWriter forwards the answer of a plain service.
type serviceWriter struct {
	c     echo.Context
	begun bool
}

// Begin writes the status and the content type.
func (w *serviceWriter) Begin(h chain.Head) error {
	w.begun = true
	if h.Type != "" {
		w.c.Response().Header().Set("Content-Type", h.Type)
	}
	w.c.Response().WriteHeader(h.Status)
	return nil
}

// Write writes the chunk.
func (w *serviceWriter) Write(c chain.Chunk) error {
	_, err := w.c.Response().Write(c.Data)
	return err
}
