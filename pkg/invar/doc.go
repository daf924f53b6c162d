// Package invar checks invariants at run time.
//
// Checks are active in every build. A violation is counted and passed to a hook:
// the daemon logs it with its stack trace, and the invariant tests fail on it.
//
//	invar.Check(next > prev, invar.NoRevert, "version %d after %d", next, prev)
package invar
