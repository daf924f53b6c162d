package httpd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/pkg/grace"
)

// reason is why a request ended without a complete response.
type reason uint8

const (
	// responseBroke means that the handler aborted a response that it had begun.
	responseBroke reason = iota
	// callerLeft means that the caller closed the connection.
	callerLeft
	// handlerPanicked means that the handler panicked.
	handlerPanicked
	// graceEnded means that the server was stopped before the response was complete.
	graceEnded
	// headerLate means that the rest of the header did not come in time.
	headerLate
	// readFailed means that the header could not be read.
	readFailed
	// crowdedOut means that the connection was closed to make room for others.
	crowdedOut
)

// String returns the name of the reason in logs and metrics.
func (r reason) String() string {
	return [...]string{"broken", "caller", "panic", "grace", "header", "read", "crowd"}[r%7]
}

// unreadReason returns why a header was not read to its end.
func unreadReason(err error) reason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return headerLate
	case err != nil:
		return callerLeft
	}
	return readFailed
}

// abortReason returns why a handler aborted its response, given the cause for which
// the context of the request ended, if it did.
func abortReason(cause error) reason {
	switch {
	case errors.Is(cause, grace.ErrEnded):
		return graceEnded
	case cause != nil:
		return callerLeft
	}
	return responseBroke
}

// logCut logs and counts a request that ended without a complete response.
func (s *Server) logCut(c state, why reason, err error) {
	line := s.log.Warn()
	if why == callerLeft {
		line = s.log.Info()
	}
	line.Str("event", "cut").Str("request", c.id).Str("reason", why.String()).Stringer("phase", c.phase).
		Stringer("quiet", c.quiet.Round(time.Millisecond)).
		Stringer("took", time.Since(c.since).Round(time.Millisecond)).
		Str("peer", c.peer).AnErr("detail", err).Send()
	s.meter.Cut(why.String())
}

// ending is why a connection is closed between requests.
type ending uint8

const (
	// open means that the connection stays open.
	open ending = iota
	// idled means that it was idle for longer than the limit.
	idled
	// unused means that its first request did not come in time.
	unused
	// stopped means that the server stops.
	stopped
	// crowded means that the connection makes room for others.
	crowded
)

// String returns the name of the reason in logs and metrics.
func (e ending) String() string {
	return [...]string{"open", "idle", "unused", "stop", "crowd"}[e%5]
}

// logClosed logs and counts a connection that is closed between requests. If it is kept,
// its caller did not ask for the close and may be sending a request.
func (s *Server) logClosed(c state, why ending, kept bool) {
	line := s.log.Debug()
	if why == stopped {
		line = s.log.Info()
	}
	line.Str("event", "closed").Stringer("reason", why).Bool("kept", kept).
		Stringer("quiet", c.quiet.Round(time.Millisecond)).Str("peer", c.peer).Send()
	s.meter.Closed(why.String())
}

// logCrossed logs and counts a request that arrived after its connection was closed. It
// was not read.
func (s *Server) logCrossed(c state, why ending) {
	s.log.Warn().Str("event", "crossed").Stringer("reason", why).
		Stringer("quiet", c.quiet.Round(time.Millisecond)).Str("peer", c.peer).Send()
	s.meter.Crossed(why.String())
}

// place is where a connection or a request is when nobody has read it.
type place uint8

const (
	// inBacklog means that the connection was not accepted.
	inBacklog place = iota
	// inSocket means that the request was not read.
	inSocket
)

// String returns the name of the place in logs and metrics.
func (p place) String() string { return [...]string{"backlog", "socket"}[p%2] }

// logDiscarded logs and counts connections that are closed with what nobody has read. Callers
// may send it again.
func (s *Server) logDiscarded(where place, connections int, c state) {
	line := s.log.Debug()
	if connections > 0 {
		line = s.log.Warn()
		s.meter.Discarded(where.String(), connections)
	}
	line.Str("event", "discarded").Stringer("place", where).Int("connections", connections).
		Stringer("quiet", c.quiet.Round(time.Millisecond)).Str("peer", c.peer).Send()
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// SetID sets the ID with which the server logs the request whose context is ctx.
func SetID(ctx context.Context, id string) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setID(id)
	}
}

// serve calls the handler. A panic ends the request alone: with a response if none
// was begun, and else by closing the connection.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		s.handler.ServeHTTP(w, r)
		return
	}
	c.markServed(r.ProtoAtLeast(1, 1))
	out := &responseWriter{
		ResponseWriter: w,
		server:         s,
	}
	defer func() {
		if p := recover(); p != nil {
			s.recovered(r.Context(), c, out, p, panicSite())
		}
	}()
	s.handler.ServeHTTP(out, r)
	// A failure shows in the writes that follow.
	_ = c.awaitTail()
	c.markFinished()
	c.takeRefused(out, r)
}

// recovered ends a request whose handler panicked with p at site.
func (s *Server) recovered(ctx context.Context, c *conn, w *responseWriter, p any, site string) {
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		cause := context.Cause(ctx)
		c.cut(abortReason(cause), cause)
		c.markIncomplete()
		panic(http.ErrAbortHandler)
	}
	s.log.Error().Str("event", "panic").Str("request", c.requestID()).Str("detail", fmt.Sprint(p)).
		Str("at", site).Bool("begun", w.begun).Send()
	if w.begun {
		c.cut(handlerPanicked, nil)
		c.markIncomplete()
		panic(http.ErrAbortHandler)
	}
	s.meter.Cut(handlerPanicked.String())
	s.fail(w, c.requestID())
	c.markFinished()
}

// panicSite returns the function and the line that panicked. It is called by the
// deferred function that recovers.
func panicSite() string {
	pc := make([]uintptr, 32)
	frames := runtime.CallersFrames(pc[:runtime.Callers(2, pc)])
	raised := false
	for {
		f, more := frames.Next()
		inRuntime := strings.HasPrefix(f.Function, "runtime.")
		if raised && !inRuntime {
			return fmt.Sprintf("%s:%d", f.Function, f.Line)
		}
		raised = raised || inRuntime
		if !more {
			return "an unknown place"
		}
	}
}

// responseWriter notes whether a response was begun, and asks callers to close their
// connections while the server is draining.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// Unwrap returns the inner writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status and the header.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written.
func (w *responseWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// begin is called before the header is sent.
func (w *responseWriter) begin() {
	if !w.begun && w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
