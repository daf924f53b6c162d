package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// maxBufferedBytes is how many bytes of a response are buffered, so that a
	// truncated one can be retried. Longer responses are forwarded as they
	// arrive.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes limits a response that is not a stream, in bytes. It is the
	// longest response of a plain service that the instance's own front end
	// accepts.
	maxResponseBytes = 8 << 20
	// streamStatus is the status of a stream. Responses with any other status
	// are not forwarded event by event.
	streamStatus = 200
	// methodHead is the method whose responses state a length but have no body.
	methodHead = "HEAD"
	// minFailureStatus is the lowest status that counts as a failure of the
	// endpoint.
	minFailureStatus = 500
	// maxExtraAttempts is how many attempts that certainly did not execute the
	// request are not counted against the route's limit.
	maxExtraAttempts = 2
	// busyRetryAfter is the Retry-After time if no endpoint has capacity.
	busyRetryAfter = 1 * time.Second
)

// control is the control thread as seen by request handling.
type control interface {
	View() *state.State
	Post(e state.Event) bool
}

// detacher separates requests from their callers, but not from the end of the grace
// period.
type detacher interface {
	Detach(ctx context.Context) (context.Context, context.CancelFunc)
}

// beginner remembers which version of the engines' software began a stream.
type beginner interface {
	begin(id, software string)
}

// forwarder is the last handler of the chain. It has endpoints serve requests.
type forwarder struct {
	control   control
	endpoints endpoints
	gauge     *load.Gauge
	now       func() time.Time
	log       zerolog.Logger
	bounds    Bounds
	budgets   *retryBudgets
	served    *poison.Served
	links     *storeLinks
	meter     meter
	grace     detacher
	origins   beginner
}

func newForwarder(x *executor, p Parts) forwarder {
	return forwarder{
		control:   x.loop,
		endpoints: p.Endpoints,
		gauge:     x.gauge,
		now:       p.Now,
		log:       p.Log,
		bounds:    p.Bounds,
		budgets:   newRetryBudgets(p.Bounds),
		served:    x.served,
		links:     newStoreLinks(),
		meter:     p.Meter,
		grace:     p.Grace,
		origins:   x.origins,
	}
}

// Handle has an endpoint serve r.
func (f forwarder) Handle(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	f.budgets.countRequest(r.Service, f.now())
	x := exchange{
		forwarder: f,
		request:   r,
		writer:    w,
		caller:    ctx,
		admission: admissionOf(ctx),
		received:  receivedBefore(r),
		parts:     promptParts(r),
	}
	if r.Route.Kind == site.NonIdempotent {
		// The attempt continues after the caller disconnects: its effect can't be
		// undone, and reading the response to its end lets the connection be
		// reused.
		detached, release := f.grace.Detach(ctx)
		defer release()
		ctx = detached
	}
	if until := r.EffectiveDeadline(); !until.IsZero() {
		// The deadline is in time since boot, which counts suspended time,
		// while Go's timers don't.
		limited, cancel := context.WithTimeoutCause(ctx, until.Sub(f.now()), errDeadline)
		defer cancel()
		ctx = limited
	}
	err := x.run(ctx)
	result := chain.Result{
		Endpoint: x.endpoint,
		Attempts: x.attempts,
		Status:   x.status,
	}
	if !x.firstByteAt.IsZero() {
		result.First = x.firstByteAt.Sub(r.Arrived)
	}
	f.logEnd(r, result, err)
	return result, err
}

// receivedBefore returns what the caller of r has received of a stream that it resumes.
func receivedBefore(r chain.Request) position {
	p := position{
		event: r.LastEventID,
	}
	if resumes(r) {
		return p.WithSoftware(r.Software)
	}
	return p
}

// logEnd logs the outcome of a request.
func (f forwarder) logEnd(r chain.Request, result chain.Result, err error) {
	line := f.log.Info()
	if err != nil {
		line = f.log.Warn().Str("reason", fault.From(err).Kind.String()).Str("run", fault.From(err).Run.String()).Str("detail", fault.From(err).Detail)
	}
	line.Str("event", "end").Str("request", r.ID).Str("route", r.Route.Name).Str("team", r.Team).
		Str("endpoint", result.Endpoint).Int("attempts", result.Attempts).Int("status", result.Status).
		Stringer("first", result.First.Round(time.Millisecond)).
		Stringer("took", f.now().Sub(r.Arrived).Round(time.Millisecond)).Send()
}

var (
	// errDeadline is the cause of a context that ended at the request's
	// deadline.
	errDeadline = fault.New(fault.Late, "the deadline passed: send the request with more time")
	// errRetryBudget is the error of a request that was not sent again in time.
	errRetryBudget = fault.New(fault.Unavailable, "the retry budget is spent: come back later").WithRetry(busyRetryAfter)
	// errResponseTooLong is the failure of an attempt whose response exceeds
	// maxResponseBytes and may have no end.
	errResponseTooLong = call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
		Detail:    "the answer is over 8 MB: check the endpoint, or have it answer in parts",
	}
	// errIdleTimeout is the cause of an attempt that was canceled at its idle
	// timeout.
	errIdleTimeout = call.Failure{
		Cause:     call.TimedOut,
		MaybeSent: true,
		Detail:    "nothing came for too long",
	}
	// errNotOpened is the failure of an attempt whose call ended without a result.
	errNotOpened = call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
		Detail:    "the call ended without a result",
	}
	// errStaleWeights is the cause of an attempt that was withdrawn because its
	// engine's weights were replaced.
	errStaleWeights = call.Failure{
		Cause:     call.StaleWeights,
		MaybeSent: true,
		Detail:    "it waited until the engine's weights were too old to begin on",
	}
)
