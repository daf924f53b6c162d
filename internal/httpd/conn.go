package httpd

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// phase is what the server does with a connection.
type phase uint8

const (
	// waiting means that no byte of the next request was read.
	waiting phase = iota
	// reading means that the header of a request was read in part.
	reading
	// handling means that the header was read and the response is not complete.
	handling
	// closed means that the connection is closed.
	closed
)

// String returns the name of the phase in logs.
func (p phase) String() string {
	return [...]string{"waiting", "reading", "handling", "closed"}[p%4]
}

// expired is a deadline in the past, which interrupts a pending read.
var expired = time.Unix(1, 0)

// conn is a connection that is closed between requests only: a decision to end it
// interrupts the read of the next request, and the reader closes it if no byte has
// arrived.
type conn struct {
	net.Conn
	server *Server

	// mu guards the fields below and orders the deadlines that are set on Conn.
	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// kept is true from the first response on.
	kept bool
	// ending is true if the connection is to be closed unless a request has
	// arrived.
	ending bool
	// ahead is true if the first byte of the next request was read before the
	// current one ended.
	ahead bool
	// deadline is the read deadline that http.Server has set. It applies while a
	// request is handled.
	deadline time.Time
	// lastByte is when a byte was last read or written.
	lastByte time.Time
	// answered is true if something was written since the last byte was read.
	answered bool
	// readErr is the last error of a read.
	readErr error
	// served is true once the handler has the current request.
	served bool
	// logged is true once the current request was logged as cut.
	logged bool
	// id identifies the current request, if it is known.
	id string
}

func newConn(inner net.Conn, s *Server) *conn {
	now := time.Now()
	return &conn{
		Conn:     inner,
		server:   s,
		since:    now,
		lastByte: now,
	}
}

// Read reads from the connection. While no byte of a request has arrived, it
// returns an error once the connection is to be closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.noteRead(n, len(p), err) {
			return n, err
		}
	}
}

// noteRead records the result of a read into size bytes. It reports whether to read
// again: the read was interrupted, but a request has arrived since.
func (c *conn) noteRead(n, size int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastByte, c.answered = time.Now(), false
		switch {
		case c.phase == waiting:
			c.setPhase(reading)
		case c.phase == handling && size == 1:
			// http.Server reads single bytes to notice that the caller left.
			c.ahead = true
		}
		return false
	}
	if c.phase == waiting && errors.Is(err, os.ErrDeadlineExceeded) && hasInput(c.Conn) {
		c.ending = false
		_ = c.applyDeadline()
		return true
	}
	c.readErr = err
	return false
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastByte, c.answered = time.Now(), true
	}
	return n, err
}

// CloseWrite closes the write side, so that the caller can read a response to a
// request that it has not sent completely.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetReadDeadline records the deadline of http.Server. It takes effect while a
// request is handled; before, the limits of the Server apply.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline sets the read and write deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyDeadline sets the read deadline of the current phase. The caller holds mu.
func (c *conn) applyDeadline() error {
	var t time.Time
	switch {
	case c.phase == waiting && c.ending:
		t = expired
	case c.phase == reading:
		t = c.since.Add(c.server.headerTimeout)
	case c.phase == handling:
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// setPhase begins a phase. The caller holds mu.
func (c *conn) setPhase(p phase) {
	c.phase, c.since = p, time.Now()
	_ = c.applyDeadline()
}

// beginRequest records that the header of a request was read or is malformed.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(handling)
}

// endRequest records that the response is complete.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := waiting
	if c.ahead {
		next = reading
	}
	c.ahead, c.kept, c.id = false, true, ""
	c.served, c.logged = false, false
	c.ending = c.server.stopping.Load()
	c.setPhase(next)
}

// setID sets the ID of the current request.
func (c *conn) setID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

// endIfIdle closes the connection unless a request has arrived, if it has been idle
// for idle, or, without a request so far, for first. 0 is no limit.
func (c *conn) endIfIdle(idle, first time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := first
	if c.kept {
		limit = idle
	}
	if c.phase != waiting || c.ending || limit <= 0 || time.Since(c.since) < limit {
		return
	}
	c.ending = true
	_ = c.applyDeadline()
}

// endIfKept closes the connection unless a request has arrived or it is still to
// send its first one.
func (c *conn) endIfKept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting && c.kept {
		c.ending = true
		_ = c.applyDeadline()
	}
}

// markServed records that the handler has the current request.
func (c *conn) markServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
}

// cut logs the current request as cut, once.
func (c *conn) cut(why reason, err error) {
	c.mu.Lock()
	s, logged := c.state(), c.logged
	c.logged = true
	c.mu.Unlock()
	if !logged {
		c.server.logCut(s, why, err)
	}
}

// Close closes the connection and logs a request that was not read completely.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	unread := !c.served && !c.answered && (c.phase == reading || c.phase == handling)
	readErr := c.readErr
	c.mu.Unlock()
	if unread {
		c.cut(unreadReason(readErr), readErr)
	}
	c.mu.Lock()
	c.phase = closed
	c.mu.Unlock()
	c.server.remove(c)
	return err
}

// inRequest reports whether a request was read, at least in part, whose response is
// not complete.
func (c *conn) inRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == reading || c.phase == handling
}

// state is what is logged about a connection.
type state struct {
	id    string
	phase phase
	since time.Time
	quiet time.Duration
	peer  string
}

// state returns the state for the log. The caller holds mu.
func (c *conn) state() state {
	return state{
		id:    c.id,
		phase: c.phase,
		since: c.since,
		quiet: time.Since(c.lastByte),
		peer:  c.RemoteAddr().String(),
	}
}

// requestID returns the ID of the current request.
func (c *conn) requestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

// hasInput reports whether bytes have arrived on c that were not read.
func hasInput(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	// Control works after the read deadline, unlike Read.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return err == nil && found
}
