package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
)

// TestOrderThatCameToNothingIsGivenByTheNextHolder has a peer tell of an order
// that it then did not send.
func TestOrderThatCameToNothingIsGivenByTheNextHolder(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.Pulse{
		Name: "n1",
		Relay: state.Relay{
			Names: []state.Named{
				{
					Model:   "m",
					Version: 2,
				},
			},
			Weights: []state.EngineWeights{
				{
					Engine:  "e1",
					Model:   "m",
					Version: 1,
					Ordered: 2,
				},
			},
		},
	})
	c.wait(200 * time.Millisecond)
	c.step(state.Pulse{
		Name: "n1",
		Relay: state.Relay{
			Weights: []state.EngineWeights{
				{
					Engine:  "e1",
					Model:   "m",
					Version: 1,
				},
			},
		},
	})
	_, busy := c.state.Routing.Weights.Ordered("e1", c.now)
	require.False(t, busy, "the order came to nothing")
}
