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
	// minMicros and maxMicros are the range of the latency histograms in
	// microseconds, and significantDigits is their precision.
	minMicros         = 1
	maxMicros         = 300_000_000
	significantDigits = 3
	// maxIdleConns is the number of idle connections that are kept per target.
	maxIdleConns = 512
)

// Plan is the load to generate and its targets.
type Plan struct {
	// Targets are the addresses that receive requests, round robin.
	Targets []string
	// Key is the API key of the requests.
	Key string
	// Model is the requested model.
	Model string
	// Requests are ordered by time.
	Requests []bench.Request
}

// Result collects the outcomes of a run.
type Result struct {
	mu sync.Mutex
	// firstToken holds the times to first token by rank, in microseconds.
	firstToken [policy.Ranks]*hdrhistogram.Histogram
	// failed counts failed requests by status: 0 means no response and -1 a
	// truncated one.
	failed map[int]int
}

// RankResult is the latency summary of one rank.
type RankResult struct {
	// Rank is the name of the rank.
	Rank string `json:"rank"`
	// Answered counts complete responses.
	Answered int64 `json:"answered"`
	// P50, P99 and Max are times to first token in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Run sends the requests of p and returns when all have completed or ctx is
// cancelled.
func Run(ctx context.Context, p Plan) *Result {
	r := &Result{
		failed: map[int]int{},
	}
	for i := range r.firstToken {
		r.firstToken[i] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
		},
	}
	defer client.CloseIdleConnections()
	start := time.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i, a := range p.Requests {
		scheduled := start.Add(a.At)
		timer := time.NewTimer(time.Until(scheduled))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return r
		}
		target := p.Targets[i%len(p.Targets)]
		calls.Go(func() { r.send(ctx, client, p, target, a, scheduled) })
	}
	return r
}

// send sends one request and records its outcome.
func (r *Result) send(ctx context.Context, client *http.Client, p Plan, target string, a bench.Request, scheduled time.Time) {
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
	req.Header.Set("X-Request-Id", fmt.Sprint(scheduled.UnixNano()))
	if a.Rank == policy.Urgent {
		req.Header.Set("X-Labels", "kind=check")
	}
	resp, err := client.Do(req)
	if err != nil {
		r.countFailure(0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		r.countFailure(resp.StatusCode)
		return
	}
	first, complete := readStream(bufio.NewReader(resp.Body))
	if !complete {
		r.countFailure(-1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.firstToken[a.Rank].RecordValue(first.Sub(scheduled).Microseconds())
}

// readStream returns when the first event arrived, and whether the stream ended
// with its end marker.
func readStream(body *bufio.Reader) (time.Time, bool) {
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

func (r *Result) countFailure(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[status]++
}

// RankResults returns the latency summary of each rank.
func (r *Result) RankResults() []RankResult {
	var out []RankResult
	for _, rank := range []policy.Rank{policy.Urgent, policy.Normal} {
		h := r.firstToken[rank]
		out = append(out, RankResult{
			Rank:     rank.String(),
			Answered: h.TotalCount(),
			P50:      float64(h.ValueAtQuantile(50)) / 1000,
			P99:      float64(h.ValueAtQuantile(99)) / 1000,
			Max:      float64(h.Max()) / 1000,
		})
	}
	return out
}

// Failed returns the number of failed requests by status: 0 means no response
// and -1 a truncated one.
func (r *Result) Failed() map[int]int { return r.failed }
