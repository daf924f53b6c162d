package soak

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Wire builds requests and reads answers of a protocol.
type Wire interface {
	// Request returns the message of a.
	Request(ctx context.Context, a Attempt) (*http.Request, error)
	// Marks returns the id and the seal that an answer bears.
	Marks(h http.Header) (echo, seal string)
}

// Balancer names instances that take connections.
type Balancer interface {
	// Pick returns the name and the address of an instance.
	Pick(r *rand.Rand) (name, addr string)
}

// Source draws requests.
type Source interface {
	Next(r *rand.Rand) Request
}

const (
	// dialLimit is how long callers wait for a connection.
	dialLimit = time.Second
	// tries is how often a caller sends the same work at most.
	tries = 3
	// patience is how long after its limit a caller closes.
	patience = 300 * time.Millisecond
	// leaveShare and dropShare are the parts of requests whose caller leaves
	// early, and of connections that it closes after an answer.
	leaveShare = 0.03
	dropShare  = 0.02
	// longThink bounds the time between two requests: callers reuse connections
	// that were idle for up to four fifths of the limit, which is 5 s.
	longThink = 4 * time.Second
)

// Caller sends requests, one at a time, on connections that it keeps until they
// are closed.
type Caller struct {
	// Name begins the ids of its attempts.
	Name string
	// Think is the mean time between two requests.
	Think    time.Duration
	Wire     Wire
	Balancer Balancer
	Source   Source
	Book     *Book
	Rand     *rand.Rand

	sent int
	// again is work to be sent once more, tries times in all.
	again *Request
	tried int
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		node, addr := c.Balancer.Pick(c.Rand)
		dialer := net.Dialer{
			Timeout: dialLimit,
		}
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			Sleep(ctx, c.Think)
			continue
		}
		c.use(ctx, conn, node)
		_ = conn.Close()
	}
}

// use sends requests on conn until it is closed.
func (c *Caller) use(ctx context.Context, conn net.Conn, node string) {
	r := bufio.NewReader(conn)
	for kept := 0; ctx.Err() == nil; kept++ {
		a := c.next()
		a.Node, a.Kept = node, kept
		a, wait, open := c.ask(ctx, conn, r, a)
		c.Book.Asked(a)
		c.judge(a)
		if !Sleep(ctx, max(wait, min(time.Duration(c.Rand.ExpFloat64()*float64(c.Think)), longThink))) {
			return
		}
		// Retries take new connections.
		if !open || c.again != nil || c.Rand.Float64() < dropShare {
			return
		}
	}
}

// next returns the next attempt.
func (c *Caller) next() Attempt {
	var a Attempt
	if c.again != nil {
		a.Request = *c.again
		c.again = nil
		c.tried++
	} else {
		a.Request = c.Source.Next(c.Rand)
		c.tried = 1
	}
	c.sent++
	a.ID = c.Name + "-" + strconv.Itoa(c.sent)
	return a
}

// judge keeps work that may be sent again.
func (c *Caller) judge(a Attempt) {
	if a.success() || a.Left || c.tried >= tries {
		return
	}
	switch {
	case Promise(a.Status):
	case a.Once || a.Status >= 400 && a.Status < 500 || a.Status >= 200 && a.Status < 300:
		return
	}
	c.again = &a.Request
}

// Promise tells whether a status promises that the request did not run and never
// will.
func Promise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// ask sends a and reads its answer. It returns how long the answer asks to wait
// and whether conn may be used again.
func (c *Caller) ask(ctx context.Context, conn net.Conn, r *bufio.Reader, a Attempt) (Attempt, time.Duration, bool) {
	req, err := c.Wire.Request(ctx, a)
	if err != nil {
		panic(err)
	}
	a.Begun = time.Now()
	stay := a.Limit + patience
	if c.Rand.Float64() < leaveShare {
		stay = time.Duration(c.Rand.Int64N(int64(a.Limit / 4)))
	}
	_ = conn.SetDeadline(a.Begun.Add(stay))
	w := bufio.NewWriter(conn)
	if err = req.Write(w); err == nil {
		err = w.Flush()
	}
	a.Sent = time.Now()
	if err != nil {
		return failed(a, err), 0, false
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return failed(a, err), 0, false
	}
	a.Status = resp.StatusCode
	a.Echo, a.Seal = c.Wire.Marks(resp.Header)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.Answer = string(body)
	if err != nil {
		return failed(a, err), 0, false
	}
	a.Done, a.Whole, a.Stray = time.Now(), true, r.Buffered() > 0
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	wait := min(time.Duration(seconds*float64(time.Second)), (a.Limit-a.Done.Sub(a.Begun))/3)
	return a, wait, !resp.Close
}

// failed returns a after an error of its connection.
func failed(a Attempt, err error) Attempt {
	a.Done = time.Now()
	a.Fail = err.Error()
	a.Left = errors.Is(err, os.ErrDeadlineExceeded)
	return a
}
