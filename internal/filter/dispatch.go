package filter

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/route"
)

const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 5
	// nonIdempotentTimeout bounds a non-idempotent call, which continues after its
	// caller disconnects.
	nonIdempotentTimeout = 30 * time.Second
	// unavailableRetry is the retry delay given to callers when no endpoint is
	// available.
	unavailableRetry = 1 * time.Second
)

// opener sends attempts to endpoints.
type opener interface {
	Open(ctx context.Context, a call.Attempt) (call.Reply, error)
}

// chooser selects the endpoint for a request.
type chooser interface {
	Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool)
}

// detacher separates requests from their callers, but not from the end of the grace
// period.
type detacher interface {
	Detach(ctx context.Context) (context.Context, context.CancelFunc)
}

// Dispatch selects endpoints and forwards requests to them. It is the last handler
// of the chain.
type Dispatch struct {
	view     viewer
	post     poster
	client   opener
	chooser  chooser
	gauge    *load.Gauge
	budget   *retry.Budget
	now      clock
	newID    func() string
	distance time.Duration
	log      zerolog.Logger
	grace    detacher
}

// DispatchOption configures a Dispatch.
type DispatchOption func(*Dispatch)

// WithDistance sets the additional latency to reach another failure domain.
func WithDistance(d time.Duration) DispatchOption {
	return func(f *Dispatch) { f.distance = d }
}

// WithClock makes the filter use now as its clock.
func WithClock(now func() time.Time) DispatchOption {
	return func(f *Dispatch) { f.now = now }
}

// WithChooser replaces the selection of endpoints.
func WithChooser(c chooser) DispatchOption {
	return func(f *Dispatch) { f.chooser = c }
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) DispatchOption {
	return func(f *Dispatch) { f.log = l }
}

// WithGrace sets the signal that ends requests when the instance stops.
func WithGrace(g *grace.Signal) DispatchOption {
	return func(f *Dispatch) { f.grace = g }
}

// controlThread is the interface of the control thread to the traffic threads.
type controlThread interface {
	viewer
	poster
}

// NewDispatch returns the last handler of the chain. The function newID must return
// a unique value on each call.
func NewDispatch(c controlThread, client opener, g *load.Gauge, newID func() string, opts ...DispatchOption) Dispatch {
	f := Dispatch{
		view:    c,
		post:    c,
		client:  client,
		chooser: route.Best{},
		gauge:   g,
		budget:  &retry.Budget{},
		now:     time.Now,
		newID:   newID,
		log:     zerolog.Nop(),
		grace:   grace.New(),
	}
	for _, o := range opts {
		o(&f)
	}
	return f
}

// Handle forwards r to an endpoint.
func (f Dispatch) Handle(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	f.budget.RecordCall()
	if r.Kind == chain.Service {
		return f.service(ctx, r, w)
	}
	return f.generate(ctx, r, w)
}

// choose selects an endpoint for r and logs the decision. Endpoints in tried are
// used only if there is no other.
func (f Dispatch) choose(r chain.Request, tried []string) (route.Choice, error) {
	c, ok := f.selectEndpoint(r, tried)
	if !ok && len(tried) > 0 {
		c, ok = f.selectEndpoint(r, nil)
	}
	if !ok {
		return c, f.noEndpointError(r)
	}
	f.log.Info().Str("event", "route").Str("request", r.ID).Str("team", r.Team).
		Str("policy", r.Policy.Name).Str("rank", r.Policy.Rank.String()).
		Str("endpoint", c.Endpoint.Node.Name).Str("reason", c.Reason.String()).
		Int("cached", c.Cached).Int("missed", c.UncachedTokens).Stringer("wait", c.Wait.Round(time.Microsecond)).
		Int("considered", c.Considered).Int("attempt", len(tried)+1).Send()
	invar.Check(!c.Endpoint.Report.Departing, invar.Drain, "departing endpoint %s was selected for request %s", c.Endpoint.Node.Name, r.ID)
	invar.Check(c.Blocks == 0 || c.Epoch == c.Endpoint.Report.Epoch, invar.Cache,
		"endpoint %s was selected for cache entries of epoch %s, but its epoch is %s", c.Endpoint.Node.Name, c.Epoch, c.Endpoint.Report.Epoch)
	return c, nil
}

// noEndpointError returns the reason why no endpoint can serve r.
func (f Dispatch) noEndpointError(r chain.Request) error {
	pool := f.view.View().Members.Pool(r.Model)
	selected := func(e member.Endpoint) bool { return r.Policy.Endpoints.Matches(e.Node.Labels) }
	if len(pool) > 0 && !slices.ContainsFunc(pool, selected) {
		return fault.New(fault.Uncovered, "policy %q selects no endpoint of %q with %q: ask an operator to correct it", r.Policy.Name, r.Model, r.Policy.Endpoints)
	}
	return fault.New(fault.Unavailable, "no endpoint of %q takes work: retry later", r.Model).WithRetry(unavailableRetry)
}

func (f Dispatch) selectEndpoint(r chain.Request, tried []string) (route.Choice, bool) {
	s := f.view.View()
	now := f.now()
	return f.chooser.Choose(route.Query{
		Hashes: r.Hashes,
		Tokens: r.Tokens,
		Domain: s.Self.Domain,
		Serve:  r.Policy.Endpoints,
		Tried:  tried,
		Now:    now,
		Urgent: r.Policy.Rank == policy.Urgent,
		Seed:   uint64(now.UnixNano()),
	}, s.Members.Pool(r.Model), route.View{
		Nodes:    s.Members,
		Cache:    s.Index,
		Loads:    s.Loads,
		Own:      f.gauge,
		Distance: f.distance,
	})
}

// newAttempt returns a new attempt of r at e.
func (f Dispatch) newAttempt(r chain.Request, e member.Endpoint) call.Attempt {
	priority := 1
	if r.Policy.Rank == policy.Urgent || r.DequeuedByFloor {
		priority = 0
	}
	return call.Attempt{
		ID:        f.newID(),
		Endpoint:  e,
		Request:   r,
		CacheSalt: prefix.Salt(prefix.TeamScope(r.Team), r.Model, e.Report.Version),
		Priority:  priority,
	}
}

// reportOutcome reports to the control thread that e failed, or that e, while
// suspected, did not. An attempt that was canceled because the caller left or the instance
// stops, with which ctx ends, says nothing of e.
func (f Dispatch) reportOutcome(ctx context.Context, e member.Endpoint, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	failed := false
	var failure call.Failure
	if errors.As(err, &failure) {
		failed = failure.Cause == call.Broken || failure.Cause == call.TimedOut || failure.Cause == call.Refused
	}
	if failed || !e.SuspectUntil.IsZero() {
		f.post.Post(state.Called{
			Endpoint: e.Node.Name,
			Failed:   failed,
		})
	}
}

// backOff waits before the next attempt, or returns an error if there must not be
// one. The argument n is the number of attempts so far.
func (f Dispatch) backOff(ctx context.Context, n int, last error) error {
	run := fault.NotRun
	if failure := failureOf(last); failure.MaybeSent {
		run = fault.Unknown
	}
	if n >= maxAttempts || !f.budget.Take() {
		return fault.New(fault.Unavailable, "%d endpoints failed, the last with %v: retry later", n, last).
			WithRun(run).WithRetry(unavailableRetry)
	}
	if err := retry.WaitBackoff(ctx, n-1); err != nil {
		if grace.Ended(ctx) {
			return grace.Fault(run == fault.Unknown)
		}
		return fault.New(fault.Unavailable, "the caller left after %v: send it again", last).WithRun(run)
	}
	return nil
}

// failureOf returns the call.Failure in err. For any other error it assumes that
// bytes may have been sent.
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

// timeToFirstChunk returns the time from the arrival of r to its first chunk, or a
// duration that exceeds every target if there was none.
func timeToFirstChunk(r chain.Request, at time.Time) time.Duration {
	if at.IsZero() {
		return math.MaxInt64
	}
	return at.Sub(r.Arrived)
}
