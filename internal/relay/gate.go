package relay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/admit"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
)

const (
	// updateInterval is the time between two updates of the gate.
	updateInterval = 100 * time.Millisecond
	// imbalanceFactor is how much more than its equal share of a limit an instance may
	// use.
	imbalanceFactor = admit.Evenness
)

// gate queues requests with prompts while they fill what the instance may have at the
// engines. The decisions are those of package admit. It is safe for concurrent use.
type gate struct {
	view stateViewer
	now  func() time.Time
	log  zerolog.Logger
	// meter records how long requests waited in the queue.
	meter meter
	// mu guards services, which is keyed by service.
	mu       sync.Mutex
	services map[string]*serviceWork
}

// serviceWork is the work of one service by rank.
type serviceWork [policy.Ranks]*lane

// lane is the work of one rank of a service.
type lane struct {
	// waiting holds timely work as urgent and overdue work as normal.
	waiting queue.Queue
	// admitted has a channel per item, which gets the time at which the item is
	// admitted. Invariant: exactly the items of waiting have one.
	admitted map[uint64]chan time.Time
	next     uint64
	// running is the work that was admitted and has not finished.
	running ledger
	// window is how much work may run, drain the rate at which it is admitted, and
	// delay how long the engines take.
	window admit.Window
	drain  admit.Drain
	delay  admit.Delay
	// comeback is when the callers that were refused return.
	comeback admit.Comeback
	// target is the time to the first byte that the last request targets, and prompt
	// its prompt tokens.
	target time.Duration
	prompt int
}

// queueRank is the rank of a class in the queue of a lane.
func queueRank(c admit.Class) policy.Rank {
	if c == admit.Timely {
		return policy.Urgent
	}
	return policy.Normal
}

func newGate(v stateViewer, now func() time.Time, log zerolog.Logger, m meter) *gate {
	return &gate{
		view:     v,
		now:      now,
		log:      log,
		meter:    m,
		services: map[string]*serviceWork{},
	}
}

// Filter passes r on when it is admitted, or refuses it as soon as its wait is
// known to be too long.
func (g *gate) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if len(r.Parts) == 0 || r.LastEventID != "" {
		return next.Handle(ctx, r, w)
	}
	service, _ := g.view.View().Routing.Site.Service(r.Service)
	cost := sizeOfService(service).Need(r.Tokens, r.Output)
	class, since, err := g.acquire(ctx, r, cost)
	if err != nil {
		return chain.Result{}, err
	}
	a := &admission{
		gate:    g,
		service: r.Service,
		rank:    r.Policy.Rank,
		tokens:  cost,
		open:    true,
		overdue: class == admit.Overdue,
		since:   since,
		target:  r.Route.TargetLatency,
	}
	defer a.release()
	return next.Handle(withAdmission(ctx, a), r.WithOverdue(a.overdue && a.rank == policy.Urgent), answerObserver{
		Writer:    w,
		admission: a,
	})
}

// acquire returns the class of r and when it is admitted; its cost then counts as running.
func (g *gate) acquire(ctx context.Context, r chain.Request, cost float64) (admit.Class, time.Time, error) {
	g.mu.Lock()
	l := g.service(r.Service)[r.Policy.Rank]
	// A state from before the lock might miss a change whose update came first.
	now := g.now()
	free := g.roomOf(r.Service, r.Policy.Rank, now)
	l.target, l.prompt = r.Route.TargetLatency, r.Tokens
	if !l.waits() && free.used+cost <= free.total && !l.yields(r.Policy.Rank, free, now) {
		l.admit(cost, free.total, now)
		g.mu.Unlock()
		return admit.Timely, now, nil
	}
	item := queue.Item{
		ID:     l.next,
		Team:   r.Team,
		Rank:   queueRank(admit.Timely),
		Cost:   cost,
		Weight: 1,
	}
	l.next++
	expected := l.expectedWait(item)
	class, limit := askOf(r, l.delay, now).Limit(expected)
	if class == admit.Overdue {
		item.Rank = queueRank(class)
		expected = l.expectedWait(item)
	}
	if expected > limit || free.total <= 0 {
		defer g.mu.Unlock()
		return class, now, g.refuse(r, l, "expected", expected, cost)
	}
	admitted := make(chan time.Time, 1)
	l.admitted[item.ID] = admitted
	waiting, place := l.waiting.With(item)
	l.waiting = waiting
	g.admitWaiting(r.Service)
	g.mu.Unlock()
	since, err := g.await(ctx, r, l, pending{
		item:     item,
		place:    place,
		admitted: admitted,
		limit:    limit,
	})
	return class, since, err
}

// pending is a request that waits in the queue.
type pending struct {
	item     queue.Item
	place    queue.Place
	admitted <-chan time.Time
	limit    time.Duration
}

// await returns when the request of p is admitted.
func (g *gate) await(ctx context.Context, r chain.Request, l *lane, p pending) (time.Time, error) {
	begin := g.now()
	timer := time.NewTimer(p.limit)
	defer timer.Stop()
	select {
	case since := <-p.admitted:
		g.meter.Waited(since.Sub(begin), true)
		return since, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !g.withdraw(l, p.place, p.item.ID) {
		// The request was admitted at the same moment.
		return <-p.admitted, nil
	}
	wait := g.now().Sub(begin)
	g.meter.Waited(wait, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case grace.Ended(ctx):
		g.recordRefusal(r, "stopped", wait)
		return begin, grace.Fault(false)
	case ctx.Err() != nil:
		g.recordRefusal(r, "left", wait)
		return begin, fault.New(fault.Overload, "the caller left while the request waited: send it again")
	}
	return begin, g.refuse(r, l, "waited", p.limit, p.item.Cost)
}

// askOf returns what package admit has to know of r.
func askOf(r chain.Request, d admit.Delay, now time.Time) admit.Ask {
	a := admit.Ask{
		Target:  r.Route.TargetLatency,
		Timeout: r.Route.Timeout,
		Typical: d.Typical(),
	}
	if until := r.EffectiveDeadline(); !until.IsZero() {
		a.Left = max(until.Sub(now), 1)
	}
	return a
}

// refuse returns the refusal of r, whose work would wait, with the time at which its
// caller is to return. The caller holds mu.
func (g *gate) refuse(r chain.Request, l *lane, reason string, wait time.Duration, cost float64) error {
	g.recordRefusal(r, reason, wait)
	now := g.now()
	left := time.Duration(0)
	if until := r.EffectiveDeadline(); !until.IsZero() {
		left = max(until.Sub(now), 1)
	}
	comeback, after := l.comeback.With(r.ID, wait, l.drain, cost, left, now)
	l.comeback = comeback
	return fault.New(fault.Overload, "the wait (%s %s) is beyond the target: come back later or send less", reason, wait.Round(time.Millisecond)).WithRetry(after)
}

// recordRefusal logs and counts a request that was not admitted: what the instance may
// have at the engines and has, in tokens, and how long they take. The caller holds mu.
func (g *gate) recordRefusal(r chain.Request, reason string, wait time.Duration) {
	g.meter.Refused(reason)
	free := g.roomOf(r.Service, r.Policy.Rank, g.now())
	typical := g.service(r.Service)[r.Policy.Rank].delay.Typical()
	g.log.Warn().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).Str("route", r.Route.Name).
		Str("reason", reason).Stringer("wait", wait.Round(time.Millisecond)).
		Float64("room", math.Round(free.total)).Float64("used", math.Round(free.used)).
		Stringer("engines", typical.Round(time.Millisecond)).Send()
}

// update admits waiting requests after the room has changed.
func (g *gate) update() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.services {
		g.admitWaiting(service)
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
func (g *gate) withdraw(l *lane, place queue.Place, id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, ok := l.waiting.Without(place)
	if !ok {
		return false
	}
	l.waiting = next
	delete(l.admitted, id)
	return true
}

// admitWaiting admits requests of a service while there is room. The caller holds mu.
func (g *gate) admitWaiting(service string) {
	for rank, l := range g.service(service) {
		if l.waits() {
			g.admitRank(service, policy.Rank(rank), l)
		}
	}
}

// admitRank admits requests of a rank while there is room. The caller holds mu.
func (g *gate) admitRank(service string, rank policy.Rank, l *lane) {
	now := g.now()
	free := g.roomOf(service, rank, now)
	for !l.yields(rank, free, now) {
		item, next, ok := l.waiting.Next(0, queue.Any)
		if !ok || !free.fits(item.Cost) || item.Rank == queueRank(admit.Overdue) && free.used+item.Cost > admit.OverdueShare*free.total {
			return
		}
		l.waiting = next
		l.admit(item.Cost, free.total, now)
		free.used += item.Cost
		l.admitted[item.ID] <- now
		delete(l.admitted, item.ID)
	}
}

// service returns the work of a service. The caller holds mu.
func (g *gate) service(name string) *serviceWork {
	w := g.services[name]
	if w == nil {
		w = &serviceWork{}
		for rank := range w {
			w[rank] = &lane{
				admitted: map[uint64]chan time.Time{},
				running:  ledger{},
			}
		}
		g.services[name] = w
	}
	return w
}

// waits reports whether requests wait.
func (l *lane) waits() bool { return len(l.admitted) > 0 }

// admit counts work of the given tokens as running. Work without a bound is refused and
// says nothing about the drain.
func (l *lane) admit(tokens, capacity float64, now time.Time) {
	l.running.add("", tokens)
	l.delay = l.delay.WithBegun(now)
	if !math.IsInf(capacity, 1) || l.waits() {
		l.drain = l.drain.With(tokens, now)
	}
}

// yields reports whether one more request has to wait until engines have answered.
func (l *lane) yields(rank policy.Rank, free room, now time.Time) bool {
	return rank == policy.Urgent && l.delay.Yields(l.target, free.size.Open(l.prompt), now)
}

// expectedWait estimates how long item would wait in the queue.
func (l *lane) expectedWait(item queue.Item) time.Duration {
	ahead := l.waiting.CostAhead(item) + item.Cost
	if item.Rank == policy.Normal {
		ahead += l.waiting.Cost(policy.Urgent)
	}
	return l.drain.Wait(ahead)
}
