package relay

import (
	"context"
	"math"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
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

// room is how many tokens of non-urgent work an instance may have at the engines of a
// service, and how many it has there.
type room struct {
	total float64
	used  float64
}

// fits reports whether work may begin. Work that exceeds the whole room has to wait
// only until nothing else runs.
func (r room) fits(tokens float64) bool { return r.used == 0 || r.used+tokens <= r.total }

// roomOf returns the room at the engines of a service that take calls at now. What other
// engines hold does not count, as their memory doesn't either: it leaves with its engine
// and returns with it. If no engine takes calls, all work counts. The room has no bound
// while all engines want no calls, since the forwarder refuses every request then: none
// has to wait for that.
func roomOf(s *state.State, service string, work ledger, now time.Time) room {
	v, ok := s.Routing.Site.Service(service)
	if !ok || v.Memory == 0 {
		return room{
			used: work.total(),
		}
	}
	if _, quiet := s.Members.QuietUntil(service, now); quiet {
		return room{
			total: math.Inf(1),
		}
	}
	engines := 0
	used := work[""].tokens
	pool := s.Members.Pool(service)
	for i := range pool {
		e := &pool[i]
		if e.Node.Role != member.Engine || e.SuspectUntil.After(now) || e.QuietUntil.After(now) {
			continue
		}
		engines++
		used += work[e.Node.Name].tokens
	}
	if engines == 0 {
		used = work.total()
	}
	return room{
		total: nonUrgentShare * imbalanceFactor * float64(engines*v.Memory) / float64(len(s.Routing.Peers)+1),
		used:  used,
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
	tokens  float64
	// attempts is the number of attempts in flight, and released is true once the
	// request has ended. The gate's mu guards both.
	attempts int
	released bool
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
	q := a.gate.serviceQueue(a.service)
	q.running.add(endpoint, a.tokens)
	if a.attempts == 0 {
		q.running.remove("", a.tokens)
	}
	a.attempts++
	a.gate.admitWaiting(a.service, q)
}

// end ends the attempt at endpoint.
func (a *admission) end(endpoint string) {
	if a == nil {
		return
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	q := a.gate.serviceQueue(a.service)
	q.running.remove(endpoint, a.tokens)
	a.attempts--
	if a.attempts == 0 && !a.released {
		q.running.add("", a.tokens)
	}
	a.gate.admitWaiting(a.service, q)
}

// release returns the capacity of a request that has ended.
func (a *admission) release() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	q := a.gate.serviceQueue(a.service)
	a.released = true
	if a.attempts == 0 {
		q.running.remove("", a.tokens)
	}
	a.gate.admitWaiting(a.service, q)
}
