package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/chain"
)

const (
	// endMarker is the data of the last event of a stream.
	endMarker = "[DONE]"
	// maxEvent is the longest event of a stream, in bytes.
	maxEvent = 1 << 20
	// maxError is how much of an error's body is read, in bytes.
	maxError = 4 << 10
)

// openStream sends a generation to an engine.
func (c *Client) openStream(ctx context.Context, a call.Attempt) (call.Reply, error) {
	body, err := engineBody(a)
	if err != nil {
		return nil, call.Failure{
			Cause:  call.Rejected,
			Detail: err.Error(),
		}
	}
	path := "/v1/chat/completions"
	if a.Request.Kind == chain.Text {
		path = "/v1/completions"
	}
	return c.stream(ctx, a, http.MethodPost, path, body)
}

// resumeStream goes on with a stream that the engine keeps.
func (c *Client) resumeStream(ctx context.Context, a call.Attempt) (call.Reply, error) {
	return c.stream(ctx, a, http.MethodGet, "/v1/streams/"+a.ID, nil)
}

func (c *Client) stream(ctx context.Context, a call.Attempt, method, path string, body []byte) (call.Reply, error) {
	limit := c.first
	if a.Resume.Active() {
		// The stream is under way, so that its next chunk is due.
		limit = c.gap
	}
	ctx, x := watch(ctx, limit)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.Endpoint.Node.Addr+path, readerOf(body))
	if err != nil {
		x.close(nil)
		return nil, x.fail(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequest, a.ID)
	client := c.kept
	if method == http.MethodGet {
		req.Header.Set(headerEvent, strconv.Itoa(a.Resume.Offset-1))
		// The old connection may have gone silent; a resume gets a new one.
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		f := x.fail(err)
		x.close(nil)
		return nil, f
	}
	if f, bad := badStatus(resp, x); bad {
		x.close(resp.Body)
		return nil, f
	}
	if got := resp.Header.Get(headerRequest); got != a.ID {
		x.close(resp.Body)
		return nil, crossed(got, a.ID)
	}
	next, stop := iter.Pull2(sse.Read(resp.Body, &sse.ReadConfig{
		MaxEventSize: maxEvent,
	}))
	return &streamReply{
		client:  c,
		x:       x,
		attempt: a,
		body:    resp.Body,
		next:    next,
		stop:    stop,
	}, nil
}

// badStatus returns the failure for an answer that is no stream.
func badStatus(resp *http.Response, x exchange) (call.Failure, bool) {
	if resp.StatusCode == http.StatusOK {
		return call.Failure{}, false
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxError))
	f := x.fail(nil)
	f.Detail = fmt.Sprintf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(detail)))
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		// Engines answer so before they run anything.
		f.Cause = call.Refused
		f.Sent = false
	case http.StatusNotFound, http.StatusGone:
		f.Cause = call.Gone
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		f.Cause = call.Rejected
	}
	return f, true
}

func crossed(got, want string) call.Failure {
	return call.Failure{
		Cause:  call.Crossed,
		Sent:   true,
		Detail: fmt.Sprintf("the answer is for %q, not for %q", got, want),
	}
}

// streamReply reads one stream of an engine.
type streamReply struct {
	client  *Client
	x       exchange
	attempt call.Attempt
	body    io.Closer
	next    func() (sse.Event, error, bool)
	stop    func()
	usage   call.Usage
}

// Head returns the start of the answer.
func (s *streamReply) Head() chain.Head {
	return chain.Head{
		Status:   http.StatusOK,
		Type:     "text/event-stream",
		Endpoint: s.attempt.Endpoint.Node.Name,
		Attempt:  s.attempt.ID,
	}
}

// Usage returns the engine's counts.
func (s *streamReply) Usage() call.Usage { return s.usage }

// Close ends the stream.
func (s *streamReply) Close() {
	s.x.close(s.body)
	s.stop()
}

// Next returns the next chunk and its offset.
func (s *streamReply) Next() (chain.Chunk, int, error) {
	ev, err, ok := s.next()
	switch {
	case err != nil:
		return chain.Chunk{}, 0, s.x.fail(err)
	case !ok:
		return chain.Chunk{}, 0, s.x.fail(io.ErrUnexpectedEOF)
	}
	s.x.kick(s.client.gap)
	offset, err := strconv.Atoi(ev.LastEventID)
	if err != nil {
		return chain.Chunk{}, 0, s.x.fail(fmt.Errorf("event id %q is no offset", ev.LastEventID))
	}
	if ev.Data == endMarker {
		return chain.Chunk{
			End: true,
		}, offset, nil
	}
	c, err := s.decode(ev.Data)
	return c, offset, err
}

// engineEvent is the data of one event.
type engineEvent struct {
	ID      string          `json:"id"`
	Choices json.RawMessage `json:"choices"`
	Usage   *engineUsage    `json:"usage"`
}

type engineUsage struct {
	Prompt  int `json:"prompt_tokens"`
	Output  int `json:"completion_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type engineChoice struct {
	Finish string `json:"finish_reason"`
	Text   string `json:"text"`
	Delta  struct {
		Content string `json:"content"`
	} `json:"delta"`
}

func (s *streamReply) decode(data string) (chain.Chunk, error) {
	var ev engineEvent
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return chain.Chunk{}, s.x.fail(err)
	}
	if !strings.HasSuffix(ev.ID, s.attempt.ID) {
		return chain.Chunk{}, crossed(ev.ID, s.attempt.ID)
	}
	if ev.Usage != nil {
		s.usage = call.Usage{
			Known:  true,
			Prompt: ev.Usage.Prompt,
			Cached: ev.Usage.Details.Cached,
			Output: ev.Usage.Output,
		}
	}
	var choices []engineChoice
	if err := json.Unmarshal(ev.Choices, &choices); err != nil {
		return chain.Chunk{}, s.x.fail(err)
	}
	c := chain.Chunk{
		Data: ev.Choices,
	}
	if len(choices) > 0 {
		c.Text = choices[0].Delta.Content + choices[0].Text
		c.Final = choices[0].Finish != ""
	}
	return c, nil
}

// engineBody returns the caller's body with what the engine is told besides.
func engineBody(a call.Attempt) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(a.Request.Body, &fields); err != nil {
		return nil, err
	}
	set := func(key string, v any) {
		raw, err := json.Marshal(v)
		if err == nil {
			fields[key] = raw
		}
	}
	set("stream", true)
	set("stream_options", map[string]bool{
		"include_usage": true,
	})
	set("priority", a.Priority)
	set("cache_salt", a.Salt)
	if a.Delivered == "" {
		return json.Marshal(fields)
	}
	set("max_tokens", max(1, a.Request.Output-a.Chunks))
	if a.Request.Kind == chain.Text {
		set("prompt", string(a.Request.Prompt)+a.Delivered)
		return json.Marshal(fields)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, err
	}
	last, err := json.Marshal(map[string]string{
		"role":    "assistant",
		"content": a.Delivered,
	})
	if err != nil {
		return nil, err
	}
	set("messages", append(messages, last))
	set("continue_final_message", true)
	set("add_generation_prompt", false)
	return json.Marshal(fields)
}
