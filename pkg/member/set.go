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
	// failuresToSuspect is how many consecutive failed calls make a node suspected.
	failuresToSuspect = 2
	// initialSuspicion is how long a suspected node gets no calls. The time doubles
	// with each further failure, up to maxSuspicion.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 8 * time.Second
	// minPoolShare is the smallest share of a pool that may remain when the endpoints
	// that others report as departing are left out.
	minPoolShare = 0.5
	// AnswerTimeout is the time without an answer after which an instance counts as
	// departed and an endpoint gets no work until it answers again.
	AnswerTimeout = 2 * time.Second
)

// Set is the set of known nodes. The zero value is empty.
type Set struct {
	// entries maps names to nodes. Invariant: never modified once published.
	entries map[string]entry
	// pools holds the endpoints that accept new work, by model. It is derived from
	// entries. Invariant: never modified once published.
	pools map[string][]Endpoint
	// versions holds the version of weights that most endpoints of a model have, by
	// model.
	versions map[string]string
	// roles holds all nodes by role, sorted by name. It is derived from entries.
	// Invariant: never modified once published.
	roles [roles][]Endpoint
	// answeredAt holds when each node last answered, by name. It changes with every
	// answer and is separate from entries, so that an answer that changes nothing else
	// is cheap.
	answeredAt *immutable.Map[string, time.Time]
	// signals holds what incarnations of endpoints said in their answers. It is separate
	// from entries, since the registry may lose an entry and regain it. Invariant: never
	// modified once published.
	signals map[incarnation]signal
	// unpolled reports whether the instance does not poll nodes. Nodes then answer only
	// calls, and the time without an answer says nothing about a node.
	unpolled bool
}

// Unpolled returns the empty set of an instance that does not poll nodes.
func Unpolled() Set {
	return Set{
		unpolled: true,
	}
}

// entry is what is known of one node.
type entry struct {
	node   Node
	report Report
	// reportedDeparting reports whether a peer said that the node is departing and the
	// node has not answered since.
	reportedDeparting bool
	// failures counts the failed calls since the last successful one.
	failures int
	// suspectUntil is the time until which no calls are sent to the node.
	suspectUntil time.Time
}

// WithRegistry returns a copy of s with the nodes of the platform's registry. Nodes that
// are not in the registry are removed.
func (s Set) WithRegistry(nodes []Node) Set {
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

// WithReport returns a copy of s after the node name sent report r about itself.
func (s Set) WithReport(name string, r Report, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok {
		return s
	}
	s = s.withAnswerAt(name, now)
	if e.report == r && !e.unhealthy() {
		return s
	}
	e.report = r
	return s.with(name, e.recovered())
}

// WithRegistryEntry returns a copy of s with the report that the platform's registry holds of
// a node. It does not count as an answer, since it does not prove that the node serves
// calls.
func (s Set) WithRegistryEntry(r RegistryEntry) Set {
	e, ok := s.entries[r.Node.Name]
	if !ok || e.report == r.Report {
		return s
	}
	e.report = r.Report
	return s.with(r.Node.Name, e)
}

// WithReportedDeparture returns a copy of s after a peer said that the node name is
// departing. It has no effect if the node answered after now.
func (s Set) WithReportedDeparture(name string, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok || e.reportedDeparting || s.LastAnswer(name).After(now) {
		return s
	}
	e.reportedDeparting = true
	return s.with(name, e)
}

// WithoutReportedDeparture returns a copy of s after the node name was found registered
// later than a peer said that it is departing.
func (s Set) WithoutReportedDeparture(name string) Set {
	e, ok := s.entries[name]
	if !ok || !e.reportedDeparting {
		return s
	}
	e.reportedDeparting = false
	return s.with(name, e)
}

// WithFailure returns a copy of s after a call to the node name failed.
func (s Set) WithFailure(name string, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok {
		return s
	}
	e.failures++
	if e.failures >= failuresToSuspect {
		wait := initialSuspicion << min(e.failures-failuresToSuspect, 4)
		e.suspectUntil = now.Add(min(wait, maxSuspicion))
	}
	return s.with(name, e)
}

// WithSuccess returns a copy of s after the node name answered a call.
func (s Set) WithSuccess(name string, now time.Time) Set {
	e, ok := s.entries[name]
	if !ok {
		return s
	}
	s = s.withAnswerAt(name, now)
	if !e.unhealthy() {
		return s
	}
	return s.with(name, e.recovered())
}

// Trusted reports whether calls may be sent to e at now. An endpoint that has not
// answered within the answer timeout has to send a report first, since it may be departing.
func (s Set) Trusted(e Endpoint, now time.Time) bool {
	if e.SuspectUntil.After(now) {
		return false
	}
	lastAnswer := s.LastAnswer(e.Node.Name)
	return s.unpolled || lastAnswer.IsZero() || now.Sub(lastAnswer) <= AnswerTimeout
}

// Pool returns the endpoints that accept new work for model. The slice must not be
// modified.
func (s Set) Pool(model string) []Endpoint { return s.pools[model] }

// Version returns the version of weights that most endpoints of model have.
func (s Set) Version(model string) string { return s.versions[model] }

// RegistryLoaded reports whether the set was ever loaded from the platform's registry.
func (s Set) RegistryLoaded() bool { return s.entries != nil }

// Serves reports whether any endpoint of the registry, departing or not, serves model.
func (s Set) Serves(model string) bool {
	for _, e := range s.entries {
		if e.node.Role != Instance && slices.Contains(e.node.Models, model) {
			return true
		}
	}
	return false
}

// Models returns the sorted names of the models that at least one engine serves.
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
	return s.endpoint(e), ok
}

// Nodes returns all nodes of role r, sorted by name. The slice must not be modified.
func (s Set) Nodes(r Role) []Endpoint { return s.roles[r] }

// LastAnswer returns when the node name last answered, or the zero time.
func (s Set) LastAnswer(name string) time.Time {
	if s.answeredAt == nil {
		return time.Time{}
	}
	at, _ := s.answeredAt.Get(name)
	return at
}

// Live returns the sorted names of the instances other than self that answered within
// the answer timeout and are not departing.
func (s Set) Live(self string, now time.Time) []string {
	var out []string
	for _, e := range s.roles[Instance] {
		name := e.Node.Name
		if name == self || e.Report.Departing {
			continue
		}
		if lastAnswer := s.LastAnswer(name); !lastAnswer.IsZero() && now.Sub(lastAnswer) <= AnswerTimeout {
			out = append(out, name)
		}
	}
	return out
}

// Departing returns the sorted names of the endpoints that reported their own departure.
// Those that only announced it in an answer are listed by Announcements.
func (s Set) Departing() []string {
	var out []string
	for _, r := range [...]Role{Engine, Service} {
		for i := range s.roles[r] {
			if s.roles[r][i].Report.Departing {
				out = append(out, s.roles[r][i].Node.Name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// with returns a copy of s with e as the entry of the node name. Only the derived values
// that depend on that node are computed again.
func (s Set) with(name string, e entry) Set {
	next := maps.Clone(s.entries)
	next[name] = e
	s.entries = next
	es := slices.Clone(s.roles[e.node.Role])
	at, _ := slices.BinarySearchFunc(es, name, func(e Endpoint, name string) int {
		return strings.Compare(e.Node.Name, name)
	})
	es[at] = s.endpoint(e)
	s.roles[e.node.Role] = es
	if e.node.Role == Instance {
		return s
	}
	s.pools, s.versions = maps.Clone(s.pools), maps.Clone(s.versions)
	for _, m := range e.node.Models {
		s.pools[m] = s.pool(m)
		s.versions[m] = mostCommonVersion(s.pools[m])
	}
	return s
}

func (s Set) withAnswerAt(name string, now time.Time) Set {
	if s.answeredAt == nil {
		s.answeredAt = immutable.NewMap[string, time.Time](nil)
	}
	s.answeredAt = s.answeredAt.Set(name, now)
	return s
}

// unhealthy reports whether an answer of the node changes its entry.
func (e entry) unhealthy() bool { return e.reportedDeparting || e.failures > 0 }

// recovered returns e after an answer of the node.
func (e entry) recovered() entry {
	e.reportedDeparting = false
	e.failures = 0
	e.suspectUntil = time.Time{}
	return e
}

func (s Set) endpoint(e entry) Endpoint {
	said := s.signals[incarnation{
		name:  e.node.Name,
		start: e.node.Start,
	}]
	return Endpoint{
		Node:              e.node,
		Report:            e.report,
		Hash:              xxhash.Sum64String(e.node.Name),
		SuspectUntil:      e.suspectUntil,
		QuietUntil:        said.quietUntil,
		Announced:         !said.departingSince.IsZero(),
		reportedDeparting: e.node.Departing || e.reportedDeparting,
	}
}

// build returns a copy of s with the given entries and the values derived from them.
func (s Set) build(entries map[string]entry) Set {
	s.entries = entries
	s.roles = s.byRole()
	s.pools = map[string][]Endpoint{}
	s.versions = map[string]string{}
	for _, r := range [...]Role{Engine, Service} {
		for _, e := range s.roles[r] {
			for _, m := range e.Node.Models {
				if _, ok := s.pools[m]; !ok {
					s.pools[m] = s.pool(m)
					s.versions[m] = mostCommonVersion(s.pools[m])
				}
			}
		}
	}
	return s
}

// pool returns the endpoints that accept new work for model. It leaves out those that
// peers or the registry report as departing, unless too few would remain.
func (s Set) pool(model string) []Endpoint {
	var all []Endpoint
	reported := 0
	for _, r := range [...]Role{Engine, Service} {
		for _, e := range s.roles[r] {
			if e.Departing() || !slices.Contains(e.Node.Models, model) {
				continue
			}
			all = append(all, e)
			if e.reportedDeparting {
				reported++
			}
		}
	}
	if reported == 0 || float64(len(all)-reported) < minPoolShare*float64(len(all)) {
		return all
	}
	return slices.DeleteFunc(all, func(e Endpoint) bool { return e.reportedDeparting })
}

// byRole returns all nodes by role, sorted by name.
func (s Set) byRole() [roles][]Endpoint {
	var out [roles][]Endpoint
	for _, e := range s.entries {
		out[e.node.Role] = append(out[e.node.Role], s.endpoint(e))
	}
	for _, es := range out {
		sortByName(es)
	}
	return out
}

func sortByName(es []Endpoint) {
	slices.SortFunc(es, func(a, b Endpoint) int { return strings.Compare(a.Node.Name, b.Node.Name) })
}

// mostCommonVersion returns the version that most endpoints have, and the greatest of
// them on a tie.
func mostCommonVersion(es []Endpoint) string {
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
