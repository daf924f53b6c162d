package load

import (
	"sync"
	"sync/atomic"
)

// Gauge counts the calls that this instance has in flight at each endpoint. The
// zero value is ready to use. It is safe for concurrent use.
type Gauge struct {
	// mu guards the counters map; the counters themselves are atomic.
	mu       sync.RWMutex
	counters map[string]*counter
}

type counter struct {
	calls         atomic.Int64
	prefillTokens atomic.Int64
	prefillCalls  atomic.Int64
}

// Call is a call that a Gauge counts. Repeated calls of its methods have no effect.
type Call struct {
	counter      *counter
	tokens       int64
	prefillEnded *atomic.Bool
	ended        *atomic.Bool
}

// Start counts a new call at endpoint, of whose prompt the given number of tokens
// is uncached and must be prefilled.
func (g *Gauge) Start(endpoint string, tokens int) Call {
	c := g.lookup(endpoint)
	if c == nil {
		c = g.getOrCreate(endpoint)
	}
	c.calls.Add(1)
	c.prefillTokens.Add(int64(tokens))
	c.prefillCalls.Add(1)
	return Call{
		counter:      c,
		tokens:       int64(tokens),
		prefillEnded: &atomic.Bool{},
		ended:        &atomic.Bool{},
	}
}

// EndPrefill records the first token of the response, which ends the prefill.
func (c Call) EndPrefill() {
	if c.prefillEnded.CompareAndSwap(false, true) {
		c.counter.prefillTokens.Add(-c.tokens)
		c.counter.prefillCalls.Add(-1)
	}
}

// End records the end of the call.
func (c Call) End() {
	c.EndPrefill()
	if c.ended.CompareAndSwap(false, true) {
		c.counter.calls.Add(-1)
	}
}

// Work returns the work of this instance at endpoint.
func (g *Gauge) Work(endpoint string) Work {
	if c := g.lookup(endpoint); c != nil {
		return c.work()
	}
	return Work{}
}

// All returns the work of this instance by endpoint, without idle endpoints.
func (g *Gauge) All() map[string]Work {
	g.mu.RLock()
	defer g.mu.RUnlock()
	out := map[string]Work{}
	for name, c := range g.counters {
		if w := c.work(); w.Calls > 0 {
			out[name] = w
		}
	}
	return out
}

func (g *Gauge) lookup(endpoint string) *counter {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.counters[endpoint]
}

func (g *Gauge) getOrCreate(endpoint string) *counter {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counters == nil {
		g.counters = map[string]*counter{}
	}
	c := g.counters[endpoint]
	if c == nil {
		c = &counter{}
		g.counters[endpoint] = c
	}
	return c
}

func (c *counter) work() Work {
	return Work{
		Calls:         int(c.calls.Load()),
		PrefillTokens: int(c.prefillTokens.Load()),
		PrefillCalls:  int(c.prefillCalls.Load()),
	}
}
