// Package label implements label sets and selectors.
//
// Operators attach labels to callers, engines and requests, and write selectors
// that decide which of them a policy covers. A selector is a comma-separated list
// of terms, all of which must match:
//
//	team in (loom,braid), kind=check, rank!=low, gpu, !batch
//
// Sets and selectors are immutable and safe for concurrent use.
//
//	sel, err := label.Parse("team in (loom,braid), !batch")
//	ok := sel.Matches(label.Of("team", "loom"))
package label
