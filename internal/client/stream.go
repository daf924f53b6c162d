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
	// streamEndMarker is the data of the last event of a stream.
	streamEndMarker = "[DONE]"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxErrorBodyBytes is how much of the body of an error response is read.
	maxErrorBodyBytes = 4 << 10
)

// openStream sends a generation request to an engine.
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

// resumeStream resumes a stream that the engine still has.
func (c *Client) resumeStream(ctx context.Context, a call.Attempt) (call.Reply, error) {
	return c.stream(ctx, a, http.MethodGet, "/v1/streams/"+a.ID, nil)
}

func (c *Client) stream(ctx context.Context, a call.Attempt, method, path string, body []byte) (call.Reply, error) {
	timeout := c.firstChunkTimeout
	if a.Resume.Active() {
		// The stream has already started, so its next chunk is due within
		// the shorter timeout.
		timeout = c.chunkTimeout
	}
	ctx, x := withWatchdog(ctx, timeout)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.Endpoint.Node.Addr+path, bodyReader(body))
	if err != nil {
		x.close(nil)
		return nil, x.failure(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, a.ID)
	client := c.pooled
	if method == http.MethodGet {
		req.Header.Set(headerLastEventID, strconv.Itoa(a.Resume.Offset-1))
		// The previous connection may no longer pass data, so a resume opens
		// a new one.
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		f := x.failure(err)
		x.close(nil)
		return nil, f
	}
	got := resp.Header.Get(headerRequestID)
	if got != a.ID && (got != "" || resp.StatusCode == http.StatusOK) {
		x.close(resp.Body)
		return nil, wrongAttempt(got, a.ID)
	}
	if f, bad := statusFailure(resp, x); bad {
		x.close(resp.Body)
		return nil, f
	}
	next, stop := iter.Pull2(sse.Read(resp.Body, &sse.ReadConfig{
		MaxEventSize: maxEventBytes,
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

// statusFailure returns the failure for a response whose status is not 200.
func statusFailure(resp *http.Response, x exchange) (call.Failure, bool) {
	if resp.StatusCode == http.StatusOK {
		return call.Failure{}, false
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	f := x.failure(nil)
	f.Detail = fmt.Sprintf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(detail)))
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		// Engines return these statuses before they execute any part of the
		// request, so it counts as not sent, unless the response may be a late
		// one to another request.
		f.Cause = call.Refused
		f.MaybeSent = x.reused.Load() && resp.Header.Get(headerRequestID) == ""
	case http.StatusNotFound, http.StatusGone:
		f.Cause = call.UnknownStream
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		f.Cause = call.Rejected
	}
	return f, true
}

func wrongAttempt(got, want string) call.Failure {
	return call.Failure{
		Cause:     call.WrongAttempt,
		MaybeSent: true,
		Detail:    fmt.Sprintf("the answer is for %q, not for %q", got, want),
	}
}

// streamReply reads the event stream of an engine.
type streamReply struct {
	client  *Client
	x       exchange
	attempt call.Attempt
	body    io.Closer
	next    func() (sse.Event, error, bool)
	stop    func()
	usage   call.Usage
}

// Head returns the head of the response.
func (s *streamReply) Head() chain.Head {
	return chain.Head{
		Status:   http.StatusOK,
		Type:     "text/event-stream",
		Endpoint: s.attempt.Endpoint.Node.Name,
		Attempt:  s.attempt.ID,
	}
}

// Usage returns the token counts received so far.
func (s *streamReply) Usage() call.Usage { return s.usage }

// Close cancels the request and stops reading the stream.
func (s *streamReply) Close() {
	s.x.close(s.body)
	s.stop()
}

// Next returns the next chunk and its offset in the stream.
func (s *streamReply) Next() (chain.Chunk, int, error) {
	ev, err, ok := s.next()
	switch {
	case err != nil:
		return chain.Chunk{}, 0, s.x.failure(err)
	case !ok:
		return chain.Chunk{}, 0, s.x.failure(io.ErrUnexpectedEOF)
	}
	s.x.resetWatchdog(s.client.chunkTimeout)
	offset, err := strconv.Atoi(ev.LastEventID)
	if err != nil {
		return chain.Chunk{}, 0, s.x.failure(fmt.Errorf("event id %q is no offset", ev.LastEventID))
	}
	if ev.Data == streamEndMarker {
		return chain.Chunk{
			End: true,
		}, offset, nil
	}
	c, err := s.decode(ev.Data)
	return c, offset, err
}

// engineEvent is the encoding of one event's data.
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
		return chain.Chunk{}, s.x.failure(err)
	}
	if !strings.HasSuffix(ev.ID, s.attempt.ID) {
		return chain.Chunk{}, wrongAttempt(ev.ID, s.attempt.ID)
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
		return chain.Chunk{}, s.x.failure(err)
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

// engineBody returns the caller's body with the fields for streaming, priority
// and cache salt. When part of the answer was already delivered, it also makes
// the engine continue that text.
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
	set("cache_salt", a.CacheSalt)
	if a.Delivered == "" {
		return json.Marshal(fields)
	}
	set("max_tokens", max(1, a.Request.Output-a.DeliveredChunks))
	if a.Request.Kind == chain.Text {
		set("prompt", string(a.Request.Prompt)+a.Delivered)
		return json.Marshal(fields)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, err
	}
	delivered, err := json.Marshal(map[string]string{
		"role":    "assistant",
		"content": a.Delivered,
	})
	if err != nil {
		return nil, err
	}
	set("messages", append(messages, delivered))
	set("continue_final_message", true)
	set("add_generation_prompt", false)
	return json.Marshal(fields)
}
