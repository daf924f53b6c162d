package filter

import (
	"math"
	"time"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
)

// modelQueue holds the queued and running requests of one model.
type modelQueue struct {
	waiting queue.Queue
	// admissions holds, by item, the channel that admits it. The value sent
	// reports whether the item was admitted while urgent requests were queued,
	// under the floor of its rank.
	admissions map[uint64]chan bool
	// held is the work that was admitted and has not finished.
	held ledger
	// urgentDemand is the moving average of urgent requests, running and queued,
	// as of urgentDemandAt.
	urgentDemand   float64
	urgentDemandAt time.Time
	nextID         uint64
	// throughput is the cost served per second while requests were queued.
	throughput float64
	// served is the cost served since measuredAt, the time of the last throughput
	// measurement.
	served     float64
	measuredAt time.Time
}

// extraReserved returns how many slots this instance reserves for its urgent
// requests in addition to its share of reservedSlots.
func (q *modelQueue) extraReserved(endpoints, live int) int {
	return max(0, int(math.Ceil(urgentDemandFactor*q.urgentDemand))-reservedSlots*endpoints/live)
}

// updateUrgentDemand updates the moving average of the urgent demand.
func (q *modelQueue) updateUrgentDemand(now time.Time) {
	running := 0
	for _, w := range q.held {
		running += w.running[policy.Urgent]
	}
	count := float64(running + q.waiting.Len(policy.Urgent))
	if !q.urgentDemandAt.IsZero() {
		smoothing := 1 - math.Exp(-now.Sub(q.urgentDemandAt).Seconds()/urgentDemandWindow.Seconds())
		q.urgentDemand += smoothing * (count - q.urgentDemand)
	}
	q.urgentDemandAt = now
}

// enqueue adds r to the queue.
func (q *modelQueue) enqueue(r chain.Request) (chan bool, queue.Place, uint64) {
	q.nextID++
	admitted := make(chan bool, 1)
	q.admissions[q.nextID] = admitted
	next, place := q.waiting.With(q.item(r))
	q.waiting = next
	return admitted, place, q.nextID
}

func (q *modelQueue) item(r chain.Request) queue.Item {
	return queue.Item{
		ID:     q.nextID,
		Team:   r.Team,
		Rank:   r.Policy.Rank,
		Cost:   r.Cost(),
		Weight: weight(r),
	}
}

// expectedWait returns the estimated time that r would spend in the queue.
func (q *modelQueue) expectedWait(r chain.Request, limit capacity) time.Duration {
	if q.waiting.Len(r.Policy.Rank) == 0 && limit.used.prefilling < limit.prefilling && limit.admits()[r.Policy.Rank] {
		return 0
	}
	if q.throughput == 0 {
		return 0
	}
	ahead := q.waiting.CostAhead(q.item(r))
	if r.Policy.Rank == policy.Normal {
		ahead += q.waiting.Cost(policy.Urgent)
	}
	return time.Duration(ahead / q.throughput * float64(time.Second))
}

// recordServed adds served cost and updates the throughput. A slower measurement
// counts only while requests are queued, since otherwise it shows low demand.
func (q *modelQueue) recordServed(cost float64, now time.Time) {
	q.served += cost
	span := now.Sub(q.measuredAt)
	if span < throughputInterval {
		return
	}
	throughput := q.served / span.Seconds()
	backlogged := q.waiting.Len(policy.Urgent)+q.waiting.Len(policy.Normal) > 0
	switch {
	case q.measuredAt.IsZero():
	case q.throughput == 0, throughput > q.throughput:
		q.throughput = throughput
	case backlogged:
		q.throughput += throughputSmoothing * (throughput - q.throughput)
	}
	q.served, q.measuredAt = 0, now
}

// capacity is the number of concurrent requests of a model that this instance may
// run.
type capacity struct {
	// total applies to both ranks together, and normal to normal requests.
	total  int
	normal int
	// prefilling is how many of them may be without a first chunk.
	prefilling int
	// used is what runs at the same endpoints, or has no endpoint yet.
	used work
}

// admits reports, by rank, whether one more request may run.
func (c capacity) admits() [policy.Ranks]bool {
	var out [policy.Ranks]bool
	running := c.used.running
	free := running[policy.Normal]+running[policy.Urgent] < c.total
	out[policy.Urgent] = free
	out[policy.Normal] = free && running[policy.Normal] < c.normal
	return out
}
