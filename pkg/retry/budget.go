package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// share is how many retries each fresh call pays for.
	share = 0.1
	// most is how many retries can be saved up.
	most = 50.0
	// firstPause and lastPause bound the pause before a retry.
	firstPause = 20 * time.Millisecond
	lastPause  = 1 * time.Second
)

// Budget is the retries that fresh calls paid for. The zero value holds a
// full budget. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// spent is how much of the budget is used. Invariant: from 0 to most.
	spent float64
}

// Fresh counts a call that is not a retry.
func (b *Budget) Fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

// Take spends one retry, or returns false where none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > most {
		return false
	}
	b.spent++
	return true
}

// Pause waits before retry number n, from 0, or until ctx ends.
func Pause(ctx context.Context, n int) error { return Wait(ctx, delay(n)) }

// Wait waits for d, or until ctx ends.
func Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// delay returns a random time below the exponential bound of retry n.
func delay(n int) time.Duration {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = lastPause
	b.RandomizationFactor = 0
	bound := b.NextBackOff()
	for range n {
		bound = b.NextBackOff()
	}
	return rand.N(bound + 1)
}
