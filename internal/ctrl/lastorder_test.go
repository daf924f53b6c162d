package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/lease"
)

// TestReleaseTellsOfTheLastOrder has a rival take the lease of a holder that
// gave an order just before it stopped.
func TestReleaseTellsOfTheLastOrder(t *testing.T) {
	c := serving(t, "e1")
	c.hold(t)
	c.step(state.Named{
		Model:   "m",
		Version: 2,
	})
	under := c.orders()
	require.Len(t, under, 1)
	last := c.now
	c.step(state.Ordered{
		Order:   under[0],
		Outcome: state.Holds,
	})
	c.step(state.Stopping{})
	require.True(t, c.givesBack())
	for _, a := range c.actions {
		if ask, ok := a.(state.AskLease); ok {
			c.step(state.Leased{
				Op:      ask.Op,
				Version: ask.Op.Row.Version + 1,
			})
		}
	}
	rival := lease.New("lease/orders", "n1@1", lease.WithLength(2*time.Second, time.Second), lease.WithQuiet(3*time.Second))
	rival = rival.WithTold(c.state.Lease.Row(), c.now)
	for now := c.now; now.Sub(last) < 3*time.Second; now = now.Add(100 * time.Millisecond) {
		op, next, ok := rival.Plan(now)
		rival = next
		require.False(t, ok && op.Put, "the lease is taken %s after an order of its holder", now.Sub(last))
	}
}
