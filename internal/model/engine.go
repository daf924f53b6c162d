package model

import (
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/pkg/prefix"
)

// Engine simulates one engine. New creates it. It is safe for concurrent use.
type Engine struct {
	slots       *Semaphore
	prefiller   *Semaphore
	prefillRate float64
	stepTime    time.Duration
	cacheBlocks int

	// mu guards the fields below.
	mu    sync.Mutex
	cache Cache
	load  Load
}

// Load is the work of an engine at one moment.
type Load struct {
	// Running and Waiting count requests with and without a slot.
	Running int
	Waiting int
	// PrefillTokens is the number of prompt tokens that await prefill.
	PrefillTokens int
}

// Option configures an Engine.
type Option func(*Engine)

// WithRate sets the prefill rate in tokens per second and the time per output
// token.
func WithRate(prefillRate float64, stepTime time.Duration) Option {
	return func(e *Engine) {
		e.prefillRate = prefillRate
		e.stepTime = stepTime
	}
}

// WithCacheBlocks sets the capacity of the prompt cache in blocks.
func WithCacheBlocks(n int) Option {
	return func(e *Engine) { e.cacheBlocks = n }
}

// Slots is the number of requests that an engine runs concurrently.
const Slots = 16

// New returns an engine with an empty cache.
func New(opts ...Option) *Engine {
	e := &Engine{
		slots:       NewSemaphore(Slots),
		prefiller:   NewSemaphore(1),
		prefillRate: 20_000,
		stepTime:    5 * time.Millisecond,
		cacheBlocks: 4096,
	}
	for _, o := range opts {
		o(e)
	}
	e.cache = NewCache(e.cacheBlocks)
	return e
}

// Prefill waits for a slot, prefills a prompt and caches its blocks. It returns
// false if cancelled is closed while it waits. Otherwise the caller holds the
// slot until Release.
func (e *Engine) Prefill(priority, tokens int, hashes []uint64, cancelled <-chan struct{}) (PrefillResult, bool) {
	e.addLoad(0, 1, tokens)
	if !e.slots.Acquire(priority, cancelled) {
		e.addLoad(0, -1, -tokens)
		return PrefillResult{}, false
	}
	e.addLoad(1, -1, 0)
	if !e.prefiller.Acquire(priority, cancelled) {
		e.addLoad(0, 0, -tokens)
		e.Release()
		return PrefillResult{}, false
	}
	defer e.prefiller.Release()
	r := PrefillResult{
		CachedTokens: min(e.CachedBlocks(hashes)*prefix.BlockTokens, tokens),
	}
	time.Sleep(time.Duration(float64(tokens-r.CachedTokens) / e.prefillRate * float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.PrefillTokens -= tokens
	r.Stored, r.Removed = e.cache.Add(hashes)
	return r, true
}

// PrefillResult is the effect of prefilling a prompt on the cache.
type PrefillResult struct {
	// CachedTokens is the number of prompt tokens that were already cached.
	CachedTokens int
	// Stored and Removed are the blocks that were cached and evicted.
	Stored  []uint64
	Removed []uint64
}

// Release frees the slot of a request after a successful Prefill.
func (e *Engine) Release() {
	e.addLoad(-1, 0, 0)
	e.slots.Release()
}

// CachedBlocks returns the number of leading blocks of hashes that are cached.
func (e *Engine) CachedBlocks(hashes []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.PrefixLen(hashes)
}

// Load returns the current load.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}

// StepTime returns the time per output token.
func (e *Engine) StepTime() time.Duration { return e.stepTime }

// PrefillRate returns the prefill rate in tokens per second.
func (e *Engine) PrefillRate() float64 { return e.prefillRate }

// ClearCache empties the cache, as a restart or a change of weights does.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = NewCache(e.cacheBlocks)
}

func (e *Engine) addLoad(running, waiting, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.Running += running
	e.load.Waiting += waiting
	e.load.PrefillTokens += tokens
}
