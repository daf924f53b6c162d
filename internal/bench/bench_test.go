package bench

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
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

// TestHitRateIsNearThatOfExactKnowledge holds the goals for routing.
func TestHitRateIsNearThatOfExactKnowledge(t *testing.T) {
	s := Tassel().Steady(0.7)
	ours := Summarise(play(t, s, 1, Ours), 0, s.Length)
	oracle := Summarise(play(t, s, 1, Oracle), 0, s.Length)
	require.Greater(t, ours.Hits, oracle.Hits-0.03)
	require.Less(t, ours.Read, 1.1*oracle.Read)
	require.Zero(t, ours.Urgent.Refused+ours.Normal.Refused)
}

func TestMaxMinGivesNobodyMoreThanItAskedFor(t *testing.T) {
	owed := maxMin([teams]float64{100, 1, 2, 50}, 63)
	require.Equal(t, [teams]float64{30, 1, 2, 30}, owed)
}
