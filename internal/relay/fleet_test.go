package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// fleetState is the state of one of the given number of instances, each of which has
// calls at three of the engines and has told so lately.
func fleetState(instances, engines int) state.State {
	s := state.Forwarding(state.Self{
		Name:   "n000",
		Domain: "d0",
	}, lease.New("l", "n000@1"))
	s.Routing.Site = site.New(1, site.WithServices(
		site.Service{
			Name:        "llm",
			Connections: 1900,
			Slots:       12,
			Memory:      61413,
			Models:      []string{"m"},
		}))
	var nodes []member.Node
	for i := range engines {
		name := fmt.Sprintf("e%04d", i)
		nodes = append(nodes, member.Node{
			Name:   name,
			Role:   member.Engine,
			Addr:   name + ":1",
			Domain: fmt.Sprintf("d%d", i%6),
			Models: []string{"llm"},
		})
	}
	for i := 1; i < instances; i++ {
		name := fmt.Sprintf("n%03d", i)
		peer := member.Node{
			Name: name,
			Role: member.Instance,
			Addr: name + ":1",
		}
		s.Routing.Peers = append(s.Routing.Peers, peer)
		nodes = append(nodes, peer)
		work := map[string]load.Work{}
		for k := range 3 {
			work[fmt.Sprintf("e%04d", (i*7+k)%engines)] = load.Work{
				Calls: 1,
			}
		}
		// Peers are heard in turn: with n of them each comes once in about n/3 seconds.
		s.Loads = s.Loads.WithDigest(name, load.Digest{
			At:   begin.Add(-time.Duration(instances-i) * 300 * time.Millisecond),
			Work: work,
		})
	}
	s.Members = s.Members.WithRegistry(nodes)
	for i := range engines {
		s.Routing.Weights = s.Routing.Weights.WithLoaded(fmt.Sprintf("e%04d", i), "m", 1)
	}
	return s
}

// idleEngines are engines that report no calls.
type idleEngines struct {
	endpoints
}

func (idleEngines) Load(context.Context, member.Node) (member.Report, load.Work, error) {
	return member.Report{}, load.Work{}, nil
}

// newFleetExchange returns an exchange of an instance with the state s, whose engines
// are idle.
func newFleetExchange(s state.State) *exchange {
	x := newChoosingExchange(s, sharedPromptRequest(), begin)
	x.endpoints = idleEngines{}
	return x
}

// BenchmarkChoice measures the choice of an engine for a prompt.
func BenchmarkChoice(b *testing.B) {
	for _, size := range [][2]int{{8, 14}, {78, 78}, {295, 320}, {340, 2000}} {
		s := fleetState(size[0], size[1])
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			b.ReportAllocs()
			x := newFleetExchange(s)
			for b.Loop() {
				if _, err := x.choose(b.Context(), position{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A choice must not allocate more where there are more engines and instances.
func TestChoiceAllocatesTheSameInEachFleet(t *testing.T) {
	allocs := func(instances, engines int) float64 {
		x := newFleetExchange(fleetState(instances, engines))
		return testing.AllocsPerRun(20, func() {
			_, err := x.choose(t.Context(), position{})
			require.NoError(t, err)
		})
	}
	for _, sizes := range [][][2]int{
		{{8, 14}, {1, 1}},
		// Larger fleets look at an engine's load, which allocates as well.
		{{78, 78}, {295, 320}, {340, 2000}},
	} {
		first := allocs(sizes[0][0], sizes[0][1])
		require.Less(t, first, 25.0)
		for _, size := range sizes[1:] {
			require.LessOrEqual(t, allocs(size[0], size[1]), first+1, "%d instances, %d engines", size[0], size[1])
		}
	}
}

// Two engines on different versions of weights have different cached parts, each of
// which is known although the choice looks up every version only once.
func TestChoiceDistinguishesCachesOfWeightVersions(t *testing.T) {
	s := fiveEngines()
	r := sharedPromptRequest()
	for i := range 5 {
		if i != 3 {
			s.Routing.Weights = s.Routing.Weights.WithLoaded(fmt.Sprintf("e%d", i), "m", 2)
		}
	}
	keys := prefix.PartKeys(prefix.Salt("", "m", "1"), r.Parts[:2])
	s.Index = s.Index.WithEpoch("e3", "1").WithStored("e3", "1", keys, begin).
		WithEpoch("e1", "1").WithStored("e1", "1", keys, begin)
	c, ok := choose(t, s, r)
	require.True(t, ok)
	require.Equal(t, "e3", c.endpoint.Node.Name, "e1 holds the parts of version 1 only, and runs version 2")
	require.Equal(t, prefix.Salt("", "m", "1"), c.salt)
}
