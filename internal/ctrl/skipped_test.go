package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
)

// TestSkippedVersionIsOlderThanTheOneThatIsLearned has an instance learn of
// version 4 alone; version 3 was named before it.
func TestSkippedVersionIsOlderThanTheOneThatIsLearned(t *testing.T) {
	c := serving(t, "e1")
	c.step(state.Named{
		Model:   "m",
		Version: 2,
	})
	c.step(state.WeightsSeen{
		Engine:  "e1",
		Model:   "m",
		Version: 2,
	})
	c.wait(20 * time.Second)
	c.step(state.Named{
		Model:   "m",
		Version: 4,
	})
	since, behind := c.state.Routing.Weights.Behind("e1", "m")
	require.True(t, behind)
	require.True(t, since.Before(c.now), "the engine lacks version 3, which was named before version 4")
}
