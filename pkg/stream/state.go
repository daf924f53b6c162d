package stream

import "github.com/baobabtally/baobabtally/pkg/invar"

// Verdict is what to do with a chunk.
type Verdict uint8

const (
	// Deliver is a chunk that comes next.
	Deliver Verdict = iota
	// Duplicate is a chunk that was delivered before.
	Duplicate
	// Gap is a chunk before which one is missing: resume from Next.
	Gap
	// Late is a chunk after the end.
	Late
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"deliver", "duplicate", "gap", "late"}[v%4] }

// State is how far a stream was delivered. The zero value is its start.
type State struct {
	next  int
	ended bool
}

// From returns the state of a stream of which the caller has n chunks.
func From(n int) State {
	return State{
		next: n,
	}
}

// With returns the state after the chunk at offset, and what to do with it.
func (s State) With(offset int, end bool) (State, Verdict) {
	switch {
	case s.ended:
		return s, Late
	case offset < s.next:
		return s, Duplicate
	case offset > s.next:
		return s, Gap
	}
	next := State{
		next:  offset + 1,
		ended: end,
	}
	invar.That(next.next == s.next+1, invar.Order, "chunk %d delivered after %d", offset, s.next)
	return next, Deliver
}

// Next returns the offset of the chunk that comes next.
func (s State) Next() int { return s.next }

// Ended tells whether the end marker was delivered.
func (s State) Ended() bool { return s.ended }
