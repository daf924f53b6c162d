package state_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// instanceNodes returns n instances other than the one called except.
func instanceNodes(n int, except string) []member.Node {
	var out []member.Node
	for i := range n {
		if name := fmt.Sprintf("n%d", i); name != except {
			out = append(out, member.Node{
				Name: name,
			})
		}
	}
	return out
}

// The instances must agree on an order for each endpoint: every rank is held once.
func TestRanksAreAnOrderOfTheInstances(t *testing.T) {
	for _, instances := range []int{1, 2, 8, 78, 295} {
		endpoints := []string{"e1", "e2", "e3"}
		held := map[string]map[int]bool{}
		for i := range instances {
			self := fmt.Sprintf("n%d", i)
			r := rank(state.Ranks{}, self, instanceNodes(instances, self), endpoints...)
			for _, e := range endpoints {
				if held[e] == nil {
					held[e] = map[int]bool{}
				}
				rank, ok := r.Of(e)
				require.True(t, ok)
				held[e][rank] = true
			}
		}
		for _, e := range endpoints {
			require.Len(t, held[e], instances)
			require.True(t, held[e][0])
			require.True(t, held[e][instances-1])
		}
	}
}

// rank applies peers and endpoints to r.
func rank(r state.Ranks, self string, peers []member.Node, endpoints ...string) state.Ranks {
	r = r.WithPeers(self, peers, 1000)
	for _, e := range endpoints {
		r = r.WithEndpoint(e)
	}
	return r
}

// Ranks must follow the peers, and must not be derived again while those are the same.
func TestRanksFollowThePeers(t *testing.T) {
	peers, endpoints := instanceNodes(295, "n0"), []string{}
	for i := range 320 {
		endpoints = append(endpoints, fmt.Sprintf("e%d", i))
	}
	r := rank(state.Ranks{}, "n0", peers, endpoints...)
	require.Zero(t, testing.AllocsPerRun(5, func() { rank(r, "n0", peers, endpoints...) }))
	none := rank(r, "n0", nil, endpoints...)
	for _, e := range endpoints {
		before, _ := none.Of(e)
		require.Zero(t, before)
	}
	more := rank(r, "n0", peers, "new")
	want, _ := rank(state.Ranks{}, "n0", peers, "new").Of("new")
	got, ok := more.Of("new")
	require.True(t, ok)
	require.Equal(t, want, got)
	_, ok = state.Ranks{}.Of("new")
	require.False(t, ok)
}
