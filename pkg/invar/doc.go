// Package invar checks invariants inside the running program.
//
// A breach is counted and handed to a hook in every build: the daemon logs it
// with its trace, and a proof fails on it.
//
//	invar.That(next > prev, invar.NoRevert, "version %d after %d", next, prev)
package invar
