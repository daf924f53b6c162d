package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// departureMemory is how long an announced departure of an endpoint that the registry
// doesn't list is remembered: the registry may lose an entry and regain it. It is far
// longer than endpoints serve after they announced their departure.
const departureMemory = 10 * time.Minute

// incarnation identifies one start of an endpoint.
type incarnation struct {
	name  string
	start string
}

// signal is what one incarnation of an endpoint said in its answers about new work.
type signal struct {
	// departingSince is when the endpoint announced its departure; zero if it did not.
	departingSince time.Time
}

// Announcement is the departure that an incarnation of an endpoint announced.
type Announcement struct {
	// Endpoint is the name of the endpoint, and Start its incarnation.
	Endpoint string
	Start    string
	// Since is when the endpoint announced it.
	Since time.Time
}

// Departure returns when the incarnation start of the node name announced its
// departure, or the zero time.
func (s Set) Departure(name, start string) time.Time {
	return s.signals[incarnation{
		name:  name,
		start: start,
	}].departingSince
}

// WithDeparture returns a copy of s after an incarnation of an endpoint announced its
// departure. Nothing but another incarnation takes it back. The earliest time counts.
func (s Set) WithDeparture(a Announcement) Set {
	id := incarnation{
		name:  a.Endpoint,
		start: a.Start,
	}
	v := s.signals[id]
	if !v.departingSince.IsZero() {
		return s
	}
	v.departingSince = a.Since
	return s.withSignal(id, v)
}

// WithoutPastSignals returns a copy of s without what no longer matters at now.
func (s Set) WithoutPastSignals(now time.Time) Set {
	for id, v := range s.signals {
		next := v
		current, listed := s.entries[id.name]
		listed = listed && current.node.Start == id.start
		if !listed && (id.start == "" || now.Sub(v.departingSince) > departureMemory) {
			// Without a start, a new incarnation can only be told by its new entry.
			next.departingSince = time.Time{}
		}
		if next != v {
			s = s.withSignal(id, next)
		}
	}
	return s
}

// Announcements returns the departures that endpoints announced after the given time,
// sorted by endpoint.
func (s Set) Announcements(after time.Time) []Announcement {
	var out []Announcement
	for id, v := range s.signals {
		if v.departingSince.After(after) {
			out = append(out, Announcement{
				Endpoint: id.name,
				Start:    id.start,
				Since:    v.departingSince,
			})
		}
	}
	slices.SortFunc(out, func(a, b Announcement) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// withSignal returns a copy of s in which v is what the incarnation id said.
func (s Set) withSignal(id incarnation, v signal) Set {
	next := maps.Clone(s.signals)
	if next == nil {
		next = map[incarnation]signal{}
	}
	next[id] = v
	if v == (signal{}) {
		delete(next, id)
	}
	s.signals = next
	e, ok := s.entries[id.name]
	if !ok || e.node.Start != id.start {
		return s
	}
	return s.with(id.name, e)
}
