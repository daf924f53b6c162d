package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// exchange serves one request over one or more attempts. It is used by one
// goroutine.
type exchange struct {
	forwarder
	request  chain.Request
	writer   chain.Writer
	attempts int
	endpoint string
	tried    []string
	// maybeSent is true if an attempt may have executed the request.
	maybeSent bool
	// headWritten is true once the response head was written to the caller, and
	// status is its status.
	headWritten bool
	status      int
	firstByteAt time.Time
	// lastReceived is when the current attempt started or last received data.
	lastReceived time.Time
	// lastEvent is the id of the last event that the caller received.
	lastEvent string
	// notRun counts the attempts that certainly did not execute the request.
	notRun int
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) error {
	for {
		c, err := x.choose()
		if err != nil {
			return x.withRunState(err)
		}
		x.attempts++
		x.endpoint = c.endpoint.Node.Name
		err = x.attempt(ctx, c)
		if err == nil {
			return nil
		}
		if err := x.handleFailure(ctx, c, err); err != nil {
			return err
		}
	}
}

// withRunState returns err. It marks whether the request was executed as
// unknown if an attempt may have executed it.
func (x *exchange) withRunState(err error) error {
	if !x.maybeSent {
		return err
	}
	return fault.From(err).WithRun(fault.Unknown)
}

// attempt makes one attempt at the endpoint of c.
func (x *exchange) attempt(ctx context.Context, c choice) error {
	invar.Check(x.request.Route.Kind != site.NonIdempotent || !x.maybeSent, invar.Once, "%s is sent again", x.request.ID)
	invar.Check(!c.endpoint.Departing(), invar.Drain, "%s was chosen for %s and is departing", c.endpoint.Node.Name, x.request.ID)
	counter := x.gauge.Start(c.endpoint.Node.Name, c.uncached)
	defer counter.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	number := x.attempts
	wd := newWatchdog(x.idleTimeout(), func() bool { return x.inFlight(ctx, c, number) }, cancel)
	defer wd.stop()
	x.lastReceived = x.now()
	stale := x.newStaleTimer(c, cancel)
	defer stale.stop()
	reply, err := x.endpoints.Open(ctx, call.Attempt{
		ID:             x.request.ID,
		Endpoint:       c.endpoint,
		Request:        x.request,
		CacheSalt:      c.salt,
		Priority:       x.request.CombinedPriority(),
		LastEventID:    x.lastEvent,
		WeightsVersion: c.weights,
		KVSource:       c.source,
		KVTarget:       c.target,
		MaxConnections: c.limit,
		Allowed:        func() bool { return callable(x.control.View(), c.endpoint.Node, x.now()) },
	})
	if err != nil {
		return attemptError(ctx, err)
	}
	defer reply.Close()
	if x.request.Stream && reply.Head().Status == streamStatus {
		return attemptError(ctx, x.forwardStream(reply, counter, wd, stale))
	}
	stale.stop()
	return attemptError(ctx, x.forwardResponse(reply))
}

// attemptError returns the reason for which an attempt was canceled instead of
// the error that the cancelation caused.
func attemptError(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	var known call.Failure
	if cause := context.Cause(ctx); errors.As(cause, &known) || errors.Is(cause, errDeadline) {
		return cause
	}
	return err
}

// forwardStream forwards the events of one attempt.
func (x *exchange) forwardStream(reply call.Reply, counter load.Call, wd *watchdog, stale *staleTimer) error {
	for {
		c, _, err := reply.Next()
		if err != nil {
			return err
		}
		stale.stop()
		counter.EndPrefill()
		x.lastReceived = x.now()
		wd.reset(x.idleTimeout())
		if err := x.writeHead(reply.Head()); err != nil {
			return err
		}
		if c.Event != "" {
			x.lastEvent = c.Event
		}
		if err := x.writer.Write(c); err != nil {
			return callerDisconnectedError(err)
		}
		if c.End {
			return nil
		}
	}
}

// writeHead writes the response head unless an earlier attempt of a resumed
// stream has written it.
func (x *exchange) writeHead(h chain.Head) error {
	if x.headWritten {
		return nil
	}
	x.headWritten = true
	x.status = h.Status
	x.firstByteAt = x.now()
	if err := x.writer.Begin(h); err != nil {
		return callerDisconnectedError(err)
	}
	return nil
}

// forwardResponse forwards a response that is not a stream. Short responses are
// buffered until they are complete, so that a truncated one can be retried.
func (x *exchange) forwardResponse(reply call.Reply) error {
	head := reply.Head()
	if err := x.checkHead(head); err != nil {
		return err
	}
	var buffered []chain.Chunk
	size := 0
	for {
		c, _, err := reply.Next()
		if err != nil {
			return err
		}
		x.lastReceived = x.now()
		buffered = append(buffered, c)
		size += len(c.Data)
		if size > maxResponseBytes {
			return errResponseTooLong
		}
		if !c.End && size <= maxBufferedBytes {
			continue
		}
		if err := x.writeHead(head); err != nil {
			return err
		}
		for _, c := range buffered {
			if err := x.writer.Write(c); err != nil {
				return callerDisconnectedError(err)
			}
		}
		buffered = buffered[:0]
		if c.End {
			return nil
		}
	}
}

// checkHead returns an error if a response with the given head must not be
// forwarded.
func (x *exchange) checkHead(head chain.Head) error {
	switch {
	case x.headWritten:
		// The caller has received part of a stream, which can't be replaced by
		// another response.
		return call.Failure{
			Cause:     call.Refused,
			MaybeSent: true,
			Detail:    "the endpoint did not go on with the stream: status " + statusText(head.Status),
		}
	case head.Status >= minFailureStatus && x.retryable() && x.attemptsLeft():
		return call.Failure{
			Cause:     call.Refused,
			MaybeSent: true,
			Detail:    "the endpoint failed with status " + statusText(head.Status),
		}
	case head.Length > maxResponseBytes && x.request.Method != methodHead:
		return errResponseTooLong
	}
	return nil
}

// handleFailure returns nil if another attempt should follow the failed one, or
// else the error for the caller.
func (x *exchange) handleFailure(ctx context.Context, c choice, err error) error {
	var f call.Failure
	if !errors.As(err, &f) {
		var known fault.Error
		if errors.As(err, &known) && known.Kind == fault.Lost {
			return known
		}
		f = call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
			Detail:    err.Error(),
		}
	}
	x.maybeSent = x.maybeSent || f.MaybeSent
	name := c.endpoint.Node.Name
	x.meter.Failed(f.Cause.String())
	x.log.Warn().Str("event", "fail").Str("request", x.request.ID).Str("endpoint", name).
		Str("cause", f.Cause.String()).Bool("sent", f.MaybeSent).Bool("begun", x.headWritten).Int("attempt", x.attempts).
		Stringer("quiet", x.now().Sub(x.lastReceived).Round(time.Millisecond)).Str("detail", f.Detail).Send()
	if f.WeightsVersion > 0 {
		x.control.Post(state.WeightsSeen{
			Engine:  name,
			Model:   x.request.Model,
			Version: f.WeightsVersion,
		})
	}
	if ctx.Err() != nil {
		return x.contextError(ctx)
	}
	if f.Cause == call.Withheld {
		// The next choice knows what the endpoint has said.
		x.attempts--
		return nil
	}
	x.reportFailure(name, f)
	x.tried = append(x.tried, name)
	if !f.MaybeSent {
		x.notRun++
	}
	if f.MaybeSent && !x.retryable() {
		return fault.New(fault.Lost, "the answer of %s was lost (%s): look the result up before you send it again", name, f.Detail).WithRun(fault.Unknown)
	}
	if !x.attemptsLeft() {
		return x.withRunState(fault.New(fault.Unavailable, "%s did not serve the request (%s) and no more attempts are left: come back later", name, f.Cause).WithRetry(busyRetryAfter))
	}
	if !x.budgets.takeRetry(x.request.Service, x.instanceCount(), x.now()) {
		return x.withRunState(fault.New(fault.Unavailable, "%s did not serve the request (%s) and the retry budget is spent: come back later", name, f.Cause).WithRetry(busyRetryAfter))
	}
	return nil
}

// contextError returns the error of a request whose deadline has passed or
// whose caller has disconnected.
func (x *exchange) contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return x.withRunState(errDeadline)
	}
	return callerDisconnectedError(ctx.Err())
}

// reportFailure reports a failed attempt to the control thread. Rejections that
// don't indicate a fault of the endpoint are not reported.
func (x *exchange) reportFailure(name string, f call.Failure) {
	if f.Cause == call.NoCapacity || f.Cause == call.Misdirected || f.Cause == call.StaleWeights {
		return
	}
	x.control.Post(state.Called{
		Endpoint: name,
		Failed:   true,
	})
}

// retryable reports whether another endpoint may serve the request after an
// attempt that may have executed it.
func (x *exchange) retryable() bool {
	switch x.request.Route.Kind {
	case site.Idempotent:
		return !x.headWritten
	case site.Stream:
		return x.request.Route.Resumable && (!x.headWritten || x.lastEvent != "")
	default:
		return false
	}
}

// attemptsLeft reports whether another attempt is allowed. Up to
// maxExtraAttempts attempts that certainly did not execute the request don't
// count.
func (x *exchange) attemptsLeft() bool {
	return x.attempts < max(x.request.Route.Attempts, 1)+min(x.notRun, maxExtraAttempts)
}

// instanceCount returns how many instances share a budget.
func (x *exchange) instanceCount() int { return len(x.control.View().Routing.Peers) + 1 }

func callerDisconnectedError(err error) error {
	return fault.New(fault.Lost, "the caller left before the answer ended (%v): send the request again if it may be repeated", err).WithRun(fault.Unknown)
}
