// Package slope measures how the cost of each part grows with its size.
//
// A Row is one cost measured at several sizes with a straight line through
// them; docs/CAPACITY.md multiplies the slopes by the sizes of two years on.
//
//	for _, r := range slope.Rows() { fmt.Println(r) }
package slope
