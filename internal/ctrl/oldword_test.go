package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// TestEngineThatReturnsIsNotLeavingByAnOldWord has a peer tell of the removal of
// an entry that was entered again since.
func TestEngineThatReturnsIsNotLeavingByAnOldWord(t *testing.T) {
	c := serving(t, "e1", "e2", "e3")
	c.step(state.MatesFound{
		Mates: []member.Node{
			{
				Name: "n1",
				Addr: "10.0.0.2:1",
			},
		},
	})
	c.step(state.Roster{
		Gone:    []string{"e1"},
		Version: 11,
	})
	require.Equal(t, []string{"e2", "e3"}, c.names())
	c.wait(time.Second)
	again := listing("e1")
	again.Node.Start = "2"
	c.step(state.Roster{
		Put:     []member.Listing{again},
		Version: 12,
	})
	require.Equal(t, []string{"e1", "e2", "e3"}, c.names())
	c.wait(300 * time.Millisecond)
	c.step(state.Pulse{
		Name:    "n1",
		Drained: []string{"e1"},
		Relay: state.Relay{
			Addr:    "10.0.0.2:1",
			Listing: 11,
			Follows: true,
		},
	})
	require.Equal(t, []string{"e1", "e2", "e3"}, c.names(), "the peer has read the registry up to 11 alone")
	require.NotContains(t, ctrl.PulseOf(c.state).Drained, "e1", "others would hear it from here")
}
