package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// withSoftware registers the endpoints with the given version of their software.
func (c *testInstance) withSoftware(version string, names ...string) {
	snapshot := state.RegistrySnapshot{
		Version: c.state.Routing.RegistryVersion + 1,
	}
	for _, name := range names {
		entry := registryEntry(name)
		entry.Node.Software = version
		snapshot.Put = append(snapshot.Put, entry)
	}
	c.step(snapshot)
}

// softwareSyncs returns the reads and writes of the listed versions that the last step
// started.
func (c *testInstance) softwareSyncs() []state.SyncSoftware {
	var out []state.SyncSoftware
	for _, a := range c.actions {
		if sync, ok := a.(state.SyncSoftware); ok {
			out = append(out, sync)
		}
	}
	return out
}

// listing returns a row that lists the given versions of service "llm".
func listing(t *testing.T, version int64, versions ...string) store.Row {
	t.Helper()
	var l origin.Listed
	for _, v := range versions {
		l = l.With("llm", v)
	}
	data, err := l.Marshal()
	require.NoError(t, err)
	return store.Row{
		Key:     state.SoftwareRow,
		Value:   data,
		Version: version,
	}
}

// versionsOf returns the versions of service "llm" that c knows to be listed.
func versionsOf(c *testInstance) []string {
	var out []string
	c.state.Routing.Software.Listed.Each(func(service, version string) {
		if service == "llm" {
			out = append(out, version)
		}
	})
	return out
}

// A new version is listed in the store, in the row that was read, and all peers are told.
func TestNewSoftwareVersionIsListed(t *testing.T) {
	c := servingInstance(t, "e1")
	c.withSoftware("v1", "e1")
	c.advance(time.Second)
	syncs := c.softwareSyncs()
	require.Len(t, syncs, 1)
	require.False(t, syncs[0].Put, "the row is read first")
	c.step(state.SoftwareSynced{
		Row: listing(t, 7, "v0"),
	})
	require.Equal(t, []string{"v0"}, versionsOf(c))
	c.advance(time.Second)
	syncs = c.softwareSyncs()
	require.Len(t, syncs, 1)
	require.True(t, syncs[0].Put)
	require.Equal(t, listing(t, 7, "v0", "v1"), syncs[0].Row)
	require.Equal(t, []string{"v0"}, versionsOf(c), "it is not listed before the store has it")
	c.step(state.SoftwareSynced{
		Put: true,
		Row: listing(t, 9, "v0", "v1"),
	})
	require.Equal(t, []string{"v0", "v1"}, versionsOf(c))
	heartbeats := 0
	for _, a := range c.actions {
		if beat, ok := a.(state.SendHeartbeat); ok {
			require.Equal(t, listing(t, 9, "v0", "v1"), beat.Heartbeat.Relay.Software)
			heartbeats++
		}
	}
	require.Len(t, c.state.Others(), heartbeats)
	c.advance(time.Second)
	require.Empty(t, c.softwareSyncs())
}

// An instance that starts reads the list as soon as the store answers, since streams can't
// begin at several versions before.
func TestListOfSoftwareVersionsIsReadOnceTheStoreAnswers(t *testing.T) {
	c := newTestInstance()
	c.step(state.StoreStatus{})
	require.Empty(t, c.softwareSyncs())
	status := state.StoreStatus{
		OK: true,
	}
	c.step(status)
	require.Equal(t, []state.SyncSoftware{{}}, c.softwareSyncs())
	c.step(state.SoftwareSynced{
		Row: listing(t, 7, "v1"),
	})
	c.step(status)
	require.Empty(t, c.softwareSyncs())
}

func TestPeersRowOfSoftwareVersionsIsTakenOver(t *testing.T) {
	c := servingInstance(t, "e1")
	c.withSoftware("v1", "e1")
	beat := func(row store.Row) {
		c.step(state.Heartbeat{
			Name: "n1",
			Relay: state.Relay{
				Addr:     "10.0.0.2:1",
				Software: row,
			},
		})
	}
	beat(listing(t, 9, "v1", "v2"))
	require.Equal(t, []string{"v1", "v2"}, versionsOf(c))
	beat(listing(t, 8, "v1"))
	require.Equal(t, []string{"v1", "v2"}, versionsOf(c), "the row is older")
	c.advance(time.Second)
	require.Empty(t, c.softwareSyncs())
}

// listingAbsent returns an instance that has read a row which lists v1 and v2, and v2 is the
// only version that has an endpoint.
func listingAbsent(t *testing.T) *testInstance {
	t.Helper()
	c := servingInstance(t, "e1")
	c.withSoftware("v2", "e1")
	c.step(state.SoftwareSynced{
		Row: listing(t, 7, "v1", "v2"),
	})
	c.advance(time.Second)
	return c
}

// await advances the clock by n seconds, in which the store has no newer registry every five,
// and returns the reads and writes of the listed versions.
func (c *testInstance) await(n int) []state.SyncSoftware {
	var syncs []state.SyncSoftware
	for i := range n {
		if i%5 == 0 {
			c.step(state.StoreStatus{
				OK: true,
			})
		}
		c.advance(time.Second)
		syncs = append(syncs, c.softwareSyncs()...)
	}
	return syncs
}

// A version stays listed for two minutes after its last endpoint has left.
func TestSoftwareVersionOfNoEndpointIsForgottenLate(t *testing.T) {
	c := listingAbsent(t)
	require.Empty(t, c.await(115))
	var syncs []state.SyncSoftware
	for range 10 {
		if syncs = c.await(1); len(syncs) > 0 {
			break
		}
	}
	require.Len(t, syncs, 1)
	require.True(t, syncs[0].Put)
	require.Equal(t, listing(t, 7, "v2"), syncs[0].Row)
	c.step(state.SoftwareSynced{
		Put: true,
		Row: listing(t, 8, "v2"),
	})
	require.Equal(t, []string{"v2"}, versionsOf(c))
	require.Empty(t, c.await(10))
}

// Guards against versions that are withdrawn while they serve, by an instance that did not see
// their endpoints return: it was paused, cut off from the store, or has not read the registry.
func TestInstanceOutOfStepWithdrawsNoVersion(t *testing.T) {
	for name, miss := range map[string]func(c *testInstance) []state.SyncSoftware{
		"paused": func(c *testInstance) []state.SyncSoftware {
			c.now = c.now.Add(3 * time.Minute)
			return c.await(60)
		},
		"without the store": func(c *testInstance) []state.SyncSoftware {
			c.step(state.StoreStatus{})
			for range 180 {
				c.advance(time.Second)
			}
			return c.await(60)
		},
		"without news of the registry": func(c *testInstance) []state.SyncSoftware {
			var syncs []state.SyncSoftware
			for range 180 {
				c.advance(time.Second)
				syncs = append(syncs, c.softwareSyncs()...)
			}
			return syncs
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, s := range miss(listingAbsent(t)) {
				require.False(t, s.Put, "%s", s.Row.Value)
			}
		})
	}
}

// An instance that lost a race reads the row again, and so does one whose write may have
// been carried out.
func TestConflictingRowOfSoftwareVersionsIsReadAgain(t *testing.T) {
	for _, err := range []error{store.ErrConflict, store.ErrLost} {
		c := servingInstance(t, "e1")
		c.withSoftware("v1", "e1")
		c.step(state.SoftwareSynced{
			Row: listing(t, 7, "v0"),
		})
		c.step(state.SoftwareSynced{
			Put: true,
			Err: err,
		})
		c.advance(time.Second)
		syncs := c.softwareSyncs()
		require.Len(t, syncs, 1)
		require.False(t, syncs[0].Put)
		require.Equal(t, []string{"v0"}, versionsOf(c), "what was listed stays")
	}
}

// A store that comes back from an older copy may lack a version that was listed.
func TestSoftwareVersionIsListedAgainInANewEra(t *testing.T) {
	c := servingInstance(t, "e1")
	c.step(state.EraFound{
		Era: 1,
	})
	c.withSoftware("v2", "e1")
	row := listing(t, 7, "v1", "v2")
	row.Era = 1
	c.step(state.SoftwareSynced{
		Row: row,
	})
	c.step(state.EraFound{
		Era: 2,
	})
	older := listing(t, 5, "v1")
	older.Era = 2
	c.step(state.SoftwareSynced{
		Row: older,
	})
	require.Equal(t, []string{"v1", "v2"}, versionsOf(c))
}
