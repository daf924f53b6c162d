package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

// Sites keeps the newest forwarding configuration in force, and the promises
// that it makes.
type Sites struct{}

// Step returns the state after e.
func (c Sites) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.SiteFound:
		return c.found(s, e, now)
	case state.Pulse:
		from, ok := s.Members.Find(e.Name)
		if !ok || e.Relay.Site <= s.Routing.Site.Version() {
			return s, nil
		}
		return s, []state.Action{
			state.FetchSite{
				From: from.Node,
			},
		}
	}
	return s, nil
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
	s = s.WithRouting(r).WithConfig(s.Config.WithDocument(e.Site.Policies()))
	// Peers are told at once: some of them may not reach the store.
	return s, append(pulses(s), note)
}
