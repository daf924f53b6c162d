package httpd_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/baobabtally/baobabtally/internal/httpd"
)

const (
	// waitTimeout is how long tests wait for an expected condition.
	waitTimeout = 8 * time.Second
	// pollInterval is the polling interval of conditions.
	pollInterval = 10 * time.Millisecond
	// idleTimeout is the idle limit in tests that wait for it.
	idleTimeout = 300 * time.Millisecond

	request = "GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder records log lines and counts.
type recorder struct {
	mu     sync.Mutex
	buf    bytes.Buffer
	counts map[string]int
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(p)
}

// Cut counts a cut request.
func (r *recorder) Cut(reason string) { r.add(reason) }

// Closed counts a connection that was closed between requests.
func (r *recorder) Closed(reason string) { r.add("closed " + reason) }

// Crossed counts a request that crossed a close.
func (r *recorder) Crossed(reason string) { r.add("crossed " + reason) }

// Discarded counts connections that were closed with what nobody has read.
func (r *recorder) Discarded(place string, connections int) {
	for range connections {
		r.add("discarded " + place)
	}
}

func (r *recorder) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[reason]++
}

// count returns how many requests were cut for a reason.
func (r *recorder) count(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reason]
}

// lines returns the log.
func (r *recorder) lines() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.String()
}

// fixture is a server whose handler takes the ID of a request from its path.
type fixture struct {
	*recorder
	t      *testing.T
	server *httpd.Server
	addr   string
	idle   atomic.Int64
	// entered receives the ID of each request that reaches the handler.
	entered chan string
	// release ends the requests for /hold and /begun.
	release chan struct{}
	served  chan error
}

// newFixture serves on a loopback listener, which wrap replaces unless it is nil.
func newFixture(t *testing.T, wrap func(net.Listener) net.Listener, options ...httpd.Option) *fixture {
	f := &fixture{
		recorder: &recorder{
			counts: map[string]int{},
		},
		t:       t,
		entered: make(chan string, 100),
		release: make(chan struct{}),
		served:  make(chan error, 1),
	}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	options = append([]httpd.Option{
		httpd.WithLog(zerolog.New(f).Level(zerolog.InfoLevel)),
		httpd.WithMeter(f),
		httpd.WithIdleTimeout(func() time.Duration { return time.Duration(f.idle.Load()) }),
	}, options...)
	f.server = httpd.New(http.HandlerFunc(f.handle), options...)
	go func() { f.served <- f.server.Serve(l) }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	httpd.SetID(r.Context(), id)
	f.entered <- id
	switch id {
	case "hold":
		select {
		case <-f.release:
		case <-r.Context().Done():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	case "begun":
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-f.release:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	case "stuck":
		<-f.release
	case "panic":
		panic("a fault")
	case "late-panic":
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic("a fault")
	case "abort":
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "answer of "+id)
}

// caller is a connection to the server.
type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (f *fixture) dial() *caller {
	f.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(f.t.Context(), "tcp", f.addr)
	require.NoError(f.t, err)
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	f.t.Cleanup(func() { _ = conn.Close() })
	return &caller{
		t:    f.t,
		Conn: conn,
		r:    bufio.NewReader(conn),
	}
}

// write sends text.
func (c *caller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// read reads a response.
func (c *caller) read() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// requireAnswer reads the response to request.
func (c *caller) requireAnswer() *http.Response {
	c.t.Helper()
	resp, body, err := c.read()
	require.NoError(c.t, err)
	require.Equal(c.t, "answer of ok", body)
	return resp
}

// requireClosed checks that the server closes the connection.
func (c *caller) requireClosed() {
	c.t.Helper()
	_, err := c.r.ReadByte()
	require.Error(c.t, err)
	require.NotErrorIs(c.t, err, os.ErrDeadlineExceeded)
}

// A connection must not be closed as idle while the next request is being read.
func TestIdleTimeoutSparesRequestBeingRead(t *testing.T) {
	f := newFixture(t, nil, httpd.WithIdleTimeout(func() time.Duration { return idleTimeout }))
	c := f.dial()
	c.write(request)
	c.requireAnswer()
	c.write(request[:1])
	time.Sleep(2 * idleTimeout)
	c.write(request[1:9])
	time.Sleep(2 * idleTimeout)
	c.write(request[9:])
	c.requireAnswer()
	c.requireClosed()
}

// gatedListener accepts connections whose interrupted reads wait.
type gatedListener struct {
	net.Listener
	interrupted, release chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{
		TCPConn:       c.(*net.TCPConn),
		gatedListener: l,
	}, nil
}

// gatedConn reports an interrupted read and waits before it returns.
type gatedConn struct {
	*net.TCPConn
	gatedListener gatedListener
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	// http.Server itself interrupts reads of a single byte.
	if n == 0 && len(p) > 1 && errors.Is(err, os.ErrDeadlineExceeded) {
		select {
		case c.gatedListener.interrupted <- struct{}{}:
		case <-c.gatedListener.release:
		}
		<-c.gatedListener.release
	}
	return n, err
}

// A request that arrives between the decision to close its connection and the close
// must be served.
func TestRequestThatArrivesBeforeTheCloseIsServed(t *testing.T) {
	for name, stop := range map[string]bool{
		"idle": false,
		"stop": true,
	} {
		t.Run(name, func(t *testing.T) {
			gate := gatedListener{
				interrupted: make(chan struct{}),
				release:     make(chan struct{}),
			}
			f := newFixture(t, func(l net.Listener) net.Listener {
				gate.Listener = l
				return gate
			})
			c := f.dial()
			c.write(request)
			c.requireAnswer()
			stopped := make(chan error, 1)
			if stop {
				go func() { stopped <- f.server.Stop(t.Context()) }()
			} else {
				f.idle.Store(int64(idleTimeout))
			}
			<-gate.interrupted
			c.write(request)
			close(gate.release)
			require.Equal(t, stop, c.requireAnswer().Close)
			c.requireClosed()
			if stop {
				require.NoError(t, <-stopped)
			}
		})
	}
}

// A changed idle limit must apply to connections that are idle already, since callers
// follow the newest one.
func TestIdleTimeoutFollowsItsLimit(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(idleTimeout))
	f := newFixture(t, nil, httpd.WithIdleTimeout(func() time.Duration { return time.Duration(limit.Load()) }))
	c := f.dial()
	c.write(request)
	c.requireAnswer()
	limit.Store(int64(time.Minute))
	time.Sleep(2 * idleTimeout)
	c.write(request)
	c.requireAnswer()
	limit.Store(int64(idleTimeout))
	c.requireClosed()
}

// A connection that is idle when the limit is lowered must stay usable until its caller
// can know of the new one.
func TestLowerIdleTimeoutSparesIdleConnections(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(time.Minute))
	f := newFixture(t, nil, httpd.WithIdleTimeout(func() time.Duration { return time.Duration(limit.Load()) }))
	c := f.dial()
	c.write(request)
	c.requireAnswer()
	time.Sleep(2 * idleTimeout)
	limit.Store(int64(idleTimeout))
	time.Sleep(2 * idleTimeout)
	c.write(request)
	c.requireAnswer()
	c.requireClosed()
}

// A stop must answer a request of which a part was read before it.
func TestStopServesRequestBeingRead(t *testing.T) {
	f := newFixture(t, nil)
	kept, fresh := f.dial(), f.dial()
	kept.write(request)
	kept.requireAnswer()
	kept.write(request[:9])
	fresh.write(request[:9])
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	time.Sleep(100 * time.Millisecond)
	for _, c := range []*caller{kept, fresh} {
		c.write(request[9:])
		require.True(t, c.requireAnswer().Close)
		c.requireClosed()
	}
	require.NoError(t, <-stopped)
	require.Empty(t, f.lines())
}

// The first request of a connection that was opened before a stop must be answered.
func TestStopServesFirstRequestOfOpenConnection(t *testing.T) {
	f := newFixture(t, nil)
	idle, fresh := f.dial(), f.dial()
	idle.write(request)
	idle.requireAnswer()
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	idle.requireClosed()
	fresh.write(request)
	require.True(t, fresh.requireAnswer().Close)
	require.NoError(t, <-stopped)
}

// Connections in the backlog of the listener must be served by a stopping server.
func TestStopServesBacklog(t *testing.T) {
	f := newFixture(t, nil)
	var callers []*caller
	for range 50 {
		callers = append(callers, f.dial())
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	for _, c := range callers {
		c.write(request)
		c.requireAnswer()
	}
	require.NoError(t, <-stopped)
}

// A listener at which connections keep arriving must be closed, too.
func TestStopClosesBusyListener(t *testing.T) {
	f := newFixture(t, nil)
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	require.Eventually(t, func() bool {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.addr)
		if err != nil {
			return true
		}
		_ = c.Close()
		return false
	}, waitTimeout, time.Millisecond)
	require.NoError(t, <-stopped)
}

// Responses that begin while the server is draining must ask callers to close their
// connections, and kept connections without a request must stay usable until the stop.
func TestDrainKeepsConnectionsUsable(t *testing.T) {
	f := newFixture(t, nil)
	c := f.dial()
	c.write(request)
	require.False(t, c.requireAnswer().Close)
	f.server.Drain()
	time.Sleep(100 * time.Millisecond)
	c.write(request)
	require.True(t, c.requireAnswer().Close)
	c.requireClosed()
}

// Pipelined requests must all be answered by a server that stops meanwhile.
func TestStopServesPipelinedRequests(t *testing.T) {
	f := newFixture(t, nil)
	c := f.dial()
	c.write("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n" + request)
	require.Equal(t, "hold", <-f.entered)
	close(f.release)
	_, body, err := c.read()
	require.NoError(t, err)
	require.Equal(t, "answer of hold", body)
	c.requireAnswer()
	c.write(request)
	c.requireAnswer()
	require.NoError(t, f.server.Stop(t.Context()))
}

// At the end of the grace period, handlers must get the chance to respond, and what
// remains must be logged with its ID.
func TestEndOfGracePeriodIsLogged(t *testing.T) {
	f := newFixture(t, nil)
	callers := map[string]*caller{}
	for _, id := range []string{"hold", "begun", "stuck"} {
		c := f.dial()
		c.write(fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", id))
		require.Equal(t, id, <-f.entered)
		callers[id] = c
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorContains(t, f.server.Stop(ctx), "stopped before the request ended")
	resp, _, err := callers["hold"].read()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	_, _, err = callers["begun"].read()
	require.Error(t, err, "an incomplete response must not look complete")
	_, _, err = callers["stuck"].read()
	require.Error(t, err)
	close(f.release)
	require.Equal(t, 2, f.count("grace"))
	for _, id := range []string{"begun", "stuck"} {
		require.Contains(t, f.lines(), `"event":"cut","request":"`+id+`","reason":"grace"`)
	}
	require.NotContains(t, f.lines(), `"request":"hold"`)
}

// A panic must end one request alone and leave a line with its ID and place.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	f := newFixture(t, nil, httpd.WithFailure(func(w http.ResponseWriter, id string) {
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "failed: "+id)
	}))
	c := f.dial()
	c.write("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, body, err := c.read()
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "failed: panic", body)
	require.Contains(t, f.lines(), `"event":"panic","request":"panic","detail":"a fault"`)
	require.Contains(t, f.lines(), "httpd_test.(*fixture).handle")
	c.write(request)
	c.requireAnswer()
	c.write("GET /late-panic HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _, err = c.read()
	require.Error(t, err, "an incomplete response must not look complete")
	require.Eventually(t, func() bool { return f.count("panic") == 2 }, waitTimeout, pollInterval)
	require.Contains(t, f.lines(), `"event":"cut","request":"late-panic","reason":"panic"`)
}

// Each request that ends without a complete response must leave a line and be counted.
func TestCutRequestIsLogged(t *testing.T) {
	f := newFixture(t, nil, httpd.WithHeaderTimeout(idleTimeout))
	line, _, _ := strings.Cut(request, "Host")
	c := f.dial()
	c.write("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _, err := c.read()
	require.Error(t, err)
	require.Eventually(t, func() bool { return f.count("broken") == 1 }, waitTimeout, pollInterval)
	require.Contains(t, f.lines(), `"event":"cut","request":"abort","reason":"broken","phase":"handling","quiet"`)

	c = f.dial()
	c.write("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "abort", <-f.entered)
	require.Equal(t, "begun", <-f.entered)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return f.count("caller") == 1 }, waitTimeout, pollInterval)

	c = f.dial()
	c.write(line)
	c.requireClosed()
	require.Eventually(t, func() bool { return f.count("header") == 1 }, waitTimeout, pollInterval)

	before := f.lines()
	c = f.dial()
	c.write("no request\r\n\r\n")
	resp, _, err := c.read()
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	c = f.dial()
	require.NoError(t, c.Close())
	c = f.dial()
	c.requireClosed()
	require.Equal(t, before, f.lines(), "none of these is a cut request")
}
