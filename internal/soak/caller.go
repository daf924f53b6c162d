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
	"syscall"
	"time"
)

// Protocol builds requests and reads responses of a protocol.
type Protocol interface {
	// Request returns the HTTP request of an attempt.
	Request(ctx context.Context, a Attempt) (*http.Request, error)
	// ResponseIDs returns the attempt ID and the seal in the header of a response.
	ResponseIDs(h http.Header) (echo, seal string)
}

// Balancer selects instances that accept connections.
type Balancer interface {
	// Pick returns the name and the address of an instance.
	Pick(r *rand.Rand) (name, addr string)
}

// Source generates requests.
type Source interface {
	Next(r *rand.Rand) Request
}

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// maxAttempts is how often a caller sends the same request at most.
	maxAttempts = 3
	// closeDelay is how long after its timeout a caller closes the connection.
	closeDelay = 300 * time.Millisecond
	// abortRate is the share of requests that the caller aborts early, and
	// closeRate the share of responses after which it closes the connection.
	abortRate = 0.03
	closeRate = 0.02
	// minRedial is the least time between two attempts to connect.
	minRedial = 80 * time.Millisecond
	// maxThink bounds the time between two requests unless the caller idles.
	maxThink = 4 * time.Second
	// idleRate is the share of requests after which the caller idles for a random
	// time, of at most maxIdleShare of the idle limit.
	idleRate     = 0.03
	maxIdleShare = 0.8
)

// Habit is how a caller uses its connections. The zero value is the usual caller.
type Habit struct {
	// NoThink makes the caller send its next request at once after a response.
	NoThink bool
	// OncePerConn makes the caller use a new connection for each request.
	OncePerConn bool
	// OpenDelay bounds the random time from the opening of a connection to its first
	// request.
	OpenDelay time.Duration
	// IdleRate is the share of requests after which the caller idles; 0 is idleRate.
	IdleRate float64
	// NoticeClose makes the caller open another connection if the server has closed
	// this one before a request is sent.
	NoticeClose bool
}

func (h Habit) idleRate() float64 {
	if h.IdleRate == 0 {
		return idleRate
	}
	return h.IdleRate
}

// Caller sends requests, one at a time, on persistent connections.
type Caller struct {
	// Name is the prefix of its attempt IDs.
	Name string
	// Think is the mean time between two requests.
	Think    time.Duration
	Protocol Protocol
	Balancer Balancer
	Source   Source
	Recorder *Recorder
	Rand     *rand.Rand
	// Habit is how the caller differs from the usual one.
	Habit Habit
	// IdleRand decides when the caller idles, and IdleLimit returns the idle limit of
	// the newest configuration. The caller closes connections that were idle for
	// longer than maxIdleShare of it.
	IdleRand  *rand.Rand
	IdleLimit func() time.Duration

	sent int
	// retry is the request to send again, if any; tried counts its attempts.
	retry *Request
	tried int
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		instance, addr := c.Balancer.Pick(c.Rand)
		dialer := net.Dialer{
			Timeout: dialTimeout,
		}
		begun := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			if ctx.Err() == nil {
				c.Recorder.RecordDialError(instance, begun)
			}
			Sleep(ctx, max(c.Think, minRedial))
			continue
		}
		if c.Habit.OpenDelay > 0 {
			Sleep(ctx, time.Duration(c.IdleRand.Int64N(int64(c.Habit.OpenDelay))))
		}
		c.useConn(ctx, conn, instance)
		_ = conn.Close()
	}
}

// useConn sends requests on conn until it is to be closed.
func (c *Caller) useConn(ctx context.Context, conn net.Conn, instance string) {
	r := bufio.NewReader(conn)
	for prior := 0; ctx.Err() == nil; prior++ {
		if c.Habit.NoticeClose && closedByPeer(conn) {
			return
		}
		a := c.nextAttempt()
		a.Instance, a.PriorRequests = instance, prior
		a, wait, open := c.send(ctx, conn, r, a)
		c.Recorder.RecordAttempt(a)
		c.scheduleRetry(a)
		think := max(wait, min(time.Duration(c.Rand.ExpFloat64()*float64(c.Think)), maxThink))
		if c.Habit.NoThink {
			think = wait
		}
		if open && c.retry == nil && c.IdleRand.Float64() < c.Habit.idleRate() {
			think = max(think, time.Duration(c.IdleRand.Float64()*maxIdleShare*float64(c.IdleLimit())))
		}
		if !Sleep(ctx, think) {
			return
		}
		// Retries use new connections.
		if !open || c.Habit.OncePerConn || float64(time.Since(a.Done)) > maxIdleShare*float64(c.IdleLimit()) || c.retry != nil || c.Rand.Float64() < closeRate {
			return
		}
	}
}

// nextAttempt returns a retry, if one is due, or a new request.
func (c *Caller) nextAttempt() Attempt {
	var a Attempt
	if c.retry != nil {
		a.Request = *c.retry
		c.retry = nil
		c.tried++
	} else {
		a.Request = c.Source.Next(c.Rand)
		c.tried = 1
	}
	c.sent++
	a.ID = c.Name + "-" + strconv.Itoa(c.sent)
	return a
}

// scheduleRetry keeps the request for a retry if it failed and may be sent again.
func (c *Caller) scheduleRetry(a Attempt) {
	if a.success() || a.CallerClosed || c.tried >= maxAttempts {
		return
	}
	switch {
	case NotRun(a.Status):
	case a.Once || a.Status >= 400 && a.Status < 500 || a.Status >= 200 && a.Status < 300:
		return
	}
	c.retry = &a.Request
}

// NotRun reports whether a status guarantees that the request did not run and
// never will.
func NotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// send sends a and reads its response. It returns the wait that the response asks
// for in Retry-After and whether conn may be reused.
func (c *Caller) send(ctx context.Context, conn net.Conn, r *bufio.Reader, a Attempt) (Attempt, time.Duration, bool) {
	req, err := c.Protocol.Request(ctx, a)
	if err != nil {
		panic(err)
	}
	a.Begun = time.Now()
	timeout := a.Limit + closeDelay
	if c.Rand.Float64() < abortRate {
		timeout = time.Duration(c.Rand.Int64N(int64(a.Limit / 4)))
	}
	_ = conn.SetDeadline(a.Begun.Add(timeout))
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
	a.Echo, a.Seal = c.Protocol.ResponseIDs(resp.Header)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.ResponseBody = string(body)
	if err != nil {
		return failed(a, err), 0, false
	}
	a.Done, a.Complete, a.ExtraBytes = time.Now(), true, r.Buffered() > 0
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	wait := min(time.Duration(seconds*float64(time.Second)), (a.Limit-a.Done.Sub(a.Begun))/3)
	return a, wait, !resp.Close
}

// closedByPeer reports whether the other side has closed conn, or sent bytes that no
// request asked for.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || closed
}

// failed returns a with the outcome of an error of its connection.
func failed(a Attempt, err error) Attempt {
	a.Done = time.Now()
	a.ConnError = err.Error()
	a.CallerClosed = errors.Is(err, os.ErrDeadlineExceeded)
	return a
}
