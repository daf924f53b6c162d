package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

const (
	// fetchDelay is how long a newer configuration may take to arrive before it is
	// requested again. It doubles with each request: a configuration may have several
	// 100 KB and links 10 Mbit/s, and transfers that are repeated early delay each other.
	fetchDelay = 400 * time.Millisecond
	// lateSiteTTL is for how long after a late configuration a large fleet reads newer ones
	// from the store without asking peers first.
	lateSiteTTL = time.Minute
	// maxFetchDoublings bounds the doublings of fetchDelay.
	maxFetchDoublings = 2
	// storePeers is the number of peers up to which all instances follow the
	// operators' table. In a larger fleet most of them get configurations from peers,
	// and fetch them at once.
	storePeers = 5
	// storeSource is the source of what was read from the store.
	storeSource = "store"
)

// Sites tracks the newest forwarding configuration and makes it and its policies
// effective.
type Sites struct{}

// Step implements Controller.
func (c Sites) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.SiteFound:
		return c.handleSite(s, e, now)
	case state.Heartbeat:
		return c.handleHeartbeat(s, e, now)
	case state.Tick:
		return c.fetchOverdue(s, now)
	}
	return s, nil
}

// handleHeartbeat records that a peer has a newer configuration.
func (c Sites) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) (state.State, []state.Action) {
	from, ok := s.Members.Find(e.Name)
	if !ok || e.Relay.Site <= s.Routing.Site.Version() {
		return s, nil
	}
	newer := s.Routing.NewerSite
	first := newer.Version <= s.Routing.Site.Version()
	if first {
		newer.Since, newer.Repeats = now, 0
	}
	if e.Relay.Site > newer.Version {
		newer.Confirmed = time.Time{}
	}
	if e.Relay.Site >= newer.Version {
		newer.Version = e.Relay.Site
		newer.From = from.Node
		newer.Confirmed = later(newer.Confirmed, confirmedAt(e, e.Relay.SiteConfirmed, now))
	}
	s.Routing.NewerSite = newer
	var actions []state.Action
	if first {
		actions = append(actions, state.Note{
			Event: "newer",
			Pairs: []string{
				"version", strconv.FormatInt(newer.Version, 10),
				"before", strconv.FormatInt(s.Routing.Site.Version(), 10),
				"source", e.Name,
			},
		})
	}
	if first && (!s.Routing.StoreReachable || len(s.Routing.Peers) > storePeers) {
		return s, append(actions, c.firstRequest(s, now)...)
	}
	s, overdue := c.fetchOverdue(s, now)
	return s, append(actions, overdue...)
}

// firstRequest requests a newer configuration from the peer that has it or, if the last ones
// did not arrive in time, from the store. A peer's link carries it to many others, too.
func (c Sites) firstRequest(s state.State, now time.Time) []state.Action {
	late := s.Routing.SiteLateAt
	if s.Routing.StoreReachable && !late.IsZero() && now.Sub(late) < lateSiteTTL {
		return readOperators()
	}
	return c.fetchAction(s)
}

// fetchOverdue requests a newer configuration again that has not arrived in time. An
// instance of a large fleet that the store answers reads it there, and asks a peer only if
// the store does not deliver it either.
func (c Sites) fetchOverdue(s state.State, now time.Time) (state.State, []state.Action) {
	newer := s.Routing.NewerSite
	delay := fetchDelay << min(newer.Repeats, maxFetchDoublings)
	if newer.Version <= s.Routing.Site.Version() || now.Sub(newer.Since) < delay {
		return s, nil
	}
	s.Routing.SiteLateAt = now
	s.Routing.NewerSite.Since = now
	s.Routing.NewerSite.Repeats++
	if !s.Routing.StoreReachable || len(s.Routing.Peers) <= storePeers {
		return s, c.fetchAction(s)
	}
	actions := readOperators()
	if newer.Repeats > 0 {
		actions = append(actions, c.fetchAction(s)...)
	}
	return s, actions
}

// readOperators has the operators' table read at once.
func readOperators() []state.Action {
	return []state.Action{
		state.EndPauses{
			Operators: true,
		},
	}
}

// fetchAction requests the newest known configuration from the peer that has it.
func (Sites) fetchAction(s state.State) []state.Action {
	return []state.Action{
		state.FetchSite{
			From: s.Routing.NewerSite.From,
		},
	}
}

// handleSite makes a newer configuration effective and sends its version to the
// peers.
func (Sites) handleSite(s state.State, e state.SiteFound, now time.Time) (state.State, []state.Action) {
	r := s.Routing
	if e.Site.Version() <= r.Site.Version() {
		return s, nil
	}
	invar.Check(e.Site.Version() > r.Site.Version(), invar.NoRevert, "forwarding configuration: version %d replaces version %d", e.Site.Version(), r.Site.Version())
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
	switch {
	case e.Source == storeSource:
		r.SiteConfirmed = now
	case r.NewerSite.Version == e.Site.Version():
		r.SiteConfirmed = later(r.SiteConfirmed, r.NewerSite.Confirmed)
	}
	s = s.WithRouting(r).WithConfig(s.Config.WithDocument(e.Site.Policies()))
	// Notify the peers at once, since some of them may not reach the store.
	return s, append(broadcastHeartbeats(s), note)
}
