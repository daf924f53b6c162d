package grace_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/grace"
)

// A detached request must end with the grace period, whether its caller has left or not,
// and not before.
func TestDetachedContextEndsWithGracePeriod(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]bool{
		"caller waits": false,
		"caller left":  true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			signal := grace.New()
			caller, disconnect := context.WithCancel(signal.Context())
			defer disconnect()
			ctx, release := signal.Detach(caller)
			defer release()
			if leave {
				disconnect()
			}
			require.NoError(t, ctx.Err())
			signal.End()
			require.Eventually(t, func() bool { return ctx.Err() != nil }, time.Second, time.Millisecond)
			require.True(t, grace.Ended(ctx))
			require.Equal(t, !leave, grace.Ended(caller))
		})
	}
}
