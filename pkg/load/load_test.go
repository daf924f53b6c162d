package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
