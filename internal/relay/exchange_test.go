package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// busyEnds is engines at which requests wait until they are withdrawn.
type busyEnds struct {
	ends
	// mu guards what follows: the engines that were asked, and when the request
	// was withdrawn from the last one.
	mu    sync.Mutex
	asked []string
	left  []time.Time
}

func (e *busyEnds) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	e.mu.Lock()
	e.asked = append(e.asked, a.Endpoint.Node.Name)
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = append(e.left, time.Now())
	return nil, call.Failure{
		Cause:  call.Broken,
		Sent:   true,
		Detail: ctx.Err().Error(),
	}
}

// views is a state that changes.
type views struct {
	now atomic.Pointer[state.State]
}

func (v *views) View() *state.State { return v.now.Load() }

func (*views) Post(state.Event) bool { return true }

// waiting is a request that is sent to e by an instance that grants replaced
// weights the given bound.
func waiting(v control, e ends, bound time.Duration) exchange {
	r := long()
	r.Route.Kind = site.Stream
	r.Route.Resumable = true
	r.Route.Attempts = 2
	r.Route.Target = time.Minute
	r.Stream = true
	return exchange{
		forward: forward{
			control: v,
			ends:    e,
			gauge:   &load.Gauge{},
			now:     time.Now,
			log:     zerolog.Nop(),
			links:   newLinks(),
			meter:   noMeter{},
			bounds: Bounds{
				WeightsIn: bound,
			},
			budgets: newBudgets(Bounds{
				RetryExtra: 5,
				RetrySpan:  time.Second,
			}),
		},
		request: r,
	}
}

// homeAndOther returns the engine that is chosen first, and another.
func homeAndOther(t *testing.T, s state.State) (string, string) {
	t.Helper()
	home, ok := chosen(t, s, long())
	require.True(t, ok)
	if home.endpoint.Node.Name == "e1" {
		return "e1", "e2"
	}
	return home.endpoint.Node.Name, "e1"
}

func TestRequestThatWaitsAtAnEngineDoesNotBeginOnReplacedWeights(t *testing.T) {
	t.Parallel()
	const bound = 2200 * time.Millisecond
	s := engines()
	home, current := homeAndOther(t, s)
	named := time.Now()
	s.Routing.Weights = s.Routing.Weights.WithNamed("m", 2, named).WithHeld(current, "m", 2)
	e := &busyEnds{}
	ctx, cancel := context.WithTimeout(t.Context(), bound+time.Second)
	defer cancel()
	x := waiting(fixed{
		state: s,
	}, e, bound)
	err := x.run(ctx)
	require.Error(t, err)
	require.NotErrorIs(t, err, context.Canceled)
	require.Equal(t, []string{home, current}, e.asked)
	require.Less(t, e.left[0].Sub(named), bound, "the request could begin on version 1 until it was withdrawn")
}

func TestWeightsThatAreNamedWhileARequestWaitsCount(t *testing.T) {
	t.Parallel()
	const (
		bound = 2200 * time.Millisecond
		later = 300 * time.Millisecond
	)
	s := engines()
	home, current := homeAndOther(t, s)
	v := &views{}
	v.now.Store(&s)
	named := time.Now().Add(later)
	time.AfterFunc(later, func() {
		next := s
		next.Routing.Weights = s.Routing.Weights.WithNamed("m", 2, named).WithHeld(current, "m", 2)
		v.now.Store(&next)
	})
	e := &busyEnds{}
	ctx, cancel := context.WithTimeout(t.Context(), later+bound+time.Second)
	defer cancel()
	x := waiting(v, e, bound)
	require.Error(t, x.run(ctx))
	require.Equal(t, []string{home, current}, e.asked)
	require.Less(t, e.left[0].Sub(named), bound, "the request could begin on version 1 until it was withdrawn")
}
