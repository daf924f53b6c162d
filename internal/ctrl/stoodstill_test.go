package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
)

// TestWeightsNamedWhileTheInstanceStoodStillAreOld has an instance stand still
// for six seconds, as when its machine is frozen or suspended.
func TestWeightsNamedWhileTheInstanceStoodStillAreOld(t *testing.T) {
	for _, ticks := range []int{0, 1, 2} {
		c := serving(t, "e1")
		c.wait(ctrl.ForwardInterval)
		alive := c.now
		c.now = c.now.Add(6 * time.Second)
		for range ticks {
			c.wait(50 * time.Millisecond)
		}
		c.step(state.Named{
			Model:   "m",
			Version: 2,
		})
		since, behind := c.state.Routing.Weights.Behind("e1", "m")
		require.True(t, behind)
		require.False(t, since.After(alive.Add(time.Second)), "after %d ticks the naming counts from %s after the instance stood still", ticks, since.Sub(alive))
	}
}
