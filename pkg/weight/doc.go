// Package weight tracks which version of each model's weights is wanted and
// which ones engines hold, and plans the orders that bring engines up to date.
//
// A Book is immutable. Versions only grow, so that news may come in any order
// and from any source.
//
//	b = b.WithNamed("small", 3, now)
//	for _, o := range b.Plan("small", engines, 4) { send(o) }
package weight
