package filter

import (
	"context"
	"time"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
)

// defaultLength is how long a request without a deadline is assumed to run at the most.
const defaultLength = 30 * time.Second

// periodSource returns the grace period of a stopping instance.
type periodSource interface {
	Period() grace.Period
}

// Late refuses requests that a stopping instance could not complete. Its callers can have
// other instances serve them at once, while a request that is cut may have run.
type Late struct {
	grace   periodSource
	lengths *grace.Lengths
	now     clock
}

// NewLate returns a filter that refuses requests as the period of g requires.
func NewLate(g periodSource, now func() time.Time) Late {
	return Late{
		grace:   g,
		lengths: &grace.Lengths{},
		now:     now,
	}
}

// Filter passes r on and records how long it ran, or refuses it.
func (f Late) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	begin := f.now()
	if p := f.grace.Period(); p.Active() {
		length := f.expectedLength(r, p, begin)
		if !p.Admits(length, begin) {
			return chain.Result{}, fault.New(fault.Unavailable, "the instance stops in %s and the request may take %s: send it to another instance",
				p.Left(begin).Round(time.Millisecond), length.Round(time.Millisecond)).WithRetry(grace.RetryAfter)
		}
	}
	result, err := next.Handle(ctx, r, w)
	if err == nil || fault.From(err).Kind == fault.Late {
		f.lengths.Record(lengthName(r), r.Output, begin, f.now())
	}
	return result, err
}

// expectedLength returns how long r may run from now on. An estimate decides until the
// listener closes, as load balancers still choose the instance and a refused caller may
// reach another one that stops; a request of which nothing is known gets the benefit of
// the doubt. Afterwards a request must be certain to end, unless it may be repeated: such
// a one is answered at the end of the grace period whether it has ended or not.
func (f Late) expectedLength(r chain.Request, p grace.Period, now time.Time) time.Duration {
	lingering := now.Before(p.Closed)
	longest := longestLength(r, now)
	if !lingering && !r.Idempotent {
		return longest
	}
	length, ok := f.lengths.Estimate(lengthName(r), r.Output, p.Left(now), now)
	switch {
	case ok:
		return min(length, longest)
	case lingering:
		return 0
	}
	return longest
}

// longestLength returns after which time r ends at the latest.
func longestLength(r chain.Request, now time.Time) time.Duration {
	if deadline := r.EffectiveDeadline(); !deadline.IsZero() {
		return deadline.Sub(now)
	}
	return defaultLength
}

// lengthName returns the name under which the lengths of requests like r are recorded.
func lengthName(r chain.Request) string {
	if r.Kind == chain.Relayed {
		return r.Route.Name
	}
	return r.Kind.String() + " " + r.Model
}
