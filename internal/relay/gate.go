package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// slowShare is the part of the engines' memory and slots that work which is
	// not urgent may take. The rest is for urgent work and for cached parts, without which
	// urgent prompts are read whole.
	slowShare = 0.35
	// unevenShare is how much more than its equal part an instance may use, since
	// callers are not spread evenly.
	unevenShare = 1.3
	// waitShare is the part of its target that work may wait for its turn.
	waitShare = 0.7
	// defaultWait is how long work without a target may wait.
	defaultWait = 2 * time.Second
	// outputShare is the part of the most output that an answer has on average,
	// as far as memory is concerned: it grows while the answer is made.
	outputShare = 0.5
	// retryLeast is the least time after which refused work may come back.
	retryLeast = 500 * time.Millisecond
)

// gate holds back work that is not urgent while it fills its share of the
// engines' memory and slots. It is safe for concurrent use.
type gate struct {
	view viewer
	now  func() time.Time
	log  zerolog.Logger
	// meter takes how long turns were waited for.
	meter meter
	// mu guards pools, by service.
	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the work of one service that is not urgent.
type pool struct {
	waiting queue.Queue
	// turns ends the wait of an item. Invariant: one for each item of waiting.
	turns map[uint64]chan struct{}
	next  uint64
	// running is the tokens of the work that has its turn.
	running float64
	// speed is the tokens a second that got their turn while others waited.
	speed speed
}

func newGate(v viewer, now func() time.Time, log zerolog.Logger, m meter) *gate {
	return &gate{
		view:  v,
		now:   now,
		log:   log,
		meter: m,
		pools: map[string]*pool{},
	}
}

// Filter passes r on when it is its turn, or refuses it as soon as its turn
// would come too late.
func (g *gate) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if len(r.Parts) == 0 || r.Policy.Rank == policy.Urgent || r.After != "" {
		return next.Handle(ctx, r, w)
	}
	service, _ := g.view.View().Routing.Site.Service(r.Service)
	cost := memory(r, service)
	if err := g.enter(ctx, r, cost); err != nil {
		return chain.Result{}, err
	}
	defer g.leave(r, cost)
	return next.Handle(ctx, r, w)
}

// memory is the tokens that r takes at an engine of service v. A slot counts as
// its part of the memory, so that requests which are small don't take all slots.
func memory(r chain.Request, v site.Service) float64 {
	tokens := float64(r.Tokens) + outputShare*float64(r.Output) + 1
	if v.Slots == 0 {
		return tokens
	}
	return max(tokens, float64(v.Memory)/float64(v.Slots))
}

// enter returns when it is r's turn. Work of the given cost is then under way.
func (g *gate) enter(ctx context.Context, r chain.Request, cost float64) error {
	room := g.room(r.Service)
	limit := patienceOf(r)
	g.mu.Lock()
	p := g.pool(r.Service)
	if p.waiting.Len(policy.Normal) == 0 && p.running+cost <= room {
		p.take(cost, g.now())
		g.mu.Unlock()
		return nil
	}
	item := queue.Item{
		ID:     p.next,
		Team:   r.Team,
		Cost:   cost,
		Weight: 1,
	}
	p.next++
	expected := p.expect(item)
	if expected > limit || room <= 0 {
		g.mu.Unlock()
		return g.refuse(r, "expected", expected)
	}
	turn := make(chan struct{})
	p.turns[item.ID] = turn
	waiting, place := p.waiting.With(item)
	p.waiting = waiting
	g.grant(p, room)
	g.mu.Unlock()
	begin := g.now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-turn:
		g.meter.Waited(g.now().Sub(begin), true)
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !g.quit(p, place, item.ID) {
		// The turn came at the same moment, and is used.
		return nil
	}
	g.meter.Waited(g.now().Sub(begin), false)
	return g.refuse(r, "waited", limit)
}

// patienceOf is how long r may wait for its turn.
func patienceOf(r chain.Request) time.Duration {
	if r.Route.Target <= 0 {
		return defaultWait
	}
	return time.Duration(waitShare * float64(r.Route.Target))
}

func (g *gate) refuse(r chain.Request, how string, wait time.Duration) error {
	g.meter.Refused(how)
	g.log.Warn().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).Str("route", r.Route.Name).
		Str("reason", how).Stringer("wait", wait.Round(time.Millisecond)).Send()
	return fault.New(fault.Overload, "the wait (%s %s) is beyond the target: come back later or send less", how, wait.Round(time.Millisecond)).WithRetry(max(wait, retryLeast))
}

// leave gives r's room to others.
func (g *gate) leave(r chain.Request, cost float64) {
	room := g.room(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(r.Service)
	p.running -= cost
	g.grant(p, room)
}

// quit takes an item back, or returns false where its turn came.
func (g *gate) quit(p *pool, place queue.Place, id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, ok := p.waiting.Without(place)
	if !ok {
		return false
	}
	p.waiting = next
	delete(p.turns, id)
	return true
}

// grant gives turns while there is room. The caller holds mu.
func (g *gate) grant(p *pool, room float64) {
	for {
		item, next, ok := p.waiting.Next(0, queue.Any)
		if !ok || p.running > 0 && p.running+item.Cost > room {
			return
		}
		p.waiting = next
		p.take(item.Cost, g.now())
		close(p.turns[item.ID])
		delete(p.turns, item.ID)
	}
}

// room is the tokens that this instance may have at the engines of a service.
func (g *gate) room(service string) float64 {
	s := g.view.View()
	v, ok := s.Routing.Site.Service(service)
	if !ok || v.Memory == 0 {
		return 0
	}
	now := g.now()
	engines := 0
	for _, e := range s.Members.Pool(service) {
		if e.Node.Role == member.Engine && !e.Suspect.After(now) {
			engines++
		}
	}
	return slowShare * unevenShare * float64(engines*v.Memory) / float64(len(s.Routing.Mates)+1)
}

func (g *gate) pool(service string) *pool {
	p := g.pools[service]
	if p == nil {
		p = &pool{
			turns: map[uint64]chan struct{}{},
		}
		g.pools[service] = p
	}
	return p
}

// take gives a turn to work of the given tokens.
func (p *pool) take(tokens float64, now time.Time) {
	p.running += tokens
	p.speed.add(tokens, now)
}

// expect returns how long item would wait for its turn.
func (p *pool) expect(item queue.Item) time.Duration {
	speed := p.speed.perSecond()
	if speed <= 0 {
		return 0
	}
	return time.Duration((p.waiting.Ahead(item) + item.Cost) / speed * float64(time.Second))
}

// speed measures tokens a second over the last few spans.
type speed struct {
	began time.Time
	sum   float64
	value float64
}

const (
	// rateSpan is the time over which a rate is measured, and rateFade how much
	// one measurement moves it.
	rateSpan = 500 * time.Millisecond
	rateFade = 0.4
)

// add counts tokens at now.
func (r *speed) add(tokens float64, now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	r.sum += tokens
	span := now.Sub(r.began)
	if span < rateSpan {
		return
	}
	speed := r.sum / span.Seconds()
	if r.value == 0 {
		r.value = speed
	}
	r.value += rateFade * (speed - r.value)
	r.began, r.sum = now, 0
}

func (r *speed) perSecond() float64 { return r.value }
