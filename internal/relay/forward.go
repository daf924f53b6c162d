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
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// mostKept is how many bytes of an answer are kept back until it is whole, so
	// that a cut one can be asked for again. Longer ones pass as they come.
	mostKept = 256 << 10
	// failStatus is the lowest status that counts as the endpoint's failure.
	failStatus = 500
	// maxRefusals is how many attempts that surely did not run are made up for.
	maxRefusals = 2
	// busyRetry is when a caller may come back where endpoints have no room.
	busyRetry = 1 * time.Second
)

// control is the control thread as traffic sees it.
type control interface {
	View() *state.State
	Post(e state.Event) bool
}

// forward has endpoints serve requests. It is the end of the chain.
type forward struct {
	control control
	ends    ends
	gauge   *load.Gauge
	now     func() time.Time
	log     zerolog.Logger
	bounds  Bounds
	budgets *budgets
	links   *links
	meter   meter
}

func newForward(d *doer, p Parts) forward {
	return forward{
		control: d.loop,
		ends:    p.Ends,
		gauge:   d.gauge,
		now:     p.Now,
		log:     p.Log,
		bounds:  p.Bounds,
		budgets: newBudgets(p.Bounds),
		links:   newLinks(),
		meter:   p.Meter,
	}
}

// Handle has an endpoint serve r.
func (f forward) Handle(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	f.budgets.fresh(r.Service, f.now())
	x := exchange{
		forward: f,
		request: r,
		writer:  w,
		after:   r.After,
	}
	if r.Route.Kind == site.Once {
		// The call goes on when its caller leaves, since its effect can't be
		// taken back and its connection is of use to others.
		ctx = context.WithoutCancel(ctx)
	}
	if until := r.Until(); !until.IsZero() {
		// The deadline runs on the machine's clock, the timer on Go's.
		limited, cancel := context.WithTimeoutCause(ctx, until.Sub(f.now()), errLate)
		defer cancel()
		ctx = limited
	}
	err := x.run(ctx)
	result := chain.Result{
		Endpoint: x.endpoint,
		Attempts: x.attempts,
		Status:   x.status,
	}
	if !x.first.IsZero() {
		result.First = x.first.Sub(r.Arrived)
	}
	f.ended(r, result, err)
	return result, err
}

// ended logs how a request ended.
func (f forward) ended(r chain.Request, result chain.Result, err error) {
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
	// errLate is the cause of a context that ended with its request's deadline.
	errLate = fault.New(fault.Late, "the deadline passed: send the request with more time")
	// errSilent is the cause of an attempt that was given up.
	errSilent = call.Failure{
		Cause:  call.Silent,
		Sent:   true,
		Detail: "nothing came for too long",
	}
	// errStale is the cause of an attempt that was withdrawn.
	errStale = call.Failure{
		Cause:  call.Stale,
		Sent:   true,
		Detail: "it waited until the engine's weights were too old to begin on",
	}
)
