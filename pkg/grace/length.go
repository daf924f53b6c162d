package grace

import (
	"slices"
	"sync"
	"time"
)

const (
	// samples is how many requests of a name are remembered. One request in that many
	// runs longer than all of them.
	samples = 32
	// maxNames bounds the names that are remembered. Names beyond it are not estimated.
	maxNames = 1000
)

// Lengths estimates how long requests run from the last requests of the same name. The
// zero value is ready to use. It is safe for concurrent use.
type Lengths struct {
	mu sync.Mutex
	// recent holds the last lengths by name, at most samples of each, with next as the
	// index of the oldest.
	recent map[string]*window
}

// window is a ring buffer of lengths.
type window struct {
	lengths []time.Duration
	next    int
}

// Record adds a request that ran for length.
func (l *Lengths) Record(name string, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.recent[name]
	switch {
	case w == nil && len(l.recent) >= maxNames:
	case w == nil:
		if l.recent == nil {
			l.recent = map[string]*window{}
		}
		l.recent[name] = &window{
			lengths: []time.Duration{length},
		}
	case len(w.lengths) < samples:
		w.lengths = append(w.lengths, length)
	default:
		w.lengths[w.next] = length
		w.next = (w.next + 1) % samples
	}
}

// Longest returns the length of the longest of the last requests of a name. It returns
// false if there was none.
func (l *Lengths) Longest(name string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.recent[name]
	if w == nil {
		return 0, false
	}
	return slices.Max(w.lengths), true
}
