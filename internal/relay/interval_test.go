package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// calmState is the state of one of n instances in calm at the time begin.
func calmState(n int) *state.State {
	s := state.State{}
	s.Routing.StoreReachable = true
	s.Routing.PeerHeardAt = begin.Add(-time.Second)
	s.Routing.Peers = make([]member.Node, n-1)
	return &s
}

// However many instances there are, all together must read the registry several times
// within the bound for departing endpoints, and each must make few calls: at most 0.2 a
// second for reads of the registry and of the peers in a fleet of hundreds.
func TestReadsOfTheStoreByFleetSize(t *testing.T) {
	const drain = 3 * time.Second
	for _, n := range []int{1, 2, 3, 8, 23, 63, 78, 88, 295, 340, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			interval := registryReadInterval(calmState(n), begin)
			reads := float64(n) * drain.Seconds() / interval.Seconds()
			require.GreaterOrEqual(t, reads, 3.0)
			require.LessOrEqual(t, interval, maxRegistryInterval)
			calls := 1/interval.Seconds() + 1/rejoinIntervalOf(n-1).Seconds()
			if n >= 23 {
				require.LessOrEqual(t, calls, 0.2)
			}
		})
	}
}

// An instance that may miss the news of its peers must read the registry itself within
// the bound for departing endpoints.
func TestRegistryIsReadOftenWhereNewsMayBeMissed(t *testing.T) {
	const drain = 3 * time.Second
	for _, n := range []int{2, 8, 78, 295} {
		lonely := calmState(n)
		lonely.Routing.PeerHeardAt = begin.Add(-time.Minute)
		require.LessOrEqual(t, registryReadInterval(lonely, begin), drain)
		missing := calmState(n)
		missing.Routing.Departing = map[string]time.Time{
			"e1": begin,
		}
		require.LessOrEqual(t, registryReadInterval(missing, begin), drain)
		lost := calmState(n)
		lost.Routing.StoreReachable = false
		require.LessOrEqual(t, registryReadInterval(lost, begin), drain)
	}
}

// However many instances there are, some must wait for changes of the operators' table
// at any time, and a change must not return the waits of hundreds.
func TestWaitsForOperatorsByFleetSize(t *testing.T) {
	for _, n := range []int{1, 2, 6, 8, 23, 63, 88, 295, 340, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			pause := operatorPause(calmState(n), begin)
			waiting := float64(n) * operatorLongPoll.Seconds() / (operatorLongPoll + pause).Seconds()
			require.GreaterOrEqual(t, waiting, min(float64(n), operatorReaders)-0.01)
			if n <= 340 {
				require.LessOrEqual(t, waiting, 22.0)
			}
			require.LessOrEqual(t, pause, maxOperatorPause)
		})
	}
}

// An instance that may miss the news of its peers must wait for changes without a pause.
func TestOperatorsAreFollowedWhereNewsMayBeMissed(t *testing.T) {
	lonely := calmState(295)
	lonely.Routing.PeerHeardAt = begin.Add(-time.Minute)
	require.Zero(t, operatorPause(lonely, begin))
	lost := calmState(295)
	lost.Routing.StoreReachable = false
	require.Zero(t, operatorPause(lost, begin))
}
