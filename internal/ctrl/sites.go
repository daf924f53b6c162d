package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

// siteGrace is how long the store has to bring a configuration that peers have,
// and the time between two fetches from peers. A configuration may have 100 KB,
// and links 10 Mbit/s; the platform grants two seconds in all.
const siteGrace = 400 * time.Millisecond

// Sites keeps the newest forwarding configuration in force, and the promises
// that it makes.
type Sites struct{}

// Step returns the state after e.
func (c Sites) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.SiteFound:
		return c.found(s, e, now)
	case state.SiteHeard:
		return c.confirmed(s, now), nil
	case state.Pulse:
		if e.Relay.Follows && e.Relay.Site == s.Routing.Site.Version() {
			s = c.confirmed(s, now)
		}
		return c.told(s, e, now)
	case state.Tick:
		return c.ask(s, now)
	}
	return s, nil
}

// confirmed notes that the configuration in force is the newest one at now.
func (Sites) confirmed(s state.State, now time.Time) state.State {
	if s.Routing.Site.Version() > 0 {
		s.Routing.SiteHeard = now
	}
	return s
}

// told notes that a peer has a newer configuration.
func (c Sites) told(s state.State, e state.Pulse, now time.Time) (state.State, []state.Action) {
	from, ok := s.Members.Find(e.Name)
	if !ok || e.Relay.Site <= s.Routing.Site.Version() {
		return s, nil
	}
	ahead := s.Routing.Ahead
	first := ahead.Version <= s.Routing.Site.Version()
	if first {
		ahead.Since = now
	}
	if e.Relay.Site >= ahead.Version {
		ahead.Version = e.Relay.Site
		ahead.From = from.Node
	}
	s.Routing.Ahead = ahead
	if first && !s.Routing.Follows {
		return s, c.fetch(s)
	}
	return c.ask(s, now)
}

// ask fetches a newer configuration from a peer, where the store did not bring
// it meanwhile.
func (c Sites) ask(s state.State, now time.Time) (state.State, []state.Action) {
	ahead := s.Routing.Ahead
	if ahead.Version <= s.Routing.Site.Version() || now.Sub(ahead.Since) < siteGrace {
		return s, nil
	}
	s.Routing.Ahead.Since = now
	return s, c.fetch(s)
}

func (Sites) fetch(s state.State) []state.Action {
	return []state.Action{
		state.FetchSite{
			From: s.Routing.Ahead.From,
		},
	}
}

func (Sites) found(s state.State, e state.SiteFound, now time.Time) (state.State, []state.Action) {
	r := s.Routing
	if e.Site.Version() <= r.Site.Version() {
		return s, nil
	}
	invar.That(e.Site.Version() > r.Site.Version(), invar.NoRevert, "site %d after %d", e.Site.Version(), r.Site.Version())
	note := state.Note{
		Event: "site",
		Pairs: []string{
			"version", strconv.FormatInt(e.Site.Version(), 10),
			"before", strconv.FormatInt(r.Site.Version(), 10),
			"source", e.Source,
		},
	}
	if r.Site.Version() == 0 {
		r.Began = now
	}
	r.Site = e.Site
	r.SiteHeard = now
	s = s.WithRouting(r).WithConfig(s.Config.WithDocument(e.Site.Policies()))
	// Peers are told at once: some of them may not reach the store.
	return s, append(pulses(s), note)
}
