// Package weight tracks the desired version of each model's weights and the versions
// that engines have loaded, and plans the orders that bring engines up to date.
//
// All values are immutable. Versions only increase, so that updates may arrive in any order
// and from any source.
//
//	tracker = tracker.WithDesired("small", 3, now)
//	for _, o := range tracker.Plan("small", engines, 4, now) { send(o) }
package weight
