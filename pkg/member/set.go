package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	// failuresToSuspect is how many failed calls in a row make a suspect.
	failuresToSuspect = 2
	// firstSuspicion is how long a new suspect gets no calls; it doubles with
	// each further failure up to lastSuspicion.
	firstSuspicion = 500 * time.Millisecond
	lastSuspicion  = 8 * time.Second
	// keepShare is the share of a pool that stays although others say it is leaving.
	keepShare = 0.5
	// Silence is how long an instance may be unheard before it counts as gone,
	// and an endpoint before it gets no work until it is heard again.
	Silence = 2 * time.Second
)

// Set is the nodes that are known. The zero value is empty.
type Set struct {
	// entries is by name. Invariant: never written once published.
	entries map[string]entry
	// pools holds the endpoints that take new work, by model. It is derived
	// from entries. Invariant: never written once published.
	pools map[string][]Endpoint
	// versions is the version of weights that most endpoints of a model have.
	versions map[string]string
	// roles holds all nodes by role in the order of their names. It is derived
	// from entries. Invariant: never written once published.
	roles [roles][]Endpoint
	// heard is when a node last answered, by name. It changes all the time and
	// is kept apart, so that an answer without news costs little.
	heard *immutable.Map[string, time.Time]
	// unpolled tells that nodes are heard only through calls, so that silence
	// is no reason for doubt.
	unpolled bool
}

// Unpolled returns the set of an instance that does not poll nodes.
func Unpolled() Set {
	return Set{
		unpolled: true,
	}
}

type entry struct {
	node   Node
	report Report
	// accused tells that a peer said that the node is leaving, and the node
	// did not answer since.
	accused bool
	// failures counts failed calls since the last good one.
	failures int
	// suspect is when calls may be sent again.
	suspect time.Time
}

// WithList returns a copy of s with the nodes of the platform's list. Nodes
// that the list lacks are dropped.
func (s Set) WithList(nodes []Node) Set {
	next := make(map[string]entry, len(nodes))
	for _, n := range nodes {
		e := s.entries[n.Name]
		if e.node.Addr != n.Addr || e.node.Start != n.Start {
			e = entry{}
		}
		e.node = n
		next[n.Name] = e
	}
	return s.build(next)
}

// WithReport returns a copy of s in which name said r of itself.
func (s Set) WithReport(name string, r Report, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok {
		return s
	}
	s = s.withHeard(name, now)
	if e.report == r && !e.troubled() {
		return s
	}
	e.report = r
	return s.with(name, e.calmed())
}

// WithListing returns a copy of s in which the platform's list says l.Report of
// a node. It is no proof that the node serves calls.
func (s Set) WithListing(l Listing) Set {
	e, ok := s.entries[l.Node.Name]
	if !ok || e.report == l.Report {
		return s
	}
	e.report = l.Report
	return s.with(l.Node.Name, e)
}

// WithAccused returns a copy of s in which a peer said that name is leaving.
func (s Set) WithAccused(name string, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok || e.accused || s.Heard(name).After(now) {
		return s
	}
	e.accused = true
	return s.with(name, e)
}

// WithFailure returns a copy of s in which a call to name failed.
func (s Set) WithFailure(name string, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok {
		return s
	}
	e.failures++
	if e.failures >= failuresToSuspect {
		wait := firstSuspicion << min(e.failures-failuresToSuspect, 4)
		e.suspect = now.Add(min(wait, lastSuspicion))
	}
	return s.with(name, e)
}

// WithSuccess returns a copy of s in which name answered a call.
func (s Set) WithSuccess(name string, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok {
		return s
	}
	s = s.withHeard(name, now)
	if !e.troubled() {
		return s
	}
	return s.with(name, e.calmed())
}

// Trusted tells whether calls may be sent to e at now. An endpoint that was
// unheard for a while is asked for its report first, since it may be leaving.
func (s Set) Trusted(e Endpoint, now time.Time) bool {
	if e.Suspect.After(now) {
		return false
	}
	heard := s.Heard(e.Node.Name)
	return s.unpolled || heard.IsZero() || now.Sub(heard) <= Silence
}

// Pool returns the endpoints that take new work for model. The slice must not
// be written.
func (s Set) Pool(model string) []Endpoint { return s.pools[model] }

// Version returns the version of weights that most endpoints of model have.
func (s Set) Version(model string) string { return s.versions[model] }

// Listed tells whether the platform's list was ever heard.
func (s Set) Listed() bool { return s.entries != nil }

// Serves tells whether any node of the list, also a leaving one, serves model.
func (s Set) Serves(model string) bool {
	for _, e := range s.entries {
		if e.node.Role != Instance && slices.Contains(e.node.Models, model) {
			return true
		}
	}
	return false
}

// Models returns the models that some engine serves, in order.
func (s Set) Models() []string {
	var out []string
	for m, es := range s.pools {
		if len(es) > 0 && es[0].Node.Role == Engine {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

// Find returns the node called name.
func (s Set) Find(name string) (Endpoint, bool) {
	e, ok := s.entries[name]
	return e.endpoint(), ok
}

// Nodes returns all nodes of role r in the order of their names. The slice
// must not be written.
func (s Set) Nodes(r Role) []Endpoint { return s.roles[r] }

// Heard returns when name last answered, or the zero time.
func (s Set) Heard(name string) time.Time {
	if s.heard == nil {
		return time.Time{}
	}
	at, _ := s.heard.Get(name)
	return at
}

// Live returns the names of the instances other than self that were heard
// within Silence and are not leaving, in order.
func (s Set) Live(self string, now time.Time) []string {
	var out []string
	for _, e := range s.roles[Instance] {
		name := e.Node.Name
		if name == self || e.Report.Leaving {
			continue
		}
		if heard := s.Heard(name); !heard.IsZero() && now.Sub(heard) <= Silence {
			out = append(out, name)
		}
	}
	return out
}

// Leaving returns the names of the endpoints that said they are leaving.
func (s Set) Leaving() []string {
	var out []string
	for name, e := range s.entries {
		if e.node.Role != Instance && e.report.Leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// with returns a copy of s with e in place of the entry of the same node. Only
// what depends on that node is made anew.
func (s Set) with(name string, e entry) Set {
	next := maps.Clone(s.entries)
	next[name] = e
	s.entries = next
	es := slices.Clone(s.roles[e.node.Role])
	at, _ := slices.BinarySearchFunc(es, name, func(e Endpoint, name string) int {
		return strings.Compare(e.Node.Name, name)
	})
	es[at] = e.endpoint()
	s.roles[e.node.Role] = es
	if e.node.Role == Instance {
		return s
	}
	s.pools, s.versions = maps.Clone(s.pools), maps.Clone(s.versions)
	for _, m := range e.node.Models {
		s.pools[m] = s.pool(m)
		s.versions[m] = usual(s.pools[m])
	}
	return s
}

func (s Set) withHeard(name string, now time.Time) Set {
	if s.heard == nil {
		s.heard = immutable.NewMap[string, time.Time](nil)
	}
	s.heard = s.heard.Set(name, now)
	return s
}

// troubled tells whether an answer of the node is news.
func (e entry) troubled() bool { return e.accused || e.failures > 0 }

// calmed returns e after an answer of the node.
func (e entry) calmed() entry {
	e.accused = false
	e.failures = 0
	e.suspect = time.Time{}
	return e
}

func (e entry) endpoint() Endpoint {
	return Endpoint{
		Node:    e.node,
		Report:  e.report,
		Hash:    xxhash.Sum64String(e.node.Name),
		Suspect: e.suspect,
		blamed:  e.node.Leaving || e.accused,
	}
}

// build returns a copy of s with entries, from which it derives the rest.
func (s Set) build(entries map[string]entry) Set {
	s.entries = entries
	s.roles = byRole(entries)
	s.pools = map[string][]Endpoint{}
	s.versions = map[string]string{}
	for _, r := range [...]Role{Engine, Service} {
		for _, e := range s.roles[r] {
			for _, m := range e.Node.Models {
				if _, ok := s.pools[m]; !ok {
					s.pools[m] = s.pool(m)
					s.versions[m] = usual(s.pools[m])
				}
			}
		}
	}
	return s
}

// pool returns the endpoints that take new work for model. It leaves out those
// that others say are leaving, unless too few remain.
func (s Set) pool(model string) []Endpoint {
	var all []Endpoint
	blamed := 0
	for _, r := range [...]Role{Engine, Service} {
		for _, e := range s.roles[r] {
			if e.Report.Leaving || !slices.Contains(e.Node.Models, model) {
				continue
			}
			all = append(all, e)
			if e.blamed {
				blamed++
			}
		}
	}
	if blamed == 0 || float64(len(all)-blamed) < keepShare*float64(len(all)) {
		return all
	}
	return slices.DeleteFunc(all, func(e Endpoint) bool { return e.blamed })
}

// byRole returns all nodes by role in the order of their names.
func byRole(entries map[string]entry) [roles][]Endpoint {
	var out [roles][]Endpoint
	for _, e := range entries {
		out[e.node.Role] = append(out[e.node.Role], e.endpoint())
	}
	for _, es := range out {
		sortByName(es)
	}
	return out
}

func sortByName(es []Endpoint) {
	slices.SortFunc(es, func(a, b Endpoint) int { return strings.Compare(a.Node.Name, b.Node.Name) })
}

// usual returns the version that most endpoints have, the greatest among equals.
func usual(es []Endpoint) string {
	count := map[string]int{}
	best := ""
	for _, e := range es {
		count[e.Report.Version]++
	}
	for v, n := range count {
		if n > count[best] || n == count[best] && v > best {
			best = v
		}
	}
	return best
}
