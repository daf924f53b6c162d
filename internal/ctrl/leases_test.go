package ctrl_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// givesBack tells whether c asks for its lease to be given back.
func (c *control) givesBack() bool {
	return slices.ContainsFunc(c.actions, func(a state.Action) bool {
		ask, ok := a.(state.AskLease)
		return ok && ask.Op.Put && !strings.Contains(string(ask.Op.Row.Value), "n0")
	})
}

func TestHolderThatStopsGivesTheOrdersThatAreDue(t *testing.T) {
	c := serving(t, "e1", "e2", "e3", "e4", "e5", "e6")
	c.hold(t)
	c.step(state.Named{
		Model:   "m",
		Version: 2,
	})
	under := c.orders()
	c.step(state.Stopping{})
	require.False(t, c.givesBack(), "engines lack weights")
	ordered := 0
	for ; len(under) > 0; under = under[1:] {
		ordered++
		c.step(state.Ordered{
			Order:   under[0],
			Outcome: state.Holds,
		})
		under = append(under, c.orders()...)
	}
	require.Equal(t, 6, ordered)
	c.wait(10 * time.Millisecond)
	require.True(t, c.givesBack())
}

func TestHolderThatStopsGivesTheLeaseBackInTime(t *testing.T) {
	c := serving(t, "e1")
	c.hold(t)
	c.step(state.Named{
		Model:   "m",
		Version: 2,
	})
	c.step(state.Stopping{})
	require.False(t, c.givesBack())
	c.wait(2 * time.Second)
	require.True(t, c.givesBack(), "the engine does not take its order, and the process ends soon")
	c.wait(200 * time.Millisecond)
	require.False(t, c.state.Lease.Valid(c.now, c.now))
	require.Empty(t, c.orders())
}

func TestPeersHearAtOnceThatTheLeaseWasGivenBack(t *testing.T) {
	c := serving(t, "e1")
	c.step(state.MatesFound{
		Mates: []member.Node{
			{
				Name: "n1",
				Addr: "10.0.0.2:1",
			},
		},
	})
	c.hold(t)
	c.step(state.Stopping{})
	var back state.AskLease
	for _, a := range c.actions {
		if ask, ok := a.(state.AskLease); ok {
			back = ask
		}
	}
	require.True(t, back.Op.Put)
	c.step(state.Leased{
		Op:      back.Op,
		Version: back.Op.Row.Version + 1,
	})
	var told []int64
	for _, a := range c.actions {
		if p, ok := a.(state.SendPulse); ok {
			told = append(told, p.Pulse.Relay.Lease.Version)
		}
	}
	require.Equal(t, []int64{back.Op.Row.Version + 1}, told)
}

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
	rival = rival.WithTold(c.state.Lease.Row(), c.state.Lease.Unchanged(c.now), c.now)
	for now := c.now; now.Sub(last) < 3*time.Second; now = now.Add(100 * time.Millisecond) {
		op, next, ok := rival.Plan(now)
		rival = next
		require.False(t, ok && op.Put, "the lease is taken %s after an order of its holder", now.Sub(last))
	}
}

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
