package conf

import (
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

const (
	// Stale is how long an instance takes new work without hearing the table
	// or a majority.
	Stale = 2 * time.Second
	// Margin is what acceptance waits beyond Stale for calls under way.
	Margin = 300 * time.Millisecond
)

// State is an instance's view of the configuration. The zero value holds nothing.
type State struct {
	doc policy.Document
	// loaded tells whether a version was found since the start.
	loaded bool
	// table is when the last read was sent that the table answered.
	table time.Time
	// known is the highest version that was heard of.
	known int64
}

// WithDocument returns s with doc in force, unless s holds a newer one.
func (s State) WithDocument(doc policy.Document) State {
	if s.loaded && doc.Version <= s.doc.Version {
		return s
	}
	invar.That(doc.Version >= s.doc.Version, invar.NoRevert, "version %d after %d", doc.Version, s.doc.Version)
	s.doc = doc
	s.loaded = true
	s.known = max(s.known, doc.Version)
	return s
}

// WithKnown returns s after hearing that version exists.
func (s State) WithKnown(version int64) State {
	s.known = max(s.known, version)
	return s
}

// WithTable returns s after the table answered a read sent at the given time
// with version as its newest.
func (s State) WithTable(sent time.Time, version int64) State {
	s.known = max(s.known, version)
	if sent.After(s.table) {
		s.table = sent
	}
	return s
}

// Document returns the configuration in force.
func (s State) Document() policy.Document { return s.doc }

// Table returns when the last read was sent that the table answered.
func (s State) Table() time.Time { return s.table }

// Loaded tells whether any configuration was found.
func (s State) Loaded() bool { return s.loaded }

// Behind tells whether a newer version is known than the one held.
func (s State) Behind() bool { return s.known > s.doc.Version }

// Until returns up to when new work may be taken. The times in heard are when
// the last answered call was sent to each other instance; the instance itself
// counts as heard.
func (s State) Until(heard []time.Time) time.Time {
	if !s.loaded || s.Behind() {
		return time.Time{}
	}
	until := s.table
	if m := majority(heard); m.After(until) {
		until = m
	}
	if until.IsZero() {
		return until
	}
	return until.Add(Stale)
}

// majority returns since when a majority of all instances was heard.
func majority(heard []time.Time) time.Time {
	need := (len(heard) + 1) / 2 // with this instance a majority of all
	if need == 0 {
		return time.Time{}
	}
	sorted := slices.Clone(heard)
	slices.SortFunc(sorted, func(a, b time.Time) int { return b.Compare(a) })
	return sorted[need-1]
}

// Spread tracks one change until it is in force everywhere.
type Spread struct {
	// members are the instances that must hold the change.
	members []string
	// acks are those that hold it. Invariant: never written.
	acks []string
	// most is when a majority held it.
	most time.Time
}

// NewSpread returns the spread of a change over all members.
func NewSpread(members []string) Spread {
	return Spread{
		members: members,
	}
}

// WithAck returns s after name was found to hold the change.
func (s Spread) WithAck(name string, now time.Time) Spread {
	if slices.Contains(s.acks, name) || !slices.Contains(s.members, name) {
		return s
	}
	s.acks = append(slices.Clone(s.acks), name)
	if s.most.IsZero() && len(s.acks) > len(s.members)/2 {
		s.most = now
	}
	return s
}

// Accepted tells whether the change is in force on every instance that takes
// work. The wait also covers instances that the list does not show yet: one
// that takes work after it heard the table or a majority since, and so holds
// the change.
func (s Spread) Accepted(now time.Time) bool {
	return !s.most.IsZero() && now.Sub(s.most) >= Stale+Margin
}

// Missing returns the members that were not found to hold the change.
func (s Spread) Missing() []string {
	var out []string
	for _, m := range s.members {
		if !slices.Contains(s.acks, m) {
			out = append(out, m)
		}
	}
	return out
}
