package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// meshFleet is a fleet of instances that exchange heartbeats in virtual time. A
// heartbeat and its answer take no time.
type meshFleet struct {
	size      fleetSize
	instances []*testInstance
	// dead holds the indexes of the instances that have ended.
	dead map[int]bool
	// sent counts the heartbeats that were sent.
	sent int
	// reads returns the reads of an instance that the store holds; nil if there are none.
	reads func(i int) state.Collected
	// ended receives the instances whose pauses end, and fetched those that request a
	// configuration from a peer; nil if nobody asks.
	ended   func(i int, a state.EndPauses)
	fetched func(i int, a state.FetchSite)
}

// newMeshFleet returns a fleet whose instances have been serving for a minute and know
// each other.
func newMeshFleet(size fleetSize) *meshFleet {
	f := &meshFleet{
		size: size,
		dead: map[int]bool{},
	}
	for i := range size.instances {
		c := newFleetInstance(size)
		c.state.Self = state.Self{
			Name:   fleetPeer(i).Name,
			Epoch:  "1",
			Addr:   fleetPeer(i).Addr,
			Domain: fleetPeer(i).Domain,
		}
		c.state.Routing.Peers, c.state.Routing.Unannounced = nil, nil
		for k := range size.instances {
			if k != i {
				c.state.Routing.Peers = append(c.state.Routing.Peers, fleetPeer(k))
			}
		}
		var engines []member.Node
		for k := range size.engines {
			engines = append(engines, registryEntry(fleetEngine(k)).Node)
		}
		c.state.Members = c.state.Members.WithRegistry(append(engines, c.state.Routing.Peers...))
		f.instances = append(f.instances, c)
	}
	return f
}

// index returns the index of the instance name.
func (f *meshFleet) index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "n%d", &i); err != nil {
		panic(err)
	}
	return i
}

// step passes e to instance i and executes the actions that follow from it.
func (f *meshFleet) step(i int, e state.Event) {
	type posted struct {
		to    int
		event state.Event
	}
	queue := []posted{
		{
			to:    i,
			event: e,
		},
	}
	for len(queue) > 0 {
		p := queue[0]
		queue = queue[1:]
		c := f.instances[p.to]
		c.step(p.event)
		for _, a := range c.actions {
			switch a := a.(type) {
			case state.Collect:
				collected := state.Collected{}
				if f.reads != nil {
					collected = f.reads(p.to)
				}
				queue = append(queue, posted{
					to:    p.to,
					event: collected,
				})
			case state.EndPauses:
				if f.ended != nil {
					f.ended(p.to, a)
				}
			case state.FetchSite:
				if f.fetched != nil {
					f.fetched(p.to, a)
				}
			case state.SendHeartbeat:
				f.sent++
				to := f.index(a.To.Name)
				if f.dead[to] {
					queue = append(queue, posted{
						to: p.to,
						event: state.HeartbeatFailed{
							Name: a.To.Name,
						},
					})
					continue
				}
				f.instances[to].step(a.Heartbeat)
				for _, more := range f.instances[to].actions {
					_, isHeartbeat := more.(state.SendHeartbeat)
					if isHeartbeat {
						f.sent++
					}
				}
				answer := ctrl.HeartbeatOf(f.instances[to].state)
				answer.Sent = c.now.Add(time.Millisecond)
				queue = append(queue, posted{
					to:    p.to,
					event: answer,
				})
			}
		}
	}
}

// advance lets all instances tick for d.
func (f *meshFleet) advance(d time.Duration) {
	for range d / ctrl.ForwardInterval {
		for i, c := range f.instances {
			c.now = c.now.Add(ctrl.ForwardInterval)
			if !f.dead[i] {
				f.step(i, state.Tick{})
			}
		}
	}
}

// An endpoint that many instances find gone, one after the other, must cost each peer a
// few heartbeats and not one from every other instance, and all must know at once.
func TestLostEndpointsAreSentOnce(t *testing.T) {
	for _, size := range []fleetSize{
		{
			instances: 30,
			engines:   40,
		},
		{
			instances: 120,
			engines:   130,
		},
	} {
		t.Run(size.String(), func(t *testing.T) {
			f := newMeshFleet(size)
			f.advance(2 * time.Second)
			f.sent = 0
			removed := state.RegistrySnapshot{
				Version: 5,
			}
			for k := range size.engines * 15 / 100 {
				removed.Removed = append(removed.Removed, fleetEngine(k))
			}
			f.step(0, removed)
			f.advance(ctrl.ForwardInterval)
			for i, c := range f.instances {
				require.Len(t, c.pool(), size.engines-len(removed.Removed), "instance %d", i)
			}
			for i := 1; i < size.instances; i++ {
				f.step(i, removed)
				if i%10 == 0 {
					f.advance(ctrl.ForwardInterval)
				}
			}
			f.advance(2 * time.Second)
			require.Less(t, f.sent/size.instances, 60)
		})
	}
}

// An endpoint that returns must be in use at all instances as soon as one has read its
// entry, since most of them read the registry rarely.
func TestReturnedEndpointIsUsedByAllWhenOneHasReadIt(t *testing.T) {
	size := fleetSize{
		instances: 30,
		engines:   10,
	}
	f := newMeshFleet(size)
	f.advance(time.Second)
	gone := fleetEngine(3)
	f.step(0, state.RegistrySnapshot{
		Version: 5,
		Removed: []string{gone},
	})
	f.advance(time.Second)
	entry := registryEntry(gone)
	entry.Node.Addr = "10.9.9.9:1"
	entry.Node.Start = "7"
	f.step(4, state.RegistrySnapshot{
		Version: 9,
		Put:     []member.RegistryEntry{entry},
	})
	f.advance(2 * ctrl.ForwardInterval)
	for i, c := range f.instances {
		require.Contains(t, c.pool(), gone, "instance %d", i)
		e, _ := c.state.Members.Find(gone)
		require.Equal(t, entry.Node, e.Node, "instance %d", i)
	}
	for i, c := range f.instances {
		if i != 4 && i != 0 {
			require.Less(t, c.state.Routing.RegistryVersion, int64(9), "a peer sends only some of the changes")
		}
	}
	f.advance(5 * time.Second)
	for i, c := range f.instances {
		require.Empty(t, ctrl.HeartbeatOf(c.state).Relay.Entries, "instance %d", i)
	}
}

// A peer's entry that is older than what an instance knows must change nothing.
func TestOldEntryOfAPeerIsIgnored(t *testing.T) {
	c := servingInstance(t, "e0", "e1")
	c.step(state.RegistrySnapshot{
		Version: 20,
		Removed: []string{"e1"},
	})
	require.NotContains(t, c.pool(), "e1")
	h := fleetHeartbeat(fleetSizes[0], 1, 1)
	h.Relay.Entries = []state.RecentEntry{
		{
			Entry:   registryEntry("e1"),
			Version: 19,
		},
	}
	c.step(h)
	require.NotContains(t, c.pool(), "e1")
	h.Relay.Entries[0].Version = 21
	c.step(h)
	require.Contains(t, c.pool(), "e1")
	// An entry with the name of an instance would take its place.
	h.Relay.Entries[0].Entry = registryEntry("n001")
	c.step(h)
	require.NotContains(t, c.pool(), "n001")
}

// Peers that answer must stay known, however rarely a fleet of this size calls them.
func TestRarelyCalledPeersStayKnown(t *testing.T) {
	f := newMeshFleet(fleetSize{
		instances: 120,
		engines:   5,
	})
	f.advance(45 * time.Second)
	for i, c := range f.instances {
		require.Len(t, c.state.Routing.Peers, 119, "instance %d", i)
	}
}

// Peers that ended must be forgotten, and the others must stay.
func TestEndedPeersAreForgotten(t *testing.T) {
	f := newMeshFleet(fleetSize{
		instances: 60,
		engines:   5,
	})
	f.advance(time.Second)
	for i := range 33 {
		f.dead[i] = true
	}
	f.advance(90 * time.Second)
	for i, c := range f.instances {
		if !f.dead[i] {
			require.Len(t, c.state.Routing.Peers, 26, "instance %d", i)
		}
	}
}

// An instance that joins must be known to all that it discovers, since they send news
// only to those that they know.
func TestJoiningInstanceIsKnownToAll(t *testing.T) {
	f := newMeshFleet(fleetSize{
		instances: 40,
		engines:   5,
	})
	last := f.instances[39]
	var found state.PeersFound
	for i, c := range f.instances {
		if i == 39 {
			continue
		}
		found.Peers = append(found.Peers, fleetPeer(i))
		c.state.Routing.Peers = c.state.Routing.Peers[:38]
	}
	last.state.Routing.Peers = nil
	f.sent = 0
	f.step(39, found)
	require.LessOrEqual(t, f.sent, 5, "a machine that starts has other work")
	f.advance(5 * time.Second)
	for i, c := range f.instances {
		require.Len(t, c.state.Routing.Peers, 39, "instance %d", i)
	}
}

// An instance that has restarted must not call all peers, which know it: where a whole
// fleet restarts, that takes the processor from the first requests.
func TestRestartedInstanceDoesNotAnnounceItself(t *testing.T) {
	f := newMeshFleet(fleetSize{
		instances: 88,
		engines:   5,
	})
	f.instances[5].state.Routing.Peers = nil
	found := state.PeersFound{
		Known: true,
	}
	for i := range f.instances {
		if i != 5 {
			found.Peers = append(found.Peers, fleetPeer(i))
		}
	}
	f.step(5, found)
	sent := 0
	for range 10 {
		f.instances[5].advance(ctrl.ForwardInterval)
		for _, a := range f.instances[5].actions {
			if _, ok := a.(state.SendHeartbeat); ok {
				sent++
			}
		}
	}
	require.LessOrEqual(t, sent, 4, "the rotation alone")
	require.Len(t, f.instances[5].state.Routing.Peers, 87)
}

// The first read of the registry after a start is no news: where a whole fleet restarts,
// each instance would send all entries to all others before it serves.
func TestFirstReadOfTheRegistryIsNoNews(t *testing.T) {
	c := newTestInstance()
	var found state.PeersFound
	for i := range 88 {
		found.Peers = append(found.Peers, fleetPeer(i+1))
	}
	c.step(found)
	c.step(state.StoreStatus{
		OK: true,
	})
	c.step(fullSnapshot(7, "e1", "e2", "e3"))
	require.Empty(t, c.actions)
	require.Empty(t, ctrl.HeartbeatOf(c.state).Relay.Entries)
	require.Len(t, c.pool(), 3)
}
