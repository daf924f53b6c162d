package ctrl

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// returnTime is how long endpoints have to enter themselves again after the
	// store was away. The platform grants two seconds; the rest is for reading.
	returnTime = 2500 * time.Millisecond
	// mostGone is the share of all entries that vanishes at once only where the
	// store was away unnoticed and forgot them. They may return; fewer count as
	// gone, since they may be leaving without a word.
	mostGone = 0.5
	// leftLife is how long peers are told of an entry that was removed: longer
	// than the longest pause between two reads of the registry.
	leftLife = 10 * time.Second
	// repeatTime is for how long news are repeated at each tick.
	repeatTime = 500 * time.Millisecond
	// mateLife is how long an instance that is not heard is still told news.
	mateLife = 30 * time.Second
)

// Roster looks after the endpoints of the registry and the other instances.
type Roster struct{}

// Step returns the state after e.
func (c Roster) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s, actions := c.expired(s, now)
		s, told := c.repeat(s, now)
		return s, append(actions, told...)
	case state.Roster:
		return c.read(s, e, now)
	case state.MatesFound:
		return c.met(s, e.Mates, now), nil
	case state.Pulse:
		return c.heard(s, e, now)
	case state.StoreHeard:
		return c.followed(s, e, now)
	case state.Called:
		return called(s, e, now)
	}
	return s, nil
}

// read takes what the registry said.
func (c Roster) read(s state.State, e state.Roster, now time.Time) (state.State, []state.Action) {
	if e.Version < s.Routing.Listing {
		return s, nil
	}
	r := s.Routing
	r.Listing = e.Version
	r.ListingHeard = now
	s = s.WithRouting(r)
	gone := e.Gone
	if e.Whole {
		gone = c.missing(s, e.Put)
	}
	var actions []state.Action
	nodes := c.endpoints(s)
	forgotten := float64(len(gone)) > mostGone*float64(len(nodes))
	for _, l := range e.Put {
		nodes[l.Node.Name] = l.Node
	}
	for _, name := range gone {
		if _, ok := nodes[name]; !ok {
			continue
		}
		if r.Follows && now.Sub(r.Since) >= returnTime && !forgotten {
			delete(nodes, name)
			s = c.left(s, name, now)
			actions = append(actions, endpointNote(name, "gone", e))
			continue
		}
		s = c.going(s, name, now.Add(returnTime))
	}
	s = c.stays(s, e.Put)
	s = c.listed(s, nodes)
	s = c.noted(s, e, gone)
	before := s.Members
	for _, l := range e.Put {
		s = s.WithMembers(s.Members.WithListing(l))
		for model, version := range l.Weights {
			s.Routing.Weights = s.Routing.Weights.WithHeld(l.Node.Name, model, version)
		}
		old, known := before.Find(l.Node.Name)
		if l.Report.Leaving && (!known || !old.Report.Leaving) {
			actions = append(actions, endpointNote(l.Node.Name, "leaving", e))
		}
	}
	if len(actions) > 0 {
		// Other instances of a large fleet read the registry seldom. A pulse that
		// is under way may not tell them yet.
		s.Routing.RepeatUntil = now.Add(repeatTime)
		actions = append(actions, pulsesTo(s, s.Others())...)
	}
	return s, actions
}

func endpointNote(name, what string, e state.Roster) state.Note {
	return state.Note{
		Event: "endpoint",
		Pairs: []string{
			"endpoint", name,
			"state", what,
			"listing", strconv.FormatInt(e.Version, 10),
			"source", e.Source,
		},
	}
}

// noted keeps which version of the registry says that endpoints are ready, leaving
// or gone.
func (Roster) noted(s state.State, e state.Roster, gone []string) state.State {
	if len(e.Put)+len(gone) == 0 {
		return s
	}
	entered, leavers := maps.Clone(s.Routing.Entered), maps.Clone(s.Routing.Leavers)
	if entered == nil {
		entered = map[string]int64{}
	}
	if leavers == nil {
		leavers = map[string]int64{}
	}
	for _, name := range gone {
		leavers[name] = e.Version
		delete(entered, name)
	}
	for _, l := range e.Put {
		if l.Report.Leaving {
			leavers[l.Node.Name] = e.Version
			continue
		}
		entered[l.Node.Name] = e.Version
		delete(leavers, l.Node.Name)
	}
	maps.DeleteFunc(leavers, func(name string, _ int64) bool {
		_, known := s.Members.Find(name)
		return !known && s.Routing.Left[name].IsZero()
	})
	s.Routing.Entered, s.Routing.Leavers = entered, leavers
	return s
}

// left notes that the entry of name was removed at now.
func (Roster) left(s state.State, name string, now time.Time) state.State {
	next := maps.Clone(s.Routing.Left)
	if next == nil {
		next = map[string]time.Time{}
	}
	next[name] = now
	s.Routing.Left = next
	return s
}

// repeat tells all others recent news once more, and forgets what they have heard.
func (Roster) repeat(s state.State, now time.Time) (state.State, []state.Action) {
	old := func(_ string, at time.Time) bool { return now.Sub(at) > leftLife }
	for name, at := range s.Routing.Left {
		if old(name, at) {
			s.Routing.Left = maps.Clone(s.Routing.Left)
			maps.DeleteFunc(s.Routing.Left, old)
			break
		}
	}
	if now.After(s.Routing.RepeatUntil) {
		return s, nil
	}
	return s, pulsesTo(s, s.Others())
}

// endpoints returns the endpoints that are known, by name.
func (Roster) endpoints(s state.State) map[string]member.Node {
	nodes := map[string]member.Node{}
	for _, r := range [...]member.Role{member.Engine, member.Service} {
		for _, e := range s.Members.Nodes(r) {
			nodes[e.Node.Name] = e.Node
		}
	}
	return nodes
}

// missing returns the known endpoints that put lacks.
func (c Roster) missing(s state.State, put []member.Listing) []string {
	nodes := c.endpoints(s)
	for _, l := range put {
		delete(nodes, l.Node.Name)
	}
	return slices.Sorted(maps.Keys(nodes))
}

// listed has the state know exactly these endpoints and all mates.
func (Roster) listed(s state.State, endpoints map[string]member.Node) state.State {
	same := s.Members.Listed() && len(endpoints) == len(s.Members.Nodes(member.Engine))+len(s.Members.Nodes(member.Service))
	for name, n := range endpoints {
		old, ok := s.Members.Find(name)
		same = same && ok && reflect.DeepEqual(old.Node, n)
	}
	same = same && len(s.Members.Nodes(member.Instance)) == len(s.Routing.Mates)
	for _, m := range s.Routing.Mates {
		old, ok := s.Members.Find(m.Name)
		same = same && ok && old.Node.Addr == m.Addr
	}
	if same {
		return s
	}
	nodes := slices.AppendSeq(slices.Clone(s.Routing.Mates), maps.Values(endpoints))
	s = s.WithMembers(s.Members.WithList(nodes))
	s.Routing.Weights = s.Routing.Weights.WithOnly(func(engine string) bool {
		_, ok := endpoints[engine]
		return ok
	})
	return s
}

// going has name count as gone at the given time unless it enters itself again.
func (Roster) going(s state.State, name string, at time.Time) state.State {
	if _, ok := s.Routing.Going[name]; ok {
		return s
	}
	next := maps.Clone(s.Routing.Going)
	if next == nil {
		next = map[string]time.Time{}
	}
	next[name] = at
	s.Routing.Going = next
	return s
}

// stays forgets that endpoints which are entered were going or had left.
func (Roster) stays(s state.State, put []member.Listing) state.State {
	s.Routing.Going = without(s.Routing.Going, put)
	s.Routing.Left = without(s.Routing.Left, put)
	return s
}

// without returns times without the entries of put.
func without(times map[string]time.Time, put []member.Listing) map[string]time.Time {
	listed := func(name string, _ time.Time) bool {
		return slices.ContainsFunc(put, func(l member.Listing) bool { return l.Node.Name == name })
	}
	for name, at := range times {
		if listed(name, at) {
			times = maps.Clone(times)
			maps.DeleteFunc(times, listed)
			return times
		}
	}
	return times
}

// expired drops endpoints that did not return and instances that are not heard.
func (c Roster) expired(s state.State, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	for _, name := range slices.Sorted(maps.Keys(s.Routing.Going)) {
		if !s.Routing.Follows || now.Before(s.Routing.Going[name]) || now.Sub(s.Routing.Since) < returnTime {
			continue
		}
		nodes := c.endpoints(s)
		delete(nodes, name)
		s = c.stays(s, []member.Listing{
			{
				Node: member.Node{
					Name: name,
				},
			},
		})
		s = c.listed(s, nodes)
		actions = append(actions, state.Note{
			Event: "endpoint",
			Pairs: []string{"endpoint", name, "state", "gone", "reason", "did not return with the store"},
		})
	}
	alive := func(m member.Node) bool {
		heard := s.Peer(m.Name).Heard
		return heard.IsZero() || now.Sub(heard) < mateLife
	}
	if i := slices.IndexFunc(s.Routing.Mates, func(m member.Node) bool { return !alive(m) }); i >= 0 {
		s.Routing.Mates = slices.Delete(slices.Clone(s.Routing.Mates), i, i+1)
		s = c.listed(s, c.endpoints(s))
	}
	return s, actions
}

// met adds instances that were not known and takes new addresses.
func (c Roster) met(s state.State, mates []member.Node, now time.Time) state.State {
	next := slices.Clone(s.Routing.Mates)
	changed := false
	for _, m := range mates {
		i := slices.IndexFunc(next, func(o member.Node) bool { return o.Name == m.Name })
		switch {
		case m.Name == s.Self.Name || m.Addr == "" || m.Addr == s.Self.Addr:
		case i < 0:
			next = append(next, m)
			changed = true
			s = s.WithPeer(m.Name, state.Peer{
				Heard: now,
			})
		case next[i].Addr != m.Addr && now.Sub(s.Peer(m.Name).Heard) > member.Silence:
			next[i] = m
			changed = true
		}
	}
	if !changed {
		return s
	}
	slices.SortFunc(next, func(a, b member.Node) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	s.Routing.Mates = next
	return c.listed(s, c.endpoints(s))
}

// heard takes what a peer told of endpoints and of other instances.
func (c Roster) heard(s state.State, e state.Pulse, now time.Time) (state.State, []state.Action) {
	mates := e.Relay.Mates
	if e.Relay.Addr != "" && !e.Leaving {
		mates = append(slices.Clone(mates), member.Node{
			Name:   e.Name,
			Role:   member.Instance,
			Addr:   e.Relay.Addr,
			Domain: e.Relay.Domain,
		})
	}
	s = c.met(s, mates, now)
	var actions []state.Action
	for _, name := range e.Drained {
		n, ok := s.Members.Find(name)
		if !ok || n.Report.Leaving || outdated(s, e, name) {
			continue
		}
		n.Report.Leaving = true
		s = s.WithMembers(s.Members.WithListing(member.Listing{
			Node:   n.Node,
			Report: n.Report,
		}))
		s.Routing.Leavers = maps.Clone(s.Routing.Leavers)
		if s.Routing.Leavers == nil {
			s.Routing.Leavers = map[string]int64{}
		}
		s.Routing.Leavers[name] = wordOf(e, name)
		actions = append(actions, endpointNote(name, "leaving", state.Roster{
			Version: wordOf(e, name),
			Source:  e.Name,
		}))
	}
	if e.Relay.Follows && e.Relay.Listing > 0 && e.Relay.Listing <= s.Routing.Listing {
		// The peer would know of a later change.
		s.Routing.ListingHeard = now
	}
	if s.Routing.Follows || !e.Relay.Follows || e.Relay.Listing <= s.Routing.Listing {
		return s, actions
	}
	return s, append(actions, state.FetchRoster{
		From: member.Node{
			Name: e.Name,
			Addr: e.Relay.Addr,
		},
	})
}

// followed notes when the store is lost and regained.
func (Roster) followed(s state.State, e state.StoreHeard, now time.Time) (state.State, []state.Action) {
	if e.OK && s.Routing.Listing > 0 {
		s.Routing.ListingHeard = now
	}
	if s.Routing.Follows == e.OK && !s.Routing.Since.IsZero() {
		return s, nil
	}
	r := s.Routing
	first := r.Since.IsZero()
	r.Follows = e.OK
	r.Since = now
	if first && e.OK {
		// The first read after a start is whole: nothing has to return.
		r.Since = now.Add(-returnTime)
	}
	what := "regained"
	if !e.OK {
		what = "lost"
	}
	return s.WithRouting(r), []state.Action{
		state.Note{
			Event: "dependency",
			Pairs: []string{"name", "store", "state", what, "reason", e.Reason},
		},
	}
}
