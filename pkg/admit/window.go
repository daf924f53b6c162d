package admit

import "time"

const (
	// promptShare is the share of its target within which work at the engines is
	// answered while they have room, and lateShare the one beyond which they have too
	// much of it. The rest of the target is for the wait before them.
	promptShare = 0.5
	lateShare   = 0.8
	// cutFactor is what is left of a window that is cut, and growth what a window
	// grows by for each answer, as a share of its work.
	cutFactor = 0.8
	growth    = 0.5
)

// Window is the patient work that an instance has at the engines of a service, found from
// how fast they answer. It answers a burst of such work, and an instance with far more
// callers than its share: both use what the others leave, and give it back when answers
// are late. The zero value is as small as its bounds allow.
type Window struct {
	tokens float64
	// cutAt is when the window was last cut.
	cutAt time.Time
}

// Bounds are the least and the most work of a window, in tokens.
type Bounds struct {
	Least float64
	Most  float64
}

// Answer is the first byte of an answer.
type Answer struct {
	// At is when it came, and Took how long the engines take to it, on average, so that
	// one slow engine does not decide.
	At   time.Time
	Took time.Duration
	// Target is the time to the first byte that the request's route targets; 0 if it
	// has none.
	Target time.Duration
	// Cost is the work of the request, and Used that of all of its rank at the engines,
	// both in tokens.
	Cost float64
	Used float64
}

// Limit returns the bound of the work in tokens.
func (w Window) Limit(b Bounds) float64 { return min(max(w.tokens, b.Least), b.Most) }

// With returns w after an answer. It grows only while the work that it has fills it, so
// that calm leaves nothing behind for the next burst.
func (w Window) With(a Answer, b Bounds) Window {
	w.tokens = w.Limit(b)
	switch {
	case a.late():
		if w.cutAt.IsZero() || a.At.Sub(w.cutAt) >= a.Took {
			// Once for all answers that were on the way.
			w.tokens, w.cutAt = cutFactor*w.tokens, a.At
		}
	case a.prompt() && a.Used+a.Cost > w.tokens:
		w.tokens += growth * a.Cost
	case a.Used < w.tokens/2:
		w.tokens -= growth * a.Cost
	}
	return w
}

// prompt reports whether the engines had room for the work.
func (a Answer) prompt() bool { return a.Took <= time.Duration(promptShare*float64(a.target())) }

// late reports whether the engines had too much work.
func (a Answer) late() bool { return a.Took > time.Duration(lateShare*float64(a.target())) }

func (a Answer) target() time.Duration {
	if a.Target <= 0 {
		return defaultTarget
	}
	return a.Target
}

// defaultTarget is the target of work whose route has none.
const defaultTarget = 3 * time.Second
