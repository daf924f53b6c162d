package ctrl_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// fleetSize is the size of a fleet that benchmarks and tests build.
type fleetSize struct {
	instances int
	engines   int
}

func (f fleetSize) String() string { return fmt.Sprintf("%dx%d", f.instances, f.engines) }

// fleetSizes are the sizes of the users' installations and of two years on.
var fleetSizes = []fleetSize{
	{
		instances: 8,
		engines:   14,
	},
	{
		instances: 78,
		engines:   78,
	},
	{
		instances: 295,
		engines:   320,
	},
	{
		instances: 340,
		engines:   2000,
	},
}

// fleetPeer returns the address and name of peer i of a fleet.
func fleetPeer(i int) member.Node {
	return member.Node{
		Name:   fmt.Sprintf("n%03d", i),
		Role:   member.Instance,
		Addr:   fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
		Domain: fmt.Sprintf("d%d", i%6),
	}
}

// fleetEngine returns the name of engine i of a fleet.
func fleetEngine(i int) string { return fmt.Sprintf("e%04d", i) }

// newFleetInstance returns an instance that has been serving in a fleet of the given
// size, in which another instance holds the lease.
func newFleetInstance(size fleetSize) *testInstance {
	c := &testInstance{
		state: state.Forwarding(state.Self{
			Name:   "n000",
			Addr:   "10.1.0.0:7000",
			Domain: "d0",
		}, lease.New("lease/orders", "n000@1", lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(3*time.Second))),
		now: start,
	}
	c.step(state.StoreStatus{
		OK: true,
	})
	c.step(state.SiteFound{
		Site: site.New(1, site.WithServices(
			site.Service{
				Name:        "llm",
				Connections: 1900,
				Slots:       12,
				Memory:      61413,
				Follows:     12,
				Models:      []string{"m"},
			})),
		Source: "store",
	})
	var found state.PeersFound
	for i := range size.instances {
		found.Peers = append(found.Peers, fleetPeer(i))
	}
	c.step(found)
	snapshot := state.RegistrySnapshot{
		Version:  1,
		Complete: true,
	}
	for i := range size.engines {
		snapshot.Put = append(snapshot.Put, registryEntry(fleetEngine(i)))
	}
	c.step(snapshot)
	c.now = c.now.Add(time.Minute)
	return c
}

// fleetHeartbeat returns heartbeat number seq of peer i, which has calls at a few engines.
func fleetHeartbeat(size fleetSize, i, seq int) state.Heartbeat {
	p := fleetPeer(i)
	h := state.Heartbeat{
		Name:  p.Name,
		Epoch: "1",
		Sent:  start.Add(time.Minute),
		Summary: state.Summary{
			Seq:   uint64(seq),
			Work:  map[string]load.Work{},
			Usage: map[string]float64{},
		},
		Relay: state.Relay{
			Addr:            p.Addr,
			Domain:          p.Domain,
			Site:            1,
			RegistryVersion: 1,
			StoreReachable:  true,
			Lease: store.Row{
				Key:     "lease/orders",
				Version: 1,
				Value:   []byte("n001@1"),
			},
		},
	}
	for k := range 3 {
		h.Summary.Work[fleetEngine((i*7+k)%size.engines)] = load.Work{
			Calls: 1,
		}
	}
	return h
}

// BenchmarkFleet measures the steps of the control thread that repeat in calm.
func BenchmarkFleet(b *testing.B) {
	for _, size := range fleetSizes {
		c := newFleetInstance(size)
		for i := range size.instances - 1 {
			c.step(fleetHeartbeat(size, i+1, 1))
		}
		b.Run("tick/"+size.String(), func(b *testing.B) {
			b.ReportAllocs()
			s, now := c.state, c.now
			for b.Loop() {
				now = now.Add(ctrl.ForwardInterval)
				s, _ = ctrl.Step(ctrl.Forwarding(), s, state.Tick{}, now)
				now = now.Add(-ctrl.ForwardInterval)
			}
		})
		b.Run("heartbeat/"+size.String(), func(b *testing.B) {
			b.ReportAllocs()
			s, i, seq := c.state, 0, 2
			for b.Loop() {
				i++
				if i == size.instances {
					i, seq = 1, seq+1
				}
				s, _ = ctrl.Step(ctrl.Forwarding(), s, fleetHeartbeat(size, i, seq), c.now)
			}
		})
		b.Run("own/"+size.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ctrl.HeartbeatOf(c.state)
			}
		})
		b.Run("collected/"+size.String(), func(b *testing.B) {
			b.ReportAllocs()
			s := c.state
			for b.Loop() {
				s, _ = ctrl.Step(ctrl.Forwarding(), s, state.Collected{}, c.now)
			}
		})
	}
}

// In calm a tick must not allocate more where there are more peers or engines.
func TestCalmTicksAllocateTheSameInEachFleet(t *testing.T) {
	allocs := func(size fleetSize) float64 {
		c := newFleetInstance(size)
		for i := range size.instances - 1 {
			c.step(fleetHeartbeat(size, i+1, 1))
		}
		for range 5 {
			c.step(state.Tick{})
		}
		return testing.AllocsPerRun(40, func() { c.step(state.Tick{}) })
	}
	small := allocs(fleetSizes[0])
	for _, size := range fleetSizes[1:] {
		require.LessOrEqual(t, allocs(size), small+4, size.String())
	}
}

// A heartbeat from a known peer must not copy what is known of all others.
func TestHeartbeatsCopyNothingOfTheSizeOfTheFleet(t *testing.T) {
	allocated := func(size fleetSize) int64 {
		c := newFleetInstance(size)
		c.step(fleetHeartbeat(size, 1, 1))
		seq := 1
		return testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				seq++
				c.step(fleetHeartbeat(size, 1, seq))
			}
		}).AllocedBytesPerOp()
	}
	small := allocated(fleetSizes[0])
	for _, size := range fleetSizes[1:] {
		require.LessOrEqual(t, allocated(size), 2*small, size.String())
	}
}

// The load is that of a fleet whose instances start together, so that all of them are at
// the same point of the rotation.
func TestInstancesThatStartTogetherSendHeartbeatsToDifferentPeers(t *testing.T) {
	size := fleetSize{
		instances: 78,
		engines:   1,
	}
	c := newFleetInstance(size)
	received := map[string]int{}
	for i := range size.instances {
		s := c.state
		s.Self.Name = fleetPeer(i).Name
		for range 8 {
			next, actions := ctrl.Mesh{}.Step(s, state.Collected{}, c.now)
			s = next
			for _, a := range actions {
				if h, ok := a.(state.SendHeartbeat); ok {
					received[h.To.Name]++
				}
			}
		}
	}
	require.Len(t, received, size.instances-1, "peers that got a heartbeat, without the instance whose view it is")
	for name, n := range received {
		require.LessOrEqual(t, n, 2*8, name)
	}
}

// Until the first peers are known, each instance of a fleet that starts takes itself for
// the first in order.
func TestLeaseIsLeftAloneUntilThePeersAreKnown(t *testing.T) {
	c := newFleetInstance(fleetSize{
		instances: 8,
		engines:   1,
	})
	c.step(state.PeersFound{
		Joining: true,
	})
	c.advance(time.Second)
	require.False(t, c.callsLease())
	c.step(state.PeersFound{
		Known:   true,
		Settled: true,
	})
	c.advance(time.Second)
	c.advance(time.Second)
	require.True(t, c.callsLease(), "after the rivals ahead")
}

// callsLease reports whether the last step asked to read or write the row of the lease.
func (c *testInstance) callsLease() bool {
	return slices.ContainsFunc(c.actions, func(a state.Action) bool {
		_, ok := a.(state.RunLeaseOp)
		return ok
	})
}
