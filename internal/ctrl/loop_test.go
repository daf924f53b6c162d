package ctrl_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// failingController panics at each event but ticks, and counts ticks.
type failingController struct{}

func (failingController) Step(s state.State, e state.Event, _ time.Time) (state.State, []state.Action) {
	if _, ok := e.(state.Tick); !ok {
		s.Ticks = 0
		panic("odd value")
	}
	s.Ticks++
	return s, nil
}

// pollingController polls an engine at each event.
type pollingController struct{}

func (pollingController) Step(s state.State, e state.Event, _ time.Time) (state.State, []state.Action) {
	if _, ok := e.(state.StoreStatus); ok {
		s.Own.Seq++
	}
	return s, []state.Action{
		state.PollLoad{
			Endpoint: member.Endpoint{
				Node: member.Node{
					Name: "e1",
				},
			},
		},
	}
}

// failingExecutor panics at each poll and records notes.
type failingExecutor struct {
	mu    sync.Mutex
	polls int
	notes []state.Note
}

func (x *failingExecutor) Execute(_ context.Context, a state.Action) state.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n, ok := a.(state.Note); ok {
		x.notes = append(x.notes, n)
		return nil
	}
	x.polls++
	panic("odd answer")
}

// A controller or an action that panics must cost only its own result: the state before
// it, the other controllers and the next events and actions are kept.
func TestPanicCostsOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &failingExecutor{}
		loop := ctrl.New(state.State{}, x,
			ctrl.WithInterval(time.Second),
			ctrl.WithControllers(failingController{}, pollingController{}))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = loop.Run(ctx) }()
		synctest.Wait()
		require.NoError(t, loop.Tell(ctx, state.StoreStatus{}))
		synctest.Wait()
		require.EqualValues(t, 1, loop.View().Ticks, "the state before the panic is kept")
		require.EqualValues(t, 1, loop.View().Own.Seq, "the other controllers go on")
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 2, loop.View().Ticks)
		cancel()
		<-loop.Done()
		require.Equal(t, 3, x.polls, "an action that panicked is no longer in flight")
		reasons := map[string]int{}
		for _, n := range x.notes {
			require.Equal(t, "panic", n.Event)
			reasons[n.Pairs[1]+": "+n.Pairs[3]]++
			require.Contains(t, n.Pairs[5], "ctrl_test.")
		}
		require.Equal(t, map[string]int{
			"ctrl_test.failingController at store: odd value": 1,
			"state.PollLoad: odd answer":                      3,
		}, reasons)
	})
}

// chainedController starts an action, and the next one with its key at each result.
type chainedController struct{}

func (chainedController) Step(s state.State, e state.Event, _ time.Time) (state.State, []state.Action) {
	switch e.(type) {
	case state.Tick, state.Reported:
		s.Own.Seq++
		return s, []state.Action{
			state.PollLoad{
				Endpoint: member.Endpoint{
					Node: member.Node{
						Name: "e1",
					},
				},
			},
		}
	}
	return s, nil
}

// reportingExecutor answers polls up to a number.
type reportingExecutor struct {
	polls, limit int
}

func (x *reportingExecutor) Execute(context.Context, state.Action) state.Event {
	if x.polls++; x.polls > x.limit {
		return nil
	}
	return state.Reported{
		Endpoint: "e1",
	}
}

// Guards against an action that is dropped since the one whose result asks for it counts as
// in flight: a holder of the lease then declared its orders only with its next renewal.
func TestResultMayStartTheNextActionWithItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &reportingExecutor{
			limit: 20,
		}
		loop := ctrl.New(state.State{}, x, ctrl.WithInterval(time.Minute), ctrl.WithControllers(chainedController{}))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = loop.Run(ctx) }()
		synctest.Wait()
		require.EqualValues(t, x.limit+1, loop.View().Own.Seq)
		cancel()
		<-loop.Done()
		require.Equal(t, x.limit+1, x.polls)
	})
}
