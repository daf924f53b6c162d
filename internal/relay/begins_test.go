package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
)

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
