package policy

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
)

// Rank is how urgent work is. Lower values of worth come first in the type so
// that the zero value is the less urgent one.
type Rank uint8

const (
	// Normal is work that may wait.
	Normal Rank = iota
	// Urgent is work that overtakes normal work.
	Urgent
	// Ranks is the number of ranks.
	Ranks = 2
)

// String returns the rank's name.
func (r Rank) String() string {
	if r == Urgent {
		return "urgent"
	}
	return "normal"
}

// Policy is one rule. The zero value covers everyone at the normal rank and owes nothing.
type Policy struct {
	// Name is unique in a document.
	Name string
	// Cover says which requests the policy covers.
	Cover label.Selector
	// Endpoints says which endpoints may serve them.
	Endpoints label.Selector
	// Rank is the rank of covered requests.
	Rank Rank
	// Target is the time to first token that is owed; 0 means none.
	Target time.Duration
	// Percentile is the share of requests, in percent, that must meet Target.
	// Invariant: above 0 and below 100 where Target is set.
	Percentile float64
	// Floor is the share of service, 0 to 1, that covered work keeps while
	// work of the other rank floods in.
	Floor float64
	// Weight is the share of a team within its rank. Invariant: above 0.
	Weight float64
	// Limit is the most cost a second, in tokens, for each team; 0 means none.
	Limit float64
}

// Document is one version of all policies. The zero value is version 0 without policies.
type Document struct {
	// Version grows by one with each change.
	Version int64
	// Change identifies the change that made this version.
	Change string
	// Author is who made the change.
	Author string
	// policies is in order of precedence. Invariant: never written.
	policies []Policy
	// texts holds the source of each policy in force, by name.
	texts map[string]string
	// faults holds why a policy of the last change was not taken, by name.
	faults map[string]string
}

// New returns a version of policies that have no text, in order of precedence.
func New(version int64, policies ...Policy) Document {
	return Document{
		Version:  version,
		policies: policies,
	}
}

// Match returns the first policy that covers labels.
func (d Document) Match(labels label.Set) (Policy, bool) {
	for _, p := range d.policies {
		if p.Cover.Matches(labels) {
			return p, true
		}
	}
	return Policy{}, false
}

// Policies returns the policies in order of precedence.
func (d Document) Policies() []Policy { return append([]Policy(nil), d.policies...) }

// Find returns the policy called name.
func (d Document) Find(name string) (Policy, bool) {
	for _, p := range d.policies {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// Faults returns why policies of the last change were not taken, by name.
func (d Document) Faults() map[string]string {
	out := make(map[string]string, len(d.faults))
	for k, v := range d.faults {
		out[k] = v
	}
	return out
}

// Floor returns the largest floor that a policy of rank r is owed.
func (d Document) Floor(r Rank) float64 {
	floor := 0.0
	for _, p := range d.policies {
		if p.Rank == r && p.Floor > floor {
			floor = p.Floor
		}
	}
	return floor
}
