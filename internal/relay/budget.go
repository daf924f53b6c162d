package relay

import (
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/pkg/retry"
)

const (
	// spanMargin is how much longer than the platform's the own window is, since
	// its start moves in steps.
	spanMargin = 1.2
	// extraShare is the part of the retries granted besides that is used: other
	// instances may not know this one yet and take a larger part.
	extraShare = 0.7
)

// budgets is the retry budgets of all services. The instances share the
// platform's bound evenly and need no messages for it.
type budgets struct {
	bounds Bounds
	// mu guards windows, by service.
	mu      sync.Mutex
	windows map[string]*retry.Window
}

func newBudgets(b Bounds) *budgets {
	return &budgets{
		bounds:  b,
		windows: map[string]*retry.Window{},
	}
}

// fresh counts a request for service that is not a retry.
func (b *budgets) fresh(service string, now time.Time) { b.window(service).Fresh(now) }

// take takes a retry out of the budget that this and the other instances share.
func (b *budgets) take(service string, instances int, now time.Time) bool {
	return b.window(service).Take(now, extraShare*b.bounds.RetryExtra/float64(instances))
}

func (b *budgets) window(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windows[service]
	if w == nil {
		w = retry.NewWindow(time.Duration(spanMargin*float64(b.bounds.RetrySpan)), b.bounds.RetryShare)
		b.windows[service] = w
	}
	return w
}
