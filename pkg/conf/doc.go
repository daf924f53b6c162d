// Package conf keeps one configuration in force on all instances.
//
// The table's row is the one place where a version is made, by compare-and-set.
// Every instance puts the highest version that it hears of in force and never
// goes back. An instance takes new work only while it is fresh: it heard the
// table within Stale, or a majority of all instances. A change is accepted
// once a majority held it for Stale and a margin: an instance that takes new
// work then heard the table or a majority since, and so holds the change, also
// where the platform's list does not show it yet.
//
// This is no replicated store: the majority passes on a version that the
// table made and never makes one.
//
//	s = s.WithDocument(doc)
//	ok := s.Fresh(heard, now)
package conf
