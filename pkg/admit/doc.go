// Package admit decides under load which requests wait, which are refused and when the
// refused ones are to return.
//
// Both request paths use it. The decisions are pure: they start no goroutine, read no
// clock and hold no lock.
package admit
