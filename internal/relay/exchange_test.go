package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// blockingEndpoints are engines that hold each request until it is withdrawn.
type blockingEndpoints struct {
	endpoints
	// mu guards the fields below: the engines that were called, and when each
	// request was withdrawn.
	mu        sync.Mutex
	asked     []string
	withdrawn []time.Time
}

func (e *blockingEndpoints) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	e.mu.Lock()
	e.asked = append(e.asked, a.Endpoint.Node.Name)
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn = append(e.withdrawn, time.Now())
	return nil, call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
		Detail:    ctx.Err().Error(),
	}
}

// mutableState is a state that tests replace.
type mutableState struct {
	now atomic.Pointer[state.State]
}

func (v *mutableState) View() *state.State { return v.now.Load() }

func (*mutableState) Post(state.Event) bool { return true }

// newWaitingExchange returns an exchange of a resumable stream with e, on an
// instance on which requests may start on replaced weights for the given time.
func newWaitingExchange(v control, e endpoints, bound time.Duration) exchange {
	r := sharedPromptRequest()
	r.Route.Kind = site.Stream
	r.Route.Resumable = true
	r.Route.Attempts = 2
	r.Route.TargetLatency = time.Minute
	r.Stream = true
	return exchange{
		forwarder: forwarder{
			control:   v,
			endpoints: e,
			gauge:     &load.Gauge{},
			served:    &poison.Served{},
			now:       time.Now,
			log:       zerolog.Nop(),
			links:     newStoreLinks(),
			meter:     discardMeter{},
			grace:     grace.New(),
			origins: &origins{
				now: time.Now,
			},
			bounds: Bounds{
				StaleWeightsLimit: bound,
			},
			budgets: newRetryBudgets(Bounds{
				RetryExtra: 5,
				RetrySpan:  time.Second,
			}),
		},
		request: r,
	}
}

// preferredAndOther returns the name of the engine that is chosen first and of
// another one.
func preferredAndOther(t *testing.T, s state.State) (string, string) {
	t.Helper()
	preferred, ok := choose(t, s, sharedPromptRequest())
	require.True(t, ok)
	if preferred.endpoint.Node.Name == "e1" {
		return "e1", "e2"
	}
	return preferred.endpoint.Node.Name, "e1"
}

func TestWaitingAttemptIsWithdrawnBeforeWeightsExpire(t *testing.T) {
	t.Parallel()
	const bound = 2200 * time.Millisecond
	s := fiveEngines()
	preferred, current := preferredAndOther(t, s)
	named := time.Now()
	s.Routing.Weights = s.Routing.Weights.WithDesired("m", 2, named).WithLoaded(current, "m", 2)
	e := &blockingEndpoints{}
	ctx, cancel := context.WithTimeout(t.Context(), bound+time.Second)
	defer cancel()
	x := newWaitingExchange(fixedState{
		state: s,
	}, e, bound)
	err := x.run(ctx)
	require.Error(t, err)
	require.NotErrorIs(t, err, context.Canceled)
	require.Equal(t, []string{preferred, current}, e.asked)
	require.Less(t, e.withdrawn[0].Sub(named), bound, "the request could start on version 1 until it was withdrawn")
}

func TestWeightsReplacedDuringWaitWithdrawAttempt(t *testing.T) {
	t.Parallel()
	const (
		bound = 2200 * time.Millisecond
		later = 300 * time.Millisecond
	)
	s := fiveEngines()
	preferred, current := preferredAndOther(t, s)
	v := &mutableState{}
	v.now.Store(&s)
	named := time.Now().Add(later)
	time.AfterFunc(later, func() {
		next := s
		next.Routing.Weights = s.Routing.Weights.WithDesired("m", 2, named).WithLoaded(current, "m", 2)
		v.now.Store(&next)
	})
	e := &blockingEndpoints{}
	ctx, cancel := context.WithTimeout(t.Context(), later+bound+time.Second)
	defer cancel()
	x := newWaitingExchange(v, e, bound)
	require.Error(t, x.run(ctx))
	require.Equal(t, []string{preferred, current}, e.asked)
	require.Less(t, e.withdrawn[0].Sub(named), bound, "the request could start on version 1 until it was withdrawn")
}

// hookedState is a state that calls hook before every read but the first.
type hookedState struct {
	state state.State
	reads atomic.Int32
	hook  func()
}

func (h *hookedState) View() *state.State {
	if h.reads.Add(1) > 1 {
		h.hook()
	}
	return &h.state
}

func (*hookedState) Post(state.Event) bool { return true }

// The first event arrives while the timer checks the weights' age. The attempt
// must not be canceled.
func TestFirstEventDuringStaleCheckKeepsAttempt(t *testing.T) {
	t.Parallel()
	h := &hookedState{
		state: fiveEngines(),
	}
	h.state.Routing.Weights = h.state.Routing.Weights.WithDesired("m", 2, time.Now())
	x := newWaitingExchange(h, nil, withdrawMargin+50*time.Millisecond)
	var e *staleTimer
	looked := make(chan struct{})
	h.hook = func() {
		e.stop()
		close(looked)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	c, ok := choose(t, h.state, sharedPromptRequest())
	require.True(t, ok)
	ready := make(chan struct{})
	inner := h.hook
	h.hook = func() {
		<-ready
		inner()
	}
	e = x.newStaleTimer(c, cancel)
	close(ready)
	<-looked
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, context.Cause(ctx), "the attempt had started")
}

// timedEndpoints are engines that accept a stream at once and send its two
// events after the given times, unless the attempt is canceled.
type timedEndpoints struct {
	endpoints
	// first is the time until the first event, and rest from there to the last.
	first time.Duration
	rest  time.Duration
}

func (e timedEndpoints) Open(ctx context.Context, _ call.Attempt) (call.Reply, error) {
	return &timedReply{
		ctx:   ctx,
		waits: []time.Duration{e.first, e.rest},
	}, nil
}

// timedReply is such a stream.
type timedReply struct {
	ctx   context.Context
	waits []time.Duration
}

func (*timedReply) Head() chain.Head {
	return chain.Head{
		Status: 200,
	}
}

func (r *timedReply) Next() (chain.Chunk, int, error) {
	wait := r.waits[0]
	r.waits = r.waits[1:]
	select {
	case <-time.After(wait):
		return chain.Chunk{
			Event: "1",
			End:   len(r.waits) == 0,
		}, 0, nil
	case <-r.ctx.Done():
		return chain.Chunk{}, 0, r.ctx.Err()
	}
}

func (*timedReply) Usage() call.Usage { return call.Usage{} }

func (*timedReply) Close() {}

// discardWriter accepts and discards everything.
type discardWriter struct {
	chain.Writer
}

func (discardWriter) Begin(chain.Head) error { return nil }

func (discardWriter) Write(chain.Chunk) error { return nil }

// An attempt is withdrawn only before its first event and only if the engine's
// weights are replaced: streams that started in time and outlast the limit go
// on, and so do streams that wait at an engine with the desired weights.
func TestStartedStreamIsNotWithdrawn(t *testing.T) {
	t.Parallel()
	const bound = withdrawMargin + 200*time.Millisecond
	behind := fiveEngines()
	behind.Routing.Weights = behind.Routing.Weights.WithDesired("m", 2, time.Now())
	for name, c := range map[string]struct {
		state     fixedState
		endpoints timedEndpoints
	}{
		"starts in time, ends later": {
			state: fixedState{
				state: behind,
			},
			endpoints: timedEndpoints{
				rest: bound,
			},
		},
		"waits long at an engine with the desired weights": {
			state: fixedState{
				state: fiveEngines(),
			},
			endpoints: timedEndpoints{
				first: bound + withdrawMargin,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newWaitingExchange(c.state, c.endpoints, bound)
			x.writer = discardWriter{}
			picked, ok := choose(t, c.state.state, sharedPromptRequest())
			require.True(t, ok)
			_, err := x.serve(t.Context(), x.newAttempt(t.Context(), picked))
			require.NoError(t, err, "cause %v", errors.Unwrap(err))
		})
	}
}
