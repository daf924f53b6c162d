package queue

import (
	"math"

	"github.com/benbjohnson/immutable"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

// shareWindow is the cost, in tokens, over which the floor is held.
const shareWindow = 200_000.0

// Item is a waiting request.
type Item struct {
	// ID is unique in the queue.
	ID uint64
	// Team is whose share the item takes.
	Team string
	// Rank is the lane.
	Rank policy.Rank
	// Cost is the estimated cost in tokens. Invariant: above 0.
	Cost float64
	// Weight is the team's weight. Invariant: above 0.
	Weight float64
}

// Place is where an item waits, by which it can be taken back.
type Place struct {
	rank policy.Rank
	at   tag
}

// Any allows both ranks.
var Any = [policy.Ranks]bool{true, true}

// Queue is the waiting requests. The zero value is empty.
type Queue struct {
	lanes [policy.Ranks]lane
	// served is the recent cost by rank while both ranks waited.
	served [policy.Ranks]float64
}

// lane is the queue of one rank.
type lane struct {
	// items is by tag, lowest first.
	items *immutable.SortedMap[tag, Item]
	// finish is the tag at which a team's last item ends.
	finish *immutable.Map[string, float64]
	// clock is the virtual time. Invariant: never goes back.
	clock float64
	// cost is the sum of the items' costs.
	cost float64
}

// tag orders items by virtual start, then by arrival.
type tag struct {
	start float64
	id    uint64
}

type tagOrder struct{}

// Compare orders tags.
func (tagOrder) Compare(a, b tag) int {
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

// With returns a copy of q in which it waits, and its place.
func (q Queue) With(it Item) (Queue, Place) {
	l := q.lanes[it.Rank].ready()
	start := max(l.clock, l.finished(it.Team))
	l.finish = l.finish.Set(it.Team, start+it.Cost/it.Weight)
	at := tag{
		start: start,
		id:    it.ID,
	}
	l.items = l.items.Set(at, it)
	l.cost += it.Cost
	q.lanes[it.Rank] = l
	return q, Place{
		rank: it.Rank,
		at:   at,
	}
}

// Next returns the item that goes next and the queue without it. Normal items
// keep the share floor of the service while both ranks wait. Only ranks that
// are allowed have items taken.
func (q Queue) Next(floor float64, allowed [policy.Ranks]bool) (Item, Queue, bool) {
	rank, ok := q.pick(floor, allowed)
	if !ok {
		return Item{}, q, false
	}
	both := q.Len(policy.Urgent) > 0 && q.Len(policy.Normal) > 0
	l := q.lanes[rank]
	itr := l.items.Iterator()
	at, it, _ := itr.Next()
	l.items = l.items.Delete(at)
	l.cost = max(0, l.cost-it.Cost)
	l.clock = max(l.clock, at.start)
	q.lanes[rank] = l
	if both {
		q = q.counted(rank, it.Cost)
	}
	return it, q, true
}

// Without returns a copy of q without the item at p, and whether it was there.
// The team gets back what the item would have cost.
func (q Queue) Without(p Place) (Queue, bool) {
	l := q.lanes[p.rank].ready()
	it, ok := l.items.Get(p.at)
	if !ok {
		return q, false
	}
	l.items = l.items.Delete(p.at)
	l.cost = max(0, l.cost-it.Cost)
	l.finish = l.finish.Set(it.Team, l.finished(it.Team)-it.Cost/it.Weight)
	q.lanes[p.rank] = l
	return q, true
}

// WithCharge returns a copy of q in which team is charged cost beyond its
// items: what peers served it, or what an item took beyond its estimate.
func (q Queue) WithCharge(rank policy.Rank, team string, cost, weight float64) Queue {
	l := q.lanes[rank].ready()
	l.finish = l.finish.Set(team, max(l.clock, l.finished(team))+cost/weight)
	q.lanes[rank] = l
	return q
}

// Len returns how many items of rank wait.
func (q Queue) Len(rank policy.Rank) int {
	if q.lanes[rank].items == nil {
		return 0
	}
	return q.lanes[rank].items.Len()
}

// Cost returns the cost of the waiting items of rank.
func (q Queue) Cost(rank policy.Rank) float64 { return q.lanes[rank].cost }

// Ahead returns the cost that is served before a new item of team at rank
// within the rank, as a fair share among teams would have it.
func (q Queue) Ahead(it Item) float64 {
	l := q.lanes[it.Rank]
	if l.items == nil {
		return 0
	}
	start := max(l.clock, l.finished(it.Team))
	sum := 0.0
	for itr := l.items.Iterator(); !itr.Done(); {
		at, other, _ := itr.Next()
		if at.start > start {
			break
		}
		sum += other.Cost
	}
	return sum
}

// pick returns the rank that goes next.
func (q Queue) pick(floor float64, allowed [policy.Ranks]bool) (policy.Rank, bool) {
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

// counted adds cost to the recent service of rank.
func (q Queue) counted(rank policy.Rank, cost float64) Queue {
	fade := math.Exp(-cost / shareWindow)
	for r := range q.served {
		q.served[r] *= fade
	}
	q.served[rank] += cost
	return q
}

func (l lane) ready() lane {
	if l.items == nil {
		l.items = immutable.NewSortedMap[tag, Item](tagOrder{})
	}
	if l.finish == nil {
		l.finish = immutable.NewMap[string, float64](nil)
	}
	return l
}

func (l lane) finished(team string) float64 {
	if l.finish == nil {
		return 0
	}
	f, _ := l.finish.Get(team)
	return f
}
