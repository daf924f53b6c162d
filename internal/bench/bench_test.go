package bench

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// runScenario runs a scenario under a fake clock.
func runScenario(t *testing.T, s Scenario, seed uint64, r Router) []Outcome {
	t.Helper()
	var out []Outcome
	synctest.Test(t, func(t *testing.T) {
		outcomes, err := Run(s, seed, r)
		require.NoError(t, err)
		out = outcomes
	})
	return out
}

// TestHitRateIsCloseToOracle guards the routing goals: with delayed and lossy
// cache events and stale loads, the hit rate and the prefilled tokens stay close
// to those of a router that knows the engines' actual state.
func TestHitRateIsCloseToOracle(t *testing.T) {
	s := Tassel().Steady(0.7)
	actual := Summarise(runScenario(t, s, 1, Baobabtally), 0, s.Length)
	oracle := Summarise(runScenario(t, s, 1, Oracle), 0, s.Length)
	require.Greater(t, actual.HitRate, oracle.HitRate-0.03)
	require.Less(t, actual.PrefillTokens, 1.1*oracle.PrefillTokens)
	require.Zero(t, actual.Urgent.Refused+actual.Normal.Refused)
}

func TestMaxMinSharesStayWithinDemand(t *testing.T) {
	shares := maxMinShares([teams]float64{100, 1, 2, 50}, 63)
	require.Equal(t, [teams]float64{30, 1, 2, 30}, shares)
}
