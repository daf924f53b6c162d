// Package store defines the types and errors of the platform's table service:
// versioned rows that are written by compare-and-set.
//
// A write that fails with ErrUnavailable had no effect. A write that fails with
// ErrLost may have taken effect; the caller reads the row back to find out.
package store
