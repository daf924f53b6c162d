// Package conf keeps one version of the configuration active on all instances.
//
// New versions are created only in the table's row, by compare-and-set. Every
// instance activates the highest version that it learns of and never reverts to
// a lower one. An instance accepts new work only while its configuration is
// fresh: within MaxStaleness it had an answer from the table or from a majority
// of all instances. A change is accepted once a majority has had it for
// MaxStaleness and a margin. Any instance that accepts new work after that had
// an answer from the table or from a majority in the meantime and therefore has
// the change, even if the platform's registry does not list the instance yet.
//
// This is not a replicated store: a majority distributes versions that were
// created in the table and never creates one.
//
//	s = s.WithDocument(doc)
//	fresh := now.Before(s.FreshUntil(answered))
package conf
