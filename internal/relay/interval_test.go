package relay

import (
	"fmt"
	"slices"
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
	for i := range n - 1 {
		s.Routing.Peers = append(s.Routing.Peers, member.Node{
			Name: fmt.Sprintf("n%d", i+1),
		})
	}
	s.Routing.Ranks = s.Routing.Ranks.WithPeers("n0", s.Routing.Peers, 1).WithEndpoint(state.OperatorsTable)
	return &s
}

// However many instances there are, all together must read the registry several times
// within the bound for departing endpoints, and each must make few calls: at most 0.2 a
// second for reads of the registry and of the peers in a fleet of hundreds. From 63 instances
// on, half of these calls are for reads that are overdue: see TestPausesRarelyEndInCalm.
func TestReadsOfTheStoreByFleetSize(t *testing.T) {
	const (
		drain        = 3 * time.Second
		overdueCalls = 0.1
	)
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
			if n >= 63 {
				polls := 1 / (operatorLongPoll + operatorPause(calmState(n), begin)).Seconds()
				require.LessOrEqual(t, calls+polls+overdueCalls, 0.2)
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

// However many instances there are, the same few must wait for changes of the operators'
// table all the time, and the others from time to time, so that changes are noticed if
// all of the few have ended. A change must not return the waits of hundreds.
func TestWaitsForOperatorsByFleetSize(t *testing.T) {
	for _, n := range []int{1, 2, 6, 8, 23, 63, 88, 295, 340, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			always, byChance, begun := 0, 0.0, 0.0
			for i := range n {
				s := calmState(n)
				self := fmt.Sprintf("n%d", i)
				var others []member.Node
				for k := range n {
					if k != i {
						others = append(others, member.Node{
							Name: fmt.Sprintf("n%d", k),
						})
					}
				}
				s.Routing.Ranks = s.Routing.Ranks.WithPeers(self, others, 0).WithEndpoint(state.OperatorsTable)
				pause := operatorPause(s, begin)
				if pause == 0 {
					always++
					continue
				}
				byChance += operatorLongPoll.Seconds() / (operatorLongPoll + pause).Seconds()
				begun += 1 / (operatorLongPoll + pause).Seconds()
			}
			require.Equal(t, min(n, operatorReaders), always)
			if n <= 340 {
				require.Less(t, byChance, 22.0)
			}
			if n >= 63 {
				require.Greater(t, begun, 0.25, "without the few, a change is noticed within 4 s on average")
			}
		})
	}
}

// Guards against times below zero where the fleet has shrunk and the ranks are still those
// of the larger one.
func TestIntervalsOfShrinkingFleetAreNotNegative(t *testing.T) {
	for n := 1; n <= 12; n++ {
		for left := range n {
			for self := range 2 * n {
				s := calmState(n)
				name := fmt.Sprintf("self%d", self)
				s.Routing.Ranks = s.Routing.Ranks.WithPeers(name, slices.Clone(s.Routing.Peers), 1).WithEndpoint(state.OperatorsTable)
				s.Routing.Peers = s.Routing.Peers[:left]
				require.GreaterOrEqual(t, operatorPause(s, begin), time.Duration(0), "%s, %d of %d", name, left+1, n)
				require.Positive(t, registryReadInterval(s, begin), "%s, %d of %d", name, left+1, n)
			}
		}
	}
}

// An instance that may miss the news of its peers must wait for changes without a pause.
func TestOperatorsAreFollowedWhereNewsMayBeMissed(t *testing.T) {
	lonely := calmState(295)
	require.NotZero(t, operatorPause(lonely, begin))
	lonely.Routing.PeerHeardAt = begin.Add(-time.Minute)
	require.Zero(t, operatorPause(lonely, begin))
	lost := calmState(295)
	lost.Routing.StoreReachable = false
	require.Zero(t, operatorPause(lost, begin))
}

// While the store is silent, all instances together must stay far below the 2,000 calls a
// second that it takes, and each must find its return within the time for registering again.
func TestOverdueReadsByFleetSize(t *testing.T) {
	for _, n := range []int{1, 8, 23, 88, 295, 1000} {
		interval := hedgeIntervalOf(n - 1)
		require.Less(t, float64(n)/interval.Seconds(), 1500.0)
		require.LessOrEqual(t, interval, time.Second)
	}
}
