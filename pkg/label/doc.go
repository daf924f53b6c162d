// Package label holds labels and the selectors over them.
//
// Operators attach labels to callers, engines and work, and write selectors
// that say which of them a policy covers. A selector is a list of terms
// that must all hold:
//
//	team in (loom,braid), kind=check, rank!=low, gpu, !batch
//
// Sets and selectors are immutable and safe for concurrent use.
//
//	sel, err := label.Parse("team in (loom,braid), !batch")
//	ok := sel.Matches(label.Of("team", "loom"))
package label
