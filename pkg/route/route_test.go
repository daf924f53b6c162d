package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/route"
)

var start = time.Unix(1_000_000, 0)

// engines returns n healthy engines in the same failure domain.
func engines(n int) member.Set {
	var nodes []member.Node
	for i := range n {
		nodes = append(nodes, member.Node{
			Name:   fmt.Sprintf("e%04d", i),
			Addr:   fmt.Sprint(i),
			Role:   member.Engine,
			Domain: "a",
			Labels: label.Of("gpu", fmt.Sprint("g", i%2)),
			Models: []string{"small"},
		})
	}
	set := member.Set{}.WithRegistry(nodes)
	for _, node := range nodes {
		set = set.WithReport(node.Name, member.Report{
			Epoch:   "1",
			Slots:   16,
			Prefill: 10_000,
		}, start)
	}
	return set
}

// blockHashes returns the hashes of a prompt whose first half is shared by its group.
func blockHashes(group, own, blocks int) []uint64 {
	var prompt []byte
	for i := range blocks {
		part := fmt.Sprintf("%d-%d", group, i)
		if i >= blocks/2 {
			part += fmt.Sprint("-", own)
		}
		prompt = append(prompt, fmt.Sprintf("%0256s", part)...)
	}
	return prefix.HashBlocks("salt", prompt)
}

func query(hashes []uint64) route.Query {
	return route.Query{
		Hashes: hashes,
		Tokens: len(hashes) * prefix.BlockTokens,
		Domain: "a",
		Now:    start,
		Seed:   1,
	}
}

func view(set member.Set, ix prefix.Index, g *load.Gauge) route.View {
	return route.View{
		Nodes: set,
		Cache: ix,
		Loads: load.Table{},
		Own:   g,
	}
}

func Example() {
	hashes := blockHashes(1, 1, 8)
	var ix prefix.Index
	ix = ix.WithEpoch("e0002", "1").WithStored("e0002", "1", hashes, start)
	set := engines(4)
	c, ok := route.Choose(query(hashes), set.Pool("small"), view(set, ix, &load.Gauge{}))
	fmt.Println(ok, c.Endpoint.Node.Name, c.Reason, c.Cached, c.UncachedTokens)
	// Output: true e0002 prefix 512 0
}

func TestInstancesChooseTheSameEndpoint(t *testing.T) {
	set := engines(18)
	pool := set.Pool("small")
	spread := map[string]int{}
	for group := range 200 {
		one, _ := route.Choose(query(blockHashes(group, 1, 8)), pool, view(set, prefix.Index{}, &load.Gauge{}))
		two, _ := route.Choose(query(blockHashes(group, 2, 8)), pool, view(set, prefix.Index{}, &load.Gauge{}))
		require.Equal(t, one.Endpoint.Node.Name, two.Endpoint.Node.Name)
		require.Equal(t, route.ByHash, one.Reason)
		spread[one.Endpoint.Node.Name]++
	}
	require.Len(t, spread, 18, "prefixes are spread over all endpoints")
}

func TestLongWaitOutweighsCachedPrefix(t *testing.T) {
	set := engines(3)
	pool := set.Pool("small")
	hashes := blockHashes(1, 1, 8)
	var ix prefix.Index
	ix = ix.WithEpoch("e0000", "1").WithStored("e0000", "1", hashes, start)
	g := &load.Gauge{}
	for range 200 {
		g.Start("e0000", 1000)
	}
	c, _ := route.Choose(query(hashes), pool, view(set, ix, g))
	require.NotEqual(t, "e0000", c.Endpoint.Node.Name)
}

func TestChoiceRespectsSelectorAndTriedEndpoints(t *testing.T) {
	set := engines(4)
	pool := set.Pool("small")
	q := query(blockHashes(1, 1, 8))
	sel, err := label.Parse("gpu=g1")
	require.NoError(t, err)
	q.Serve = sel
	q.Tried = []string{"e0001"}
	c, ok := route.Choose(q, pool, view(set, prefix.Index{}, &load.Gauge{}))
	require.True(t, ok)
	require.Equal(t, "e0003", c.Endpoint.Node.Name)
	q.Tried = append(q.Tried, "e0003")
	_, ok = route.Choose(q, pool, view(set, prefix.Index{}, &load.Gauge{}))
	require.False(t, ok)
}

func TestSuspectEndpointIsChosenIfAllAreSuspect(t *testing.T) {
	set := engines(3)
	for _, n := range []string{"e0000", "e0001", "e0002"} {
		set = set.WithFailure(n, start).WithFailure(n, start)
	}
	c, ok := route.Choose(query(nil), set.Pool("small"), view(set, prefix.Index{}, &load.Gauge{}))
	require.True(t, ok)
	require.Equal(t, route.ByForce, c.Reason)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := engines(n)
			pool := set.Pool("small")
			hashes := blockHashes(1, 1, 64)
			var ix prefix.Index
			for _, e := range pool[:min(8, n)] {
				ix = ix.WithEpoch(e.Node.Name, "1").WithStored(e.Node.Name, "1", hashes, start)
			}
			q, v := query(hashes), view(set, ix, &load.Gauge{})
			b.ReportAllocs()
			for b.Loop() {
				route.Choose(q, pool, v)
			}
		})
	}
}
