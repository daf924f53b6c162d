package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialLimit is how long a connection may take to open: a lost packet is sent
	// again after a second.
	dialLimit = 1200 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, so that a
	// connection into a partition ends.
	userTimeout = 2 * time.Second
	// defaultKeep is how long an idle connection is used again where the other
	// end says nothing.
	defaultKeep = 4 * time.Second
	// keepMargin is how much sooner than the other end this one lets go.
	keepMargin = 700 * time.Millisecond
)

// ErrFull means that no more connections may be opened to an address.
const ErrFull = errors.ConstError("all connections to the endpoint are in use: wait for one or choose another endpoint")

// Pool keeps connections. It is made by New and safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	// mu guards the maps, by address.
	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
	// dialed counts the connections that were opened.
	dialed int64
	closed bool
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		dialer: &net.Dialer{
			Timeout: dialLimit,
			Control: control,
		},
		idle: map[string][]*Conn{},
		open: map[string]int{},
	}
}

// control has the system give up on an address that does not acknowledge.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get returns a connection to addr, of which at most limit may be open. Unless
// any is true, one that was idle for long is not used, since its other end may
// just be closing it.
func (p *Pool) Get(ctx context.Context, addr string, limit int, any bool) (*Conn, error) {
	if c := p.take(addr, any); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if limit > 0 && p.open[addr] >= limit {
		p.mu.Unlock()
		return nil, ErrFull
	}
	p.open[addr]++
	p.dialed++
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.forget(addr)
		return nil, errors.Trace(cause(ctx, err))
	}
	return newConn(addr, nc), nil
}

// take returns an idle connection that is fit for use.
func (p *Pool) take(addr string, any bool) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		idle := time.Since(c.used)
		if idle < c.life() && (any || idle < c.life()/2) && c.clean() {
			return c
		}
		p.Drop(c)
	}
}

// life is how long a connection may be idle.
func (c *Conn) life() time.Duration {
	if c.keep == 0 {
		return defaultKeep
	}
	return max(c.keep-keepMargin, c.keep/2)
}

// Put takes a connection back after resp was read, or drops it where it can't
// serve another request.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	b, ok := resp.Body.(*body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !ok || !b.ended || resp.Close || !framed || !c.clean() {
		p.Drop(c)
		return
	}
	if keep := keepAlive(resp.Header); keep > 0 {
		c.keep = keep
	}
	c.used = time.Now()
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open[c.addr]--
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Drop closes a connection.
func (p *Pool) Drop(c *Conn) {
	c.Close()
	p.forget(c.addr)
}

func (p *Pool) forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[addr]--
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Trim closes the connections that were idle for too long, and those that were
// closed or sent bytes meanwhile: such bytes count as memory until they are read.
func (p *Pool) Trim() {
	p.mu.Lock()
	var old []*Conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.used) < c.life() && c.clean() {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.Drop(c)
	}
}

// Close drops all idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*Conn{}
	p.closed = true
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			p.Drop(c)
		}
	}
}
