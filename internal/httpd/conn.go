package httpd

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/baobabtally/baobabtally/pkg/grace"
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
	// leaving means that the write side is closed, so that no response can follow.
	leaving
	// closed means that the connection is closed.
	closed
)

// busy reports whether a request was read, at least in part, whose response is not
// complete.
func (p phase) busy() bool { return p == reading || p == handling }

// crossTime bounds the wait for a request that was sent before its caller could notice
// that the connection is closed: about a round trip.
const crossTime = 50 * time.Millisecond

// restTime bounds the wait for a caller to read the rest of a response, after which its
// connection is closed.
const restTime = 500 * time.Millisecond

// String returns the name of the phase in logs.
func (p phase) String() string {
	return [...]string{"waiting", "reading", "handling", "leaving", "closed"}[p%5]
}

// expired is a deadline in the past, which interrupts a pending read.
var expired = time.Unix(1, 0)

// conn is a connection that is closed between requests only: a decision to end it
// interrupts the read of the next request, and the reader closes it if no byte has
// arrived. A request that its caller sends at that moment crosses the close. Such
// requests are logged, but not read, so that the caller may send them again.
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
	// ending is why the connection is to be closed unless a request has arrived, or
	// open.
	ending ending
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
	// served is true once the handler has the current request, and finished once it has
	// returned.
	served   bool
	finished bool
	// chunks is true if the caller of the current request understands chunks.
	chunks bool
	// logged is true once the current request was logged as cut.
	logged bool
	// id identifies the current request, if it is known.
	id string
	// hold is what the connection and its request hold.
	hold hold
	// tail is what the caller has not taken yet.
	tail tail
	// pace is how fast the caller sends and reads.
	pace pace
	// evicted is true once the connection was closed to make room for others.
	evicted bool
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
		c.beginRead(len(p))
		n, err := c.Conn.Read(p)
		next := c.noteRead(n, len(p), err)
		if next == readOn {
			continue
		}
		if next == leave {
			c.leave()
		}
		if n > 0 && !c.holdHeader(p[:n]) {
			return 0, io.EOF
		}
		return n, err
	}
}

// beginRead follows the progress of a body. http.Server reads single bytes once it has the
// whole body.
func (c *conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != handling {
		return
	}
	if size == 1 {
		c.pace.endBody()
		return
	}
	c.pace.beginBody(time.Now())
}

// step is what follows a read.
type step uint8

const (
	// pass returns the result to http.Server.
	pass step = iota
	// readOn reads again: the read was interrupted, but a request has arrived since.
	readOn
	// leave closes the connection.
	leave
)

// noteRead records the result of a read into size bytes.
func (c *conn) noteRead(n, size int, err error) step {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastByte, c.answered, c.readErr = time.Now(), false, nil
		switch {
		case c.phase == waiting:
			c.setPhase(reading)
		case c.phase == handling && size == 1:
			// http.Server reads single bytes to notice that the caller left.
			c.ahead = true
		case c.phase == handling:
			c.pace.received += n
		}
		return pass
	}
	if c.phase == waiting && errors.Is(err, os.ErrDeadlineExceeded) {
		if hasInput(c.Conn) {
			c.ending = open
			_ = c.applyDeadline()
			return readOn
		}
		if c.ending != open {
			return leave
		}
	}
	c.readErr = err
	return pass
}

// leave closes the connection. It closes the write side first, so that requests that
// cross the close are noticed.
func (c *conn) leave() {
	c.mu.Lock()
	s, why, kept := c.state(), c.ending, c.kept
	c.mu.Unlock()
	err := c.CloseWrite()
	c.server.logClosed(s, why, kept)
	if err == nil && awaitInput(c.Conn, crossTime) {
		c.server.logCrossed(s, why)
	}
	// http.Server closes the connection, too.
	_ = c.Conn.Close()
}

// Write writes to the connection. It logs a response whose end can't be written since the
// server was closed.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.writeTail(p)
	if err != nil || n == len(p) {
		return n, err
	}
	if err := c.awaitTail(); err != nil {
		return n, err
	}
	rest, err := c.writeWaiting(p[n:])
	return n + rest, err
}

// writeWaiting writes p and waits for a slow caller.
func (c *conn) writeWaiting(p []byte) (int, error) {
	total := 0
	for {
		c.beginWrite()
		n, err := c.Conn.Write(p[total:])
		total += n
		again, lost := c.noteWritten(n, err)
		if again {
			continue
		}
		if lost {
			c.cut(graceEnded, grace.ErrEnded)
		}
		return total, err
	}
}

func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.writing = time.Now()
}

// noteWritten records the result of a write. It reports whether the rest is to be written,
// since a slow caller has made progress, and whether the end of a response is lost.
func (c *conn) noteWritten(n int, err error) (again, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if n > 0 {
		c.lastByte, c.answered = now, true
	}
	c.pace.writing = time.Time{}
	if c.pace.unread && n >= minProgress && errors.Is(err, os.ErrDeadlineExceeded) {
		c.pace.unread = false
		_ = c.SetWriteDeadline(time.Time{})
		return true, false
	}
	return false, err != nil && c.served && c.server.closing.Load()
}

// CloseWrite closes the write side, so that the caller can read a response to a
// request that it has not sent completely. The response is complete then.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.setPhase(leaving)
	c.mu.Unlock()
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
	case c.phase == waiting && c.ending != open:
		t = expired
	case c.phase == reading:
		t = c.since.Add(c.server.headerTimeout)
	case c.phase == handling && c.pace.stalled:
		t = expired
	case c.phase == handling:
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// setPhase begins a phase, unless the connection is closed. The caller holds mu.
func (c *conn) setPhase(p phase) {
	if c.phase == closed {
		return
	}
	c.server.countBusy(c.phase.busy(), p.busy())
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
	c.pace = pace{}
	c.endHold()
	c.served, c.finished, c.logged = false, false, false
	c.ending = open
	if c.server.aborting.Load() {
		c.ending = stopped
	}
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
	limit, why := first, unused
	if c.kept {
		limit, why = idle, idled
	}
	if c.phase != waiting || c.ending != open || limit <= 0 || time.Since(c.since) < limit {
		return
	}
	c.ending = why
	_ = c.applyDeadline()
}

// end closes the connection unless a request has arrived. It spares one that is still to
// send its first request, unless unsent is true.
func (c *conn) end(unsent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting && (c.kept || unsent) {
		c.ending = stopped
		_ = c.applyDeadline()
	}
}

// lastResponse returns when the last response on the connection was complete. It returns
// false unless the caller may send another request.
func (c *conn) lastResponse() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == waiting && c.kept
}

// markServed records that the handler has the current request, and whether the
// caller's version of the protocol has chunks.
func (c *conn) markServed(chunks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
	c.chunks = chunks
}

// markFinished records that the handler has returned.
func (c *conn) markFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
}

// markIncomplete makes the connection end with a reset if the caller could take the
// end of the connection for that of the response.
func (c *conn) markIncomplete() {
	c.mu.Lock()
	chunks := c.chunks
	c.mu.Unlock()
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && !chunks {
		_ = l.SetLinger(0)
	}
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

// Close closes the connection and logs a request that was not read completely, or whose
// response is not complete. A complete response is sent to its end first.
func (c *conn) Close() error {
	c.sendRest()
	unread := c.unreadRequest()
	err := c.Conn.Close()
	c.mu.Lock()
	if unread {
		c.server.logDiscarded(inSocket, 1, c.state())
	}
	lost, why, cause := c.lostRequest()
	c.mu.Unlock()
	if lost {
		c.cut(why, cause)
	}
	c.mu.Lock()
	c.setPhase(closed)
	c.endHold()
	c.mu.Unlock()
	c.server.remove(c)
	return err
}

// unreadRequest reports whether the caller has sent a request of which nothing was read.
func (c *conn) unreadRequest() bool {
	c.mu.Lock()
	idle := c.phase == waiting
	c.mu.Unlock()
	return idle && hasInput(c.Conn)
}

// sendRest waits until the caller has the end of a complete response. A socket that is
// closed with unread input, such as a request that was sent behind the last one, is reset,
// and what is still to be sent is lost.
func (c *conn) sendRest() {
	c.mu.Lock()
	s := c.state()
	complete := c.phase == handling && c.finished && !c.server.closing.Load()
	ahead := c.ahead
	c.mu.Unlock()
	if !complete || !ahead && !hasInput(c.Conn) {
		return
	}
	why := open
	if c.server.draining.Load() {
		why = stopped
	}
	c.server.logCrossed(s, why)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(restTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// lostRequest reports whether the current request ends without a response, and why. The
// caller holds mu.
func (c *conn) lostRequest() (bool, reason, error) {
	unread := !c.served && !c.answered
	unfinished := c.served && !c.finished
	switch {
	case !c.phase.busy():
		return false, 0, nil
	case c.server.closing.Load() && (unread || unfinished):
		return true, graceEnded, grace.ErrEnded
	case c.evicted:
		return true, crowdedOut, errCrowded
	case unread:
		return true, unreadReason(c.readErr), c.readErr
	}
	return false, 0, nil
}

// inRequest reports whether a request was read, at least in part, whose response is
// not complete.
func (c *conn) inRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase.busy()
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
	raw, ok := rawConn(c)
	if !ok {
		return false
	}
	found := false
	// Control works after the read deadline, unlike Read.
	err := raw.Control(func(fd uintptr) { found, _ = peek(fd) })
	return err == nil && found
}

// awaitInput waits for bytes on c for limit, until the peer closes it or c is closed. It
// reports whether any have arrived, and leaves them unread.
func awaitInput(c net.Conn, limit time.Duration) bool {
	raw, ok := rawConn(c)
	if !ok || c.SetReadDeadline(time.Now().Add(limit)) != nil {
		return false
	}
	found := false
	err := raw.Read(func(fd uintptr) bool {
		var pending bool
		found, pending = peek(fd)
		return !pending
	})
	return err == nil && found
}

// peek reports whether a socket has bytes that were not read, and else whether some may
// still arrive.
func peek(fd uintptr) (found, pending bool) {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	return err == nil && n > 0, again
}

// rawConn returns the socket of c, if it has one.
func rawConn(c any) (syscall.RawConn, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// backlog returns how many connections of l were not accepted, or 1 for any number where the
// system does not tell it.
func backlog(l net.Listener) int {
	if !hasBacklog(l) {
		return 0
	}
	raw, ok := rawConn(l)
	if !ok {
		return 1
	}
	n := 1
	_ = raw.Control(func(fd uintptr) {
		// For a listening socket this field is the length of its queue.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = max(n, int(info.Unacked))
		}
	})
	return n
}

// hasBacklog reports whether l has connections that were not accepted.
func hasBacklog(l net.Listener) bool {
	raw, ok := rawConn(l)
	if !ok {
		return false
	}
	n := 0
	err := raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{
			{
				Fd:     int32(fd),
				Events: unix.POLLIN,
			},
		}, 0)
	})
	return err == nil && n > 0
}
