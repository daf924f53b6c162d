package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// TestEngineThatReportsNoOrderIsOrderedAgain has the holder that gave an order
// end at once; the next one asks the engine.
func TestEngineThatReportsNoOrderIsOrderedAgain(t *testing.T) {
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
	c.wait(4 * time.Second)
	c.hold(t)
	c.wait(200 * time.Millisecond)
	c.step(state.Reported{
		Endpoint: "e1",
		Report: member.Report{
			Version: "1",
		},
	})
	c.wait(200 * time.Millisecond)
	o, ok := c.state.Routing.Weights.Order("e1")
	require.True(t, ok)
	require.Less(t, c.now.Sub(o.Sent), time.Second, "the engine reports the weights of before and no order, 4 s after the order")
}
