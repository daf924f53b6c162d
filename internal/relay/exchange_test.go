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

// hooked is a state before whose second reading something happens.
type hooked struct {
	state state.State
	reads atomic.Int32
	hook  func()
}

func (h *hooked) View() *state.State {
	if h.reads.Add(1) > 1 {
		h.hook()
	}
	return &h.state
}

func (*hooked) Post(state.Event) bool { return true }

// TestAttemptThatBeginsWhileItExpiresGoesOn has the first event come while the
// expiry looks at the weights.
func TestAttemptThatBeginsWhileItExpiresGoesOn(t *testing.T) {
	t.Parallel()
	h := &hooked{
		state: engines(),
	}
	h.state.Routing.Weights = h.state.Routing.Weights.WithNamed("m", 2, time.Now())
	x := waiting(h, nil, withdrawTime+50*time.Millisecond)
	var e *expiry
	looked := make(chan struct{})
	h.hook = func() {
		e.stop()
		close(looked)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	c, ok := chosen(t, h.state, long())
	require.True(t, ok)
	ready := make(chan struct{})
	inner := h.hook
	h.hook = func() {
		<-ready
		inner()
	}
	e = x.newExpiry(c, cancel)
	close(ready)
	<-looked
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, context.Cause(ctx), "the attempt had begun")
}

// slowEnds is engines at which a stream begins at once and ends after a time, or
// earlier where the attempt is given up.
type slowEnds struct {
	ends
	// first is how long the first event takes, and rest what follows it.
	first time.Duration
	rest  time.Duration
}

func (e slowEnds) Open(ctx context.Context, _ call.Attempt) (call.Reply, error) {
	return &slowReply{
		ctx:   ctx,
		waits: []time.Duration{e.first, e.rest},
	}, nil
}

// slowReply is one such stream.
type slowReply struct {
	ctx   context.Context
	waits []time.Duration
}

func (*slowReply) Head() chain.Head {
	return chain.Head{
		Status: 200,
	}
}

func (r *slowReply) Next() (chain.Chunk, int, error) {
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

func (*slowReply) Usage() call.Usage { return call.Usage{} }

func (*slowReply) Close() {}

// noWriter is a caller that takes all.
type noWriter struct {
	chain.Writer
}

func (noWriter) Begin(chain.Head) error { return nil }

func (noWriter) Write(chain.Chunk) error { return nil }

// TestStreamThatBeganInTimeGoesOn has streams that outlast the time in which
// they may begin, and one that waits at an engine which lacks nothing.
func TestStreamThatBeganInTimeGoesOn(t *testing.T) {
	t.Parallel()
	const bound = withdrawTime + 200*time.Millisecond
	behind := engines()
	behind.Routing.Weights = behind.Routing.Weights.WithNamed("m", 2, time.Now())
	for name, c := range map[string]struct {
		state fixed
		ends  slowEnds
	}{
		"begins in time, ends later": {
			state: fixed{
				state: behind,
			},
			ends: slowEnds{
				rest: bound,
			},
		},
		"waits long at an engine that lacks nothing": {
			state: fixed{
				state: engines(),
			},
			ends: slowEnds{
				first: bound + withdrawTime,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := waiting(c.state, c.ends, bound)
			x.writer = noWriter{}
			picked, ok := chosen(t, c.state.state, long())
			require.True(t, ok)
			err := x.try(t.Context(), picked)
			require.NoError(t, err, "cause %v", errors.Unwrap(err))
		})
	}
}
