package drive

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabtally/baobabtally/internal/bench"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

const (
	// lowest and highest are the times that a histogram tells apart, in
	// microseconds, with digits of precision.
	lowest  = 1
	highest = 300_000_000
	digits  = 3
	// idleConns is how many unused connections are kept for each target.
	idleConns = 512
)

// Plan is what is sent where.
type Plan struct {
	// Targets are the addresses that take requests in turn.
	Targets []string
	// Key is the API key.
	Key string
	// Model is the model that is asked for.
	Model string
	// Asks are the requests in the order of their times.
	Asks []bench.Ask
}

// Result is what came back.
type Result struct {
	mu sync.Mutex
	// first holds the times to first token by rank, in microseconds.
	first [policy.Ranks]*hdrhistogram.Histogram
	// failed counts answers by status; 0 stands for none, -1 for a cut one.
	failed map[int]int
}

// Line is the result of one rank.
type Line struct {
	// Rank is the rank's name.
	Rank string `json:"rank"`
	// Answered counts whole answers.
	Answered int64 `json:"answered"`
	// P50, P99 and Max are times to first token in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Run sends the plan and returns when all is answered or ctx ends.
func Run(ctx context.Context, p Plan) *Result {
	r := &Result{
		failed: map[int]int{},
	}
	for i := range r.first {
		r.first[i] = hdrhistogram.New(lowest, highest, digits)
	}
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConns,
		},
	}
	defer client.CloseIdleConnections()
	begin := time.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i, a := range p.Asks {
		planned := begin.Add(a.At)
		timer := time.NewTimer(time.Until(planned))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return r
		}
		target := p.Targets[i%len(p.Targets)]
		calls.Go(func() { r.send(ctx, client, p, target, a, planned) })
	}
	return r
}

// send sends one request and counts its answer.
func (r *Result) send(ctx context.Context, client *http.Client, p Plan, target string, a bench.Ask, planned time.Time) {
	body, err := json.Marshal(map[string]any{
		"model":      p.Model,
		"stream":     true,
		"max_tokens": a.Output,
		"messages": []map[string]string{
			{
				"role":    "user",
				"content": a.Prompt,
			},
		},
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("X-Request-Id", fmt.Sprint(planned.UnixNano()))
	if a.Rank == policy.Urgent {
		req.Header.Set("X-Labels", "kind=check")
	}
	resp, err := client.Do(req)
	if err != nil {
		r.fail(0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		r.fail(resp.StatusCode)
		return
	}
	first, whole := read(bufio.NewReader(resp.Body))
	if !whole {
		r.fail(-1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.first[a.Rank].RecordValue(first.Sub(planned).Microseconds())
}

// read returns when the first event came and whether the end marker did.
func read(body *bufio.Reader) (time.Time, bool) {
	var first time.Time
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			return first, false
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		if strings.TrimSpace(data) == "[DONE]" {
			return first, true
		}
	}
}

func (r *Result) fail(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[status]++
}

// Lines returns the result of each rank.
func (r *Result) Lines() []Line {
	var out []Line
	for _, rank := range []policy.Rank{policy.Urgent, policy.Normal} {
		h := r.first[rank]
		out = append(out, Line{
			Rank:     rank.String(),
			Answered: h.TotalCount(),
			P50:      float64(h.ValueAtQuantile(50)) / 1000,
			P99:      float64(h.ValueAtQuantile(99)) / 1000,
			Max:      float64(h.Max()) / 1000,
		})
	}
	return out
}

// Failed returns how many requests failed, by status: 0 is no answer, -1 a cut one.
func (r *Result) Failed() map[int]int { return r.failed }
