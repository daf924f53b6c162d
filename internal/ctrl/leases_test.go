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

// releasesLease reports whether the last step asked to release the lease.
func (c *testInstance) releasesLease() bool {
	return slices.ContainsFunc(c.actions, func(a state.Action) bool {
		ask, ok := a.(state.RunLeaseOp)
		return ok && ask.Op.Put && !strings.Contains(string(ask.Op.Row.Value), "n0")
	})
}

func TestStoppingHolderSendsDueOrders(t *testing.T) {
	c := servingInstance(t, "e1", "e2", "e3", "e4", "e5", "e6")
	c.acquireLease(t)
	c.step(state.DesiredVersion{
		Model:   "m",
		Version: 2,
	})
	pending := c.sentOrders()
	c.step(state.Stopping{})
	require.False(t, c.releasesLease(), "engines lack weights")
	ordered := 0
	for ; len(pending) > 0; pending = pending[1:] {
		ordered++
		c.step(state.Ordered{
			Order:   pending[0],
			Outcome: state.AlreadyLoaded,
		})
		pending = append(pending, c.sentOrders()...)
	}
	require.Equal(t, 6, ordered)
	c.advance(10 * time.Millisecond)
	require.True(t, c.releasesLease())
}

func TestStoppingHolderReleasesLeaseAtTimeout(t *testing.T) {
	c := servingInstance(t, "e1")
	c.acquireLease(t)
	c.step(state.DesiredVersion{
		Model:   "m",
		Version: 2,
	})
	c.step(state.Stopping{})
	require.False(t, c.releasesLease())
	c.advance(2 * time.Second)
	require.True(t, c.releasesLease(), "the engine does not carry out its order, and the process ends soon")
	c.advance(200 * time.Millisecond)
	require.False(t, c.state.Lease.Valid(c.now, c.now))
	require.Empty(t, c.sentOrders())
}

func TestReleaseOfLeaseIsSentToPeersAtOnce(t *testing.T) {
	c := servingInstance(t, "e1")
	c.step(state.PeersFound{
		Peers: []member.Node{
			{
				Name: "n1",
				Addr: "10.0.0.2:1",
			},
		},
	})
	c.acquireLease(t)
	c.step(state.Stopping{})
	var release state.RunLeaseOp
	for _, a := range c.actions {
		if ask, ok := a.(state.RunLeaseOp); ok {
			release = ask
		}
	}
	require.True(t, release.Op.Put)
	c.step(state.Leased{
		Op:      release.Op,
		Version: release.Op.Row.Version + 1,
	})
	var sent []int64
	for _, a := range c.actions {
		if p, ok := a.(state.SendHeartbeat); ok {
			sent = append(sent, p.Heartbeat.Relay.Lease.Version)
		}
	}
	require.Equal(t, []int64{release.Op.Row.Version + 1}, sent)
}

// TestQuietPeriodAfterLastOrderOutlastsRelease covers a holder that sends an order
// just before it releases the lease. A rival that learns of the released row must
// not take the lease within the quiet period after that order.
func TestQuietPeriodAfterLastOrderOutlastsRelease(t *testing.T) {
	c := servingInstance(t, "e1")
	c.acquireLease(t)
	c.step(state.DesiredVersion{
		Model:   "m",
		Version: 2,
	})
	pending := c.sentOrders()
	require.Len(t, pending, 1)
	last := c.now
	c.step(state.Ordered{
		Order:   pending[0],
		Outcome: state.AlreadyLoaded,
	})
	c.step(state.Stopping{})
	require.True(t, c.releasesLease())
	for _, a := range c.actions {
		if ask, ok := a.(state.RunLeaseOp); ok {
			c.step(state.Leased{
				Op:      ask.Op,
				Version: ask.Op.Row.Version + 1,
			})
		}
	}
	rival := lease.New("lease/orders", "n1@1", lease.WithLength(2*time.Second, time.Second), lease.WithQuietPeriod(3*time.Second))
	rival = rival.WithPeerRow(c.state.Lease.Row(), c.state.Lease.Unchanged(c.now), c.now)
	for now := c.now; now.Sub(last) < 3*time.Second; now = now.Add(100 * time.Millisecond) {
		op, next, ok := rival.Plan(now)
		rival = next
		require.False(t, ok && op.Put, "the lease was taken %s after the holder's last order", now.Sub(last))
	}
}

// TestReleaseFollowsRenewalInFlight covers a holder that stops while its renewal is
// in flight. The loop runs one operation on the row at a time, so the first release
// is not sent and has to be tried again.
func TestReleaseFollowsRenewalInFlight(t *testing.T) {
	c := servingInstance(t, "e1")
	c.acquireLease(t)
	c.advance(time.Second)
	var renewal state.RunLeaseOp
	for _, a := range c.actions {
		if ask, ok := a.(state.RunLeaseOp); ok {
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
	c.advance(ctrl.ForwardInterval)
	require.True(t, c.releasesLease(), "the first release was not sent, since the renewal was in flight")
}
