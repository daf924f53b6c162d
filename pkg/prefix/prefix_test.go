package prefix_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/prefix"
)

var start = time.Unix(1_000_000, 0)

func ExampleIndex_Lookup() {
	prompt := bytes.Repeat([]byte("recipe sheet "), 100)
	hashes := prefix.HashBlocks(prefix.Salt("loom", "small", "v1"), prompt)
	var ix prefix.Index
	ix = ix.WithEpoch("e1", "1").WithStored("e1", "1", hashes, start)
	for _, h := range ix.Lookup(hashes, start) {
		fmt.Println(h.Endpoint, h.Blocks, len(hashes))
	}
	// Output: e1 5 5
}

func TestSaltsShareNoHash(t *testing.T) {
	prompt := bytes.Repeat([]byte("x"), 10*prefix.BlockBytes)
	seen := map[uint64]string{}
	for _, salt := range []string{
		prefix.Salt("loom", "small", "v1"),
		prefix.Salt("braid", "small", "v1"),
		prefix.Salt("loom", "large", "v1"),
		prefix.Salt("loom", "small", "v2"),
	} {
		for _, h := range prefix.HashBlocks(salt, prompt) {
			require.Empty(t, seen[h], "%s shares a block", salt)
			seen[h] = salt
		}
	}
}

func TestNewEpochInvalidatesEntriesAndLateEvents(t *testing.T) {
	hashes := []uint64{1, 2, 3}
	var ix prefix.Index
	ix = ix.WithEpoch("e1", "1").WithStored("e1", "1", hashes, start)
	require.Len(t, ix.Lookup(hashes, start), 1)
	ix = ix.WithEpoch("e1", "2")
	require.Empty(t, ix.Lookup(hashes, start))
	ix = ix.WithStored("e1", "1", hashes, start.Add(time.Second))
	require.Empty(t, ix.Lookup(hashes, start.Add(time.Second)), "late events of the previous incarnation are ignored")
}

func TestEventGapInvalidatesEarlierEntries(t *testing.T) {
	hashes := []uint64{1, 2, 3}
	var ix prefix.Index
	ix = ix.WithEpoch("e1", "1")
	ix, lost := ix.WithSeq("e1", "1", 1, start)
	require.False(t, lost)
	ix = ix.WithStored("e1", "1", hashes, start)
	ix, lost = ix.WithSeq("e1", "1", 3, start.Add(time.Second))
	require.True(t, lost)
	require.Empty(t, ix.Lookup(hashes, start.Add(time.Second)))
}

func TestFalseHitsShortenTheTTL(t *testing.T) {
	hashes := []uint64{1, 2, 3}
	var ix prefix.Index
	ix = ix.WithEpoch("e1", "1")
	for range 20 {
		ix = ix.WithStored("e1", "1", hashes, start).WithOutcome("e1", "1", hashes, 3, 1)
	}
	ix = ix.WithStored("e1", "1", hashes, start)
	require.Len(t, ix.Lookup(hashes, start.Add(500*time.Millisecond)), 1)
	require.Empty(t, ix.Lookup(hashes, start.Add(2*time.Second)))
}

// TestIndexMatchesReferenceModel compares the index with plain maps of held blocks.
func TestIndexMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ix prefix.Index
		epochs := map[string]int{}
		held := map[string]map[uint64]bool{}
		names := []string{"e1", "e2", "e3"}
		for _, n := range names {
			ix = ix.WithEpoch(n, "0")
			held[n] = map[uint64]bool{}
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			n := rapid.SampledFrom(names).Draw(rt, "name")
			depth := rapid.IntRange(1, 6).Draw(rt, "depth")
			hashes := []uint64{1, 2, 3, 4, 5, 6}[:depth]
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				ix = ix.WithStored(n, fmt.Sprint(epochs[n]), hashes, start)
				for _, h := range hashes {
					held[n][h] = true
				}
			case 2:
				ix = ix.WithRemoved(n, fmt.Sprint(epochs[n]), hashes[depth-1:])
				delete(held[n], hashes[depth-1])
			case 3:
				epochs[n]++
				ix = ix.WithEpoch(n, fmt.Sprint(epochs[n]))
				held[n] = map[uint64]bool{}
			}
			got := map[string]int{}
			for _, h := range ix.Lookup([]uint64{1, 2, 3, 4, 5, 6}, start) {
				got[h.Endpoint] = h.Blocks
			}
			for _, n := range names {
				want := 0
				for held[n][uint64(want+1)] {
					want++
				}
				require.Equal(rt, want, got[n], n)
			}
		}
	})
}
