package conf

import (
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

const (
	// MaxStaleness is how long an instance accepts new work without an answer
	// from the table or from a majority.
	MaxStaleness = 2 * time.Second
	// AcceptanceMargin is added to MaxStaleness before a change is accepted, for
	// calls that are in flight.
	AcceptanceMargin = 300 * time.Millisecond
)

// State is an instance's view of the configuration. The zero value has no
// configuration.
type State struct {
	doc policy.Document
	// loaded reports whether a version was loaded since the instance started.
	loaded bool
	// tableRead is when the last read that the table answered was sent.
	tableRead time.Time
	// known is the highest version that is known to exist.
	known int64
}

// WithDocument returns s with doc active, unless s already has the same or a newer
// version.
func (s State) WithDocument(doc policy.Document) State {
	if s.loaded && doc.Version <= s.doc.Version {
		return s
	}
	invar.Check(doc.Version >= s.doc.Version, invar.NoRevert, "configuration version %d replaces the newer version %d", doc.Version, s.doc.Version)
	s.doc = doc
	s.loaded = true
	s.known = max(s.known, doc.Version)
	return s
}

// WithKnown returns s with the knowledge that version exists.
func (s State) WithKnown(version int64) State {
	s.known = max(s.known, version)
	return s
}

// WithTable returns s after the table answered a read that was sent at the given
// time. The table's newest version is version.
func (s State) WithTable(sent time.Time, version int64) State {
	s.known = max(s.known, version)
	if sent.After(s.tableRead) {
		s.tableRead = sent
	}
	return s
}

// Document returns the active configuration.
func (s State) Document() policy.Document { return s.doc }

// Table returns when the last read that the table answered was sent.
func (s State) Table() time.Time { return s.tableRead }

// Loaded reports whether a configuration was loaded since the instance started.
func (s State) Loaded() bool { return s.loaded }

// Behind reports whether a newer version than the active one is known to exist.
func (s State) Behind() bool { return s.known > s.doc.Version }

// FreshUntil returns the time up to which the instance may accept new work. The zero
// time means that it may not. For each other instance, answered holds when the last
// call that it answered was sent; the instance itself counts towards the majority.
func (s State) FreshUntil(answered []time.Time) time.Time {
	if !s.loaded || s.Behind() {
		return time.Time{}
	}
	until := s.tableRead
	if m := majoritySince(answered); m.After(until) {
		until = m
	}
	if until.IsZero() {
		return until
	}
	return until.Add(MaxStaleness)
}

// majoritySince returns the latest time since which each instance of some majority,
// this one included, has answered a call.
func majoritySince(answered []time.Time) time.Time {
	need := (len(answered) + 1) / 2 // a majority together with this instance
	if need == 0 {
		return time.Time{}
	}
	sorted := slices.Clone(answered)
	slices.SortFunc(sorted, func(a, b time.Time) int { return b.Compare(a) })
	return sorted[need-1]
}

// Rollout tracks a configuration change until it is active on all instances.
type Rollout struct {
	// members are the instances that need to activate the change.
	members []string
	// acks are the members that have activated it. Invariant: never modified in place.
	acks []string
	// majorityAt is when a majority had activated it.
	majorityAt time.Time
}

// NewRollout returns a change that no member has activated yet.
func NewRollout(members []string) Rollout {
	return Rollout{
		members: members,
	}
}

// WithAck returns r after the instance name has activated the change. Instances that
// are not members are ignored.
func (r Rollout) WithAck(name string, now time.Time) Rollout {
	if slices.Contains(r.acks, name) || !slices.Contains(r.members, name) {
		return r
	}
	r.acks = append(slices.Clone(r.acks), name)
	if r.majorityAt.IsZero() && len(r.acks) > len(r.members)/2 {
		r.majorityAt = now
	}
	return r
}

// Accepted reports whether the change is active on every instance that accepts
// work. The wait also covers instances that the registry does not list yet: one that
// still accepts work had an answer from the table or from a majority in the meantime and
// therefore has the change.
func (r Rollout) Accepted(now time.Time) bool {
	return !r.majorityAt.IsZero() && now.Sub(r.majorityAt) >= MaxStaleness+AcceptanceMargin
}

// Missing returns the members that have not activated the change.
func (r Rollout) Missing() []string {
	var out []string
	for _, m := range r.members {
		if !slices.Contains(r.acks, m) {
			out = append(out, m)
		}
	}
	return out
}
