package httpd

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/holds"
	"github.com/baobabtally/baobabtally/pkg/grace"
)

const (
	// sweepInterval is how often idle connections are checked against the current
	// limit. A connection is kept that much longer at most.
	sweepInterval = 200 * time.Millisecond
	// lowerDelay is how long a lower idle limit does not apply yet, since callers may
	// follow the higher one until they know of the new one.
	lowerDelay = 2 * time.Second
	// backlogTime is how long a stopping server accepts connections before it looks
	// whether any are left in the backlog.
	backlogTime = 20 * time.Millisecond
	// drainLimit bounds the time until a stopping server closes its listener, in case
	// connections keep arriving.
	drainLimit = 500 * time.Millisecond
	// minLateAccepts is how many connections may be accepted after that at least, since the
	// system may not tell how many wait.
	minLateAccepts = 64
	// defaultSettleTime is the settle time unless another is set.
	defaultSettleTime = 100 * time.Millisecond
	// abortTime is how long handlers have to respond after the end of the grace
	// period has canceled their requests.
	abortTime = 150 * time.Millisecond
)

// meter counts by reason.
type meter interface {
	// Cut counts requests that ended without a complete response.
	Cut(reason string)
	// Closed counts connections that were closed between requests.
	Closed(reason string)
	// Crossed counts requests that arrived after their connection was closed.
	Crossed(reason string)
	// Discarded counts connections that were closed with what nobody has read, by the place
	// of that.
	Discarded(place string, connections int)
}

// Server serves HTTP/1.1 until Stop or Close is called. Use New to create one.
type Server struct {
	inner   *http.Server
	handler http.Handler
	log     zerolog.Logger
	meter   meter
	// idle returns the current limit for idle connections; 0 for none.
	idle func() time.Duration
	// fail writes the response to a request whose handler failed before it wrote
	// anything.
	fail          func(w http.ResponseWriter, id string)
	headerTimeout time.Duration
	settleTime    time.Duration
	// holds keeps the ledger of what callers' requests hold.
	holds *holds.Keeper
	// maxConns bounds the open connections; 0 for no limit.
	maxConns int
	// progressTime is how long a caller may send or read next to nothing.
	progressTime time.Duration
	// draining is true once responses ask callers to close their connections, stopping
	// once no more connections are accepted, aborting once no more requests are, and
	// closing once connections with a request are closed.
	draining atomic.Bool
	stopping atomic.Bool
	aborting atomic.Bool
	closing  atomic.Bool
	// busy is the number of connections with a request.
	busy atomic.Int64
	// quiet has a value if busy has fallen to 0.
	quiet chan struct{}
	// grace ends the contexts of all requests.
	grace *grace.Signal
	// serving counts the calls of Serve and the sweeper.
	serving sync.WaitGroup
	sweep   sync.Once
	done    chan struct{}
	end     sync.Once

	// mu guards the fields below.
	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners []*listener
	// empty is closed when the last connection is, if somebody waits.
	empty chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithLog logs the errors of connections and the requests that are cut.
func WithLog(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithGrace makes the server end the grace period of g, and with it the remaining
// requests, when Stop runs out of time.
func WithGrace(g *grace.Signal) Option { return func(s *Server) { s.grace = g } }

// WithMeter counts the requests that are cut, and the connections that are closed between
// requests.
func WithMeter(m meter) Option { return func(s *Server) { s.meter = m } }

// WithIdleTimeout closes connections that are idle for longer than limit returns; 0 is no
// limit. A higher limit applies at once and a lower one after two seconds.
func WithIdleTimeout(limit func() time.Duration) Option { return func(s *Server) { s.idle = limit } }

// WithFailure sets how to respond to a request whose handler failed.
func WithFailure(fail func(w http.ResponseWriter, id string)) Option {
	return func(s *Server) { s.fail = fail }
}

// WithHeaderTimeout limits the time from the first to the last byte of a header, and
// the time that a new connection may take to send its first byte.
func WithHeaderTimeout(d time.Duration) Option { return func(s *Server) { s.headerTimeout = d } }

// WithSettleTime sets how long a stopping server keeps a connection open after a response
// that did not announce the close, since the caller's next request may be on its way.
func WithSettleTime(d time.Duration) Option { return func(s *Server) { s.settleTime = d } }

// WithHolds counts what connections and requests hold in k, and refuses what does not fit.
func WithHolds(k *holds.Keeper) Option { return func(s *Server) { s.holds = k } }

// WithMaxConnections bounds the open connections; 0 is no limit. At the limit the one that
// has kept the server waiting longest is closed for a new one.
func WithMaxConnections(n int) Option { return func(s *Server) { s.maxConns = n } }

// WithProgressTime sets within what time a caller must send minProgress bytes of a body, or
// read as many of a response.
func WithProgressTime(d time.Duration) Option { return func(s *Server) { s.progressTime = d } }

// WithReadTimeout limits the time to read a complete request.
func WithReadTimeout(d time.Duration) Option { return func(s *Server) { s.inner.ReadTimeout = d } }

// WithMaxHeaderBytes limits the size of a header.
func WithMaxHeaderBytes(n int) Option { return func(s *Server) { s.inner.MaxHeaderBytes = n } }

// defaultHeaderTimeout is the header timeout unless another is set.
const defaultHeaderTimeout = 5 * time.Second

// New returns a server for the requests that h handles.
func New(h http.Handler, options ...Option) *Server {
	s := &Server{
		handler:       h,
		log:           zerolog.Nop(),
		meter:         noMeter{},
		idle:          func() time.Duration { return 0 },
		fail:          func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusBadGateway) },
		headerTimeout: defaultHeaderTimeout,
		settleTime:    defaultSettleTime,
		holds:         holds.New(0),
		progressTime:  defaultProgressTime,
		grace:         grace.New(),
		conns:         map[*conn]struct{}{},
		quiet:         make(chan struct{}, 1),
		done:          make(chan struct{}),
	}
	s.inner = &http.Server{
		DisableGeneralOptionsHandler: true,
		BaseContext:                  func(net.Listener) context.Context { return s.grace.Context() },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: connStateChanged,
	}
	for _, o := range options {
		o(s)
	}
	s.inner.Handler = http.HandlerFunc(s.serve)
	s.inner.ReadHeaderTimeout = s.headerTimeout
	s.inner.ErrorLog = ErrorLog(s.log)
	return s
}

// noMeter counts nothing.
type noMeter struct{}

// Cut does nothing.
func (noMeter) Cut(string) {}

// Closed does nothing.
func (noMeter) Closed(string) {}

// Crossed does nothing.
func (noMeter) Crossed(string) {}

// Discarded does nothing.
func (noMeter) Discarded(string, int) {}

// connStateChanged follows the requests of a connection.
func connStateChanged(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	switch {
	case !ok:
	case to == http.StateActive:
		c.beginRequest()
	case to == http.StateIdle:
		c.endRequest()
	}
}

// Serve accepts connections on l until Stop or Close is called, and returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	inner := &listener{
		Listener: l,
		server:   s,
		done:     make(chan struct{}),
	}
	s.mu.Lock()
	if s.stopping.Load() {
		s.mu.Unlock()
		_ = l.Close()
		return http.ErrServerClosed
	}
	s.listeners = append(s.listeners, inner)
	s.serving.Add(1)
	s.mu.Unlock()
	defer s.serving.Done()
	s.sweep.Do(func() { s.serving.Go(s.sweepIdle) })
	err := s.inner.Serve(inner)
	inner.end()
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// sweepIdle ends idle connections until the server stops. It reads the limit each
// time, so that a new one also applies to connections that are idle already.
func (s *Server) sweepIdle() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	l := newLimit(s.idle())
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
		}
		l = l.WithNext(s.idle(), time.Now())
		for _, c := range s.connections() {
			c.endIfIdle(l.current, s.headerTimeout)
			c.endIfStalled(time.Now(), s.progressTime)
		}
	}
}

// limit is the limit for idle connections. A lower one applies after lowerDelay.
type limit struct {
	// current applies now; 0 is no limit.
	current time.Duration
	// next is the limit that was read last, and since when it has been the same.
	next  time.Duration
	since time.Time
}

func newLimit(d time.Duration) limit {
	return limit{
		current: d,
		next:    d,
	}
}

// WithNext returns the limit after d was read.
func (l limit) WithNext(d time.Duration, now time.Time) limit {
	if d != l.next {
		l.next, l.since = d, now
	}
	lower := l.next > 0 && (l.current == 0 || l.next < l.current)
	if !lower || now.Sub(l.since) >= lowerDelay {
		l.current = l.next
	}
	return l
}

// Drain makes each response ask its caller to close the connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop stops accepting connections and returns when each request that was read has
// its response. Kept connections stay usable while a request is in flight and for
// the settle time after their last response. A new connection may send its first request
// within the header timeout. When ctx ends, the remaining requests are canceled, and
// those that still have no response are cut.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.stopping.Store(true)
	listeners := s.listeners
	s.mu.Unlock()
	for _, l := range listeners {
		l.drain(ctx)
	}
	var err error
	if !s.finish(ctx) {
		err = s.abort()
	}
	return errors.Join(err, s.Close())
}

// finish ends kept connections whenever no request is in flight and none is expected. It
// returns when all connections are closed, or false if ctx ends before.
func (s *Server) finish(ctx context.Context) bool {
	t := time.NewTimer(0)
	defer t.Stop()
	empty := s.emptied()
	for {
		select {
		case <-empty:
			return true
		case <-ctx.Done():
			return false
		case <-s.quiet:
		case <-t.C:
		}
		if s.busy.Load() > 0 {
			continue
		}
		conns := s.connections()
		if wait := s.settling(conns); wait > 0 {
			t.Reset(wait)
			continue
		}
		for _, c := range conns {
			c.end(false)
		}
	}
}

// settling returns how long the next request of a caller may still be on its way, if its
// last response did not announce the close.
func (s *Server) settling(conns []*conn) time.Duration {
	var longest time.Duration
	for _, c := range conns {
		if last, ok := c.lastResponse(); ok {
			longest = max(longest, s.settleTime-time.Since(last))
		}
	}
	return longest
}

// abort cancels the remaining requests and cuts those that don't end in time. It
// returns an error if there are any. Requests that arrive until the last moment reach
// the handler, canceled.
func (s *Server) abort() error {
	s.grace.End()
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	arrival, stopArrival := context.WithTimeout(ctx, abortTime-crossTime)
	defer stopArrival()
	if s.finish(arrival) {
		return nil
	}
	s.aborting.Store(true)
	for _, c := range s.connections() {
		c.end(true)
	}
	select {
	case <-s.emptied():
	case <-ctx.Done():
	}
	var err error
	for _, c := range s.connections() {
		if c.inRequest() {
			err = grace.ErrEnded
			c.cut(graceEnded, err)
			c.markIncomplete()
		}
	}
	return err
}

// Close closes all listeners and connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping.Store(true)
	s.mu.Unlock()
	s.end.Do(func() { close(s.done) })
	s.grace.End()
	s.closing.Store(true)
	err := s.inner.Close()
	s.serving.Wait()
	return err
}

// emptied returns a channel that is closed when all connections are.
func (s *Server) emptied() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 {
		none := make(chan struct{})
		close(none)
		return none
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	return s.empty
}

// countBusy follows the connections with a request.
func (s *Server) countBusy(before, after bool) {
	switch {
	case after && !before:
		s.busy.Add(1)
	case before && !after && s.busy.Add(-1) == 0:
		select {
		case s.quiet <- struct{}{}:
		default:
		}
	}
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// remove unregisters a connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(c)
	if len(s.conns) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

// listener registers connections before http.Server sees them.
type listener struct {
	net.Listener
	server *Server
	// close guards closeErr, the result of closing Listener.
	close    sync.Once
	closeErr error
	// drainEnd is when a draining listener is closed at the latest, as a Unix time in
	// nanoseconds.
	drainEnd atomic.Int64
	// late is true once drainEnd has passed, and left how many connections may be accepted
	// from then on. accepted reports whether one was since the last deadline was set. Only
	// Accept uses them.
	late     bool
	left     int
	accepted bool
	once     sync.Once
	// done is closed when no more connections will be accepted.
	done chan struct{}
}

// Accept accepts a connection. It is called by one goroutine. When the deadline of drain
// has passed, it accepts what is left in the backlog and closes the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c := newConn(nc, l.server); l.server.admit(c) {
			return c, nil
		}
		l.server.meter.Closed(crowded.String())
		_ = nc.Close()
	}
}

// accept accepts a connection, or one of those that are left in the backlog.
func (l *listener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.server.stopping.Load() {
		if !l.extend() {
			_ = l.Close()
			break
		}
		nc, err = l.Listener.Accept()
	}
	if err != nil {
		if l.server.stopping.Load() {
			// http.Server would try again after a deadline, a temporary error.
			l.end()
			err = net.ErrClosed
		}
		return nil, err
	}
	l.accepted = true
	l.left--
	return nc, nil
}

// extend sets the next deadline of a draining listener while connections are left in its
// backlog. It reports whether there is one. At the limit it is extended for those that wait
// by then, which nobody may have had the time to accept, as long as some are accepted.
func (l *listener) extend() bool {
	if !hasBacklog(l.Listener) {
		return false
	}
	if time.Now().UnixNano() > l.drainEnd.Load() {
		switch {
		case !l.late:
			l.late, l.left = true, max(backlog(l.Listener), minLateAccepts)
		case !l.accepted || l.left <= 0:
			return false
		}
	}
	l.accepted = false
	return l.setDeadline(backlogTime)
}

// setDeadline sets the deadline of Accept. It reports whether the listener has one.
func (l *listener) setDeadline(d time.Duration) bool {
	inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && inner.SetDeadline(time.Now().Add(d)) == nil
}

// Close closes the listener. Further calls do nothing.
func (l *listener) Close() error {
	l.close.Do(func() {
		if l.server.stopping.Load() {
			l.server.logDiscarded(inBacklog, backlog(l.Listener), state{})
		}
		l.closeErr = l.Listener.Close()
	})
	return l.closeErr
}

// end records that no more connections will be accepted.
func (l *listener) end() { l.once.Do(func() { close(l.done) }) }

// drain accepts the connections in the backlog until ctx ends, and closes the listener.
// When it returns, all accepted connections are registered.
func (l *listener) drain(ctx context.Context) {
	l.drainEnd.Store(time.Now().Add(drainLimit).UnixNano())
	defer context.AfterFunc(ctx, func() { l.drainEnd.Store(0) })()
	if l.setDeadline(backlogTime) {
		<-l.done
	}
	_ = l.Close()
	<-l.done
}

// ErrorLog returns a logger for an http.Server that logs to l.
func ErrorLog(l zerolog.Logger) *log.Logger {
	return log.New(errorWriter{
		log: l,
	}, "", 0)
}

// errorWriter logs what http.Server reports.
type errorWriter struct {
	log zerolog.Logger
}

// Write logs a line.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("event", "server").Str("detail", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}
