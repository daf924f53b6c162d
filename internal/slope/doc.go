// Package slope measures how the cost of each component grows with the size of
// its input.
//
// A Measurement is one cost at several sizes with a line fitted through them.
// docs/CAPACITY.md extrapolates the slopes to the sizes expected in two years.
//
//	for _, m := range slope.Measure() { fmt.Println(m) }
package slope
