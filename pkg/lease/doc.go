// Package lease elects a single holder of a role by compare-and-set on one row of
// the platform's table.
//
// Clocks of different machines are never compared. A holder counts its lease from
// the time at which it sent the last renewal that the table confirmed. A rival takes
// over only once the row has been unchanged for the lease's length and a margin, as
// measured by its own clock, reported by a peer or shown by the table's clock. Each
// new holder gets a higher fencing token.
//
// A holder that releases the lease records how long none of its orders has been in
// flight, and the next holder waits only for the rest of the quiet period.
//
// A Lease is an immutable value without I/O: Plan returns the next call to the
// table, and WithRow and WithPut take the result.
//
//	op, l, ok := l.Plan(now)
//	l = l.WithPut(op, version, err)
//	if l.Valid(now, deadline) { order(l.FencingToken()) }
package lease
