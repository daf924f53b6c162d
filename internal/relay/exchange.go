package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// exchange serves one request over one or more attempts. It is used by one
// goroutine.
type exchange struct {
	forwarder
	request chain.Request
	writer  chain.Writer
	// caller ends when the caller has left, also if the request goes on.
	caller context.Context
	// admission is what the gate counts for the request; nil if it counts nothing.
	admission *admission
	attempts  int
	endpoint  string
	tried     []string
	// maybeSent is true if an attempt may have executed the request.
	maybeSent bool
	// headWritten is true once the response head was written to the caller, and
	// status is its status.
	headWritten bool
	status      int
	firstByteAt time.Time
	// received is how much of a stream the caller has received.
	received position
	// parts are the parts of the prompt that other requests may share.
	parts []poison.Part
	// retryTaken is when a retry was last taken from the budget; zero before the first
	// one.
	retryTaken time.Time
	// notRun counts the attempts that certainly did not execute the request.
	notRun int
}

// position is how much of a stream the caller has received. It is immutable.
type position struct {
	// event is the id of the last event; empty if there was none.
	event string
	// skipsIDs is whether the ids of the events are not consecutive numbers.
	skipsIDs bool
	// bound reports whether the stream may go on at engines with the given version of the
	// software only.
	bound    bool
	software string
}

// WithChunk returns the position after c.
func (p position) WithChunk(c chain.Chunk) position {
	if c.Event == "" {
		return p
	}
	p.event = c.Event
	p.skipsIDs = p.skipsIDs || c.SkipsIDs
	return p
}

// WithSoftware returns the position in a stream that engines with the given version began.
func (p position) WithSoftware(version string) position {
	p.bound = true
	p.software = version
	return p
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) error {
	var next *attempt
	for {
		if next == nil {
			if x.deadlinePassed() {
				return x.withRunState(errDeadline)
			}
			c, err := x.choose(ctx, x.received)
			if err != nil {
				return x.withRunState(err)
			}
			next = x.newAttempt(ctx, c)
		}
		a := next
		x.endpoint = a.choice.endpoint.Node.Name
		var err error
		next, err = x.serve(ctx, a)
		if err == nil {
			x.countServed(ctx, a)
			return nil
		}
		if next != nil {
			f := failureOf(err)
			x.recordFailure(a, f, x.headWritten)
			if f.Cause != call.TimedOut {
				// A silent endpoint was reported when the search began.
				x.reportFailure(x.endpoint, f)
			}
			continue
		}
		if err := x.handleFailure(ctx, a, err); err != nil {
			return err
		}
	}
}

// callerIsWaiting reports whether the caller still waits for the response after
// err.
func callerIsWaiting(ctx context.Context, err error) bool {
	var known fault.Error
	left := errors.As(err, &known) && known.Kind == fault.Lost
	return ctx.Err() == nil && !left
}

// withRunState returns err. It marks whether the request was executed as
// unknown if an attempt may have executed it.
func (x *exchange) withRunState(err error) error {
	if !x.maybeSent {
		return err
	}
	return fault.From(err).WithRun(fault.Unknown)
}

// attempt is one attempt to serve the request at one endpoint.
type attempt struct {
	choice choice
	// number is 1 for the first attempt.
	number    int
	ctx       context.Context
	cancel    context.CancelCauseFunc
	admission *admission
	counter   load.Call
	stale     *staleTimer
	// opened is closed when an attempt that was sent beside a silent one has its
	// reply or failed with openErr; nil for all others.
	opened  chan struct{}
	openErr error
	// reply is the response; nil until its head has arrived.
	reply call.Reply
	// first is the first part of the response if it was received before the attempt
	// was to serve; nil otherwise.
	first *chain.Chunk
	// lastReceived is when the attempt started or last received data.
	lastReceived time.Time
	// begun is true once a part of the body of a stream has arrived, and alive is how
	// long the endpoint was waited for since then before more arrived. A slow caller
	// does not extend it.
	begun bool
	alive time.Duration
}

// newAttempt counts an attempt at the endpoint of c, which open sends.
func (x *exchange) newAttempt(ctx context.Context, c choice) *attempt {
	invar.Check(x.request.Route.Kind != site.NonIdempotent || !x.maybeSent, invar.Once, "%s is sent again", x.request.ID)
	invar.Check(!c.endpoint.Departing(), invar.Drain, "%s was chosen for %s and is departing", c.endpoint.Node.Name, x.request.ID)
	x.attempts++
	x.admission.begin(c.endpoint.Node.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	return &attempt{
		choice:       c,
		number:       x.attempts,
		ctx:          ctx,
		cancel:       cancel,
		admission:    x.admission,
		counter:      x.gauge.Start(c.endpoint.Node.Name, c.uncached),
		stale:        x.newStaleTimer(c, cancel),
		lastReceived: x.now(),
	}
}

// open sends a and waits for the head of the response. Begun is whether the caller's
// response has begun, and received is what the caller has of a stream.
func (x *exchange) open(a *attempt, begun bool, received position) error {
	c := a.choice
	reply, err := x.endpoints.Open(a.ctx, call.Attempt{
		ID:             x.request.ID,
		Endpoint:       c.endpoint,
		Request:        x.request,
		CacheSalt:      c.salt,
		Priority:       x.request.CombinedPriority(),
		LastEventID:    received.event,
		Begun:          begun,
		ConsecutiveIDs: begun && !received.skipsIDs,
		WeightsVersion: c.weights,
		KVSource:       c.source,
		KVTarget:       c.target,
		MaxConnections: c.limit,
		Allowed:        func() bool { return x.allowed(c) },
	})
	if err != nil {
		return attemptError(a.ctx, err)
	}
	a.reply = reply
	return nil
}

// allowed reports whether a request may still be sent to the endpoint of c. The process
// may have been paused since the choice.
func (x *exchange) allowed(c choice) bool {
	return callable(x.control.View(), c.endpoint.Node, x.now()) && !x.deadlinePassed() && !x.retryExpired() &&
		(c.weights == 0 || x.startTimeLeft(c) > 0)
}

// deadlinePassed reports whether the caller has stopped waiting. The context may not have
// ended yet, since its timer does not count the time for which the machine was suspended.
func (x *exchange) deadlinePassed() bool {
	until := x.request.EffectiveDeadline()
	return !until.IsZero() && !x.now().Before(until)
}

// next returns the next part of the response.
func (a *attempt) next() (chain.Chunk, error) {
	if c := a.first; c != nil {
		a.first = nil
		return *c, nil
	}
	c, _, err := a.reply.Next()
	return c, err
}

// close releases a. Its endpoint cancels a response that has not ended.
func (a *attempt) close() {
	if a.opened != nil {
		a.cancel(nil)
		<-a.opened
	}
	if a.reply != nil {
		a.reply.Close()
	}
	a.stale.stop()
	a.counter.End()
	a.admission.end(a.choice.endpoint.Node.Name)
	a.cancel(nil)
}

// serve serves the request by a. If that fails, it returns the attempt that
// replaces a, if its response has already begun.
func (x *exchange) serve(ctx context.Context, a *attempt) (*attempt, error) {
	defer a.close()
	s := x.watchSilence(ctx, a)
	err := x.forward(a, s)
	return s.settle(err), err
}

// forward sends a, unless its response has begun, and forwards the response.
func (x *exchange) forward(a *attempt, s *silence) error {
	if err := x.ensureOpen(a); err != nil {
		return err
	}
	if x.request.Stream && a.reply.Head().Status == streamStatus {
		return attemptError(a.ctx, x.forwardStream(a, s))
	}
	a.stale.stop()
	if !s.stopSearch() {
		return errIdleTimeout
	}
	return attemptError(a.ctx, x.forwardResponse(a, s))
}

// ensureOpen returns once a has a reply.
func (x *exchange) ensureOpen(a *attempt) error {
	switch {
	case a.opened != nil:
		<-a.opened
		return a.openErr
	case a.reply != nil:
		return nil
	}
	return x.open(a, x.headWritten, x.received)
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
func (x *exchange) forwardStream(a *attempt, s *silence) error {
	for {
		asked := x.now()
		c, err := a.next()
		if err != nil {
			return err
		}
		a.stale.stop()
		a.counter.EndPrefill()
		a.lastReceived = x.now()
		if len(c.Data) > 0 {
			x.countPart(a, a.lastReceived.Sub(asked))
		}
		received := x.received.WithChunk(c)
		begins := received.event != "" && !received.bound
		if begins {
			received = received.WithSoftware(a.choice.endpoint.Node.Software)
		}
		if !s.reset(received, true) {
			// The attempt that replaces this one repeats the event.
			return errIdleTimeout
		}
		if err := x.writeHead(a.reply.Head()); err != nil {
			return err
		}
		x.received = received
		if begins && resumable(x.request) {
			x.origins.begin(x.request.ID, received.software)
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
func (x *exchange) forwardResponse(a *attempt, s *silence) error {
	head := a.reply.Head()
	if err := x.checkHead(head); err != nil {
		return err
	}
	var buffered []chain.Chunk
	size := 0
	for {
		c, err := a.next()
		if err != nil {
			return err
		}
		a.lastReceived = x.now()
		buffered = append(buffered, c)
		size += len(c.Data)
		if size > maxResponseBytes {
			return errResponseTooLong
		}
		if size > maxBufferedBytes {
			// A stream that the request resumes can't continue this response.
			x.received = position{}
		}
		s.reset(x.received, size > maxBufferedBytes)
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

// handleFailure returns nil if another attempt should follow a, or else the error
// for the caller.
func (x *exchange) handleFailure(ctx context.Context, a *attempt, err error) error {
	var known fault.Error
	if errors.As(err, &known) && known.Kind == fault.Lost {
		return known
	}
	f := failureOf(err)
	x.recordFailure(a, f, x.headWritten)
	if ctx.Err() != nil {
		return x.contextError(ctx)
	}
	name := a.choice.endpoint.Node.Name
	if f.Cause == call.Withheld {
		if x.retryExpired() && !x.takeRetry() {
			return x.withRunState(errRetryBudget)
		}
		return nil
	}
	x.reportFailure(name, f)
	if err := x.lostAnswer(ctx, a.choice.endpoint.Node, f); err != nil {
		return err
	}
	if x.caller != nil && x.caller.Err() != nil {
		return x.contextError(x.caller)
	}
	if !x.attemptsLeft() {
		return x.withRunState(fault.New(fault.Unavailable, "%s did not serve the request (%s) and no more attempts are left: come back later", name, f.Cause).WithRetry(busyRetryAfter))
	}
	if !x.takeRetry() {
		return x.withRunState(fault.New(fault.Unavailable, "%s did not serve the request (%s) and the retry budget is spent: come back later", name, f.Cause).WithRetry(busyRetryAfter))
	}
	return nil
}

// lostAnswer returns the error for the caller if the failure f of an attempt at n is final,
// since the request may have been executed or may end a further endpoint.
func (x *exchange) lostAnswer(ctx context.Context, n member.Node, f call.Failure) error {
	if !x.wentOn() && x.crashed(ctx, n, f) {
		return fault.New(fault.Lost, "%s ended while the request waited there, which may be the cause: look at the engine's log before you send it again", n.Name).WithRun(fault.Unknown)
	}
	if f.MaybeSent && x.risky(n.Name) {
		return fault.New(fault.Lost, "the answer of %s was lost (%s), and other endpoints ended on parts of the prompt: look at their logs before you send it again", n.Name, f.Detail).WithRun(fault.Unknown)
	}
	if f.MaybeSent && !x.retryable() {
		return fault.New(fault.Lost, "the answer of %s was lost (%s): look the result up before you send it again", n.Name, f.Detail).WithRun(fault.Unknown)
	}
	return nil
}

// failureOf returns the failure of an attempt that ended with err.
func failureOf(err error) call.Failure {
	var f call.Failure
	if errors.As(err, &f) {
		return f
	}
	return call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
		Detail:    err.Error(),
	}
}

// recordFailure logs and counts a failed attempt; begun is whether the caller's
// response has begun. Its endpoint gets no further attempt.
func (x *exchange) recordFailure(a *attempt, f call.Failure, begun bool) {
	name := a.choice.endpoint.Node.Name
	x.maybeSent = x.maybeSent || f.MaybeSent
	x.meter.Failed(f.Cause.String())
	x.log.Warn().Str("event", "fail").Str("request", x.request.ID).Str("endpoint", name).
		Str("cause", f.Cause.String()).Bool("sent", f.MaybeSent).Bool("begun", begun).Int("attempt", a.number).
		Stringer("quiet", x.now().Sub(a.lastReceived).Round(time.Millisecond)).Str("detail", f.Detail).
		Str("parts", poison.Text(x.parts)).Send()
	if f.WeightsVersion > 0 {
		x.control.Post(state.WeightsSeen{
			Engine:  name,
			Model:   x.request.Model,
			Version: f.WeightsVersion,
		})
	}
	if f.Cause == call.Withheld {
		// Nothing was sent, and the next choice leaves the endpoint out.
		x.attempts--
		return
	}
	x.tried = append(x.tried, name)
	if !f.MaybeSent {
		x.notRun++
	}
}

// takeRetry takes a retry from the budget that all instances share.
func (x *exchange) takeRetry() bool {
	now := x.now()
	if !x.budgets.takeRetry(x.request.Service, x.instanceCount(), now) {
		return false
	}
	x.retryTaken = now
	return true
}

// retryExpired reports whether the retry that was taken last may not be sent any more.
func (x *exchange) retryExpired() bool {
	return !x.retryTaken.IsZero() && x.now().Sub(x.retryTaken) > x.budgets.permitLife()
}

// contextError returns the error of a request whose deadline has passed, whose
// caller has disconnected or whose instance has stopped.
func (x *exchange) contextError(ctx context.Context) error {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return x.withRunState(errDeadline)
	case grace.Ended(ctx):
		return grace.Fault(x.maybeSent)
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
func (x *exchange) retryable() bool { return x.retryableAfter(x.headWritten, x.received) }

// retryableAfter is retryable for a response that has or hasn't begun and of which
// the caller has received the given part.
func (x *exchange) retryableAfter(begun bool, received position) bool {
	switch x.request.Route.Kind {
	case site.Idempotent:
		return !begun
	case site.Stream:
		return x.request.Route.Resumable && (!begun || received.event != "")
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
