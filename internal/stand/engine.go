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
	// orphanLimit is how long a stream runs on without a reader.
	orphanLimit = 5 * time.Second
	// keptStreams is how many ended streams can still be resumed.
	keptStreams = 256
	// keptEvents is how many cache events can still be read.
	keptEvents = 1024
	// defaultOutput is the length of an answer that does not ask for one.
	defaultOutput = 16
)

// Load is an endpoint's report of its load.
type Load struct {
	Epoch   string  `json:"epoch"`
	Version string  `json:"version,omitempty"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Tokens  int     `json:"tokens"`
	Slots   int     `json:"slots"`
	Prefill float64 `json:"prefill,omitempty"`
	Step    float64 `json:"step,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
}

// Event is one entry of an engine's cache event stream.
type Event struct {
	Seq     int64    `json:"seq"`
	Removed bool     `json:"removed,omitempty"`
	Hashes  []uint64 `json:"hashes"`
}

// Engine is a stand-in for a language-model engine: it reads prompts one after
// another, generates for several calls at once, caches prompt blocks in
// limited memory and serves calls by their priority. Its text depends on the
// prompt alone, so that answers can be compared byte for byte.
type Engine struct {
	// Faults makes calls fail.
	Faults  Faults
	mux     *http.ServeMux
	engine  *model.Engine
	options []model.Option

	// cancelled counts the streams that were cancelled.
	cancelled atomic.Int64

	mu      sync.Mutex
	load    Load
	streams map[string]*output
	ended   []string
	runs    []Run
	events  []Event
	seq     int64
	fence   int64
	fences  bool
}

// EngineOption changes an engine that NewEngine makes.
type EngineOption func(*Engine)

// WithRate sets the prompt tokens a second and the time between two tokens.
func WithRate(prefill float64, step time.Duration) EngineOption {
	return func(e *Engine) { e.options = append(e.options, model.WithRate(prefill, step)) }
}

// WithBlocks sets how many blocks the cache holds.
func WithBlocks(n int) EngineOption {
	return func(e *Engine) { e.options = append(e.options, model.WithBlocks(n)) }
}

// WithFences has the engine refuse orders with an old fencing number.
func WithFences() EngineOption {
	return func(e *Engine) { e.fences = true }
}

// NewEngine returns an engine of the given incarnation.
func NewEngine(epoch string, opts ...EngineOption) *Engine {
	e := &Engine{
		mux:     http.NewServeMux(),
		streams: map[string]*output{},
	}
	for _, o := range opts {
		o(e)
	}
	e.engine = model.New(e.options...)
	e.load = Load{
		Epoch:   epoch,
		Version: "v1",
		Slots:   model.Slots,
		Prefill: e.engine.Prefill(),
		Step:    e.engine.Step().Seconds(),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("POST /v1/completions", e.chat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.report)
	e.mux.HandleFunc("GET /v1/events", e.listEvents)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /stand/record", e.record)
	e.mux.HandleFunc("POST /stand/fault", e.Faults.handle)
	return e
}

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") && e.Faults.Take(Down) {
		hangUp(w)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Runs returns what ran.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Cancelled returns how many streams were cancelled.
func (e *Engine) Cancelled() int64 { return e.cancelled.Load() }

// Leave has the engine refuse new work.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Leaving = true
}

// Crash empties the engine, which goes on under the same address as a new
// incarnation. All streams are gone.
func (e *Engine) Crash(epoch string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, out := range e.streams {
		out.cancel.Do(func() { close(out.gone) })
	}
	e.streams = map[string]*output{}
	e.engine.Empty()
	e.events = nil
	e.seq = 0
	e.load.Epoch = epoch
}

// completion is a call to generate.
type completion struct {
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

// split returns the prompt and the text that is to be continued.
func (c completion) split() (string, string) {
	if len(c.Messages) == 0 {
		return cutWords(c.Prompt)
	}
	last := len(c.Messages)
	done := ""
	if c.Continue {
		last--
		done = c.Messages[last].Content
	}
	var b strings.Builder
	for _, m := range c.Messages[:last] {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String(), done
}

// cutWords cuts the words off the end of a prompt that this engine generated.
func cutWords(prompt string) (string, string) {
	for n := strings.Count(prompt, " w"); n > 0; n-- {
		at := len(prompt) - n*len(word("", 0))
		if at < 0 {
			continue
		}
		if prompt[at:] == Words(prompt[:at], n) {
			return prompt[:at], prompt[at:]
		}
	}
	return prompt, ""
}

// Words returns the first n words of the answer to prompt.
func Words(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(word(prompt, i))
	}
	return b.String()
}

// word returns the i-th word of the answer to prompt, always as long as another.
func word(prompt string, i int) string {
	return fmt.Sprintf(" w%08x", uint32(xxhash.Sum64String(strconv.Itoa(i)+prompt)))
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "malformed call", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	leaving := e.load.Leaving
	e.mu.Unlock()
	if leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	out := newOutput(id, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	e.mu.Lock()
	e.streams[id] = out
	e.mu.Unlock()
	go e.run(c, out)
	e.send(w, r, out, 0)
}

// run generates the answer to c into out.
func (e *Engine) run(c completion, out *output) {
	prompt, done := c.split()
	from := utf8.RuneCountInString(done) / len(word("", 0))
	tokens := prefix.Tokens(len(prompt) + len(done))
	hashes := prefix.HashBlocks(c.Salt, []byte(prompt+done))
	reading, ok := e.engine.Read(c.Priority, tokens, hashes, out.gone)
	if !ok {
		return
	}
	defer e.engine.Done()
	e.emit(reading)
	total := c.MaxTokens
	if total == 0 {
		total = defaultOutput
	}
	var text strings.Builder
	for i := range total {
		time.Sleep(e.engine.Step())
		if out.abandoned() {
			return
		}
		text.WriteString(word(prompt, from+i))
		out.add(word(prompt, from+i))
	}
	out.end(tokens, reading.Cached, total)
	e.keep(out, Run{
		ID:     out.id,
		Salt:   c.Salt,
		Text:   text.String(),
		Prompt: tokens,
		Cached: reading.Cached,
	})
}

// emit appends the cache events of a reading.
func (e *Engine) emit(r model.Reading) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.append(false, r.Stored)
	e.append(true, r.Removed)
}

// append appends a cache event. The caller holds mu.
func (e *Engine) append(removed bool, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	e.seq++
	e.events = append(e.events, Event{
		Seq:     e.seq,
		Removed: removed,
		Hashes:  hashes,
	})
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}

// keep records a run and forgets the oldest ended stream where there are many.
func (e *Engine) keep(out *output, r Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
	e.ended = append(e.ended, out.id)
	if len(e.ended) > keptStreams {
		delete(e.streams, e.ended[0])
		e.ended = e.ended[1:]
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.engine.Load()
	report := e.load
	report.Running, report.Waiting, report.Tokens = now.Running, now.Waiting, now.Tokens
	reply(w, report)
}

func (e *Engine) listEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	found := []Event{}
	for _, ev := range e.events {
		if ev.Seq > after && !e.Faults.Take(Skip) {
			found = append(found, ev)
		}
	}
	reply(w, map[string]any{
		"epoch":   e.load.Epoch,
		"version": e.load.Version,
		"events":  found,
	})
}

// Order is an order to an engine.
type Order struct {
	// Fence is the fencing number of whoever gives the order.
	Fence int64 `json:"fence"`
	// Version is the version of weights to load, or empty.
	Version string `json:"version,omitempty"`
	// Leave has the engine take no new work.
	Leave bool `json:"leave,omitempty"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fences && o.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.load.Leaving = o.Leave
	if o.Version != "" && o.Version != e.load.Version {
		e.load.Version = o.Version
		e.engine.Empty()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) record(w http.ResponseWriter, _ *http.Request) { reply(w, e.Runs()) }
