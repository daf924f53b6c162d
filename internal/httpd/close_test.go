package httpd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/httpd"
)

// crossListener accepts connections that wait after they have closed their write side.
type crossListener struct {
	net.Listener
	closed, release chan struct{}
}

func newCrossListener() *crossListener {
	return &crossListener{
		closed:  make(chan struct{}),
		release: make(chan struct{}),
	}
}

func (l *crossListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return crossConn{
		TCPConn:  c.(*net.TCPConn),
		listener: l,
	}, nil
}

type crossConn struct {
	*net.TCPConn
	listener *crossListener
}

func (c crossConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.listener.closed <- struct{}{}
	<-c.listener.release
	return err
}

// A request that is sent while its connection is closed must leave a line, since nothing
// else shows it.
func TestRequestThatCrossesTheCloseIsLogged(t *testing.T) {
	for reason, crosses := range map[string]bool{
		"idle":   true,
		"unused": false,
		"stop":   true,
	} {
		t.Run(reason, func(t *testing.T) {
			cross := newCrossListener()
			f := newFixture(t, func(l net.Listener) net.Listener {
				cross.Listener = l
				return cross
			}, httpd.WithHeaderTimeout(idleTimeout))
			c := f.dial()
			if reason != "unused" {
				c.write(request)
				c.requireAnswer()
			}
			stopped := make(chan error, 1)
			switch reason {
			case "idle":
				f.idle.Store(int64(idleTimeout))
			case "stop":
				go func() { stopped <- f.server.Stop(t.Context()) }()
			}
			<-cross.closed
			if crosses {
				c.write(request)
			} else {
				require.NoError(t, c.Close())
			}
			close(cross.release)
			if reason == "stop" {
				require.NoError(t, <-stopped)
			} else {
				c.requireClosed()
			}
			require.Eventually(t, func() bool { return f.count("closed "+reason) == 1 }, waitTimeout, pollInterval)
			if crosses {
				require.Eventually(t, func() bool { return f.count("crossed "+reason) == 1 }, waitTimeout, pollInterval)
				require.Contains(t, f.lines(), `"event":"crossed","reason":"`+reason+`"`)
			}
			require.NoError(t, f.server.Close())
			require.Zero(t, f.count("crossed unused"))
		})
	}
}

// A caller that keeps its side of a closed connection open must not delay a stop.
func TestStopDoesNotWaitForCallersToClose(t *testing.T) {
	f := newFixture(t, nil)
	for range 20 {
		c := f.dial()
		c.write(request)
		c.requireAnswer()
	}
	begin := time.Now()
	require.NoError(t, f.server.Stop(t.Context()))
	require.Less(t, time.Since(begin), time.Second)
	require.Equal(t, 20, f.count("closed stop"))
	require.Contains(t, f.lines(), `"event":"closed","reason":"stop"`)
}

// stopMargin is how long before SIGKILL an instance ends the time of a stop.
const stopMargin = 400 * time.Millisecond

// wireTime is how long a request is on its way in tests.
const wireTime = 10 * time.Millisecond

// A response that began before a stop does not announce the close, so that its caller's
// next request must be answered, too.
func TestStopAnswersRequestAfterBegunResponse(t *testing.T) {
	f := newFixture(t, nil, httpd.WithSettleTime(time.Second))
	c := f.dial()
	c.write("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "begun", <-f.entered)
	_, err := c.r.Peek(1)
	require.NoError(t, err, "the response must begin before the stop")
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	close(f.release)
	resp, body, err := c.read()
	require.NoError(t, err)
	require.Equal(t, "answer of begun", body)
	require.False(t, resp.Close)
	time.Sleep(wireTime)
	c.write(request)
	require.True(t, c.requireAnswer().Close)
	c.requireClosed()
	require.NoError(t, <-stopped)
	require.Zero(t, f.count("closed stop"))
}

// Kept connections must stay usable while a stop waits for a request, and after it until
// the callers' next requests have arrived.
func TestStopKeepsConnectionsWhileRequestsAreInFlight(t *testing.T) {
	f := newFixture(t, nil, httpd.WithSettleTime(time.Second))
	held, early, late := f.dial(), f.dial(), f.dial()
	for _, c := range []*caller{held, early, late} {
		c.write(request)
		c.requireAnswer()
		require.Equal(t, "ok", <-f.entered)
	}
	held.write("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "begun", <-f.entered)
	_, err := held.r.Peek(1)
	require.NoError(t, err, "the response must begin before the stop")
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	time.Sleep(idleTimeout)
	early.write(request)
	require.True(t, early.requireAnswer().Close)
	early.requireClosed()
	close(f.release)
	_, _, err = held.read()
	require.NoError(t, err)
	time.Sleep(wireTime)
	late.write(request)
	require.True(t, late.requireAnswer().Close)
	require.NoError(t, <-stopped)
	require.Equal(t, 1, f.count("closed stop"))
}

// A request that arrives on a kept connection when the time of a stop is over must still
// get a response.
func TestEndOfGracePeriodAnswersLateRequests(t *testing.T) {
	f := newFixture(t, nil)
	stuck, kept, idle, fresh := f.dial(), f.dial(), f.dial(), f.dial()
	stuck.write("GET /stuck HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "stuck", <-f.entered)
	for _, c := range []*caller{kept, idle} {
		c.write(request)
		c.requireAnswer()
	}
	kept.write(request[:9])
	fresh.write(request[:9])
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(ctx) }()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	cancel()
	time.Sleep(wireTime)
	for _, c := range []*caller{kept, fresh} {
		c.write(request[9:])
		c.requireAnswer()
	}
	idle.write(request)
	idle.requireAnswer()
	close(f.release)
	_, _, err := stuck.read()
	require.NoError(t, err)
	require.NoError(t, <-stopped)
}

// A request that is in flight when the server is closed must be answered or leave a line.
func TestCloseLogsRequestsInFlight(t *testing.T) {
	f := newFixture(t, nil)
	line, _, _ := strings.Cut(request, "Host")
	var callers []*caller
	for _, text := range []string{"GET /hold HTTP/1.1\r\nHost: h\r\n\r\n", "GET /stuck HTTP/1.1\r\nHost: h\r\n\r\n", line} {
		c := f.dial()
		c.write(request)
		c.requireAnswer()
		c.write(text)
		callers = append(callers, c)
	}
	for range 5 {
		<-f.entered
	}
	time.Sleep(wireTime)
	require.NoError(t, f.server.Close())
	close(f.release)
	unanswered := 0
	for _, c := range callers {
		if _, _, err := c.read(); err != nil {
			unanswered++
		}
	}
	require.GreaterOrEqual(t, unanswered, 2)
	require.Eventually(t, func() bool { return f.count("grace") == unanswered }, waitTimeout, pollInterval,
		"%d unanswered", unanswered)
}

// A response that is complete must not be logged as cut because its caller has not sent
// the rest of its request.
func TestStopDoesNotCutCompleteResponse(t *testing.T) {
	f := newFixture(t, nil)
	c := f.dial()
	c.write("POST /ok HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\npart")
	c.requireAnswer()
	ctx, cancel := context.WithTimeout(t.Context(), wireTime)
	defer cancel()
	require.NoError(t, f.server.Stop(ctx))
	require.Empty(t, f.lines())
}

// busyListener has a backlog that is never empty.
type busyListener struct {
	*net.TCPListener
	full *net.TCPListener
}

// SyscallConn returns a socket with a connection that nobody accepts.
func (l busyListener) SyscallConn() (syscall.RawConn, error) { return l.full.SyscallConn() }

// A listener at which connections keep arriving must not take the time that requests
// need for their responses.
func TestBusyListenerDoesNotDelayEndOfGracePeriod(t *testing.T) {
	full, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = full.Close() }()
	unaccepted, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", full.Addr().String())
	require.NoError(t, err)
	defer func() { _ = unaccepted.Close() }()
	f := newFixture(t, func(l net.Listener) net.Listener {
		return busyListener{
			TCPListener: l.(*net.TCPListener),
			full:        full.(*net.TCPListener),
		}
	})
	held := f.dial()
	held.write("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "hold", <-f.entered)
	ctx, cancel := context.WithTimeout(t.Context(), wireTime)
	defer cancel()
	begin := time.Now()
	require.NoError(t, f.server.Stop(ctx))
	require.Less(t, time.Since(begin), stopMargin)
	resp, _, err := held.read()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

// A long response that announces the close must reach its caller whole, also if another
// request was sent behind its own.
func TestCloseSendsResponseBeforePipelinedRequest(t *testing.T) {
	body := strings.Repeat("x", 3<<20)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		_, _ = io.WriteString(w, body)
	}))
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, request)
	require.NoError(t, err)
	<-entered
	_, err = io.WriteString(nc, request)
	require.NoError(t, err)
	time.Sleep(wireTime)
	s.Drain()
	close(release)
	// The response does not fit into the buffers.
	time.Sleep(wireTime)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, got, len(body))
	require.NoError(t, s.Stop(t.Context()))
	require.ErrorIs(t, <-served, http.ErrServerClosed)
}

// pausedListener does not get to accept connections for a while once it is draining, as
// where no process gets processor time.
type pausedListener struct {
	*net.TCPListener
	pause time.Duration
	// waiting is closed when the pause begins, unless it is nil.
	waiting chan struct{}
	once    sync.Once
}

func (l *pausedListener) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.once.Do(func() {
			close(l.waiting)
			time.Sleep(l.pause)
		})
	}
	return nc, err
}

// Guards against connections that are reset in the backlog of a stopping server which had
// no processor time until the limit for closing its listener.
func TestStopServesBacklogAfterPause(t *testing.T) {
	var paused *pausedListener
	f := newFixture(t, func(l net.Listener) net.Listener {
		paused = &pausedListener{
			TCPListener: l.(*net.TCPListener),
			pause:       800 * time.Millisecond,
			waiting:     make(chan struct{}),
		}
		return paused
	})
	first := f.dial()
	first.write(request)
	first.requireAnswer()
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	<-paused.waiting
	var callers []*caller
	for range 90 {
		c := f.dial()
		c.write(request)
		callers = append(callers, c)
	}
	for _, c := range callers {
		c.requireAnswer()
	}
	require.NoError(t, <-stopped)
	require.Zero(t, f.count("discarded backlog"))
}

// What a server leaves unread must be logged and counted, since nothing else shows it.
func TestUnreadConnectionsAreLogged(t *testing.T) {
	var paused *pausedListener
	f := newFixture(t, func(l net.Listener) net.Listener {
		paused = &pausedListener{
			TCPListener: l.(*net.TCPListener),
			pause:       800 * time.Millisecond,
			waiting:     make(chan struct{}),
		}
		return paused
	})
	first := f.dial()
	first.write(request)
	first.requireAnswer()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = f.server.Stop(t.Context())
	}()
	<-paused.waiting
	for range 3 {
		f.dial().write(request)
	}
	require.NoError(t, f.server.Close())
	<-closed
	require.Equal(t, 3, f.count("discarded backlog"), f.lines())
	require.Contains(t, f.lines(), `"event":"discarded","place":"backlog","connections":3`)
}
