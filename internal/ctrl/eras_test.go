package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// eraSnapshot returns a read of the complete registry in the given era.
func eraSnapshot(era, version int64, names ...string) state.RegistrySnapshot {
	e := fullSnapshot(version, names...)
	e.Era = era
	return e
}

// instanceInEra returns an instance that has read the registry with the given endpoints in
// version 100 of era 1.
func instanceInEra(t *testing.T, names ...string) *testInstance {
	t.Helper()
	c := servingInstance(t, names...)
	c.step(eraSnapshot(1, 100, names...))
	c.run(5 * time.Second)
	return c
}

// eraNotes returns how many notes of a new era the last step wrote.
func (c *testInstance) eraNotes() int {
	n := 0
	for _, a := range c.actions {
		if note, ok := a.(state.Note); ok && note.Event == "era" {
			n++
		}
	}
	return n
}

// An older copy has lower versions, and lacks endpoints that registered a short while ago.
// They have time to do so again.
func TestRegistryOfNewEraCounts(t *testing.T) {
	c := instanceInEra(t, "e1", "e2")
	c.step(eraSnapshot(2, 7, "e1", "e3"))
	require.Equal(t, 1, c.eraNotes())
	require.True(t, slices.ContainsFunc(c.actions, func(a state.Action) bool { return a.Key() == "rejoin" }))
	require.Equal(t, []string{"e1", "e2", "e3"}, c.pool())
	c.step(eraSnapshot(1, 200, "e1", "e2"))
	require.Equal(t, []string{"e1", "e2", "e3"}, c.pool(), "a read of the era before is outdated")
	c.run(3 * time.Second)
	require.Equal(t, []string{"e1", "e3"}, c.pool(), "it did not register again")
	c.step(state.RegistrySnapshot{
		Removed: []string{"e3"},
		Version: 8,
		Era:     2,
	})
	require.Equal(t, []string{"e1"}, c.pool())
	require.Zero(t, c.eraNotes())
	ok, why := c.state.Ready(c.now)
	require.True(t, ok, why)
}

// The era in which an instance starts is no change, also if the store did not answer first.
func TestEraOfTheStartIsNoChange(t *testing.T) {
	c := newTestInstance()
	c.step(state.StoreStatus{})
	c.step(eraSnapshot(5, 100, "e1"))
	require.Zero(t, c.eraNotes())
	require.EqualValues(t, 5, c.state.Routing.StoreEra)
	require.Zero(t, c.state.Routing.StoreEraSince)
}

// Endpoints that departed must not come back with an older copy, unless they start anew,
// write their entry again, or stay in the registry.
func TestOlderCopyBringsNoEndpointBack(t *testing.T) {
	c := instanceInEra(t, "e1", "e2", "e3", "e4", "e5")
	c.step(state.RegistrySnapshot{
		Removed: []string{"e2", "e3"},
		Version: 101,
		Era:     1,
	})
	draining := registryEntry("e4")
	draining.Report.Departing = true
	c.step(state.RegistrySnapshot{
		Put:     append(eraSnapshot(1, 0).Put, draining),
		Version: 102,
		Era:     1,
	})
	require.Equal(t, []string{"e1", "e5"}, c.pool())
	c.run(20 * time.Second)
	c.step(eraSnapshot(2, 50, "e1", "e2", "e3", "e4", "e5"))
	require.Equal(t, []string{"e1", "e5"}, c.pool())
	require.NotContains(t, ctrl.HeartbeatOf(c.state).Relay.DepartureVersions, "e4", "its version is of the era before")
	c.run(time.Second)
	again := eraSnapshot(2, 51, "e1", "e2", "e3", "e4", "e5")
	again.Put[2].Node.Start = "2"
	c.step(again)
	require.Equal(t, []string{"e1", "e3", "e5"}, c.pool(), "another incarnation has registered")
	c.step(state.RegistrySnapshot{
		Put:     eraSnapshot(2, 0, "e4").Put,
		Version: 52,
		Era:     2,
	})
	require.Equal(t, []string{"e1", "e3", "e4", "e5"}, c.pool(), "it has written its entry in this era")
	c.run(8 * time.Second)
	require.NotContains(t, c.pool(), "e2")
	c.run(2 * time.Second)
	require.Contains(t, c.pool(), "e2", "the platform would have removed the entry of a silent endpoint")
}

// An endpoint that has registered again is no leaver of the next era.
func TestEndpointThatRegisteredAgainIsNotStale(t *testing.T) {
	c := newTestInstance()
	c.step(state.StoreStatus{
		OK: true,
	})
	c.step(eraSnapshot(1, 100, "e1", "e2"))
	c.run(5 * time.Second)
	c.step(state.RegistrySnapshot{
		Removed: []string{"e2"},
		Version: 101,
		Era:     1,
	})
	c.step(state.RegistrySnapshot{
		Put:     eraSnapshot(1, 0, "e2").Put,
		Version: 102,
		Era:     1,
	})
	require.Empty(t, c.state.Routing.Left)
	c.step(eraSnapshot(2, 50, "e1", "e2"))
	require.Empty(t, c.state.Routing.StaleEntries)
	require.Equal(t, []string{"e1", "e2"}, c.pool())
}

// Versions that a peer states do not compare across eras: neither the row of the lease, nor
// departures, nor entries.
func TestVersionsOfPeersCountInTheirEra(t *testing.T) {
	c := instanceInEra(t, "e1", "e2")
	c.step(eraSnapshot(2, 7, "e1", "e2"))
	h := state.Heartbeat{
		Name:    "n1",
		Drained: []string{"e1"},
		Relay: state.Relay{
			Addr:            "10.0.0.2:1",
			RegistryVersion: 150,
			StoreReachable:  true,
			Era:             1,
			Lease: store.Row{
				Key:     "lease/orders",
				Version: 149,
				Value:   []byte("3 n1@1 50000   1"),
			},
			DepartureVersions: map[string]int64{
				"e1": 150,
			},
			Entries: []state.RecentEntry{
				{
					Entry:   registryEntry("e9"),
					Version: 150,
				},
			},
		},
	}
	c.step(h)
	require.Equal(t, []string{"e1", "e2"}, c.pool())
	require.Zero(t, c.state.Lease.Row().Version)
	h.Relay.Era = 0
	c.step(h)
	require.Equal(t, []string{"e1", "e2"}, c.pool(), "a peer of an older release states no era")
	h.Relay.Era = 2
	c.step(h)
	require.Equal(t, []string{"e2", "e9"}, c.pool())
	require.Zero(t, c.state.Lease.Row().Version, "an older copy may have brought the row back")
	h.Relay.Lease.Value = []byte("3 n1@1 50000   2")
	c.step(h)
	require.EqualValues(t, 149, c.state.Lease.Row().Version)
	h.Relay.Era = 3
	h.Relay.Lease.Version = 4
	h.Relay.Lease.Value = []byte("3 n1@1 50000   3")
	c.step(h)
	require.Equal(t, 1, c.eraNotes(), "a peer has found the next era")
	require.EqualValues(t, 4, c.state.Lease.Row().Version)
	require.Zero(t, ctrl.HeartbeatOf(c.state).Relay.RegistryVersion, "this instance has not read the registry in it")
	c.advance(time.Second)
	require.True(t, slices.ContainsFunc(c.actions, func(a state.Action) bool { return a.Key() == "renew" }))
}

// The age of a version that was found at the start follows from the order of two rows of the
// store, which must be of one era.
func TestVersionIsNotDatedAcrossEras(t *testing.T) {
	c := newTestInstance()
	c.step(state.DesiredVersion{
		Model:   "m",
		Version: 4,
		Row:     90,
		Era:     0,
	})
	c.step(eraSnapshot(1, 100, "e1"))
	c.step(eraSnapshot(2, 7, "e1"))
	c.step(state.Leased{
		Row: store.Row{
			Version: 5,
			Value:   []byte("3 n1@1 50000   2"),
			Era:     2,
		},
		Clock: store.Clock{
			Reading: 51 * time.Second,
			SentAt:  c.now,
			Era:     2,
		},
	})
	require.EqualValues(t, 5, c.state.Lease.Row().Version)
	require.True(t, c.state.Routing.Weights.Desired("m").Since.IsZero(), "row 90 is of the era before")
}
