package policy

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
)

// Rank is the scheduling class of a request. Ranks are in ascending order of
// urgency, so that the zero value is the least urgent one.
type Rank uint8

const (
	// Normal requests may wait for urgent ones.
	Normal Rank = iota
	// Urgent requests are served before normal ones.
	Urgent
	// Ranks is the number of ranks.
	Ranks = 2
)

// String returns the name of the rank in policies and logs.
func (r Rank) String() string {
	if r == Urgent {
		return "urgent"
	}
	return "normal"
}

// Policy sets the rank and the service level of the requests that it covers. The
// zero value covers all requests at the normal rank and guarantees nothing.
type Policy struct {
	// Name identifies the policy within a document.
	Name string
	// Cover selects the requests that the policy covers.
	Cover label.Selector
	// Endpoints selects the endpoints that may serve them.
	Endpoints label.Selector
	// Rank is the rank of covered requests.
	Rank Rank
	// Target is the guaranteed time to first token; 0 means none.
	Target time.Duration
	// Percentile is the percentage of requests that must meet Target. Invariant:
	// above 0 and below 100 if Target is set.
	Percentile float64
	// Floor is the minimum share of service, from 0 to 1, that covered requests get
	// while requests of the other rank are waiting too.
	Floor float64
	// Weight is the fair-queueing weight of a team within its rank. Invariant: above
	// 0.
	Weight float64
	// Limit is the maximum cost per second, in tokens, of each team; 0 means none.
	Limit float64
}

// Document is one version of all policies. It is immutable. The zero value is
// version 0 without policies.
type Document struct {
	// Version increases by one with each change.
	Version int64
	// Change identifies the change that made this version.
	Change string
	// Author is who made the change.
	Author string
	// policies is in order of precedence. Invariant: never modified.
	policies []Policy
	// texts holds the source text of each effective policy, keyed by name.
	texts map[string]string
	// rejected holds the reason why a policy of the last change was rejected, keyed by
	// name.
	rejected map[string]string
}

// New returns a document of policies, in order of precedence, without source texts.
func New(version int64, policies ...Policy) Document {
	return Document{
		Version:  version,
		policies: policies,
	}
}

// Match returns the first policy, in order of precedence, that covers labels.
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

// Find returns the policy with the given name.
func (d Document) Find(name string) (Policy, bool) {
	for _, p := range d.policies {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// Rejected returns the reasons why policies of the last change were rejected, keyed by
// name.
func (d Document) Rejected() map[string]string {
	out := make(map[string]string, len(d.rejected))
	for k, v := range d.rejected {
		out[k] = v
	}
	return out
}

// Floor returns the largest floor of all policies of rank r.
func (d Document) Floor(r Rank) float64 {
	floor := 0.0
	for _, p := range d.policies {
		if p.Rank == r && p.Floor > floor {
			floor = p.Floor
		}
	}
	return floor
}
