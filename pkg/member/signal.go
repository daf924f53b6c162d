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
	// quietUntil is the time until which the endpoint wants no calls of this instance;
	// zero if it asked for no quiet.
	quietUntil time.Time
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

// Quiet returns the time until which the incarnation start of the node name wants no
// calls, or the zero time.
func (s Set) Quiet(name, start string) time.Time {
	return s.signals[incarnation{
		name:  name,
		start: start,
	}].quietUntil
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

// WithQuiet returns a copy of s after an incarnation of an endpoint said that it wants
// no calls until the given time. The latest time counts.
func (s Set) WithQuiet(name, start string, until time.Time) Set {
	id := incarnation{
		name:  name,
		start: start,
	}
	v := s.signals[id]
	if !until.After(v.quietUntil) {
		return s
	}
	v.quietUntil = until
	return s.withSignal(id, v)
}

// WithoutPastSignals returns a copy of s without what no longer matters at now, and the
// sorted names of the endpoints whose quiet has ended.
func (s Set) WithoutPastSignals(now time.Time) (Set, []string) {
	var ended []string
	for id, v := range s.signals {
		next := v
		current, listed := s.entries[id.name]
		listed = listed && current.node.Start == id.start
		if !v.quietUntil.IsZero() && !v.quietUntil.After(now) {
			next.quietUntil = time.Time{}
			if listed {
				ended = append(ended, id.name)
			}
		}
		if !listed && (id.start == "" || now.Sub(v.departingSince) > departureMemory) {
			// Without a start, a new incarnation can only be told by its new entry.
			next.departingSince = time.Time{}
		}
		if next != v {
			s = s.withSignal(id, next)
		}
	}
	slices.Sort(ended)
	return s, ended
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

// QuietUntil returns the earliest time at which an endpoint of model wants calls again,
// if all endpoints that accept new work want none at now.
func (s Set) QuietUntil(model string, now time.Time) (time.Time, bool) {
	var earliest time.Time
	for i := range s.pools[model] {
		until := s.pools[model][i].QuietUntil
		if !until.After(now) {
			return time.Time{}, false
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
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
