package retry

import (
	"sync"
	"time"
)

// buckets is the number of intervals that a window is divided into.
const buckets = 10

// Window limits the retries within a sliding time window to a share of the first
// attempts in it plus a fixed allowance. It is created by NewWindow and safe for
// concurrent use.
type Window struct {
	span  time.Duration
	share float64
	mu    sync.Mutex
	// first and retries count calls per bucket, as ring buffers; newest is the
	// number of the newest bucket.
	first   [buckets]int
	retries [buckets]int
	newest  int64
}

// NewWindow returns a window of length span in which the number of retries may be
// the given share of first attempts.
func NewWindow(span time.Duration, share float64) *Window {
	return &Window{
		span:  span,
		share: share,
	}
}

// RecordCall records the first attempt of a call.
func (w *Window) RecordCall(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.first[w.newest%buckets]++
}

// Take records a retry, or returns false if the window allows no more. The window
// allows extra retries on top of the share of first attempts.
func (w *Window) Take(now time.Time, extra float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allows(now, extra) {
		return false
	}
	w.retries[w.newest%buckets]++
	return true
}

// Allows reports whether Take would record a retry.
func (w *Window) Allows(now time.Time, extra float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(now, extra)
}

// allows reports whether the window allows another retry. The caller holds mu.
func (w *Window) allows(now time.Time, extra float64) bool {
	w.advance(now)
	first, taken := 0, 0
	for i := range buckets {
		first += w.first[i]
		taken += w.retries[i]
	}
	return float64(taken+1) <= w.share*float64(first)+extra
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	at := now.UnixNano() / int64(w.span/buckets)
	for ; w.newest < at; w.newest++ {
		if at-w.newest > buckets {
			w.newest = at - buckets
		}
		w.first[(w.newest+1)%buckets] = 0
		w.retries[(w.newest+1)%buckets] = 0
	}
}
