package relay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// nonUrgentShare is the share of the engines' memory and slots that
	// non-urgent work may use. The rest is left to urgent work and to cached
	// prefixes, without which urgent prompts need a full prefill.
	nonUrgentShare = 0.35
	// imbalanceFactor is how much more than its equal share an instance may
	// use, because callers are not spread evenly over the instances.
	imbalanceFactor = 1.3
	// queueWaitShare is the share of its latency target that a request may wait
	// in the queue.
	queueWaitShare = 0.7
	// defaultQueueWait is how long a request without a latency target may wait.
	defaultQueueWait = 2 * time.Second
	// meanOutputShare is the average memory of an output as a share of its
	// maximum length. Memory grows while the output is generated.
	meanOutputShare = 0.5
	// minRetryAfter is the shortest Retry-After time of a refused request.
	minRetryAfter = 500 * time.Millisecond
	// updateInterval is the time between two updates of the gate.
	updateInterval = 100 * time.Millisecond
)

// gate queues non-urgent work while it fills its share of the engines' memory
// and slots. It is safe for concurrent use.
type gate struct {
	view stateViewer
	now  func() time.Time
	log  zerolog.Logger
	// meter records how long requests waited in the queue.
	meter meter
	// mu guards queues, which is keyed by service.
	mu     sync.Mutex
	queues map[string]*workQueue
}

// workQueue is the non-urgent work of one service.
type workQueue struct {
	waiting queue.Queue
	// admitted has a channel per item, which is closed when the item is
	// admitted. Invariant: exactly the items of waiting have one.
	admitted map[uint64]chan struct{}
	next     uint64
	// running is the work that was admitted and has not finished.
	running ledger
	// throughput is the rate at which tokens are admitted.
	throughput throughput
}

func newGate(v stateViewer, now func() time.Time, log zerolog.Logger, m meter) *gate {
	return &gate{
		view:   v,
		now:    now,
		log:    log,
		meter:  m,
		queues: map[string]*workQueue{},
	}
}

// Filter passes r on when it is admitted, or refuses it as soon as its wait is
// known to be too long.
func (g *gate) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if len(r.Parts) == 0 || r.Policy.Rank == policy.Urgent || r.LastEventID != "" {
		return next.Handle(ctx, r, w)
	}
	service, _ := g.view.View().Routing.Site.Service(r.Service)
	cost := memoryTokens(r, service)
	if err := g.acquire(ctx, r, cost); err != nil {
		return chain.Result{}, err
	}
	a := &admission{
		gate:    g,
		service: r.Service,
		tokens:  cost,
	}
	defer a.release()
	return next.Handle(withAdmission(ctx, a), r, w)
}

// memoryTokens is the memory, in tokens, that r needs at an engine of service
// v. It is at least the memory per slot, so that small requests don't take all
// slots.
func memoryTokens(r chain.Request, v site.Service) float64 {
	tokens := float64(r.Tokens) + meanOutputShare*float64(r.Output) + 1
	if v.Slots == 0 {
		return tokens
	}
	return max(tokens, float64(v.Memory)/float64(v.Slots))
}

// acquire returns nil when r is admitted; its cost then counts as running.
func (g *gate) acquire(ctx context.Context, r chain.Request, cost float64) error {
	limit := g.queueTimeout(r)
	g.mu.Lock()
	q := g.serviceQueue(r.Service)
	// A state from before the lock might miss a change whose update came first.
	now := g.now()
	free := roomOf(g.view.View(), r.Service, q.running, now)
	if q.waiting.Len(policy.Normal) == 0 && free.used+cost <= free.total {
		q.admit(cost, free.total, now)
		g.mu.Unlock()
		return nil
	}
	item := queue.Item{
		ID:     q.next,
		Team:   r.Team,
		Cost:   cost,
		Weight: 1,
	}
	q.next++
	expected := q.expectedWait(item)
	if expected > limit || free.total <= 0 {
		g.mu.Unlock()
		return g.refuse(r, "expected", expected)
	}
	admitted := make(chan struct{})
	q.admitted[item.ID] = admitted
	waiting, place := q.waiting.With(item)
	q.waiting = waiting
	g.admitWaiting(r.Service, q)
	g.mu.Unlock()
	begin := g.now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-admitted:
		g.meter.Waited(g.now().Sub(begin), true)
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !g.withdraw(q, place, item.ID) {
		// The request was admitted at the same moment.
		return nil
	}
	wait := g.now().Sub(begin)
	g.meter.Waited(wait, false)
	return g.unadmitted(ctx, r, wait, limit)
}

// unadmitted returns the reason why r was withdrawn from the queue after wait.
func (g *gate) unadmitted(ctx context.Context, r chain.Request, wait, limit time.Duration) error {
	switch {
	case grace.Ended(ctx):
		g.recordRefusal(r, "stopped", wait)
		return grace.Fault(false)
	case ctx.Err() != nil:
		g.recordRefusal(r, "left", wait)
		return fault.New(fault.Overload, "the caller left while the request waited: send it again")
	}
	return g.refuse(r, "waited", limit)
}

// queueTimeout is how long r may wait in the queue, at most until its deadline.
func (g *gate) queueTimeout(r chain.Request) time.Duration {
	limit := defaultQueueWait
	if r.Route.TargetLatency > 0 {
		limit = time.Duration(queueWaitShare * float64(r.Route.TargetLatency))
	}
	if until := r.EffectiveDeadline(); !until.IsZero() {
		limit = min(limit, until.Sub(g.now()))
	}
	return limit
}

func (g *gate) refuse(r chain.Request, reason string, wait time.Duration) error {
	g.recordRefusal(r, reason, wait)
	return fault.New(fault.Overload, "the wait (%s %s) is beyond the target: come back later or send less", reason, wait.Round(time.Millisecond)).WithRetry(max(wait, minRetryAfter))
}

// recordRefusal logs and counts a request that was not admitted.
func (g *gate) recordRefusal(r chain.Request, reason string, wait time.Duration) {
	g.meter.Refused(reason)
	g.log.Warn().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).Str("route", r.Route.Name).
		Str("reason", reason).Stringer("wait", wait.Round(time.Millisecond)).Send()
}

// update admits waiting requests after the room has changed.
func (g *gate) update() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, q := range g.queues {
		g.admitWaiting(service, q)
	}
}

// run updates the gate until ctx ends, since room also comes from changes of the state
// and with time, without a request that ends.
func (g *gate) run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.update()
		case <-ctx.Done():
			return nil
		}
	}
}

// withdraw removes an item from the queue, or returns false if it was admitted.
func (g *gate) withdraw(q *workQueue, place queue.Place, id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, ok := q.waiting.Without(place)
	if !ok {
		return false
	}
	q.waiting = next
	delete(q.admitted, id)
	return true
}

// admitWaiting admits requests while there is room. The caller holds mu.
func (g *gate) admitWaiting(service string, q *workQueue) {
	if q.waiting.Len(policy.Normal) == 0 {
		return
	}
	now := g.now()
	free := roomOf(g.view.View(), service, q.running, now)
	for {
		item, next, ok := q.waiting.Next(0, queue.Any)
		if !ok || !free.fits(item.Cost) {
			return
		}
		q.waiting = next
		q.admit(item.Cost, free.total, now)
		free.used += item.Cost
		close(q.admitted[item.ID])
		delete(q.admitted, item.ID)
	}
}

func (g *gate) serviceQueue(service string) *workQueue {
	q := g.queues[service]
	if q == nil {
		q = &workQueue{
			admitted: map[uint64]chan struct{}{},
			running:  ledger{},
		}
		g.queues[service] = q
	}
	return q
}

// admit counts work of the given tokens as running. Work without a bound is refused and
// says nothing about the throughput.
func (q *workQueue) admit(tokens, capacity float64, now time.Time) {
	q.running.add("", tokens)
	if !math.IsInf(capacity, 1) {
		q.throughput.record(tokens, now)
	}
}

// expectedWait estimates how long item would wait in the queue.
func (q *workQueue) expectedWait(item queue.Item) time.Duration {
	rate := q.throughput.perSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration((q.waiting.CostAhead(item) + item.Cost) / rate * float64(time.Second))
}

// throughput measures tokens per second as an exponential moving average over
// windows.
type throughput struct {
	windowStart time.Time
	tokens      float64
	rate        float64
}

const (
	// throughputWindow is the length of one measurement, and
	// throughputSmoothing its weight in the moving average.
	throughputWindow    = 500 * time.Millisecond
	throughputSmoothing = 0.4
)

// record adds tokens at now.
func (t *throughput) record(tokens float64, now time.Time) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	t.tokens += tokens
	span := now.Sub(t.windowStart)
	if span < throughputWindow {
		return
	}
	rate := t.tokens / span.Seconds()
	if t.rate == 0 {
		t.rate = rate
	}
	t.rate += throughputSmoothing * (rate - t.rate)
	t.windowStart, t.tokens = now, 0
}

func (t *throughput) perSecond() float64 { return t.rate }
