package conf_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/conf"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

var start = time.Unix(1_000_000, 0)

func ExampleState() {
	var s conf.State
	s = s.WithDocument(policy.Document{
		Version: 7,
	})
	s = s.WithDocument(policy.Document{
		Version: 6,
	})
	fmt.Println(s.Document().Version, s.WithTable(start, 7).FreshUntil(nil).Sub(start))
	// Output: 7 2s
}

func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s conf.State
		last := int64(-1)
		for range 50 {
			v := rapid.Int64Range(0, 20).Draw(rt, "version")
			s = s.WithDocument(policy.Document{
				Version: v,
			})
			require.GreaterOrEqual(rt, s.Document().Version, last)
			last = s.Document().Version
		}
	})
}

func TestFreshnessNeedsTheTableOrAMajority(t *testing.T) {
	s := conf.State{}.WithDocument(policy.Document{
		Version: 1,
	})
	never := time.Time{}
	cases := map[string]struct {
		answered []time.Time
		want     time.Time
	}{
		"alone of three":      {[]time.Time{never, never}, never},
		"two of three":        {[]time.Time{start, never}, start.Add(conf.MaxStaleness)},
		"two of four":         {[]time.Time{start, never, never}, never},
		"three of four":       {[]time.Time{start, start.Add(time.Second), never}, start.Add(conf.MaxStaleness)},
		"three of five":       {[]time.Time{never, start, start, never}, start.Add(conf.MaxStaleness)},
		"the only one at all": {nil, never},
	}
	for name, c := range cases {
		require.Equal(t, c.want, s.FreshUntil(c.answered), name)
	}
	require.Equal(t, start.Add(conf.MaxStaleness), s.WithTable(start, 1).FreshUntil([]time.Time{never, never}))
	require.Zero(t, s.WithTable(start, 2).FreshUntil(nil), "a newer version is known but not active")
	require.Zero(t, conf.State{}.WithTable(start, 0).FreshUntil(nil), "no configuration was loaded")
}

func TestAcceptanceWaitsForAMajorityAndTheMargin(t *testing.T) {
	s := conf.NewRollout([]string{"a", "b", "c"}).WithAck("a", start)
	require.False(t, s.Accepted(start.Add(time.Hour)))
	s = s.WithAck("a", start).WithAck("x", start)
	require.False(t, s.Accepted(start.Add(time.Hour)), "only members count, and each of them once")
	s = s.WithAck("b", start)
	require.False(t, s.Accepted(start.Add(conf.MaxStaleness)))
	require.True(t, s.Accepted(start.Add(conf.MaxStaleness+conf.AcceptanceMargin)))
	require.Equal(t, []string{"c"}, s.Missing())
}
