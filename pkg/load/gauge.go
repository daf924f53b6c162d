package load

import (
	"sync"
	"sync/atomic"
)

// Gauge counts this instance's calls at each endpoint. The zero value is
// ready. It is safe for concurrent use.
type Gauge struct {
	// mu guards the map; the counters are atomic.
	mu       sync.RWMutex
	counters map[string]*counter
}

type counter struct {
	calls  atomic.Int64
	tokens atomic.Int64
	unread atomic.Int64
}

// Call is one counted call. Its methods may be called more than once.
type Call struct {
	c      *counter
	tokens int64
	read   *atomic.Bool
	ended  *atomic.Bool
}

// Start counts a call whose prompt has the given number of tokens to be read.
func (g *Gauge) Start(endpoint string, tokens int) Call {
	c := g.find(endpoint)
	if c == nil {
		c = g.add(endpoint)
	}
	c.calls.Add(1)
	c.tokens.Add(int64(tokens))
	c.unread.Add(1)
	return Call{
		c:      c,
		tokens: int64(tokens),
		read:   &atomic.Bool{},
		ended:  &atomic.Bool{},
	}
}

// First records that the prompt was read.
func (c Call) First() {
	if c.read.CompareAndSwap(false, true) {
		c.c.tokens.Add(-c.tokens)
		c.c.unread.Add(-1)
	}
}

// End records that the call ended.
func (c Call) End() {
	c.First()
	if c.ended.CompareAndSwap(false, true) {
		c.c.calls.Add(-1)
	}
}

// Work returns the work at endpoint.
func (g *Gauge) Work(endpoint string) Work {
	if c := g.find(endpoint); c != nil {
		return c.work()
	}
	return Work{}
}

// All returns the work at all endpoints that have some.
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

func (g *Gauge) find(endpoint string) *counter {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.counters[endpoint]
}

func (g *Gauge) add(endpoint string) *counter {
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
		Calls:  int(c.calls.Load()),
		Tokens: int(c.tokens.Load()),
		Unread: int(c.unread.Load()),
	}
}
