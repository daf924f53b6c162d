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

// burstSeconds is the burst that a team may use, in seconds of its limit.
const burstSeconds = 2.0

// Limit enforces the rate limit of a policy for each team across all instances.
type Limit struct {
	view viewer
	now  clock
	// mu guards limiters, which is keyed by policy and team.
	mu       *sync.Mutex
	limiters map[bucketKey]*rate.Limiter
}

type bucketKey struct {
	policy string
	team   string
}

// NewLimit returns a filter that reads the usage of peers from v.
func NewLimit(v viewer, now func() time.Time) Limit {
	return Limit{
		view:     v,
		now:      now,
		mu:       &sync.Mutex{},
		limiters: map[bucketKey]*rate.Limiter{},
	}
}

// Filter refuses r if its team exceeds the limit.
func (f Limit) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if r.Policy.Limit > 0 {
		if wait := f.reserve(r); wait > 0 {
			return chain.Result{}, fault.New(fault.Limited, "team %s is over the limit of %.0f tokens a second of policy %q: retry later or ask for less", r.Team, r.Policy.Limit, r.Policy.Name).WithRetry(wait)
		}
	}
	return next.Handle(ctx, r, w)
}

// reserve takes the cost of r from the token bucket of its team, or returns how
// long to wait until the bucket has enough.
func (f Limit) reserve(r chain.Request) time.Duration {
	now := f.now()
	allowance := f.allowance(f.view.View(), r, now)
	key := bucketKey{
		policy: r.Policy.Name,
		team:   r.Team,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limiters[key]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(allowance), int(r.Policy.Limit*burstSeconds)+1)
		f.limiters[key] = l
	}
	l.SetLimitAt(now, rate.Limit(allowance))
	l.SetBurstAt(now, int(r.Policy.Limit*burstSeconds)+1)
	cost := min(int(r.Cost()), l.Burst())
	reservation := l.ReserveN(now, cost)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// allowance returns the part of the limit that the peers don't use, but at least
// this instance's equal share.
func (Limit) allowance(s *state.State, r chain.Request, now time.Time) float64 {
	equal := r.Policy.Limit / float64(s.Live(now))
	return max(equal, r.Policy.Limit-s.Loads.Usage(r.Team, now))
}
