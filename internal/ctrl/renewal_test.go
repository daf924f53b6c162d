package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
)

// TestReleaseFollowsARenewalUnderWay has a holder stop while its renewal is not
// answered. The loop does one call to the row at a time.
func TestReleaseFollowsARenewalUnderWay(t *testing.T) {
	c := serving(t, "e1")
	c.hold(t)
	c.wait(time.Second)
	var renewal state.AskLease
	for _, a := range c.actions {
		if ask, ok := a.(state.AskLease); ok {
			renewal = ask
		}
	}
	require.True(t, renewal.Op.Put)
	c.step(state.Stopping{})
	c.now = c.now.Add(5 * time.Millisecond)
	c.step(state.Leased{
		Op:      renewal.Op,
		Version: renewal.Op.Row.Version + 1,
	})
	c.wait(ctrl.ForwardInterval)
	require.True(t, c.givesBack(), "the first attempt to give the lease back did not leave")
}
