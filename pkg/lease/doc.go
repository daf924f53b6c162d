// Package lease keeps a single holder of a role by compare-and-set on one row
// of the platform's table.
//
// Clocks of different machines are never compared. A holder counts its lease
// from before it sent the last renewal that the table took; a rival takes over
// only after it saw the row unchanged for the lease's length and a margin, on
// its own clock, or knows from a peer or from the table's clock that it was. Each new
// holder gets a higher fencing number.
//
// A holder that stops writes for how long none of its orders was on its way, and
// the next one waits only for what is left of the quiet time.
//
// A Lease is a pure state: Plan says what to ask of the table, and the answer
// comes back through WithRow and WithPut.
//
//	op, ok := l.Plan(now)
//	l = l.WithPut(op, version, err, now)
//	if l.Valid(now, deadline) { order(l.Fence()) }
package lease
