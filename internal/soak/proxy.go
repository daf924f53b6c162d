package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is how a proxy treats traffic.
type Mode uint8

const (
	// Pass forwards bytes.
	Pass Mode = iota
	// Delay forwards bytes after a delay.
	Delay
	// Reset resets all connections, including new ones.
	Reset
	// HoldServerToClient holds back what the server sends.
	HoldServerToClient
	// HoldClientToServer holds back what the client sends.
	HoldClientToServer
	// HoldBoth holds back both directions.
	HoldBoth
	modes
)

var modeNames = [...]string{"pass", "delay", "reset", "mute-back", "mute-forth", "silence"}

// String returns the name of m.
func (m Mode) String() string { return modeNames[m] }

// forwardDelay is how long Delay holds back bytes: several times a usual round
// trip and below every timeout of the program.
const forwardDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to a server and injects network faults.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	// changed is closed and replaced whenever mode is set.
	changed chan struct{}
	conns   map[net.Conn]bool
	done    chan struct{}
	workers sync.WaitGroup
}

// NewProxy returns a proxy for target that listens on a free loopback port.
func NewProxy(ctx context.Context, target string) (*Proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "a proxy can't listen on a loopback port: free some ports")
	}
	p := &Proxy{
		listener: l,
		target:   target,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
		done:     make(chan struct{}),
	}
	p.workers.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set sets the mode. Pass forwards the bytes that were held back.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// Close stops the proxy, resets its connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	close(p.done)
	_ = p.listener.Close()
	for c := range p.conns {
		abort(c)
	}
	p.mu.Unlock()
	p.workers.Wait()
}

// abort resets c.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.workers.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) state() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// track registers a connection and returns true, or aborts it if the proxy is
// closed or resets connections.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		abort(c)
		return false
	default:
	}
	if p.mode == Reset {
		abort(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// serve forwards one connection.
func (p *Proxy) serve(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	if !p.track(server) {
		abort(client)
		return
	}
	defer p.untrack(server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, HoldClientToServer) })
	both.Go(func() { p.copy(client, server, HoldServerToClient) })
	both.Wait()
}

// copy forwards what from sends; held is the mode that holds back this direction.
// It forwards the end of the stream too: EOF as EOF, an error as a reset.
func (p *Proxy) copy(to, from net.Conn, held Mode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !p.wait(held) {
			abort(to)
			return
		}
		if n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				abort(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// wait blocks while a direction is held back and reports whether to continue.
func (p *Proxy) wait(held Mode) bool {
	mode, changed := p.state()
	if mode == Delay {
		timer := time.NewTimer(forwardDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-p.done:
			return false
		}
	}
	for mode == held || mode == HoldBoth {
		select {
		case <-changed:
		case <-p.done:
			return false
		}
		mode, changed = p.state()
	}
	return mode != Reset
}
