package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/load"
)

var start = time.Unix(1_000_000, 0)

func ExampleGauge() {
	var g load.Gauge
	call := g.Start("e1", 500)
	fmt.Println(g.Work("e1"))
	call.EndPrefill()
	fmt.Println(g.Work("e1"))
	call.End()
	call.End()
	fmt.Println(g.Work("e1"))
	// Output:
	// {1 500 1}
	// {1 0 0}
	// {0 0 0}
}

func TestReportedPrefillTokensDecreaseWithReportAge(t *testing.T) {
	var tab load.Table
	tab = tab.WithReport("e1", load.Work{
		Calls:         3,
		PrefillTokens: 1000,
	}, start)
	require.Equal(t, 1000, tab.Work("e1", load.Work{}, 2000, start).PrefillTokens)
	require.Equal(t, 500, tab.Work("e1", load.Work{}, 2000, start.Add(250*time.Millisecond)).PrefillTokens)
	require.Zero(t, tab.Work("e1", load.Work{}, 2000, start.Add(time.Second)).PrefillTokens)
	require.Equal(t, 3, tab.Work("e1", load.Work{}, 2000, start.Add(time.Second)).Calls)
	require.Zero(t, tab.Work("e1", load.Work{}, 2000, start.Add(time.Minute)).Calls, "the report expired")
}

// A report does not hide the calls in prefill that the instances know of.
func TestReportKeepsKnownCallsInPrefill(t *testing.T) {
	own := load.Work{
		Calls:        2,
		PrefillCalls: 2,
	}
	tab := load.Table{}.WithReport("e1", load.Work{
		Calls: 3,
	}, start)
	require.Equal(t, load.Work{
		Calls:        3,
		PrefillCalls: 2,
	}, tab.Work("e1", own, 0, start))
}

func TestDigestsOfSilentPeersExpire(t *testing.T) {
	var tab load.Table
	for _, p := range []string{"i1", "i2"} {
		tab = tab.WithDigest(p, load.Digest{
			At: start,
			Work: map[string]load.Work{"e1": {
				Calls: 2,
			}},
			Usage: map[string]float64{
				"loom": 10,
			},
		})
	}
	require.Equal(t, 5, tab.Work("e1", load.Work{
		Calls: 1,
	}, 2000, start).Calls)
	require.InDelta(t, 20, tab.Usage("loom", start), 1e-9)
	require.Zero(t, tab.PeerWork("e1", 2000, start.Add(time.Minute)).Calls)
}

// The work at an endpoint must be the sum over the peers' last digests that have not
// expired, in whatever order the digests come.
func TestPeerWorkIsTheSumOfTheLastDigests(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var tab load.Table
		last := map[string]load.Digest{}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "digests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "gap")) * time.Millisecond)
			peer := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "peer")
			work := map[string]load.Work{}
			for _, e := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"e1", "e2", "e3"}), 0, 3, rapid.ID).Draw(t, "endpoints") {
				work[e] = load.Work{
					Calls:         rapid.IntRange(1, 9).Draw(t, "calls"),
					PrefillTokens: rapid.IntRange(0, 5000).Draw(t, "tokens"),
				}
			}
			last[peer] = load.Digest{
				At:   now,
				Work: work,
			}
			tab = tab.WithDigest(peer, last[peer])
			for _, e := range []string{"e1", "e2", "e3", "e4"} {
				var sum load.Work
				for _, d := range last {
					if since := now.Sub(d.At); since < 3*time.Second {
						sum = sum.Plus(d.Work[e].Aged(1000, since))
					}
				}
				require.Equal(t, sum, tab.PeerWork(e, 1000, now), e)
			}
		}
	})
}

// A digest must not change what an earlier table says.
func TestDigestLeavesEarlierTables(t *testing.T) {
	var tab load.Table
	digest := func(calls int) load.Digest {
		return load.Digest{
			At: start,
			Work: map[string]load.Work{
				"e1": {
					Calls: calls,
				},
			},
		}
	}
	one := tab.WithDigest("i1", digest(1)).WithDigest("i2", digest(2))
	two := one.WithDigest("i3", digest(4))
	three := one.WithDigest("i4", digest(8))
	require.Equal(t, 3, one.PeerWork("e1", 0, start).Calls)
	require.Equal(t, 7, two.PeerWork("e1", 0, start).Calls)
	require.Equal(t, 11, three.PeerWork("e1", 0, start).Calls)
}
