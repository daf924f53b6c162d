package retry

import (
	"sync"
	"time"
)

// slices is into how many parts a window is cut.
const slices = 10

// Window bounds retries over a sliding window: a share of the fresh calls in it
// and a fixed number besides. It is safe for concurrent use and made by
// NewWindow.
type Window struct {
	span  time.Duration
	share float64
	mu    sync.Mutex
	// fresh and extra count calls by slice of the window; at is the number of
	// the newest slice.
	fresh [slices]int
	extra [slices]int
	at    int64
}

// NewWindow returns a window of the given length in which retries may be a
// share of fresh calls.
func NewWindow(span time.Duration, share float64) *Window {
	return &Window{
		span:  span,
		share: share,
	}
}

// Fresh counts a call that is not a retry.
func (w *Window) Fresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	w.fresh[w.at%slices]++
}

// Take counts a retry, or returns false where the window has no room for it.
// Besides the share of fresh calls, extra retries may be in the window.
func (w *Window) Take(now time.Time, extra float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	fresh, taken := 0, 0
	for i := range slices {
		fresh += w.fresh[i]
		taken += w.extra[i]
	}
	if float64(taken+1) > w.share*float64(fresh)+extra {
		return false
	}
	w.extra[w.at%slices]++
	return true
}

// turn forgets the slices that left the window.
func (w *Window) turn(now time.Time) {
	at := now.UnixNano() / int64(w.span/slices)
	for ; w.at < at; w.at++ {
		if at-w.at > slices {
			w.at = at - slices
		}
		w.fresh[(w.at+1)%slices] = 0
		w.extra[(w.at+1)%slices] = 0
	}
}
