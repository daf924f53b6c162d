package ctrl

import (
	"reflect"
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// entryTTL is for how long heartbeats include a registry entry that this instance
	// read: longer than changes are repeated. maxRecentEntries bounds their number, and
	// with it a heartbeat, to some 20 KB; what goes beyond is read in the store.
	entryTTL         = 2 * time.Second
	maxRecentEntries = 64
)

// withRegistryNews returns s, the state after a read of the registry, with the entries
// that peers need, and reports whether the read shows anything that no peer sent to
// this instance before. All instances read each change at some time: if each of them
// sent it to all others, a change would cost the square of their number.
func withRegistryNews(before, s state.State, e state.RegistrySnapshot, removed []string, now time.Time) (state.State, bool) {
	if before.Routing.RegistryVersion == 0 {
		// The first read after a start shows what all others know.
		return s, false
	}
	news := false
	for _, name := range removed {
		old, known := before.Members.Find(name)
		_, departed := s.Routing.Departed[name]
		_, knownBefore := before.Routing.Departed[name]
		fromPeer := known && old.Report.Departing
		news = news || departed && !knownBefore && !fromPeer
	}
	recent := s.Routing.RecentEntries
	for _, entry := range e.Put {
		old, known := before.Members.Find(entry.Node.Name)
		switch {
		case entry.Report.Departing:
			news = news || !known || !old.Report.Departing
		case !known || old.Report.Departing || !reflect.DeepEqual(old.Node, entry.Node):
			news = true
			recent = append(slices.Clip(recent), state.RecentEntry{
				Entry:   entry,
				Version: e.Version,
				ReadAt:  now,
			})
		}
	}
	s.Routing.RecentEntries = recent[max(len(recent)-maxRecentEntries, 0):]
	return s, news
}

// forgetRecentEntries returns s without the entries that were read too long ago.
func forgetRecentEntries(s state.State, now time.Time) state.State {
	recent := s.Routing.RecentEntries
	for len(recent) > 0 && now.Sub(recent[0].ReadAt) > entryTTL {
		recent = recent[1:]
	}
	s.Routing.RecentEntries = recent
	return s
}

// handleRecentEntries applies the registry entries that a peer read. Those that are
// older than what this instance knows of the endpoint are ignored. The known version of
// the registry stays, since the peer sends only some of the changes up to its own.
func (c Registry) handleRecentEntries(s state.State, e state.Heartbeat, now time.Time) (state.State, []state.Action) {
	if !s.Routing.SameEra(e.Relay.Era) {
		return s, nil
	}
	var actions []state.Action
	for _, recent := range e.Relay.Entries {
		name := recent.Entry.Node.Name
		old, known := s.Members.Find(name)
		switch {
		case s.Routing.RegistryVersion == 0, recent.Version <= s.Routing.ReadyVersions[name], recent.Version < s.Routing.DepartureVersions[name]:
			continue
		case known && !old.Report.Departing && reflect.DeepEqual(old.Node, recent.Entry.Node):
			continue
		case broughtBack(s, recent.Entry, now):
			continue
		}
		one, more := c.withoutInstances(s, state.RegistrySnapshot{
			Put:     []member.RegistryEntry{recent.Entry},
			Version: recent.Version,
			Source:  e.Name,
		})
		actions = append(actions, more...)
		if len(one.Put) == 0 {
			continue
		}
		nodes := c.knownEndpoints(s)
		nodes[name] = recent.Entry.Node
		s = c.clearDeparture(s, one.Put)
		s = c.setNodes(s, nodes)
		next, changes := c.applyEntries(s, one, nil)
		s = next
		actions = append(actions, changes...)
	}
	return s, actions
}
