package filter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
)

// burst is how many seconds of its limit a team may take at once.
const burst = 2.0

// Limit holds each team to the limit of its policy over all instances.
type Limit struct {
	view viewer
	now  clock
	// mu guards limiters, by policy and team.
	mu       *sync.Mutex
	limiters map[bucketKey]*rate.Limiter
}

type bucketKey struct {
	policy string
	team   string
}

// NewLimit returns the filter that reads peers' usage from v.
func NewLimit(v viewer, now func() time.Time) Limit {
	return Limit{
		view:     v,
		now:      now,
		mu:       &sync.Mutex{},
		limiters: map[bucketKey]*rate.Limiter{},
	}
}

// Filter refuses r where its team is over the limit.
func (f Limit) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if r.Policy.Limit > 0 {
		if wait := f.take(r); wait > 0 {
			return chain.Result{}, fault.New(fault.Limited, "team %s is over the limit of %.0f tokens a second of policy %q: retry later or ask for less", r.Team, r.Policy.Limit, r.Policy.Name).WithRetry(wait)
		}
	}
	return next.Handle(ctx, r, w)
}

// take takes r's cost from its team's bucket, or returns how long to wait.
func (f Limit) take(r chain.Request) time.Duration {
	now := f.now()
	own := f.allowance(f.view.View(), r, now)
	key := bucketKey{
		policy: r.Policy.Name,
		team:   r.Team,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limiters[key]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(own), int(r.Policy.Limit*burst)+1)
		f.limiters[key] = l
	}
	l.SetLimitAt(now, rate.Limit(own))
	l.SetBurstAt(now, int(r.Policy.Limit*burst)+1)
	cost := min(int(r.Cost()), l.Burst())
	res := l.ReserveN(now, cost)
	wait := res.DelayFrom(now)
	if wait > 0 {
		res.CancelAt(now)
	}
	return wait
}

// allowance is the part of the limit that peers leave to this instance, and
// at least an equal part.
func (Limit) allowance(s *state.State, r chain.Request, now time.Time) float64 {
	equal := r.Policy.Limit / float64(s.Live(now))
	return max(equal, r.Policy.Limit-s.Loads.Usage(r.Team, now))
}
