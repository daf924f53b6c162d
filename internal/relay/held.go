package relay

import (
	"context"
	"math"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/admit"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// held is work in tokens and the number of requests that it belongs to.
type held struct {
	tokens   float64
	requests int
}

// ledger is the admitted work of one service by the name of the endpoint that holds it.
// Work of requests without an attempt in flight is kept under the empty name.
// Invariant: each entry has at least one request.
type ledger map[string]held

func (l ledger) add(endpoint string, tokens float64) {
	h := l[endpoint]
	h.tokens += tokens
	h.requests++
	l[endpoint] = h
}

func (l ledger) remove(endpoint string, tokens float64) {
	h := l[endpoint]
	h.tokens -= tokens
	h.requests--
	l[endpoint] = h
	if h.requests == 0 {
		delete(l, endpoint)
	}
}

// room is how many tokens of work of a rank an instance may have at the engines of a
// service, and how many it has there.
type room struct {
	total float64
	used  float64
	// size is that of the engines.
	size admit.Size
}

// fits reports whether work may begin. Work that exceeds the whole room has to wait
// only until nothing else runs.
func (r room) fits(tokens float64) bool { return r.used == 0 || r.used+tokens <= r.total }

// roomOf returns the room of a rank at the engines of a service that take calls at now.
// What other engines hold does not count, as their memory doesn't either: it leaves with
// its engine and returns with it. If no engine takes calls, all work counts. The room has
// no bound while all engines want no calls, since the forwarder refuses every request
// then: none has to wait for that. The caller holds mu.
func (g *gate) roomOf(service string, rank policy.Rank, now time.Time) room {
	s := g.view.View()
	if _, quiet := s.Members.QuietUntil(service, now); quiet {
		return room{
			total: math.Inf(1),
		}
	}
	w := g.service(service)
	size, used := w.used(s, service, now)
	out := room{
		total: math.Inf(1),
		used:  used[rank],
		size:  size,
	}
	if rank == policy.Normal {
		out.total = w[rank].window.Limit(boundsOf(size, used))
	}
	return out
}

// boundsOf returns the bounds of patient work, where work has the given tokens.
func boundsOf(size admit.Size, used [policy.Ranks]float64) admit.Bounds {
	return admit.Bounds{
		Least: size.Least(),
		Most:  size.Most(used[policy.Urgent]),
	}
}

// used returns the size of the engines of a service that take calls at now, and the
// tokens of work at them by rank.
func (w *serviceWork) used(s *state.State, service string, now time.Time) (admit.Size, [policy.Ranks]float64) {
	v, ok := s.Routing.Site.Service(service)
	if !ok || v.Memory == 0 {
		return admit.Size{}, w.total()
	}
	size := sizeOfService(v)
	size.Instances = len(s.Routing.Peers) + 1
	var used [policy.Ranks]float64
	for rank, l := range w {
		used[rank] = l.running[""].tokens
	}
	pool := s.Members.Pool(service)
	for i := range pool {
		e := &pool[i]
		if e.Node.Role != member.Engine || e.SuspectUntil.After(now) || e.QuietUntil.After(now) {
			continue
		}
		size.Engines++
		for rank, l := range w {
			used[rank] += l.running[e.Node.Name].tokens
		}
	}
	if size.Engines == 0 {
		return size, w.total()
	}
	return size, used
}

// total returns the tokens of all work by rank.
func (w *serviceWork) total() [policy.Ranks]float64 {
	var out [policy.Ranks]float64
	for rank, l := range w {
		out[rank] = l.running.total()
	}
	return out
}

// sizeOfService is the size of one engine of v.
func sizeOfService(v site.Service) admit.Size {
	return admit.Size{
		Slots:  v.Slots,
		Memory: v.Memory,
	}
}

func (l ledger) total() float64 {
	sum := 0.0
	for _, h := range l {
		sum += h.tokens
	}
	return sum
}

// admission is the work of a request that the gate has admitted. It counts at each
// endpoint at which the request has an attempt. The methods of nil do nothing.
type admission struct {
	gate    *gate
	service string
	rank    policy.Rank
	tokens  float64
	// attempts is the number of attempts in flight, and released is true once the
	// request has ended. The gate's mu guards both.
	attempts int
	released bool
	// open is true from since, when the request was admitted, to its first byte, which
	// target is for.
	open    bool
	overdue bool
	since   time.Time
	target  time.Duration
}

type admissionKey struct{}

func withAdmission(ctx context.Context, a *admission) context.Context {
	return context.WithValue(ctx, admissionKey{}, a)
}

// admissionOf returns the admission of the request with the context ctx, or nil if the
// gate does not count the request.
func admissionOf(ctx context.Context) *admission {
	a, _ := ctx.Value(admissionKey{}).(*admission)
	return a
}

// begin counts an attempt at endpoint until end is called.
func (a *admission) begin(endpoint string) {
	if a == nil {
		return
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	l := a.gate.service(a.service)[a.rank]
	l.running.add(endpoint, a.tokens)
	if a.attempts == 0 {
		l.running.remove("", a.tokens)
	}
	a.attempts++
	a.gate.admitWaiting(a.service)
}

// end ends the attempt at endpoint.
func (a *admission) end(endpoint string) {
	if a == nil {
		return
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	l := a.gate.service(a.service)[a.rank]
	l.running.remove(endpoint, a.tokens)
	a.attempts--
	if a.attempts == 0 && !a.released {
		l.running.add("", a.tokens)
	}
	a.gate.admitWaiting(a.service)
}

// release returns the capacity of a request that has ended.
func (a *admission) release() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	w := a.gate.service(a.service)
	l := w[a.rank]
	a.released = true
	now := a.gate.now()
	if took := now.Sub(a.since); a.open && took > a.target {
		// A request that never began shows that the engines have too much, more than
		// one that began late.
		a.learn(w, l, took, now)
	}
	a.close(l)
	if a.attempts == 0 {
		l.running.remove("", a.tokens)
	}
	a.gate.admitWaiting(a.service)
}

// answered records the first byte of the answer.
func (a *admission) answered() {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.service(a.service)
	l := w[a.rank]
	now := g.now()
	took := now.Sub(a.since)
	if !a.open {
		return
	}
	a.learn(w, l, took, now)
	g.admitWaiting(a.service)
}

// learn records that the request had its answer begin, or ended without one, after took.
// The caller holds mu.
func (a *admission) learn(w *serviceWork, l *lane, took time.Duration, now time.Time) {
	g := a.gate
	a.close(l)
	if a.overdue {
		l.delay = l.delay.WithOverdue(took, now)
	} else {
		l.delay = l.delay.WithAnswer(took, now)
	}
	if a.rank == policy.Urgent {
		return
	}
	size, used := w.used(g.view.View(), a.service, now)
	l.window = l.window.With(admit.Answer{
		At:     now,
		Took:   l.delay.Expected(now),
		Target: a.target,
		Cost:   a.tokens,
		Used:   used[a.rank],
	}, boundsOf(size, used))
}

// close ends the wait for the first byte. The caller holds mu.
func (a *admission) close(l *lane) {
	if a.open {
		a.open = false
		l.delay = l.delay.WithEnded(a.since)
	}
}

// answerObserver tells the gate when an answer begins, which shows how much work the
// engines have.
type answerObserver struct {
	chain.Writer
	admission *admission
}

// Begin records the begin of the answer and passes the head on.
func (o answerObserver) Begin(h chain.Head) error {
	if h.Status == streamStatus {
		o.admission.answered()
	}
	return o.Writer.Begin(h)
}
