package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

const (
	// fetchDelay is how long the store has to deliver a configuration that peers
	// already have, and the minimum time between two fetches from peers. A
	// configuration may have 100 KB and links 10 Mbit/s; the platform allows two
	// seconds in all.
	fetchDelay = 400 * time.Millisecond
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
		newer.Since = now
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
		return s, append(actions, c.fetchAction(s)...)
	}
	s, overdue := c.fetchOverdue(s, now)
	return s, append(actions, overdue...)
}

// fetchOverdue fetches a newer configuration from a peer if the store did not
// deliver it in time.
func (c Sites) fetchOverdue(s state.State, now time.Time) (state.State, []state.Action) {
	newer := s.Routing.NewerSite
	if newer.Version <= s.Routing.Site.Version() || now.Sub(newer.Since) < fetchDelay {
		return s, nil
	}
	s.Routing.NewerSite.Since = now
	return s, c.fetchAction(s)
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
