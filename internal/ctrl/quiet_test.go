package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

// quietUntil is an answer in which e1 asks for quiet until a time.
func quietUntil(until time.Time) state.Signaled {
	return state.Signaled{
		Endpoint:   "e1",
		QuietUntil: until,
		Answer:     "status 503 to a request",
	}
}

// The log must say once when the quiet of an endpoint begins and ends. Only this
// instance keeps it, since the endpoint spoke to no other.
func TestQuietIsLoggedAndNotTold(t *testing.T) {
	c := servingInstance(t, "e1", "e2")
	c.step(quietUntil(c.now.Add(2 * time.Second)))
	require.Equal(t, []string{"quiet"}, c.endpointNotes())
	require.Empty(t, ctrl.HeartbeatOf(c.state).Drained)
	require.Empty(t, ctrl.HeartbeatOf(c.state).Relay.Announcements)
	c.step(quietUntil(c.now.Add(3 * time.Second)))
	require.Empty(t, c.endpointNotes())
	c.advance(2 * time.Second)
	require.Empty(t, c.endpointNotes(), "it asked for more meanwhile")
	c.advance(time.Second)
	require.Equal(t, []string{"back"}, c.endpointNotes())
}

// A new incarnation of an endpoint has asked for nothing yet.
func TestNewIncarnationEndsQuiet(t *testing.T) {
	c := servingInstance(t, "e1", "e2")
	c.step(quietUntil(c.now.Add(time.Minute)))
	c.registerAgain("8", 12)
	require.Equal(t, []string{"back"}, c.endpointNotes())
	e, _ := c.state.Members.Find("e1")
	require.True(t, e.QuietUntil.IsZero())
}

// An engine that wants no calls gets its order for weights as soon as it does.
func TestQuietEngineIsOrderedLater(t *testing.T) {
	c := servingInstance(t, "e1", "e2")
	c.acquireLease(t)
	c.step(quietUntil(c.now.Add(time.Second)))
	c.step(state.DesiredVersion{
		Model:   "m",
		Version: 2,
	})
	require.Equal(t, []string{"e2"}, orderedEngines(c.sentOrders()))
	c.advance(time.Second)
	require.Contains(t, orderedEngines(c.sentOrders()), "e1")
}

func orderedEngines(orders []weight.Order) []string {
	var out []string
	for _, o := range orders {
		out = append(out, o.Engine)
	}
	return out
}
