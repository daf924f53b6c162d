package link

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits opening a connection. It allows for one lost packet,
	// which is sent again after a second.
	dialTimeout = 1200 * time.Millisecond
	// refusalTimeout limits the wait for a host to refuse a connection. A refusal
	// takes one round trip, also between regions.
	refusalTimeout = 250 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT), so that connections across a network partition fail.
	userTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection is reused if the
	// endpoint states no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how much earlier than the endpoint the pool closes
	// an idle connection.
	idleTimeoutMargin = 700 * time.Millisecond
)

// ErrFull means that the connection limit of an address is reached.
const ErrFull = errors.ConstError("all connections to the endpoint are in use: wait for one or choose another endpoint")

// Pool is a pool of connections, created by New. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	// mu guards the fields below. The maps are keyed by address.
	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
	// dialed counts the connections that were dialed.
	dialed int64
	closed bool
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		dialer: &net.Dialer{
			Timeout: dialTimeout,
			Control: setUserTimeout,
		},
		idle: map[string][]*Conn{},
		open: map[string]int{},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails if the
// endpoint stops acknowledging.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Get returns a connection to addr, of which at most limit may be open; 0 means
// no limit. It is not one on which a request with the given echo value was
// refused. Unless allowLongIdle is set, connections that were idle for more
// than half of their idle timeout are not used, because the endpoint may be
// closing them at this moment.
func (p *Pool) Get(ctx context.Context, addr, echo string, limit int, allowLongIdle bool) (*Conn, error) {
	if c := p.takeIdle(addr, echo, allowLongIdle); c != nil {
		return c, nil
	}
	return p.Dial(ctx, addr, limit)
}

// Dial returns a new connection to addr. If the limit is reached, an idle
// connection is closed for it.
func (p *Pool) Dial(ctx context.Context, addr string, limit int) (*Conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[addr] >= limit {
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil, ErrFull
		}
		list[0].Close()
		p.open[addr]--
		p.idle[addr] = list[1:]
	}
	p.open[addr]++
	p.dialed++
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(addr)
		return nil, errors.Trace(contextCause(ctx, err))
	}
	return newConn(addr, nc), nil
}

// Refused reports whether addr refuses connections.
func (p *Pool) Refused(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return false
}

// takeIdle returns an idle connection that can be reused for a request with the
// given echo value, or nil.
func (p *Pool) takeIdle(addr, echo string, allowLongIdle bool) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		at := len(list) - 1
		for at >= 0 && list[at].mayRepeatRefusal(echo) {
			at--
		}
		if at < 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[at]
		p.idle[addr] = slices.Delete(list, at, at+1)
		p.mu.Unlock()
		idle := time.Since(c.idleSince)
		if idle < c.idleTimeout() && (allowLongIdle || idle < c.idleTimeout()/2) && c.reusable() {
			return c
		}
		p.Drop(c)
	}
}

// idleTimeout is how long the connection may be idle.
func (c *Conn) idleTimeout() time.Duration {
	if c.peerIdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return max(c.peerIdleTimeout-idleTimeoutMargin, c.peerIdleTimeout/2)
}

// Put returns a connection to the pool after resp was read, or closes it if it
// can't be reused.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	b, ok := resp.Body.(*responseBody)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !ok || !b.complete || resp.Close || !framed || len(c.refused) > maxRefusals || !c.reusable() {
		p.Drop(c)
		return
	}
	if timeout := keepAliveTimeout(resp.Header); timeout > 0 {
		c.peerIdleTimeout = timeout
	}
	c.idleSince = time.Now()
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

// Drop closes a connection and removes it from the count of open ones.
func (p *Pool) Drop(c *Conn) {
	c.Close()
	p.release(c.addr)
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[addr]--
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// Dialed returns how many connections were dialed.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Trim closes the idle connections that have expired, were closed by the
// endpoint or have received unexpected bytes. Such bytes stay in the instance's
// memory until the connection is closed.
func (p *Pool) Trim() {
	p.mu.Lock()
	var expired []*Conn
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTimeout() && c.reusable() {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[addr] = remaining
		if len(remaining) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.Drop(c)
	}
}

// Close closes all idle connections. Connections put back later are closed as
// well.
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
