package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// announceTime is for how long heartbeats include the departure that an endpoint
// announced. Until then the registry lists it as departing, or the endpoint has told
// the other instances itself.
const announceTime = 1 * time.Minute

// Signals tracks what endpoints say in their answers about new work: that they are
// departing, which peers are told, or that they want no calls of this instance for a
// while, which concerns no other instance.
type Signals struct{}

// Step implements Controller.
func (c Signals) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return c.expire(s, now)
	case state.Signaled:
		return c.handleSignal(s, e, now)
	case state.Heartbeat:
		return c.handleHeartbeat(s, e, now)
	case state.RegistrySnapshot:
		return s, c.noteReplaced(s, e)
	}
	return s, nil
}

// expire forgets past signals and logs the endpoints whose quiet has ended.
func (Signals) expire(s state.State, now time.Time) (state.State, []state.Action) {
	members, ended := s.Members.WithoutPastSignals(now)
	var actions []state.Action
	for _, name := range ended {
		actions = append(actions, signalNote(name, "back", "reason", "the time for which it wanted no calls is over"))
	}
	return s.WithMembers(members), actions
}

// handleSignal applies what an endpoint said. It logs only what changes, since each
// answer may repeat it.
func (c Signals) handleSignal(s state.State, e state.Signaled, now time.Time) (state.State, []state.Action) {
	before, _ := s.Members.Find(e.Endpoint)
	var actions []state.Action
	if !e.QuietUntil.IsZero() {
		s = s.WithMembers(s.Members.WithQuiet(e.Endpoint, e.Start, e.QuietUntil))
		if !before.QuietUntil.After(now) && isQuiet(s, e.Endpoint, now) {
			actions = append(actions, signalNote(e.Endpoint, "quiet",
				"for", e.QuietUntil.Sub(now).Round(time.Millisecond).String(), "reason", e.Answer))
		}
	}
	if !e.Departing {
		return s, actions
	}
	s, noted := c.announce(s, member.Announcement{
		Endpoint: e.Endpoint,
		Start:    e.Start,
		Since:    now,
	}, s.Self.Name, e.Answer)
	if len(noted) > 0 {
		actions = append(append(actions, noted...), broadcastHeartbeats(s)...)
	}
	return s, actions
}

// announce records the departure that an endpoint announced. The result has a log line
// if the endpoint is in use.
func (Signals) announce(s state.State, a member.Announcement, source, answer string) (state.State, []state.Action) {
	before, _ := s.Members.Find(a.Endpoint)
	s = s.WithMembers(s.Members.WithDeparture(a))
	after, _ := s.Members.Find(a.Endpoint)
	if before.Announced || !after.Announced {
		return s, nil
	}
	return s, []state.Action{
		signalNote(a.Endpoint, "leaving", "source", source, "reason", answer),
	}
}

// handleHeartbeat applies the departures that a peer reports. They name incarnations,
// so that it doesn't matter how old the peer's registry is.
func (c Signals) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	for _, a := range e.Relay.Announcements {
		if a.Age > announceTime {
			continue
		}
		next, noted := c.announce(s, member.Announcement{
			Endpoint: a.Endpoint,
			Start:    a.Start,
			Since:    now.Add(-a.Age),
		}, e.Name, "the peer knows that the endpoint announced its departure")
		s = next
		actions = append(actions, noted...)
	}
	return s, actions
}

// noteReplaced logs the endpoints whose signals end since a new incarnation of them has
// registered.
func (Signals) noteReplaced(s state.State, e state.RegistrySnapshot) []state.Action {
	if outdated(s, e) {
		return nil
	}
	var actions []state.Action
	for _, entry := range e.Put {
		old, ok := s.Members.Find(entry.Node.Name)
		if ok && old.Node.Start != entry.Node.Start && (old.Announced || old.QuietUntil.After(s.At)) {
			actions = append(actions, signalNote(entry.Node.Name, "back", "reason", "a new incarnation has registered"))
		}
	}
	return actions
}

// isQuiet reports whether the endpoint name wants no calls of this instance at now.
func isQuiet(s state.State, name string, now time.Time) bool {
	e, _ := s.Members.Find(name)
	return e.QuietUntil.After(now)
}

// recentAnnouncements returns the departures that peers are told.
func recentAnnouncements(s state.State) []state.Announcement {
	var out []state.Announcement
	for _, a := range s.Members.Announcements(s.At.Add(-announceTime)) {
		out = append(out, state.Announcement{
			Endpoint: a.Endpoint,
			Start:    a.Start,
			Age:      s.At.Sub(a.Since),
		})
	}
	return out
}

// signalNote returns the log line for the beginning or the end of what an endpoint
// said.
func signalNote(name, status string, pairs ...string) state.Note {
	return state.Note{
		Event: "endpoint",
		Pairs: append([]string{"endpoint", name, "state", status}, pairs...),
	}
}
