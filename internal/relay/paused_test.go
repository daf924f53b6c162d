package relay

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

// pausedClock is a clock that tests advance.
type pausedClock struct {
	now time.Time
}

func (c *pausedClock) read() time.Time { return c.now }

// pausingEndpoints pause the process for a time when a request is about to be sent, and
// count those that are sent then.
type pausingEndpoints struct {
	endpoints
	clock *pausedClock
	pause time.Duration
	sent  int
}

func (e *pausingEndpoints) Open(_ context.Context, a call.Attempt) (call.Reply, error) {
	e.clock.now = e.clock.now.Add(e.pause)
	if !a.Allowed() {
		return nil, call.Failure{
			Cause: call.Withheld,
		}
	}
	e.sent++
	return nil, call.Failure{
		Cause: call.NoCapacity,
	}
}

// A request must not be sent on a choice that a pause of the process has outlasted, nor
// wait for a timer that does not count the pause.
func TestPauseBeforeRequestIsSent(t *testing.T) {
	t.Parallel()
	const limit = 8 * time.Second
	for name, c := range map[string]struct {
		change func(s state.State) state.State
		pause  time.Duration
		sent   int
	}{
		"none": {
			sent: 2,
		},
		"until the deadline": {
			pause: 2 * time.Second,
		},
		"until the weights are too old to begin on": {
			change: func(s state.State) state.State {
				s.Routing.Weights = s.Routing.Weights.WithDesired("m", 2, begin.Add(-limit+staleMargin+100*time.Millisecond))
				return s
			},
			pause: 1500 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := fiveEngines()
			if c.change != nil {
				s = c.change(s)
			}
			clock := &pausedClock{
				now: begin,
			}
			e := &pausingEndpoints{
				clock: clock,
				pause: c.pause,
			}
			x := newWaitingExchange(fixedState{
				state: s,
			}, e, limit)
			x.now = clock.read
			x.request.Arrived = begin
			x.request.Deadline = begin.Add(2 * time.Second)
			x.request.Route.Attempts = 1
			err := x.run(t.Context())
			require.Error(t, err)
			require.Equal(t, fault.NotRun, fault.From(err).Run)
			require.Equal(t, c.sent, min(e.sent, 2))
		})
	}
}

// A retry must not be sent when the budget from which it was taken has forgotten it, unless
// it is taken anew.
func TestPauseBeforeRetryIsSent(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		pause time.Duration
		sent  int
	}{
		"none": {
			sent: 3,
		},
		"short": {
			pause: 700 * time.Millisecond,
			sent:  3,
		},
		"long": {
			pause: 5 * time.Second,
			sent:  1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := &pausedClock{
				now: begin,
			}
			e := &pausingEndpoints{
				clock: clock,
				pause: c.pause,
			}
			x := newWaitingExchange(fixedState{
				state: fiveEngines(),
			}, e, time.Minute)
			x.now = clock.read
			x.request.Route.Attempts = 2
			x.budgets = newRetryBudgets(Bounds{
				RetryExtra: 2 / extraRetryShare,
				RetrySpan:  10 * time.Second,
			})
			err := x.run(t.Context())
			require.Error(t, err)
			require.Equal(t, c.sent, e.sent)
		})
	}
}

// pausingOrders pause the process before the report of an engine or before an order is
// sent.
type pausingOrders struct {
	endpoints
	clock         *pausedClock
	beforeReport  time.Duration
	beforeSending time.Duration
	sent          int
}

func (e *pausingOrders) Load(context.Context, member.Node) (member.Report, load.Work, error) {
	e.clock.now = e.clock.now.Add(e.beforeReport)
	return member.Report{}, load.Work{}, nil
}

func (e *pausingOrders) Order(_ context.Context, _ member.Node, _ weight.Order, _, _ int64, allowed func() bool) (state.Outcome, error) {
	e.clock.now = e.clock.now.Add(e.beforeSending)
	if !allowed() {
		return state.Unsent, nil
	}
	e.sent++
	return state.Accepted, nil
}

// heldLease returns a lease that n0@1 holds at now.
func heldLease(now time.Time) lease.Lease {
	l := lease.New("l", "n0@1", lease.WithLength(leaseTTL, leaseRenewInterval))
	l = l.WithRow(store.Row{}, store.ErrMissing, now)
	op, l, _ := l.Plan(now)
	return l.WithPut(op, 1, nil)
}

// An order must not be sent under a lease that a pause of the process has outlasted.
func TestPauseBeforeOrderIsSent(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		beforeReport  time.Duration
		beforeSending time.Duration
		want          state.Outcome
	}{
		"none": {
			want: state.Accepted,
		},
		"before the report": {
			beforeReport: leaseTTL,
			want:         state.Unsent,
		},
		"before the sending": {
			beforeSending: leaseTTL - ctrl.OrderTimeout/2 + time.Millisecond,
			want:          state.Unsent,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := &pausedClock{
				now: begin,
			}
			e := &pausingOrders{
				clock:         clock,
				beforeReport:  c.beforeReport,
				beforeSending: c.beforeSending,
			}
			s := fiveEngines()
			s.Lease = heldLease(begin)
			require.True(t, s.Lease.Valid(begin, begin))
			x := &executor{
				parts: Parts{
					Endpoints: e,
					Now:       clock.read,
					Log:       zerolog.Nop(),
				},
			}
			x.loop = ctrl.New(s, x)
			n, _ := s.Members.Find("e0")
			got := x.sendOrder(t.Context(), state.SendOrder{
				Endpoint:     n,
				FencingToken: s.Lease.FencingToken(),
			})
			require.Equal(t, c.want, got.(state.Ordered).Outcome)
			require.Equal(t, c.want == state.Accepted, e.sent == 1)
		})
	}
}
