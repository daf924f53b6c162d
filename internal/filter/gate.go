package filter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
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
	// speedSpan is the time over which the speed of service is measured, and
	// speedFade how much one measurement moves it.
	speedSpan = 250 * time.Millisecond
	speedFade = 0.3
	// maxWaiting bounds the requests that wait for one model.
	maxWaiting = 20_000
	// keptSlots is how many slots of each endpoint normal work leaves to urgent
	// work at least, which would wait for long answers otherwise.
	keptSlots = 1
	// keptTimes is how many times the slots that urgent work usually takes are
	// kept for it, and keptSpan the time over which that is measured.
	keptTimes = 1.5
	keptSpan  = 2 * time.Second
	// reading is how many prompts may be sent to each endpoint before it read
	// the first. More would wait there, where urgent work can't overtake it and
	// where it is spread to endpoints that hold nothing of it.
	reading = 2
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
	floored, err := f.wait(ctx, r)
	if err != nil {
		return chain.Result{}, err
	}
	r = r.WithFloored(floored)
	read := &firstChunk{
		Writer: w,
		gate:   f,
		model:  r.Model,
	}
	result, err := next.Handle(ctx, r, read)
	read.seen()
	f.leave(r, result)
	return result, err
}

// firstChunk tells the gate when an answer begins.
type firstChunk struct {
	chain.Writer
	gate  Gate
	model string
	done  bool
}

// Begin passes the head on.
func (w *firstChunk) Begin(h chain.Head) error {
	w.seen()
	return w.Writer.Begin(h)
}

// seen counts the prompt as read, once.
func (w *firstChunk) seen() {
	if w.done {
		return
	}
	w.done = true
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	p := w.gate.pool(w.model)
	p.unread--
	w.gate.grant(w.model, p)
}

// wait returns when it is r's turn, and whether it came as its rank's floor.
func (f Gate) wait(ctx context.Context, r chain.Request) (bool, error) {
	f.mu.Lock()
	p := f.pool(r.Model)
	limit := patience(r.Policy)
	expected := p.expect(r, f.room(r.Model, p))
	if expected > limit || len(p.turns) >= maxWaiting {
		f.mu.Unlock()
		return false, f.refuse(r, "expected", expected)
	}
	turn, place, id := p.join(r)
	f.grant(r.Model, p)
	f.mu.Unlock()

	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case floored := <-turn:
		return floored, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if f.quit(p, place, id) {
		return false, f.refuse(r, "waited", limit)
	}
	// The turn came at the same moment, and is used.
	return <-turn, nil
}

func (f Gate) refuse(r chain.Request, how string, wait time.Duration) error {
	f.log.Info().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).
		Str("rank", r.Policy.Rank.String()).Str("reason", how).Stringer("wait", wait.Round(time.Millisecond)).Send()
	retry := min(max(wait, time.Second), longestWait)
	return fault.New(fault.Overload, "the wait (%s %s) is beyond the target: retry later or send less", how, wait.Round(time.Millisecond)).WithRetry(retry)
}

// leave gives r's turn to the next.
func (f Gate) leave(r chain.Request, result chain.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(r.Model)
	p.running[r.Policy.Rank]--
	estimate := r.Cost()
	actual := estimate
	if result.Output > 0 {
		actual = float64(result.Prompt - result.Cached + result.Output + 1)
	}
	p.waiting = p.waiting.WithCharge(r.Policy.Rank, r.Team, actual-estimate, weight(r))
	p.measure(estimate, f.now())
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
	p.watch(f.now())
	for room := f.room(model, p); p.unread < room.unread; {
		it, next, ok := p.waiting.Next(floor, room.allows(p))
		if !ok {
			return
		}
		p.waiting = next
		p.running[it.Rank]++
		p.unread++
		p.turns[it.ID] <- it.Rank == policy.Normal && p.waiting.Len(policy.Urgent) > 0
		delete(p.turns, it.ID)
	}
}

// room returns an equal part of all slots, or what this instance had when it
// last told its peers and an equal part of what was free then. Each instance
// knows of the others with a lag; were each to take all that seemed free, a
// flood would take it several times over.
func (f Gate) room(model string, p *pool) room {
	s := f.view.View()
	now := f.now()
	total, normal := 0, 0
	var own, taken load.Work
	pool := s.Members.Pool(model)
	for _, e := range pool {
		slots := e.Report.Slots
		if slots == 0 {
			slots = usualSlots
		}
		total += slots
		normal += max(1, slots-keptSlots)
		told := s.Own.Work[e.Node.Name]
		own = own.Plus(told)
		taken = taken.Plus(told).Plus(s.Loads.Peers(e.Node.Name, 0, now))
	}
	live := s.Live(now)
	floor := s.Config.Document().Floor(policy.Normal)
	all := reading * len(pool)
	unread := max(2*all/live, own.Unread+(all-taken.Unread)/live)
	if len(pool) > 0 && pool[0].Node.Role == member.Service {
		// A plain service reads no prompts; its answers come whole.
		unread = total
	}
	return room{
		all:    max(1, total/live, own.Calls+(total-taken.Calls)/live),
		normal: max(1, int(math.Ceil(floor*float64(total)/float64(live))), max(normal/live, own.Calls+(normal-taken.Calls)/live)-p.extra(len(pool), live)),
		unread: max(1, unread),
	}
}

func (f Gate) pool(model string) *pool {
	p := f.pools[model]
	if p == nil {
		p = &pool{
			turns: map[uint64]chan bool{},
		}
		f.pools[model] = p
	}
	return p
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
