package filter

import (
	"context"
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// meter exports the outcomes of requests as metrics.
type meter interface {
	Outcome(r chain.Request, result chain.Result, outcome string)
}

// Account counts the outcome of each request.
type Account struct {
	tally *Tally
	meter meter
}

// NewAccount returns a filter that records outcomes in t and m.
func NewAccount(t *Tally, m meter) Account {
	return Account{
		tally: t,
		meter: m,
	}
}

// Filter passes r on and records its outcome.
func (f Account) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	result, err := next.Handle(ctx, r, w)
	outcome := "ok"
	if err != nil {
		outcome = fault.From(err).Kind.String()
	}
	f.meter.Outcome(r, result, outcome)
	if met, counts := evaluateTarget(r, result, err); counts {
		f.tally.countOutcome(r.Policy.Name, met)
	}
	return result, err
}

// evaluateTarget reports whether r met the latency target of its policy, and
// whether r counts towards the target at all. Requests over their team's limit,
// requests refused as invalid and normal requests displaced by overload don't
// count.
func evaluateTarget(r chain.Request, result chain.Result, err error) (bool, bool) {
	if r.Policy.Target == 0 {
		return false, false
	}
	if err == nil {
		return result.First <= r.Policy.Target, true
	}
	switch fault.From(err).Kind {
	case fault.Overload:
		return false, r.Policy.Rank == policy.Urgent
	case fault.Unavailable, fault.Lost, fault.Internal:
		return false, true
	default:
		return false, false
	}
}

// Tally accumulates outcomes by policy and usage by team between two calls of
// Take. The zero value is ready to use. It is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	outcomes map[string]alarm.Tally
	usage    map[string]float64
	since    time.Time
}

// Charge adds cost to the usage of team.
func (t *Tally) Charge(team string, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usage == nil {
		t.usage = map[string]float64{}
	}
	t.usage[team] += cost
}

// Take returns the outcomes and the usage per second since the last call, and
// resets both.
func (t *Tally) Take(now time.Time) (map[string]alarm.Tally, map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcomes, usage := t.outcomes, t.usage
	span := now.Sub(t.since).Seconds()
	for team := range usage {
		usage[team] /= max(span, 0.1)
	}
	t.outcomes, t.usage, t.since = nil, nil, now
	return outcomes, usage
}

func (t *Tally) countOutcome(name string, met bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outcomes == nil {
		t.outcomes = map[string]alarm.Tally{}
	}
	one := alarm.Tally{
		Bad: 1,
	}
	if met {
		one = alarm.Tally{
			Good: 1,
		}
	}
	t.outcomes[name] = t.outcomes[name].Plus(one)
}
