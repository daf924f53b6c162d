package grace

import (
	"sync"
	"time"
)

const (
	// samples is how many requests of a name are remembered.
	samples = 64
	// maxNames bounds the names that are remembered. Names beyond it are not estimated.
	maxNames = 1000
	// similarSize is the greatest ratio between the sizes of similar requests.
	similarSize = 2
	// uncertainty divided by the number of similar requests is the margin of an
	// estimate, as a share of it: a few requests say little of the next.
	uncertainty = 2
)

// Lengths estimates how long requests run from the last requests of the same name and a
// similar size. The zero value is ready to use. It is safe for concurrent use.
type Lengths struct {
	mu sync.Mutex
	// known is what is known by name. Invariant: at most maxNames.
	known map[string]*window
}

// window is what is known of the requests of a name.
type window struct {
	// first is when the first request began.
	first time.Time
	// ended is a ring buffer of the last requests, at most samples, and next the index of
	// the oldest once it is full.
	ended []sample
	next  int
}

// sample is a request that has ended.
type sample struct {
	size   int
	length time.Duration
}

// Record adds a request of the given name and size that ran from begin to end. The unit
// of sizes is the caller's; 0 is an unknown size.
func (l *Lengths) Record(name string, size int, begin, end time.Time) {
	s := sample{
		size:   size,
		length: end.Sub(begin),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.known[name]
	switch {
	case w == nil && len(l.known) >= maxNames:
	case w == nil:
		if l.known == nil {
			l.known = map[string]*window{}
		}
		l.known[name] = &window{
			first: begin,
			ended: []sample{s},
		}
	case len(w.ended) < samples:
		w.ended = append(w.ended, s)
	default:
		w.ended[w.next] = s
		w.next = (w.next + 1) % samples
	}
}

// Estimate returns how long a request of the given name and size may run. It returns false
// if that can't be told from lengths of limit: no similar request has ended and no smaller
// one took longer, or the first of the name began less than limit ago, so that longer ones
// still run.
func (l *Lengths) Estimate(name string, size int, limit time.Duration, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.known[name]
	if w == nil || now.Sub(w.first) < limit {
		return 0, false
	}
	similar, longest := 0, time.Duration(0)
	for _, s := range w.ended {
		if size > 0 && s.size > similarSize*size {
			continue
		}
		// A smaller request that took long counts, but says nothing if it was short.
		longest = max(longest, s.length)
		if size <= similarSize*s.size || s.size == 0 {
			similar++
		}
	}
	if similar == 0 {
		return longest, longest > limit
	}
	return longest + longest*uncertainty/time.Duration(similar), true
}
