package filter

import (
	"math"
	"time"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
)

// pool is the requests for one model.
type pool struct {
	waiting queue.Queue
	// turns holds what ends the wait of each item. What is sent tells whether
	// the item took its turn while urgent work waited, as its rank's floor.
	turns map[uint64]chan bool
	// running is how many requests have their turn, by rank, and unread how
	// many of them have no first chunk yet.
	running [policy.Ranks]int
	unread  int
	// urgent is the usual number of urgent requests that run or wait, as of at.
	urgent float64
	at     time.Time
	nextID uint64
	// speed is the cost a second that was served while work waited.
	speed float64
	// served is the cost since the speed was last measured, at measured.
	served   float64
	measured time.Time
}

// extra is how many more slots than keptSlots this instance keeps for its
// urgent work.
func (p *pool) extra(endpoints, live int) int {
	return max(0, int(math.Ceil(keptTimes*p.urgent))-keptSlots*endpoints/live)
}

// watch follows how many slots urgent work usually takes.
func (p *pool) watch(now time.Time) {
	count := float64(p.running[policy.Urgent] + p.waiting.Len(policy.Urgent))
	if !p.at.IsZero() {
		share := 1 - math.Exp(-now.Sub(p.at).Seconds()/keptSpan.Seconds())
		p.urgent += share * (count - p.urgent)
	}
	p.at = now
}

// join adds r to the queue.
func (p *pool) join(r chain.Request) (chan bool, queue.Place, uint64) {
	p.nextID++
	turn := make(chan bool, 1)
	p.turns[p.nextID] = turn
	next, place := p.waiting.With(p.item(r))
	p.waiting = next
	return turn, place, p.nextID
}

func (p *pool) item(r chain.Request) queue.Item {
	return queue.Item{
		ID:     p.nextID,
		Team:   r.Team,
		Rank:   r.Policy.Rank,
		Cost:   r.Cost(),
		Weight: weight(r),
	}
}

// expect returns how long r would wait for its turn.
func (p *pool) expect(r chain.Request, have room) time.Duration {
	if p.waiting.Len(r.Policy.Rank) == 0 && p.unread < have.unread && have.allows(p)[r.Policy.Rank] {
		return 0
	}
	if p.speed == 0 {
		return 0
	}
	ahead := p.waiting.Ahead(p.item(r))
	if r.Policy.Rank == policy.Normal {
		ahead += p.waiting.Cost(policy.Urgent)
	}
	return time.Duration(ahead / p.speed * float64(time.Second))
}

// measure counts cost that was served, by which the speed of service is known.
func (p *pool) measure(cost float64, now time.Time) {
	p.served += cost
	span := now.Sub(p.measured)
	if span < speedSpan {
		return
	}
	speed := p.served / span.Seconds()
	busy := p.waiting.Len(policy.Urgent)+p.waiting.Len(policy.Normal) > 0
	switch {
	case p.measured.IsZero():
	case p.speed == 0, speed > p.speed:
		p.speed = speed
	case busy:
		p.speed += speedFade * (speed - p.speed)
	}
	p.served, p.measured = 0, now
}

// room is how many calls of a model this instance may run at once.
type room struct {
	// all is for both ranks, and normal for normal work alone.
	all    int
	normal int
	// unread is how many of them may be without a first chunk.
	unread int
}

// allows tells which ranks may have one more turn.
func (r room) allows(p *pool) [policy.Ranks]bool {
	var out [policy.Ranks]bool
	free := p.running[policy.Normal]+p.running[policy.Urgent] < r.all
	out[policy.Urgent] = free
	out[policy.Normal] = free && p.running[policy.Normal] < r.normal
	return out
}
