package relay

import (
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/pkg/retry"
)

const (
	// windowMargin makes the local window longer than the platform's, because
	// the start of a retry.Window moves in steps.
	windowMargin = 1.2
	// permitShare is the share of the platform's window within which a retry has to be
	// sent. One that is sent later may be counted by the platform when this instance
	// has already forgotten it: a retry.Window keeps it for nine tenths of its length
	// at least.
	permitShare = 0.9*windowMargin - 1
	// extraRetryShare is the share of the fixed retry allowance that is used.
	// Other instances may not know this one yet and take a larger part.
	extraRetryShare = 0.7
)

// retryBudgets holds the retry budgets of all services. Each instance takes an
// equal part of the platform's limit, so that no coordination is needed.
type retryBudgets struct {
	bounds Bounds
	// mu guards windows, which is keyed by service.
	mu      sync.Mutex
	windows map[string]*retry.Window
}

func newRetryBudgets(b Bounds) *retryBudgets {
	return &retryBudgets{
		bounds:  b,
		windows: map[string]*retry.Window{},
	}
}

// countRequest counts a request for service that is not a retry.
func (b *retryBudgets) countRequest(service string, now time.Time) { b.window(service).RecordCall(now) }

// takeRetry takes a retry from the budget that is divided among the given
// number of instances, or returns false if none is left.
func (b *retryBudgets) takeRetry(service string, instances int, now time.Time) bool {
	return b.window(service).Take(now, b.extra(instances))
}

// allowsRetry reports whether takeRetry would take one.
func (b *retryBudgets) allowsRetry(service string, instances int, now time.Time) bool {
	return b.window(service).Allows(now, b.extra(instances))
}

// permitLife is for how long a retry that was taken may be sent.
func (b *retryBudgets) permitLife() time.Duration {
	return time.Duration(permitShare * float64(b.bounds.RetrySpan))
}

// extra is this instance's part of the fixed retry allowance.
func (b *retryBudgets) extra(instances int) float64 {
	return extraRetryShare * b.bounds.RetryExtra / float64(instances)
}

func (b *retryBudgets) window(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windows[service]
	if w == nil {
		w = retry.NewWindow(time.Duration(windowMargin*float64(b.bounds.RetrySpan)), b.bounds.RetryShare)
		b.windows[service] = w
	}
	return w
}
