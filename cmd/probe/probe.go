package main

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

	"github.com/baobabtally/baobabtally/internal/stand"
)

const (
	// callTimeout bounds each call, including its response.
	callTimeout = 30 * time.Second
	// recordTimeout bounds a request for a stand-in's record.
	recordTimeout = 2 * time.Second
	// readyTimeout is how long after its start an instance must serve requests.
	readyTimeout = 10 * time.Second
	// readyInterval is the interval between two attempts of the ready check.
	readyInterval = 20 * time.Millisecond
	// longPromptBytes is the approximate length of the prefix check's prompts.
	longPromptBytes = 32 << 10
	// minHitRate is the least share of a repeated prompt that must be cached.
	minHitRate = 0.9
	// answerTokens is the requested output length.
	answerTokens = 40
)

// probe holds the flags that all checks share.
type probe struct {
	key     *string
	engines *[]string
	service *string
}

// response is what a caller received of a streamed completion.
type response struct {
	text   string
	lastID string
	events int
	ended  bool
}

// complete streams a chat completion, or resumes one after the event id resume.
// It stops after limit events, or reads the whole stream if limit is 0.
func (p probe) complete(addr, prompt, resume string, limit int) (response, error) {
	body, err := json.Marshal(map[string]any{
		"model":      "small",
		"stream":     true,
		"max_tokens": answerTokens,
		"messages": []map[string]string{
			{
				"role":    "user",
				"content": prompt,
			},
		},
	})
	if err != nil {
		return response{}, err
	}
	header := http.Header{}
	if resume != "" {
		header.Set("Last-Event-ID", resume)
	}
	resp, err := p.post(addr, "/v1/chat/completions", header, body)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return response{}, fmt.Errorf("%s answers %d: %s", addr, resp.StatusCode, data)
	}
	var a response
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return a, err
		}
		a.events++
		a.lastID = ev.LastEventID
		if ev.Data == "[DONE]" {
			a.ended = true
			break
		}
		a.text += contentOf(ev.Data)
		if a.events == limit {
			break
		}
	}
	return a, nil
}

// contentOf returns the text of a stream event.
func contentOf(data string) string {
	var ev struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &ev); err != nil || len(ev.Choices) == 0 {
		return ""
	}
	return ev.Choices[0].Delta.Content
}

func (p probe) post(addr, path string, header http.Header, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+*p.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = callBody{
		ReadCloser: resp.Body,
		cancel:     cancel,
	}
	return resp, nil
}

// callBody is a response body that cancels the call's context when closed.
type callBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b callBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// runs returns the calls that a stand-in executed.
func runs(addr string) ([]stand.Run, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/stand/record", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out []stand.Run
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// findRun returns the run that generated text, and the address of its engine.
func (p probe) findRun(text string) (string, stand.Run, error) {
	for _, e := range *p.engines {
		// A frozen engine does not respond, and can't have generated the text.
		list, err := runs(e)
		if err != nil {
			continue
		}
		for i := range list {
			if r := list[len(list)-1-i]; r.Text == text {
				return e, r, nil
			}
		}
	}
	return "", stand.Run{}, fmt.Errorf("no engine generated the text that arrived (%d bytes)", len(text))
}

// stream checks a streamed response through each instance.
func (p probe) stream(addrs []string) (string, error) {
	for _, addr := range addrs {
		got, err := p.complete(addr, "stream "+uuid.NewString(), "", 0)
		if err != nil {
			return "", err
		}
		if !got.ended || got.events != answerTokens+2 {
			return "", fmt.Errorf("through %s came %d events, ended %t", addr, got.events, got.ended)
		}
		if _, _, err := p.findRun(got.text); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("complete and in order through %d instances, %d tokens each, as the engine's record has it", len(addrs), answerTokens), nil
}

// prefix checks that a second prompt with a long common prefix reaches the engine
// that has it cached, also through another instance.
func (p probe) prefix(addrs []string) (string, error) {
	long := strings.Repeat(uuid.NewString()+" ", longPromptBytes/37)
	first, err := p.complete(addrs[0], long+"one", "", 0)
	if err != nil {
		return "", err
	}
	second, err := p.complete(addrs[len(addrs)-1], long+"two", "", 0)
	if err != nil {
		return "", err
	}
	firstEngine, _, err := p.findRun(first.text)
	if err != nil {
		return "", err
	}
	secondEngine, run, err := p.findRun(second.text)
	if err != nil {
		return "", err
	}
	if firstEngine != secondEngine || float64(run.CachedTokens) < minHitRate*float64(run.PromptTokens) {
		return "", fmt.Errorf("the second went to %s after %s with %d of %d tokens cached", secondEngine, firstEngine, run.CachedTokens, run.PromptTokens)
	}
	return fmt.Sprintf("the second prompt reached the same engine through another instance, %d of %d tokens cached", run.CachedTokens, run.PromptTokens), nil
}

// charge checks that a charge sent through two instances with one idempotency key
// is executed once.
func (p probe) charge(addrs []string) (string, error) {
	key := uuid.NewString()
	var bodies []string
	for i := range 2 {
		header := http.Header{}
		header.Set("Idempotency-Key", key)
		resp, err := p.post(addrs[i%len(addrs)], "/svc/billing/charge", header, []byte(`{"amount":3}`))
		if err != nil {
			return "", err
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return "", fmt.Errorf("answer %d breaks off: %w", resp.StatusCode, err)
		}
		if resp.StatusCode != http.StatusOK {
			return "", fmt.Errorf("answer %d: %s", resp.StatusCode, data)
		}
		bodies = append(bodies, string(data))
	}
	list, err := runs(*p.service)
	if err != nil {
		return "", err
	}
	n := 0
	for _, r := range list {
		if r.Key == key {
			n++
		}
	}
	if n != 1 || bodies[0] != bodies[1] {
		return "", fmt.Errorf("it ran %d times, answers %q", n, bodies)
	}
	return fmt.Sprintf("sent twice through two instances with one key, ran %d time, same answer twice", n), nil
}

// ready checks that an instance serves requests, and measures how soon.
func (p probe) ready(addrs []string) (string, error) {
	begin := time.Now()
	for {
		_, err := p.complete(addrs[0], "ready "+uuid.NewString(), "", 0)
		took := time.Since(begin).Round(time.Millisecond)
		if err == nil {
			return fmt.Sprintf("%s served its first request %s after the probe began", addrs[0], took), nil
		}
		if took > readyTimeout {
			return "", err
		}
		time.Sleep(readyInterval)
	}
}

// resume checks that a stream can be resumed through another instance.
func (p probe) resume(addrs []string) (string, error) {
	prompt := "resume " + uuid.NewString()
	head, err := p.complete(addrs[0], prompt, "", answerTokens/2)
	if err != nil {
		return "", err
	}
	tail, err := p.complete(addrs[1], prompt, head.lastID, 0)
	if err != nil {
		return "", err
	}
	if !tail.ended {
		return "", fmt.Errorf("the resumed stream has no end")
	}
	if _, _, err := p.findRun(head.text + tail.text); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d events through %s and %d through %s make the engine's own text", head.events, addrs[0], tail.events, addrs[1]), nil
}
