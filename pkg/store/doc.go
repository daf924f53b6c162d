// Package store defines the types and errors of the platform's table service:
// versioned rows that are written by compare-and-set.
//
// A write that fails with ErrUnavailable had no effect. A write that fails with
// ErrLost may have taken effect; the caller reads the row back to find out.
//
// A store may come back from an older copy of itself. It then begins a new era, in
// which versions are given out again, so that only versions of one era compare. Era 0
// stands for a store that never does.
package store
