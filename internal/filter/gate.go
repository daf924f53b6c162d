package filter

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/queue"
)

const (
	// maxQueueWait is the queue timeout of requests whose policy has no target.
	maxQueueWait = 30 * time.Second
	// queueShareOfTarget is the share of its latency target that a request may
	// spend in the queue.
	queueShareOfTarget = 0.8
	// defaultSlots is the number of slots assumed for an endpoint that has not
	// reported it.
	defaultSlots = 16
	// throughputInterval is the interval at which the throughput is measured, and
	// throughputSmoothing the weight of a new measurement in the moving average.
	throughputInterval  = 250 * time.Millisecond
	throughputSmoothing = 0.3
	// maxQueued bounds the queue of one model.
	maxQueued = 20_000
	// reservedSlots is the minimum number of slots of each endpoint that normal
	// requests leave free for urgent ones, which would otherwise wait for long
	// answers to end.
	reservedSlots = 1
	// urgentDemandFactor is the multiple of the average urgent demand, in slots,
	// that is reserved for urgent requests, and urgentDemandWindow the time
	// constant of that average.
	urgentDemandFactor = 1.5
	urgentDemandWindow = 2 * time.Second
	// prefillsPerEndpoint is how many prompts an endpoint may have in flight
	// before it has processed the first of them. More prompts would queue at the
	// endpoint, where urgent requests can't overtake them, and would be spread to
	// endpoints that have no part of them cached.
	prefillsPerEndpoint = 2
)

// usageRecorder records the usage of teams.
type usageRecorder interface {
	// Charge adds cost to the usage of team.
	Charge(team string, cost float64)
}

// Gate queues requests and admits them by rank and fair share.
type Gate struct {
	view  viewer
	now   clock
	usage usageRecorder
	log   zerolog.Logger
	// mu guards queues, which is keyed by model, and the queues in it.
	mu     *sync.Mutex
	queues map[string]*modelQueue
}

// NewGate returns a filter that derives the capacity of endpoints from v.
func NewGate(v viewer, u usageRecorder, now func() time.Time, log zerolog.Logger) Gate {
	return Gate{
		view:   v,
		now:    now,
		usage:  u,
		log:    log,
		mu:     &sync.Mutex{},
		queues: map[string]*modelQueue{},
	}
}

// Filter passes r on when it is admitted, or refuses it as soon as its target can
// no longer be met.
func (f Gate) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if r.Resume.Active() {
		return next.Handle(ctx, r, w)
	}
	floored, err := f.wait(ctx, r)
	if err != nil {
		return chain.Result{}, err
	}
	r = r.WithDequeuedByFloor(floored)
	a := &admission{
		gate:       f,
		model:      r.Model,
		rank:       r.Policy.Rank,
		prefilling: 1,
	}
	var result chain.Result
	// Deferred, so that a request whose handler panics does not keep its place.
	defer func() {
		a.recordStart()
		f.release(r, result)
	}()
	result, err = next.Handle(withAdmission(ctx, a), r, firstChunkObserver{
		Writer:    w,
		admission: a,
	})
	return result, err
}

// wait blocks until r is admitted, and reports whether it was admitted under the
// floor, the minimum share of normal requests.
func (f Gate) wait(ctx context.Context, r chain.Request) (bool, error) {
	f.mu.Lock()
	q := f.queueFor(r.Model)
	timeout := queueTimeout(r.Policy)
	expected := q.expectedWait(r, f.capacity(r.Model, q))
	if expected > timeout || len(q.admissions) >= maxQueued {
		f.mu.Unlock()
		return false, f.refuse(r, "expected", expected)
	}
	admitted, place, id := q.enqueue(r)
	f.admitQueued(r.Model, q)
	f.mu.Unlock()

	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case floored := <-admitted:
		return floored, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if f.withdraw(q, place, id) {
		return false, f.unadmitted(ctx, r, timeout)
	}
	// The request was admitted concurrently with the timeout, so it proceeds.
	return <-admitted, nil
}

// unadmitted returns the reason why r was withdrawn from the queue.
func (f Gate) unadmitted(ctx context.Context, r chain.Request, timeout time.Duration) error {
	switch {
	case grace.Ended(ctx):
		f.logRefusal(r, "stopped", f.now().Sub(r.Arrived))
		return grace.Fault(false)
	case ctx.Err() != nil:
		f.logRefusal(r, "left", f.now().Sub(r.Arrived))
		return fault.New(fault.Overload, "the caller left while the request waited: send it again")
	}
	return f.refuse(r, "waited", timeout)
}

func (f Gate) logRefusal(r chain.Request, reason string, wait time.Duration) {
	f.log.Info().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).
		Str("rank", r.Policy.Rank.String()).Str("reason", reason).Stringer("wait", wait.Round(time.Millisecond)).Send()
}

func (f Gate) refuse(r chain.Request, reason string, wait time.Duration) error {
	f.logRefusal(r, reason, wait)
	retry := min(max(wait, time.Second), maxQueueWait)
	return fault.New(fault.Overload, "the wait (%s %s) is beyond the target: retry later or send less", reason, wait.Round(time.Millisecond)).WithRetry(retry)
}

// release returns the capacity of r, corrects its estimated cost by the actual one
// and admits the next requests.
func (f Gate) release(r chain.Request, result chain.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queueFor(r.Model)
	q.held.add("", r.Policy.Rank, -1, 0)
	estimate := r.Cost()
	actual := estimate
	if result.Output > 0 {
		actual = float64(result.Prompt - result.Cached + result.Output + 1)
	}
	q.waiting = q.waiting.WithCharge(r.Policy.Rank, r.Team, actual-estimate, weight(r))
	q.recordServed(estimate, f.now())
	f.usage.Charge(r.Team, actual)
	f.admitQueued(r.Model, q)
}

// withdraw removes a request from the queue. It returns false if the request has
// already been admitted.
func (f Gate) withdraw(q *modelQueue, place queue.Place, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok := q.waiting.Without(place)
	if !ok {
		return false
	}
	q.waiting = next
	delete(q.admissions, id)
	return true
}

// admitQueued admits queued requests while there is capacity. The caller holds mu.
func (f Gate) admitQueued(model string, q *modelQueue) {
	floor := f.view.View().Config.Document().Floor(policy.Normal)
	q.updateUrgentDemand(f.now())
	if len(q.admissions) == 0 {
		return
	}
	for limit := f.capacity(model, q); limit.used.prefilling < limit.prefilling; {
		item, next, ok := q.waiting.Next(floor, limit.admits())
		if !ok {
			return
		}
		q.waiting = next
		q.held.add("", item.Rank, 1, 1)
		limit.used.running[item.Rank]++
		limit.used.prefilling++
		q.admissions[item.ID] <- item.Rank == policy.Normal && q.waiting.Len(policy.Urgent) > 0
		delete(q.admissions, item.ID)
	}
}

// capacity returns what this instance may use of the endpoints of model: an equal
// share of all slots or, if that is more, what it used at its last report to its
// peers plus an equal share of what was free then. Instances see the usage of
// their peers with a lag. If each took everything that seemed free, a burst would
// allocate the free slots several times. Endpoints that get no calls count neither with
// their slots nor with the work that they hold.
func (f Gate) capacity(model string, q *modelQueue) capacity {
	s := f.view.View()
	now := f.now()
	totalSlots, normalSlots := 0, 0
	var own, inFlight load.Work
	pool := callable(s, model, now)
	used := q.held[""]
	for _, e := range pool {
		used = used.plus(q.held[e.Node.Name])
		slots := e.Report.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		totalSlots += slots
		normalSlots += max(1, slots-reservedSlots)
		reported := s.Own.Work[e.Node.Name]
		own = own.Plus(reported)
		inFlight = inFlight.Plus(reported).Plus(s.Loads.PeerWork(e.Node.Name, 0, now))
	}
	live := s.Live(now)
	floor := s.Config.Document().Floor(policy.Normal)
	maxPrefills := prefillsPerEndpoint * len(pool)
	prefills := max(2*maxPrefills/live, own.PrefillCalls+(maxPrefills-inFlight.PrefillCalls)/live)
	if len(pool) > 0 && pool[0].Node.Role == member.Service {
		// A plain service has no prefill phase and sends its answer in one
		// piece, so only its slots limit it.
		prefills = totalSlots
	}
	return capacity{
		total:      max(1, totalSlots/live, own.Calls+(totalSlots-inFlight.Calls)/live),
		normal:     max(1, int(math.Ceil(floor*float64(totalSlots)/float64(live))), max(normalSlots/live, own.Calls+(normalSlots-inFlight.Calls)/live)-q.extraReserved(len(pool), live)),
		prefilling: max(1, prefills),
		used:       used,
	}
}

// callable returns the endpoints that get calls for model: those that are trusted or, if
// there are none, all.
func callable(s *state.State, model string, now time.Time) []member.Endpoint {
	pool := s.Members.Pool(model)
	untrusted := func(e member.Endpoint) bool { return !s.Members.Trusted(e, now) }
	if !slices.ContainsFunc(pool, untrusted) {
		return pool
	}
	if trusted := slices.DeleteFunc(slices.Clone(pool), untrusted); len(trusted) > 0 {
		return trusted
	}
	return pool
}

func (f Gate) queueFor(model string) *modelQueue {
	q := f.queues[model]
	if q == nil {
		q = &modelQueue{
			admissions: map[uint64]chan bool{},
			held:       ledger{},
		}
		f.queues[model] = q
	}
	return q
}

// queueTimeout returns how long requests of p may stay in the queue.
func queueTimeout(p policy.Policy) time.Duration {
	if p.Target == 0 {
		return maxQueueWait
	}
	return time.Duration(queueShareOfTarget * float64(p.Target))
}

func weight(r chain.Request) float64 {
	if r.Policy.Weight > 0 {
		return r.Policy.Weight
	}
	return 1
}
