package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// retryShare is how many retries each first attempt adds to the budget.
	retryShare = 0.1
	// maxRetries is the size of a full budget.
	maxRetries = 50.0
	// initialBackoff and maxBackoff bound the delay before a retry.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 1 * time.Second
)

// Budget is a token bucket of retries that first attempts refill. The zero value
// is a full budget. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// spent is the used part of the budget. Invariant: 0 <= spent <= maxRetries.
	spent float64
}

// RecordCall records the first attempt of a call, which refills the budget.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryShare)
}

// Take takes one retry from the budget, or returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}

// WaitBackoff waits for the backoff before retry n, counted from 0, or until ctx is done.
func WaitBackoff(ctx context.Context, n int) error { return Wait(ctx, randomDelay(n)) }

// Wait waits for d, or until ctx is done.
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

// randomDelay returns a random duration up to the exponential backoff of retry n.
func randomDelay(n int) time.Duration {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	b.RandomizationFactor = 0
	bound := b.NextBackOff()
	for range n {
		bound = b.NextBackOff()
	}
	return rand.N(bound + 1)
}
