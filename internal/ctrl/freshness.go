package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

const (
	// newsTimeout is how old the last confirmation of a table may be in a fleet whose
	// heartbeats go to all peers, every 0.8 s. The platform allows two seconds for a change
	// to take effect; the rest is for reading it.
	newsTimeout = 1200 * time.Millisecond
	// relayedNewsTimeout is the same for larger fleets, in which a confirmation is relayed
	// by several instances in turn.
	relayedNewsTimeout = 1500 * time.Millisecond
	// siteNewsTime and registryNewsTime are the time for each instance after which a
	// confirmation is overdue in a fleet where they take longer than relayedNewsTimeout.
	// The store holds reads of the operators' table for long, so that a few more of them
	// keep a whole fleet informed; those of the registry are short.
	siteNewsTime     = 16 * time.Millisecond
	registryNewsTime = 60 * time.Millisecond
)

// Freshness tracks when the store last confirmed that this instance has its newest rows, and
// has a table read that was not confirmed in time. Most instances learn of changes from the
// few that wait for them at the store. A confirmation tells them apart from instances that
// wait for each other's news: it counts from an answer of the store or from a read that the
// store held, whoever sent that, so that it grows old once nobody reads any more.
type Freshness struct{}

// Step implements Controller.
func (f Freshness) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return f.endPauses(s, now)
	case state.SiteConfirmed:
		return withConfirmations(s, now, time.Time{}), nil
	case state.Collected:
		return f.confirmHeld(s, e, now), nil
	case state.Heartbeat:
		return f.handleHeartbeat(s, e, now), nil
	}
	return s, nil
}

// withConfirmations returns s after the store had no newer configuration at site and no
// newer registry at registry. Zero times confirm nothing.
func withConfirmations(s state.State, site, registry time.Time) state.State {
	if s.Routing.Site.Version() > 0 {
		s.Routing.SiteConfirmed = later(s.Routing.SiteConfirmed, site)
	}
	if s.Routing.RegistryVersion > 0 {
		s.Routing.RegistryConfirmed = later(s.Routing.RegistryConfirmed, registry)
	}
	return s
}

// confirmHeld confirms the tables for whose changes this instance waits at the store.
func (Freshness) confirmHeld(s state.State, e state.Collected, now time.Time) state.State {
	if !s.Routing.StoreReachable {
		return s
	}
	var site, registry time.Time
	if e.OperatorsHeld {
		site = now
	}
	if e.RegistryHeld {
		registry = now
	}
	return withConfirmations(s, site, registry)
}

// handleHeartbeat takes over the confirmations of a peer. That of a configuration counts
// for the same version only. Heartbeats name all endpoints that departed a short while ago,
// so that they bring what the registry confirmation stands for.
func (Freshness) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) state.State {
	var site, registry time.Time
	if e.Relay.Site == s.Routing.Site.Version() {
		site = confirmedAt(e, e.Relay.SiteConfirmed, now)
	}
	if s.Routing.SameEra(e.Relay.Era) {
		registry = confirmedAt(e, e.Relay.RegistryConfirmed, now)
	}
	return withConfirmations(s, site, registry)
}

// confirmedAt returns the time of the confirmation c in the heartbeat e, or zero. The time
// that the heartbeat was under way counts as age.
func confirmedAt(e state.Heartbeat, c state.Confirmation, now time.Time) time.Time {
	switch {
	case !c.Known:
		return time.Time{}
	case !e.Sent.IsZero():
		return e.Sent.Add(-c.Age)
	}
	return now.Add(-c.Age)
}

// endPauses has the tables read whose confirmations are overdue. An instance that the store
// does not answer reads them already.
func (Freshness) endPauses(s state.State, now time.Time) (state.State, []state.Action) {
	r := s.Routing
	instances := time.Duration(len(r.Peers) + 1)
	overdue := func(at time.Time, each time.Duration) bool {
		return r.On && r.StoreReachable && !at.IsZero() && now.Sub(at) > newsTimeoutOf(len(r.Peers), instances*each)
	}
	site, registry := overdue(r.SiteConfirmed, siteNewsTime), overdue(r.RegistryConfirmed, registryNewsTime)
	var actions []state.Action
	if site && !r.SiteOverdue {
		actions = append(actions, overdueNote("operators", now.Sub(r.SiteConfirmed)))
	}
	if registry && !r.RegistryOverdue {
		actions = append(actions, overdueNote("registry", now.Sub(r.RegistryConfirmed)))
	}
	s.Routing.SiteOverdue, s.Routing.RegistryOverdue = site, registry
	if site || registry {
		actions = append(actions, state.EndPauses{
			Operators: site,
			Registry:  registry,
		})
	}
	return s, actions
}

// newsTimeoutOf returns after how long a confirmation is overdue at an instance with the
// given number of peers, where relaying one to all instances takes long.
func newsTimeoutOf(peers int, long time.Duration) time.Duration {
	if peers <= fullMeshPeers {
		return newsTimeout
	}
	return max(relayedNewsTimeout, long)
}

// overdueNote returns the log line for a table whose confirmation is overdue.
func overdueNote(table string, age time.Duration) state.Note {
	return state.Note{
		Event: "overdue",
		Pairs: []string{"table", table, "age", strconv.FormatInt(age.Milliseconds(), 10) + "ms"},
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
