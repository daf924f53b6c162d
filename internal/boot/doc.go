// Package boot reads the clock that runs since the machine booted.
//
// Unlike the monotonic clock of the Go runtime, it includes time for which the
// machine was suspended. Unlike the wall clock, it never jumps.
package boot
