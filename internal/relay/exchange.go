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

// exchange is one request on its way through its attempts. It is used by one
// goroutine.
type exchange struct {
	forward
	request  chain.Request
	writer   chain.Writer
	attempts int
	endpoint string
	tried    []string
	// sent tells that the request may have run somewhere.
	sent bool
	// begun tells that the answer's head was written, and status is the one in it.
	begun  bool
	status int
	first  time.Time
	// heard is when the present attempt began or its last bytes came.
	heard time.Time
	// after is the id of the last event that the caller has.
	after string
	// refusals counts the attempts that surely did not run.
	refusals int
}

// run makes attempts until one succeeds or none may follow.
func (x *exchange) run(ctx context.Context) error {
	for {
		c, err := x.choose()
		if err != nil {
			return x.refused(err)
		}
		x.attempts++
		x.endpoint = c.endpoint.Node.Name
		err = x.try(ctx, c)
		if err == nil {
			return nil
		}
		if err := x.failed(ctx, c, err); err != nil {
			return err
		}
	}
}

// refused ends the request with err, which says "not run" only if that is true.
func (x *exchange) refused(err error) error {
	if !x.sent {
		return err
	}
	return fault.From(err).WithRun(fault.Unknown)
}

// try makes one attempt.
func (x *exchange) try(ctx context.Context, c choice) error {
	invar.That(x.request.Route.Kind != site.Once || !x.sent, invar.Once, "%s is sent again", x.request.ID)
	invar.That(!c.endpoint.Report.Leaving, invar.Drain, "%s was chosen for %s and is leaving", c.endpoint.Node.Name, x.request.ID)
	counted := x.gauge.Start(c.endpoint.Node.Name, c.missed)
	defer counted.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := x.attempts
	watch := newWatchdog(x.patience(), func() bool { return x.underWay(ctx, c, attempt) }, cancel)
	defer watch.stop()
	x.heard = x.now()
	dated := x.newExpiry(c, cancel)
	defer dated.stop()
	reply, err := x.ends.Open(ctx, call.Attempt{
		ID:       x.request.ID,
		Endpoint: c.endpoint,
		Request:  x.request,
		Salt:     c.salt,
		Priority: x.request.Order(),
		After:    x.after,
		Weights:  c.weights,
		Source:   c.source,
		Target:   c.target,
		Limit:    c.limit,
	})
	if err != nil {
		return attemptError(ctx, err)
	}
	defer reply.Close()
	if x.request.Stream && reply.Head().Status == streamStatus {
		return attemptError(ctx, x.stream(reply, counted, watch, dated))
	}
	dated.stop()
	return attemptError(ctx, x.whole(reply))
}

// attemptError returns why an attempt was given up in place of what followed.
func attemptError(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	var known call.Failure
	if cause := context.Cause(ctx); errors.As(cause, &known) || errors.Is(cause, errLate) {
		return cause
	}
	return err
}

// stream passes the events of one attempt on.
func (x *exchange) stream(reply call.Reply, counted load.Call, watch *watchdog, dated *expiry) error {
	for {
		c, _, err := reply.Next()
		if err != nil {
			return err
		}
		dated.stop()
		counted.First()
		x.heard = x.now()
		watch.next(x.patience())
		if err := x.begin(reply.Head()); err != nil {
			return err
		}
		if c.Event != "" {
			x.after = c.Event
		}
		if err := x.writer.Write(c); err != nil {
			return gone(err)
		}
		if c.End {
			return nil
		}
	}
}

// begin writes the head of the first attempt that answers. A stream that goes
// on elsewhere keeps it.
func (x *exchange) begin(h chain.Head) error {
	if x.begun {
		return nil
	}
	x.begun = true
	x.status = h.Status
	x.first = x.now()
	if err := x.writer.Begin(h); err != nil {
		return gone(err)
	}
	return nil
}

// whole passes an answer on once all of it is there.
func (x *exchange) whole(reply call.Reply) error {
	head := reply.Head()
	if err := x.unfit(head); err != nil {
		return err
	}
	var kept []chain.Chunk
	size := 0
	for {
		c, _, err := reply.Next()
		if err != nil {
			return err
		}
		x.heard = x.now()
		kept = append(kept, c)
		size += len(c.Data)
		if size > mostWhole {
			return errLong
		}
		if !c.End && size <= mostKept {
			continue
		}
		if err := x.begin(head); err != nil {
			return err
		}
		for _, c := range kept {
			if err := x.writer.Write(c); err != nil {
				return gone(err)
			}
		}
		kept = kept[:0]
		if c.End {
			return nil
		}
	}
}

// unfit returns why a whole answer with the given head is not passed on.
func (x *exchange) unfit(head chain.Head) error {
	switch {
	case x.begun:
		// A stream can't turn into another answer.
		return call.Failure{
			Cause:  call.Refused,
			Sent:   true,
			Detail: "the endpoint did not go on with the stream: status " + statusText(head.Status),
		}
	case head.Status >= failStatus && x.repeatable() && x.more():
		return call.Failure{
			Cause:  call.Refused,
			Sent:   true,
			Detail: "the endpoint failed with status " + statusText(head.Status),
		}
	case head.Length > mostWhole && x.request.Method != methodHead:
		return errLong
	}
	return nil
}

// failed decides what follows a failed attempt; nil means another one.
func (x *exchange) failed(ctx context.Context, c choice, err error) error {
	var f call.Failure
	if !errors.As(err, &f) {
		var known fault.Error
		if errors.As(err, &known) && known.Kind == fault.Lost {
			return known
		}
		f = call.Failure{
			Cause:  call.Broken,
			Sent:   true,
			Detail: err.Error(),
		}
	}
	x.sent = x.sent || f.Sent
	name := c.endpoint.Node.Name
	x.meter.Failed(f.Cause.String())
	x.log.Warn().Str("event", "fail").Str("request", x.request.ID).Str("endpoint", name).
		Str("cause", f.Cause.String()).Bool("sent", f.Sent).Bool("begun", x.begun).Int("attempt", x.attempts).
		Stringer("quiet", x.now().Sub(x.heard).Round(time.Millisecond)).Str("detail", f.Detail).Send()
	if f.Weights > 0 {
		x.control.Post(state.WeightsSeen{
			Engine:  name,
			Model:   x.request.Model,
			Version: f.Weights,
		})
	}
	if ctx.Err() != nil {
		return x.over(ctx)
	}
	x.blame(name, f)
	x.tried = append(x.tried, name)
	if !f.Sent {
		x.refusals++
	}
	if f.Sent && !x.repeatable() {
		return fault.New(fault.Lost, "the answer of %s was lost (%s): look the result up before you send it again", name, f.Detail).WithRun(fault.Unknown)
	}
	if !x.more() {
		return x.refused(fault.New(fault.Unavailable, "%s did not serve the request (%s) and no more attempts are left: come back later", name, f.Cause).WithRetry(busyRetry))
	}
	if !x.budgets.take(x.request.Service, x.instances(), x.now()) {
		return x.refused(fault.New(fault.Unavailable, "%s did not serve the request (%s) and the retry budget is spent: come back later", name, f.Cause).WithRetry(busyRetry))
	}
	return nil
}

// over ends a request whose time is over or whose caller left.
func (x *exchange) over(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errLate) {
		return x.refused(errLate)
	}
	return gone(ctx.Err())
}

// blame counts a failure against its endpoint.
func (x *exchange) blame(name string, f call.Failure) {
	if f.Cause == call.Full || f.Cause == call.Moved || f.Cause == call.Stale {
		return
	}
	x.control.Post(state.Called{
		Endpoint: name,
		Failed:   true,
	})
}

// repeatable tells whether another endpoint may serve the request after one
// that may have run it.
func (x *exchange) repeatable() bool {
	switch x.request.Route.Kind {
	case site.Repeatable:
		return !x.begun
	case site.Stream:
		return x.request.Route.Resumable && (!x.begun || x.after != "")
	default:
		return false
	}
}

// more tells whether another attempt may follow. Attempts that surely did not
// run leave room for a few others.
func (x *exchange) more() bool {
	return x.attempts < max(x.request.Route.Attempts, 1)+min(x.refusals, maxRefusals)
}

// instances returns how many instances share a budget.
func (x *exchange) instances() int { return len(x.control.View().Routing.Mates) + 1 }

func gone(err error) error {
	return fault.New(fault.Lost, "the caller left before the answer ended (%v): send the request again if it may be repeated", err).WithRun(fault.Unknown)
}
