package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// endpointNotes returns the states in the log lines about e1 that resulted from the last
// step.
func (c *testInstance) endpointNotes() []string {
	var out []string
	for _, a := range c.actions {
		n, ok := a.(state.Note)
		if ok && n.Event == "endpoint" && slices.Contains(n.Pairs, "e1") {
			out = append(out, n.Pairs[slices.Index(n.Pairs, "state")+1])
		}
	}
	return out
}

// registerAgain has the registry list a new incarnation of e1.
func (c *testInstance) registerAgain(start string, version int64) {
	entry := registryEntry("e1")
	entry.Node.Start = start
	c.step(state.RegistrySnapshot{
		Put:     []member.RegistryEntry{entry},
		Version: version,
	})
}

// departureOf is an answer in which an incarnation of e1 announces its departure.
func departureOf(start string) state.Signaled {
	return state.Signaled{
		Endpoint:  "e1",
		Start:     start,
		Departing: true,
		Answer:    "status 200 to a request",
	}
}

// The state that results from the answer itself must lack the endpoint, not only the
// one after the next tick, and the log must say so once.
func TestAnnouncedDepartureIsInForceAtOnce(t *testing.T) {
	c := servingInstance(t, "e1", "e2")
	c.step(departureOf(""))
	require.Equal(t, []string{"e2"}, c.pool())
	require.Equal(t, []string{"leaving"}, c.endpointNotes())
	c.step(departureOf(""))
	require.Empty(t, c.endpointNotes())
	c.step(fullSnapshot(11, "e1", "e2"))
	require.Equal(t, []string{"e2"}, c.pool(), "the registry lags behind")
}

func TestNewIncarnationEndsAnnouncedDeparture(t *testing.T) {
	c := servingInstance(t, "e1", "e2")
	c.registerAgain("7", 11)
	c.step(departureOf("7"))
	require.Equal(t, []string{"e2"}, c.pool())
	c.registerAgain("8", 12)
	require.Equal(t, []string{"e1", "e2"}, c.pool())
	require.Equal(t, []string{"back"}, c.endpointNotes())
	c.step(departureOf("7"))
	require.Equal(t, []string{"e1", "e2"}, c.pool(), "a late answer of the old incarnation")
	require.Empty(t, c.endpointNotes())
}

// Peers learn of an announced departure for a while. It counts for the incarnation that
// announced it, whatever the versions of their registries.
func TestHeartbeatReportsAnnouncedDeparture(t *testing.T) {
	c, other, restarted := servingInstance(t, "e1", "e2"), servingInstance(t, "e1", "e2"), servingInstance(t, "e1", "e2")
	c.registerAgain("7", 11)
	other.registerAgain("7", 99)
	restarted.registerAgain("8", 99)
	c.step(departureOf("7"))
	require.Empty(t, ctrl.HeartbeatOf(c.state).Drained, "builds that know incarnations only by the registry are not told")
	for _, peer := range []*testInstance{other, restarted} {
		peer.step(ctrl.HeartbeatOf(c.state))
	}
	require.Equal(t, []string{"e2"}, other.pool())
	require.Equal(t, []string{"leaving"}, other.endpointNotes())
	require.Equal(t, []string{"e1", "e2"}, restarted.pool())
	third := servingInstance(t, "e1", "e2")
	third.registerAgain("7", 11)
	third.step(ctrl.HeartbeatOf(other.state))
	require.Equal(t, []string{"e2"}, third.pool(), "instances pass it on")
	c.advance(2 * time.Minute)
	require.Empty(t, ctrl.HeartbeatOf(c.state).Relay.Announcements)
	require.Equal(t, []string{"e2"}, c.pool())
}
