package model

import (
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/pkg/prefix"
)

// Engine is the model of one engine. It is made by New and is safe for
// concurrent use.
type Engine struct {
	slots   *Turns
	reader  *Turns
	prefill float64
	step    time.Duration
	limit   int

	// mu guards what follows.
	mu    sync.Mutex
	cache Cache
	load  Load
}

// Load is the calls and prompts of an engine at one moment.
type Load struct {
	// Running and Waiting count calls with and without a slot.
	Running int
	Waiting int
	// Tokens is the prompt tokens that wait to be read.
	Tokens int
}

// Option changes an engine that New makes.
type Option func(*Engine)

// WithRate sets the prompt tokens a second and the time between two tokens.
func WithRate(prefill float64, step time.Duration) Option {
	return func(e *Engine) {
		e.prefill = prefill
		e.step = step
	}
}

// WithBlocks sets how many blocks the cache holds.
func WithBlocks(n int) Option {
	return func(e *Engine) { e.limit = n }
}

// Slots is how many calls an engine runs at once.
const Slots = 16

// New returns an engine with an empty cache.
func New(opts ...Option) *Engine {
	e := &Engine{
		slots:   NewTurns(Slots),
		reader:  NewTurns(1),
		prefill: 20_000,
		step:    5 * time.Millisecond,
		limit:   4096,
	}
	for _, o := range opts {
		o(e)
	}
	e.cache = NewCache(e.limit)
	return e
}

// Read waits for a slot and reads a prompt. It returns how many of its tokens
// were cached and which blocks came in and went out, or false where gone was
// closed before. The slot is held until Done.
func (e *Engine) Read(priority, tokens int, hashes []uint64, gone <-chan struct{}) (Reading, bool) {
	e.count(0, 1, tokens)
	if !e.slots.Take(priority, gone) {
		e.count(0, -1, -tokens)
		return Reading{}, false
	}
	e.count(1, -1, 0)
	if !e.reader.Take(priority, gone) {
		e.count(0, 0, -tokens)
		e.Done()
		return Reading{}, false
	}
	defer e.reader.Give()
	r := Reading{
		Cached: min(e.Cached(hashes)*prefix.BlockTokens, tokens),
	}
	time.Sleep(time.Duration(float64(tokens-r.Cached) / e.prefill * float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Tokens -= tokens
	r.Stored, r.Removed = e.cache.Add(hashes)
	return r, true
}

// Reading is what reading a prompt did.
type Reading struct {
	// Cached is how many tokens were cached.
	Cached int
	// Stored and Removed are the blocks that came into the cache and went out.
	Stored  []uint64
	Removed []uint64
}

// Done frees the slot of a call that was read.
func (e *Engine) Done() {
	e.count(-1, 0, 0)
	e.slots.Give()
}

// Cached returns how many leading blocks are cached.
func (e *Engine) Cached(hashes []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.Prefix(hashes)
}

// Load returns the load at this moment.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}

// Step returns the time between two tokens.
func (e *Engine) Step() time.Duration { return e.step }

// Prefill returns the prompt tokens a second.
func (e *Engine) Prefill() float64 { return e.prefill }

// Empty empties the cache, as a crash or new weights do.
func (e *Engine) Empty() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = NewCache(e.limit)
}

func (e *Engine) count(running, waiting, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Running += running
	e.load.Waiting += waiting
	e.load.Tokens += tokens
}
