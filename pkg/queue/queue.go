package queue

import (
	"math"

	"github.com/benbjohnson/immutable"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

// floorWindow is the cost, in tokens, over which the floor is enforced: recent service
// decays by a factor of e each time that this cost is served.
const floorWindow = 200_000.0

// Item is a waiting request.
type Item struct {
	// ID is unique in the queue.
	ID uint64
	// Team is the team to whose share the cost is charged.
	Team string
	// Rank is the rank in which the item waits.
	Rank policy.Rank
	// Cost is the estimated cost in tokens. Invariant: above 0.
	Cost float64
	// Weight is the fair-queueing weight of the team. Invariant: above 0.
	Weight float64
}

// Place is the position of a waiting item. It identifies the item for Without.
type Place struct {
	rank policy.Rank
	tag  tag
}

// Any allows items of all ranks.
var Any = [policy.Ranks]bool{true, true}

// Queue holds the waiting requests. The zero value is empty.
type Queue struct {
	ranks [policy.Ranks]rankQueue
	// served is the decayed cost of each rank that was served while both ranks waited.
	served [policy.Ranks]float64
}

// rankQueue holds the waiting requests of one rank.
type rankQueue struct {
	// items is sorted by tag.
	items *immutable.SortedMap[tag, Item]
	// finishTags holds the virtual finish time of each team's last item.
	finishTags *immutable.Map[string, float64]
	// virtualTime is the start tag of the last item that was served. Invariant: never
	// decreases.
	virtualTime float64
	// cost is the sum of the costs of items.
	cost float64
}

// tag orders items by virtual start time, then by id.
type tag struct {
	start float64
	id    uint64
}

type tagComparer struct{}

// Compare returns -1, 0 or 1 if a is before, equal to or after b.
func (tagComparer) Compare(a, b tag) int {
	switch {
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	}
	return 0
}

// With returns a copy of q to which it is added, and the place of it.
func (q Queue) With(it Item) (Queue, Place) {
	l := q.ranks[it.Rank].initialized()
	start := max(l.virtualTime, l.finishTag(it.Team))
	l.finishTags = l.finishTags.Set(it.Team, start+it.Cost/it.Weight)
	t := tag{
		start: start,
		id:    it.ID,
	}
	l.items = l.items.Set(t, it)
	l.cost += it.Cost
	q.ranks[it.Rank] = l
	return q, Place{
		rank: it.Rank,
		tag:  t,
	}
}

// Next returns the item to serve next, from the allowed ranks, and a copy of q without
// it. While both ranks wait, normal items get at least the share floor of the service.
// The result is false if no allowed item waits.
func (q Queue) Next(floor float64, allowed [policy.Ranks]bool) (Item, Queue, bool) {
	rank, ok := q.nextRank(floor, allowed)
	if !ok {
		return Item{}, q, false
	}
	both := q.Len(policy.Urgent) > 0 && q.Len(policy.Normal) > 0
	l := q.ranks[rank]
	itr := l.items.Iterator()
	t, it, _ := itr.Next()
	l.items = l.items.Delete(t)
	l.cost = max(0, l.cost-it.Cost)
	l.virtualTime = max(l.virtualTime, t.start)
	q.ranks[rank] = l
	if both {
		q = q.withService(rank, it.Cost)
	}
	return it, q, true
}

// Without returns a copy of q without the item at p, and whether the item was waiting.
// The cost of the item is credited back to its team.
func (q Queue) Without(p Place) (Queue, bool) {
	l := q.ranks[p.rank].initialized()
	it, ok := l.items.Get(p.tag)
	if !ok {
		return q, false
	}
	l.items = l.items.Delete(p.tag)
	l.cost = max(0, l.cost-it.Cost)
	l.finishTags = l.finishTags.Set(it.Team, l.finishTag(it.Team)-it.Cost/it.Weight)
	q.ranks[p.rank] = l
	return q, true
}

// WithCharge returns a copy of q in which cost is charged to team in addition to its
// items: what peers served it, or what a request cost beyond its estimate.
func (q Queue) WithCharge(rank policy.Rank, team string, cost, weight float64) Queue {
	l := q.ranks[rank].initialized()
	l.finishTags = l.finishTags.Set(team, max(l.virtualTime, l.finishTag(team))+cost/weight)
	q.ranks[rank] = l
	return q
}

// Len returns the number of waiting items of rank.
func (q Queue) Len(rank policy.Rank) int {
	if q.ranks[rank].items == nil {
		return 0
	}
	return q.ranks[rank].items.Len()
}

// Cost returns the total cost of the waiting items of rank.
func (q Queue) Cost(rank policy.Rank) float64 { return q.ranks[rank].cost }

// CostAhead returns the total cost of the items of the same rank that fair queueing serves
// before it, if it were added now.
func (q Queue) CostAhead(it Item) float64 {
	l := q.ranks[it.Rank]
	if l.items == nil {
		return 0
	}
	start := max(l.virtualTime, l.finishTag(it.Team))
	sum := 0.0
	for itr := l.items.Iterator(); !itr.Done(); {
		t, other, _ := itr.Next()
		if t.start > start {
			break
		}
		sum += other.Cost
	}
	return sum
}

// nextRank returns the rank to serve next, and false if no allowed item waits.
func (q Queue) nextRank(floor float64, allowed [policy.Ranks]bool) (policy.Rank, bool) {
	urgent := allowed[policy.Urgent] && q.Len(policy.Urgent) > 0
	normal := allowed[policy.Normal] && q.Len(policy.Normal) > 0
	switch {
	case !urgent && !normal:
		return policy.Normal, false
	case !urgent:
		return policy.Normal, true
	case !normal:
		return policy.Urgent, true
	}
	total := q.served[policy.Urgent] + q.served[policy.Normal]
	if q.served[policy.Normal] < floor*total {
		return policy.Normal, true
	}
	return policy.Urgent, true
}

// withService returns a copy of q that adds cost to the recent service of rank.
func (q Queue) withService(rank policy.Rank, cost float64) Queue {
	decay := math.Exp(-cost / floorWindow)
	for r := range q.served {
		q.served[r] *= decay
	}
	q.served[rank] += cost
	return q
}

// initialized returns l with non-nil maps.
func (l rankQueue) initialized() rankQueue {
	if l.items == nil {
		l.items = immutable.NewSortedMap[tag, Item](tagComparer{})
	}
	if l.finishTags == nil {
		l.finishTags = immutable.NewMap[string, float64](nil)
	}
	return l
}

// finishTag returns the virtual finish time of the last item of team.
func (l rankQueue) finishTag(team string) float64 {
	if l.finishTags == nil {
		return 0
	}
	f, _ := l.finishTags.Get(team)
	return f
}
