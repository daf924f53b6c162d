package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/model"
	"github.com/baobabtally/baobabtally/pkg/prefix"
)

const (
	// orphanTimeout is how long a stream keeps generating without a reader.
	orphanTimeout = 5 * time.Second
	// maxEndedStreams is the number of finished streams that stay resumable.
	maxEndedStreams = 256
	// maxEvents is the number of cache events that are retained.
	maxEvents = 1024
	// defaultMaxTokens is the output length of a request without max_tokens.
	defaultMaxTokens = 16
)

// Load is the body of an endpoint's load report.
type Load struct {
	Epoch         string  `json:"epoch"`
	Version       string  `json:"version,omitempty"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	PrefillTokens int     `json:"tokens"`
	Slots         int     `json:"slots"`
	PrefillRate   float64 `json:"prefill,omitempty"`
	StepTime      float64 `json:"step,omitempty"`
	Departing     bool    `json:"leaving,omitempty"`
}

// CacheEvent is one entry of an engine's cache event log: the block hashes that
// were stored, or removed.
type CacheEvent struct {
	Seq     int64    `json:"seq"`
	Removed bool     `json:"removed,omitempty"`
	Hashes  []uint64 `json:"hashes"`
}

// Engine is a stand-in for a language-model engine. It prefills one prompt at a
// time, generates for several requests concurrently, caches prompt blocks in
// limited memory and schedules requests by priority. The generated text depends
// on the prompt alone, so that responses can be compared byte for byte.
type Engine struct {
	// Faults are the faults to inject.
	Faults  Faults
	mux     *http.ServeMux
	engine  *model.Engine
	options []model.Option

	// cancelled counts cancelled streams.
	cancelled atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	load    Load
	streams map[string]*stream
	// endedStreams are the ids of finished streams, oldest first.
	endedStreams []string
	runs         []Run
	events       []CacheEvent
	// seq is the sequence number of the last cache event.
	seq int64
	// fencingToken is the highest fencing token of an accepted order.
	fencingToken int64
	// fencing tells whether fencing tokens are checked.
	fencing bool
}

// EngineOption configures an Engine.
type EngineOption func(*Engine)

// WithRate sets the prefill rate in tokens per second and the time per output
// token.
func WithRate(prefill float64, step time.Duration) EngineOption {
	return func(e *Engine) { e.options = append(e.options, model.WithRate(prefill, step)) }
}

// WithCacheBlocks sets the capacity of the prompt cache in blocks.
func WithCacheBlocks(n int) EngineOption {
	return func(e *Engine) { e.options = append(e.options, model.WithCacheBlocks(n)) }
}

// WithFencing makes the engine reject orders whose fencing token is lower than
// one that it has seen.
func WithFencing() EngineOption {
	return func(e *Engine) { e.fencing = true }
}

// NewEngine returns an engine that reports the given epoch.
func NewEngine(epoch string, opts ...EngineOption) *Engine {
	e := &Engine{
		mux:     http.NewServeMux(),
		streams: map[string]*stream{},
	}
	for _, o := range opts {
		o(e)
	}
	e.engine = model.New(e.options...)
	e.load = Load{
		Epoch:       epoch,
		Version:     "v1",
		Slots:       model.Slots,
		PrefillRate: e.engine.PrefillRate(),
		StepTime:    e.engine.StepTime().Seconds(),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	e.mux.HandleFunc("GET /v1/load", e.handleLoad)
	e.mux.HandleFunc("GET /v1/events", e.handleEvents)
	e.mux.HandleFunc("POST /v1/orders", e.handleOrder)
	e.mux.HandleFunc("GET /stand/record", e.handleRecord)
	e.mux.HandleFunc("POST /stand/fault", e.Faults.handle)
	return e
}

// ServeHTTP implements the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") && e.Faults.Inject(Down) {
		closeConnection(w)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Runs returns the completed generations.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Cancelled returns the number of cancelled streams.
func (e *Engine) Cancelled() int64 { return e.cancelled.Load() }

// Depart makes the engine refuse new requests.
func (e *Engine) Depart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Departing = true
}

// Crash simulates a restart at the same address: it cancels all streams, clears
// the cache and the event log, and reports the new epoch.
func (e *Engine) Crash(epoch string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, out := range e.streams {
		out.cancelOnce.Do(func() { close(out.cancelled) })
	}
	e.streams = map[string]*stream{}
	e.engine.ClearCache()
	e.events = nil
	e.seq = 0
	e.load.Epoch = epoch
}

// completionRequest is the body of a chat or text completion request.
type completionRequest struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Salt      string `json:"cache_salt"`
	Continue  bool   `json:"continue_final_message"`
}

// splitGenerated returns the original prompt and the already generated text that
// the request asks to continue.
func (c completionRequest) splitGenerated() (string, string) {
	if len(c.Messages) == 0 {
		return cutGenerated(c.Prompt)
	}
	last := len(c.Messages)
	generated := ""
	if c.Continue {
		last--
		generated = c.Messages[last].Content
	}
	var b strings.Builder
	for _, m := range c.Messages[:last] {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String(), generated
}

// cutGenerated splits a text prompt into the original prompt and the trailing
// words that this engine generated for it.
func cutGenerated(prompt string) (string, string) {
	for n := strings.Count(prompt, " w"); n > 0; n-- {
		at := len(prompt) - n*len(generatedWord("", 0))
		if at < 0 {
			continue
		}
		if prompt[at:] == GeneratedText(prompt[:at], n) {
			return prompt[:at], prompt[at:]
		}
	}
	return prompt, ""
}

// GeneratedText returns the first n words that an engine generates for prompt.
func GeneratedText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(generatedWord(prompt, i))
	}
	return b.String()
}

// generatedWord returns the i-th word generated for prompt. All words have the
// same length.
func generatedWord(prompt string, i int) string {
	return fmt.Sprintf(" w%08x", uint32(xxhash.Sum64String(strconv.Itoa(i)+prompt)))
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "malformed call", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	departing := e.load.Departing
	e.mu.Unlock()
	if departing {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	out := newStream(id, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	e.mu.Lock()
	e.streams[id] = out
	e.mu.Unlock()
	go e.generate(c, out)
	e.sendEvents(w, r, out, 0)
}

// generate runs the model for c and appends its output to out.
func (e *Engine) generate(c completionRequest, out *stream) {
	prompt, generated := c.splitGenerated()
	from := utf8.RuneCountInString(generated) / len(generatedWord("", 0))
	tokens := prefix.Tokens(len(prompt) + len(generated))
	hashes := prefix.HashBlocks(c.Salt, []byte(prompt+generated))
	prefilled, ok := e.engine.Prefill(c.Priority, tokens, hashes, out.cancelled)
	if !ok {
		return
	}
	defer e.engine.Release()
	e.appendCacheEvents(prefilled)
	total := c.MaxTokens
	if total == 0 {
		total = defaultMaxTokens
	}
	var text strings.Builder
	for i := range total {
		time.Sleep(e.engine.StepTime())
		if out.abandoned() {
			return
		}
		text.WriteString(generatedWord(prompt, from+i))
		out.appendWord(generatedWord(prompt, from+i))
	}
	out.finish(tokens, prefilled.CachedTokens, total)
	e.recordRun(out, Run{
		ID:           out.id,
		Salt:         c.Salt,
		Text:         text.String(),
		PromptTokens: tokens,
		CachedTokens: prefilled.CachedTokens,
	})
}

// appendCacheEvents records the cache changes of a prefill.
func (e *Engine) appendCacheEvents(r model.PrefillResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.appendCacheEvent(false, r.Stored)
	e.appendCacheEvent(true, r.Removed)
}

// appendCacheEvent appends a cache event and drops the oldest ones beyond
// maxEvents. The caller holds mu.
func (e *Engine) appendCacheEvent(removed bool, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	e.seq++
	e.events = append(e.events, CacheEvent{
		Seq:     e.seq,
		Removed: removed,
		Hashes:  hashes,
	})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

// recordRun records a completed generation and drops the oldest finished stream
// beyond maxEndedStreams.
func (e *Engine) recordRun(out *stream, r Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
	e.endedStreams = append(e.endedStreams, out.id)
	if len(e.endedStreams) > maxEndedStreams {
		delete(e.streams, e.endedStreams[0])
		e.endedStreams = e.endedStreams[1:]
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.engine.Load()
	report := e.load
	report.Running, report.Waiting, report.PrefillTokens = now.Running, now.Waiting, now.PrefillTokens
	writeJSON(w, report)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	found := []CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq > after && !e.Faults.Inject(Skip) {
			found = append(found, ev)
		}
	}
	writeJSON(w, map[string]any{
		"epoch":   e.load.Epoch,
		"version": e.load.Version,
		"events":  found,
	})
}

// Order is the body of an order to an engine.
type Order struct {
	// FencingToken is the fencing token of the instance that sends the order.
	FencingToken int64 `json:"fence"`
	// Version is the version of the weights to load, or empty for no change.
	Version string `json:"version,omitempty"`
	// Depart tells whether the engine is to refuse new requests.
	Depart bool `json:"leave,omitempty"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && o.FencingToken < e.fencingToken {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.load.Departing = o.Depart
	if o.Version != "" && o.Version != e.load.Version {
		e.load.Version = o.Version
		e.engine.ClearCache()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) }
