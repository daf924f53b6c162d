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
	// callLimit bounds each call.
	callLimit = 30 * time.Second
	// recordLimit bounds reading a stand-in's record.
	recordLimit = 2 * time.Second
	// readyLimit is how long an instance may take to serve after its start.
	readyLimit = 10 * time.Second
	// readyPause is the wait between two tries.
	readyPause = 20 * time.Millisecond
	// longPrompt is the length of a long prompt, in bytes.
	longPrompt = 32 << 10
	// leastHit is the share of a repeated prompt that must be cached.
	leastHit = 0.9
	// words is the length of an answer.
	words = 40
)

// probe checks a fleet.
type probe struct {
	key     *string
	engines *[]string
	service *string
}

// answer is what a caller got.
type answer struct {
	text   string
	lastID string
	events int
	ended  bool
}

// ask streams a chat completion, or resumes one, and reads at most limit events.
func (p probe) ask(at, prompt, resume string, limit int) (answer, error) {
	body, err := json.Marshal(map[string]any{
		"model":      "small",
		"stream":     true,
		"max_tokens": words,
		"messages": []map[string]string{
			{
				"role":    "user",
				"content": prompt,
			},
		},
	})
	if err != nil {
		return answer{}, err
	}
	header := http.Header{}
	if resume != "" {
		header.Set("Last-Event-ID", resume)
	}
	resp, err := p.post(at, "/v1/chat/completions", header, body)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return answer{}, fmt.Errorf("%s answers %d: %s", at, resp.StatusCode, data)
	}
	var a answer
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
		a.text += textOf(ev.Data)
		if a.events == limit {
			break
		}
	}
	return a, nil
}

func textOf(data string) string {
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

func (p probe) post(at, path string, header http.Header, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+path, bytes.NewReader(body))
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

// callBody ends the call's context with its body.
type callBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the context.
func (b callBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// runs returns what a stand-in ran.
func runs(at string) ([]stand.Run, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/stand/record", nil)
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

// ran returns the run with the given text and its engine.
func (p probe) ran(text string) (string, stand.Run, error) {
	for _, e := range *p.engines {
		// An engine that is frozen tells nothing, and ran nothing.
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

// stream checks one streamed answer through each instance.
func (p probe) stream(at []string) (string, error) {
	for _, a := range at {
		got, err := p.ask(a, "stream "+uuid.NewString(), "", 0)
		if err != nil {
			return "", err
		}
		if !got.ended || got.events != words+2 {
			return "", fmt.Errorf("through %s came %d events, ended %t", a, got.events, got.ended)
		}
		if _, _, err := p.ran(got.text); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("complete and in order through %d instances, %d tokens each, as the engine's record has it", len(at), words), nil
}

// prefix checks that a long prompt is found again from another instance.
func (p probe) prefix(at []string) (string, error) {
	long := strings.Repeat(uuid.NewString()+" ", longPrompt/37)
	first, err := p.ask(at[0], long+"one", "", 0)
	if err != nil {
		return "", err
	}
	second, err := p.ask(at[len(at)-1], long+"two", "", 0)
	if err != nil {
		return "", err
	}
	one, _, err := p.ran(first.text)
	if err != nil {
		return "", err
	}
	two, run, err := p.ran(second.text)
	if err != nil {
		return "", err
	}
	if one != two || float64(run.Cached) < leastHit*float64(run.Prompt) {
		return "", fmt.Errorf("the second went to %s after %s with %d of %d tokens cached", two, one, run.Cached, run.Prompt)
	}
	return fmt.Sprintf("the second prompt reached the same engine through another instance, %d of %d tokens cached", run.Cached, run.Prompt), nil
}

// charge checks that one charge runs once through two instances.
func (p probe) charge(at []string) (string, error) {
	key := uuid.NewString()
	var bodies []string
	for i := range 2 {
		header := http.Header{}
		header.Set("Idempotency-Key", key)
		resp, err := p.post(at[i%len(at)], "/svc/billing/charge", header, []byte(`{"amount":3}`))
		if err != nil {
			return "", err
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			return "", fmt.Errorf("answer %d: %s (%w)", resp.StatusCode, data, err)
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

// ready checks that an instance serves, and how soon.
func (p probe) ready(at []string) (string, error) {
	begin := time.Now()
	for {
		_, err := p.ask(at[0], "ready "+uuid.NewString(), "", 0)
		took := time.Since(begin).Round(time.Millisecond)
		if err == nil {
			return fmt.Sprintf("%s served its first request %s after the probe began", at[0], took), nil
		}
		if took > readyLimit {
			return "", err
		}
		time.Sleep(readyPause)
	}
}

// resume checks that a stream goes on through another instance.
func (p probe) resume(at []string) (string, error) {
	prompt := "resume " + uuid.NewString()
	head, err := p.ask(at[0], prompt, "", words/2)
	if err != nil {
		return "", err
	}
	tail, err := p.ask(at[1], prompt, head.lastID, 0)
	if err != nil {
		return "", err
	}
	if !tail.ended {
		return "", fmt.Errorf("the resumed stream has no end")
	}
	if _, _, err := p.ran(head.text + tail.text); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d events through %s and %d through %s make the engine's own text", head.events, at[0], tail.events, at[1]), nil
}
