package bench

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

// play runs a scenario under a fake clock.
func play(t *testing.T, s Scenario, seed uint64, r Router) []Outcome {
	t.Helper()
	var out []Outcome
	synctest.Test(t, func(t *testing.T) {
		outcomes, err := Run(s, seed, r)
		require.NoError(t, err)
		out = outcomes
	})
	return out
}

func TestTry(t *testing.T) {
	for _, d := range []Deployment{Tassel()} {
		r := Ours
		for _, s := range []Scenario{
			d.Steady(0.5),
			d.Steady(0.5).WithFlood(policy.Normal, 3),
			d.Steady(0.5).WithFlood(policy.Urgent, 3),
		} {
			from, to := time.Duration(0), s.Length
			if s.Flood > 0 {
				from, to = s.FloodAt+5*time.Second, s.FloodEnd
			}
			sum := Summarise(play(t, s, 1, r), from, to)
			t.Logf("%-10s %-14s n=%d hit %.3f read %.0f urgent p50 %v p99 %v ans %d ref %d tok %.0f normal p50 %v p99 %v ans %d ref %d tok %.0f goodput %.0f false %d jain %.3f", d.Name, s.Title, sum.Requests, sum.Hits, sum.Read, sum.Urgent.P50, sum.Urgent.P99, sum.Urgent.Answered, sum.Urgent.Refused, sum.Urgent.Tokens, sum.Normal.P50, sum.Normal.P99, sum.Normal.Answered, sum.Normal.Refused, sum.Normal.Tokens, sum.Goodput, sum.False, sum.Jain)
		}
	}
}
