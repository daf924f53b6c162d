// Package policy holds what operators promise: who is covered, at which rank,
// and what that rank is owed.
//
// A Document is one version of all policies. Each policy is a resource of its
// own: when one can't be read, the last good one of that name stays in force
// and the reason is kept beside it, so that one mistake does not hold up the
// others. Versions only grow.
//
//	doc, faults := prev.WithText(text, "change-7", version)
//	p, ok := doc.Match(labels)
package policy
