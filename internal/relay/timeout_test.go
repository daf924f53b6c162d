package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventDuringInFlightQueryKeepsAttempt(t *testing.T) {
	for _, inFlight := range []bool{false, true} {
		ctx, cancel := context.WithCancelCause(t.Context())
		asked, answer := make(chan struct{}), make(chan bool)
		w := newWatchdog(10*time.Millisecond, func() bool {
			close(asked)
			return <-answer
		}, cancel)
		<-asked
		w.reset(time.Minute)
		answer <- inFlight
		require.Never(t, func() bool { return ctx.Err() != nil }, 100*time.Millisecond, 5*time.Millisecond)
		w.reset(10 * time.Millisecond)
		require.Eventually(t, func() bool { return ctx.Err() != nil }, time.Second, 5*time.Millisecond, "no further event arrives")
		require.ErrorIs(t, context.Cause(ctx), errIdleTimeout)
		w.stop()
		cancel(nil)
	}
}
