package filter

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
)

const (
	// longestWait is how long work without a target may wait for its turn.
	longestWait = 30 * time.Second
	// targetShare is the part of its target that work may wait for its turn.
	targetShare = 0.8
	// usualSlots stands in for the slots of an endpoint that did not report.
	usualSlots = 16
	// rateFade is how much one completed request moves the measured rate.
	rateFade = 0.05
	// maxWaiting bounds the requests that wait for one model.
	maxWaiting = 20_000
)

// usage counts what teams were served.
type usage interface {
	// Charge counts cost that a team was served.
	Charge(team string, cost float64)
}

// Gate has requests wait for their turn.
type Gate struct {
	view  viewer
	now   clock
	usage usage
	log   zerolog.Logger
	// mu guards pools, by model.
	mu    *sync.Mutex
	pools map[string]*pool
}

// pool is the requests for one model.
type pool struct {
	waiting queue.Queue
	// turns holds what ends the wait of each item.
	turns map[uint64]chan struct{}
	// running is how many requests have their turn.
	running int
	nextID  uint64
	// seconds is the average time, in seconds, that a token of cost takes a slot.
	seconds float64
}

// NewGate returns the filter that reads the fleet's capacity from v.
func NewGate(v viewer, u usage, now func() time.Time, log zerolog.Logger) Gate {
	return Gate{
		view:  v,
		now:   now,
		usage: u,
		log:   log,
		mu:    &sync.Mutex{},
		pools: map[string]*pool{},
	}
}

// Filter passes r on when it is its turn, or refuses it as soon as its target
// can't be met any more.
func (f Gate) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if r.Resume.Active() {
		return next.Handle(ctx, r, w)
	}
	if err := f.wait(ctx, r); err != nil {
		return chain.Result{}, err
	}
	start := f.now()
	result, err := next.Handle(ctx, r, w)
	f.leave(r, result, f.now().Sub(start))
	return result, err
}

// wait returns nil when it is r's turn.
func (f Gate) wait(ctx context.Context, r chain.Request) error {
	f.mu.Lock()
	p := f.pool(r.Model)
	limit := patience(r.Policy)
	expected := p.expect(r, f.capacity(r.Model))
	if expected > limit || len(p.turns) >= maxWaiting {
		f.mu.Unlock()
		return f.refuse(r, "expected", expected)
	}
	turn, place, id := p.join(r)
	f.grant(r.Model, p)
	f.mu.Unlock()

	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if f.quit(p, place, id) {
		return f.refuse(r, "waited", limit)
	}
	// The turn came at the same moment, and is used.
	return nil
}

func (f Gate) refuse(r chain.Request, how string, wait time.Duration) error {
	f.log.Info().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).
		Str("rank", r.Policy.Rank.String()).Str("reason", how).Stringer("wait", wait.Round(time.Millisecond)).Send()
	retry := min(max(wait, time.Second), longestWait)
	return fault.New(fault.Overload, "the wait (%s %s) is beyond the target: retry later or send less", how, wait.Round(time.Millisecond)).WithRetry(retry)
}

// leave gives r's turn to the next.
func (f Gate) leave(r chain.Request, result chain.Result, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(r.Model)
	p.running--
	estimate := r.Cost()
	actual := estimate
	if result.Output > 0 {
		actual = float64(result.Prompt - result.Cached + result.Output + 1)
	}
	p.waiting = p.waiting.WithCharge(r.Policy.Rank, r.Team, actual-estimate, weight(r))
	if result.Output > 0 || r.Kind == chain.Service {
		p.seconds += rateFade * (took.Seconds()/estimate - p.seconds)
	}
	f.usage.Charge(r.Team, actual)
	f.grant(r.Model, p)
}

// quit takes back an item that waits, or returns false where its turn came.
func (f Gate) quit(p *pool, place queue.Place, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok := p.waiting.Without(place)
	if !ok {
		return false
	}
	p.waiting = next
	delete(p.turns, id)
	return true
}

// grant gives turns while there is room. The caller holds mu.
func (f Gate) grant(model string, p *pool) {
	floor := f.view.View().Config.Document().Floor(policy.Normal)
	for room := f.capacity(model); p.running < room; {
		it, next, ok := p.waiting.Next(floor)
		if !ok {
			return
		}
		p.waiting = next
		p.running++
		close(p.turns[it.ID])
		delete(p.turns, it.ID)
	}
}

// capacity is how many calls this instance may run at once for model: what
// peers leave free, and at least an equal part.
func (f Gate) capacity(model string) int {
	s := f.view.View()
	now := f.now()
	total, peers := 0, 0
	for _, e := range s.Members.Pool(model) {
		slots := e.Report.Slots
		if slots == 0 {
			slots = usualSlots
		}
		total += slots
		peers += s.Loads.Peers(e.Node.Name, 0, now).Calls
	}
	equal := total / s.Live(now)
	return max(1, equal, total-peers)
}

func (f Gate) pool(model string) *pool {
	p := f.pools[model]
	if p == nil {
		p = &pool{
			turns: map[uint64]chan struct{}{},
		}
		f.pools[model] = p
	}
	return p
}

// join adds r to the queue.
func (p *pool) join(r chain.Request) (chan struct{}, queue.Place, uint64) {
	p.nextID++
	turn := make(chan struct{})
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
func (p *pool) expect(r chain.Request, room int) time.Duration {
	if p.running < room {
		return 0
	}
	ahead := p.waiting.Ahead(p.item(r))
	if r.Policy.Rank == policy.Normal {
		ahead += p.waiting.Cost(policy.Urgent)
	}
	return time.Duration(ahead * p.seconds / float64(room) * float64(time.Second))
}

// patience is how long work of p may wait for its turn.
func patience(p policy.Policy) time.Duration {
	if p.Target == 0 {
		return longestWait
	}
	return time.Duration(targetShare * float64(p.Target))
}

func weight(r chain.Request) float64 {
	if r.Policy.Weight > 0 {
		return r.Policy.Weight
	}
	return 1
}
