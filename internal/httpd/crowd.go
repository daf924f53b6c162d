package httpd

import (
	"time"

	"github.com/juju/errors"
)

const (
	// connBytes is what a connection holds besides its request: buffers and stacks.
	connBytes = 32 << 10
	// defaultProgressTime is the progress time unless another is set. It is longer than
	// callers wait for an answer.
	defaultProgressTime = 15 * time.Second
	// minProgress is how many bytes a caller must send or read in the progress time.
	minProgress = 4 << 10
	// minEvictAge is for how long a header must have kept the server waiting before its
	// connection may be closed for another, and minIdleAge for how long a body, a slow
	// reader or an idle caller must have.
	minEvictAge = 100 * time.Millisecond
	minIdleAge  = time.Second
)

// errCrowded means that a connection was closed to make room for others.
const errCrowded = errors.ConstError("the connection made room for others")

// pace is how fast the caller of the current request sends and reads. The zero value is
// one of which nothing is awaited.
type pace struct {
	// body is when the current progress time of the body began, or zero if no byte of it
	// is awaited, and received is what has arrived since.
	body     time.Time
	received int
	// writing is when the pending write began, or zero if there is none.
	writing time.Time
	// stalled is true once the body came too slowly, and unread once the response was
	// read too slowly.
	stalled bool
	unread  bool
}

func (p *pace) beginBody(now time.Time) {
	if p.body.IsZero() {
		p.body, p.received = now, 0
	}
}

func (p *pace) endBody() { p.body = time.Time{} }

// endIfStalled fails the pending read or write of a caller that has made no progress
// within limit.
func (c *conn) endIfStalled(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.pace
	if c.phase != handling || p.stalled || p.unread {
		return
	}
	if !p.body.IsZero() && now.Sub(p.body) >= limit {
		p.stalled = p.received < minProgress
		p.body, p.received = now, 0
		_ = c.applyDeadline()
	}
	if !p.writing.IsZero() && now.Sub(p.writing) >= limit {
		p.unread = true
		_ = c.SetWriteDeadline(expired)
	}
}

// keeping returns since when the connection keeps the server waiting, and how readily it
// is closed for another: 0 first, and not at all if it returns false.
func (c *conn) keeping(now time.Time) (since time.Time, rank int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := minEvictAge
	switch {
	case c.phase == waiting && !c.kept, c.phase == reading:
		since = c.since
	case c.phase == handling && !c.pace.body.IsZero():
		since, rank, age = c.pace.body, 1, minIdleAge
	case c.phase == handling && !c.pace.writing.IsZero():
		since, rank, age = c.pace.writing, 2, minIdleAge
	case c.phase == waiting && c.ending == open:
		since, rank, age = c.since, 3, minIdleAge
	default:
		return since, 0, false
	}
	return since, rank, now.Sub(since) >= age
}

// evict closes a connection that keeps the server waiting. An idle one is closed unless a
// request has arrived.
func (c *conn) evict() {
	c.mu.Lock()
	idle := c.phase == waiting && c.kept
	if idle {
		c.ending = crowded
		_ = c.applyDeadline()
	}
	c.evicted = !idle
	c.mu.Unlock()
	if !idle {
		c.server.meter.Closed(crowded.String())
		_ = c.Conn.Close()
	}
}

// admit registers a connection. It returns false if there is no room for it.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		full := s.maxConns > 0 && len(s.conns) >= s.maxConns
		if !full {
			if _, ok := s.holds.Hold("", connBytes); ok {
				s.conns[c] = struct{}{}
				return true
			}
		}
		victim, rank := s.mostDelaying(time.Now())
		if victim == nil {
			return false
		}
		victim.evict()
		if rank == idleRank {
			// It is closed by its own reader, soon.
			s.holds.Add(connBytes)
			s.conns[c] = struct{}{}
			return true
		}
		s.drop(victim)
	}
}

// idleRank is the rank of idle connections.
const idleRank = 3

// mostDelaying returns the connection that is to be closed for another, and its rank, or
// nil if there is none. The caller holds mu.
func (s *Server) mostDelaying(now time.Time) (*conn, int) {
	var victim *conn
	var first time.Time
	lowest := 0
	for c := range s.conns {
		since, rank, ok := c.keeping(now)
		if ok && (victim == nil || rank < lowest || rank == lowest && since.Before(first)) {
			victim, first, lowest = c, since, rank
		}
	}
	return victim, lowest
}

// drop unregisters a connection. The caller holds mu.
func (s *Server) drop(c *conn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.holds.Add(-connBytes)
	}
}
