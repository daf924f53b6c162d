package queue_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
)

func item(id uint64, team string, rank policy.Rank, cost float64) queue.Item {
	return queue.Item{
		ID:     id,
		Team:   team,
		Rank:   rank,
		Cost:   cost,
		Weight: 1,
	}
}

func ExampleQueue() {
	var q queue.Queue
	q, _ = q.With(item(1, "large", policy.Normal, 10))
	q, _ = q.With(item(2, "large", policy.Normal, 10))
	q, _ = q.With(item(3, "small", policy.Normal, 10))
	q, _ = q.With(item(4, "small", policy.Urgent, 10))
	for {
		it, next, ok := q.Next(0, queue.Any)
		if !ok {
			break
		}
		q = next
		fmt.Print(it.ID, " ")
	}
	// Output: 4 1 3 2
}

// TestBackloggedTeamsGetEqualShares checks the fairness bound: the service of two
// teams that always have waiting items differs by at most one item of each.
func TestBackloggedTeamsGetEqualShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q queue.Queue
		teams := []string{"a", "b", "c"}
		costs := map[string]float64{}
		for _, n := range teams {
			costs[n] = rapid.Float64Range(1, 100).Draw(rt, n)
		}
		id := uint64(0)
		add := func(team string) {
			id++
			q, _ = q.With(item(id, team, policy.Normal, costs[team]))
		}
		for _, n := range teams {
			for range rapid.IntRange(1, 50).Draw(rt, "backlog") {
				add(n)
			}
		}
		served := map[string]float64{}
		for range 300 {
			it, next, ok := q.Next(0, queue.Any)
			require.True(rt, ok)
			q = next
			served[it.Team] += it.Cost
			add(it.Team)
		}
		for _, n := range teams {
			for _, m := range teams {
				require.LessOrEqual(rt, served[n]-served[m], costs[n]+costs[m]+1e-6)
			}
		}
	})
}

func TestNormalRankGetsItsFloor(t *testing.T) {
	var q queue.Queue
	id := uint64(0)
	served := map[policy.Rank]float64{}
	for range 5000 {
		for _, r := range []policy.Rank{policy.Urgent, policy.Normal} {
			id++
			q, _ = q.With(item(id, "a", r, 100))
		}
		it, next, ok := q.Next(0.2, queue.Any)
		require.True(t, ok)
		q = next
		served[it.Rank] += it.Cost
	}
	share := served[policy.Normal] / (served[policy.Normal] + served[policy.Urgent])
	require.InDelta(t, 0.2, share, 0.01)
}

func TestWithoutRemovesOnlyTheGivenItem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q queue.Queue
		places := map[uint64]queue.Place{}
		n := rapid.IntRange(1, 30).Draw(rt, "items")
		for i := range n {
			id := uint64(i + 1)
			q, places[id] = q.With(item(id, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team"), policy.Normal, 5))
		}
		before := q
		for id, p := range places {
			if rapid.Bool().Draw(rt, "drop") {
				next, ok := q.Without(p)
				require.True(rt, ok)
				q = next
				_, again := q.Without(p)
				require.False(rt, again)
				delete(places, id)
			}
		}
		require.Equal(rt, n, before.Len(policy.Normal), "the original queue is unchanged")
		for range places {
			it, next, ok := q.Next(0, queue.Any)
			require.True(rt, ok)
			require.Contains(rt, places, it.ID)
			q = next
		}
		require.Zero(rt, q.Len(policy.Normal))
		require.InDelta(rt, 0, q.Cost(policy.Normal), 1e-9)
	})
}
