package filter

import (
	"context"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// work counts admitted requests.
type work struct {
	// running is their number by rank, and prefilling the number of those that have no
	// first chunk yet.
	running    [policy.Ranks]int
	prefilling int
}

// plus returns the sum of w and o.
func (w work) plus(o work) work {
	for rank, n := range o.running {
		w.running[rank] += n
	}
	w.prefilling += o.prefilling
	return w
}

// ledger is the admitted work of one model by the name of the endpoint that holds it. Work
// of requests without an attempt in flight is kept under the empty name. Invariant: no
// entry is the zero value.
type ledger map[string]work

func (l ledger) add(endpoint string, rank policy.Rank, running, prefilling int) {
	w := l[endpoint]
	w.running[rank] += running
	w.prefilling += prefilling
	l[endpoint] = w
	if w == (work{}) {
		delete(l, endpoint)
	}
}

// admission is the work of a request that the gate has admitted. It counts at the
// endpoint at which the request has an attempt. The methods of nil do nothing.
type admission struct {
	gate  Gate
	model string
	rank  policy.Rank
	// endpoint is where the work counts, and prefilling is 1 until the answer starts
	// and 0 after it. The gate's mu guards both.
	endpoint   string
	prefilling int
}

type admissionKey struct{}

func withAdmission(ctx context.Context, a *admission) context.Context {
	return context.WithValue(ctx, admissionKey{}, a)
}

// admissionOf returns the admission of the request with the context ctx, or nil if the
// gate did not queue the request.
func admissionOf(ctx context.Context) *admission {
	a, _ := ctx.Value(admissionKey{}).(*admission)
	return a
}

// move counts the work at endpoint, or at none if that is empty.
func (a *admission) move(endpoint string) {
	if a == nil {
		return
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	q := a.gate.queueFor(a.model)
	q.held.add(a.endpoint, a.rank, -1, -a.prefilling)
	q.held.add(endpoint, a.rank, 1, a.prefilling)
	a.endpoint = endpoint
	a.gate.admitQueued(a.model, q)
}

// recordStart counts the prompt as processed. Only the first call has an effect.
func (a *admission) recordStart() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	if a.prefilling == 0 {
		return
	}
	a.prefilling = 0
	q := a.gate.queueFor(a.model)
	q.held.add(a.endpoint, a.rank, 0, -1)
	a.gate.admitQueued(a.model, q)
}

// firstChunkObserver notifies the gate when an answer starts, which shows that the
// endpoint has processed the prompt.
type firstChunkObserver struct {
	chain.Writer
	admission *admission
}

// Begin records the start of the answer and passes the head on.
func (o firstChunkObserver) Begin(h chain.Head) error {
	o.admission.recordStart()
	return o.Writer.Begin(h)
}
