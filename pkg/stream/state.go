package stream

import "github.com/baobabtally/baobabtally/pkg/invar"

// Verdict says how to handle a chunk.
type Verdict uint8

const (
	// Deliver means that the chunk is the next one and must be delivered.
	Deliver Verdict = iota
	// Duplicate means that the chunk was delivered before.
	Duplicate
	// Gap means that at least one chunk before this one is missing. The stream must be
	// resumed from Next.
	Gap
	// Late means that the chunk came after the end marker.
	Late
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"deliver", "duplicate", "gap", "late"}[v%4] }

// State is the delivery progress of a stream. It is immutable. The zero value is the
// start of a stream.
type State struct {
	next  int
	ended bool
}

// From returns the state of a stream of which the caller received n chunks.
func From(n int) State {
	return State{
		next: n,
	}
}

// With returns the state after the chunk at offset was received, and how to handle the
// chunk. end is whether the chunk has the end marker.
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
	invar.Check(next.next == s.next+1, invar.Order, "chunk %d delivered after %d", offset, s.next)
	return next, Deliver
}

// Next returns the offset of the next chunk to deliver.
func (s State) Next() int { return s.next }

// Ended reports whether the end marker was delivered.
func (s State) Ended() bool { return s.ended }
