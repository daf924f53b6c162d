package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is what a proxy does with bytes.
type Mode uint8

const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Delay hands them on late.
	Delay
	// Reset resets all connections, new ones too.
	Reset
	// MuteBack holds what the server sends.
	MuteBack
	// MuteForth holds what the client sends.
	MuteForth
	// Silence holds all.
	Silence
	modes
)

var modeNames = [...]string{"pass", "delay", "reset", "mute-back", "mute-forth", "silence"}

// String returns the name of m.
func (m Mode) String() string { return modeNames[m] }

// lateness is how long Delay holds bytes: several times a usual round trip and
// below each time-out of the program.
const lateness = 150 * time.Millisecond

// Proxy hands on connections to a server, or harms them.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	// changed is closed and replaced when mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	done    chan struct{}
	workers sync.WaitGroup
}

// NewProxy returns a proxy on a free port of loopback before target.
func NewProxy(ctx context.Context, target string) (*Proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "no port for a proxy: free some")
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

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set changes what the proxy does. What it held goes on with Pass.
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

// Close ends the proxy and its connections.
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

// abort closes c with a reset.
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

// track adds a connection, or aborts it where none may live.
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

func (p *Proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// serve hands on one connection.
func (p *Proxy) serve(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.forget(client)
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	if !p.track(server) {
		abort(client)
		return
	}
	defer p.forget(server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, MuteForth) })
	both.Go(func() { p.copy(client, server, MuteBack) })
	both.Wait()
}

// copy hands on what from sends; muted is the mode that holds this direction. An
// end is handed on as it came: as an end, or as a reset.
func (p *Proxy) copy(to, from net.Conn, muted Mode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !p.wait(muted) {
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

// wait waits while a direction is held, and tells whether to go on.
func (p *Proxy) wait(muted Mode) bool {
	mode, changed := p.state()
	if mode == Delay {
		timer := time.NewTimer(lateness)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-p.done:
			return false
		}
	}
	for mode == muted || mode == Silence {
		select {
		case <-changed:
		case <-p.done:
			return false
		}
		mode, changed = p.state()
	}
	return mode != Reset
}
