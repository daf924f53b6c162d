package ctrl

import (
	"errors"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// softwareTurn is the time between the instances, by rank, that write the row of the
	// listed versions, and maxSoftwareTurn limits the time of the last one. All find a new
	// version at the same moment, and the first one tells the others.
	softwareTurn    = 30 * time.Millisecond
	maxSoftwareTurn = time.Second
	// softwareRetry is the time between two reads of the row if the store does not answer.
	softwareRetry = time.Second
	// softwareTTL is for how long a version stays listed that no endpoint has any more:
	// longer than the callers of its streams may come back.
	softwareTTL = 2 * time.Minute
	// absenceGap is the time between two ticks after which the absence of a version counts
	// anew: its endpoints may have come and gone while the instance was paused or did not
	// reach the store.
	absenceGap = 2 * time.Second
)

// Software lists the versions of the engines' software that may have begun streams. The list
// is a row of the store, since it must outlive the instances: after all of them have been
// killed, it alone tells that the engines of another version have left meanwhile. Engines
// whose version is not listed yet begin no streams that can be resumed.
type Software struct{}

// Step implements Controller.
func (c Software) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return c.sync(s, now)
	case state.StoreStatus:
		if !s.Routing.Software.Found {
			// Streams wait for the list at an instance that has just started.
			return c.sync(s, now)
		}
	case state.Heartbeat:
		return c.handleHeartbeat(s, e), nil
	case state.SoftwareSynced:
		return c.handleRow(s, e, now)
	}
	return s, nil
}

// sync reads the row if it is not known, and writes it if it lacks a version or has one too
// many and the turn of this instance has come.
func (c Software) sync(s state.State, now time.Time) (state.State, []state.Action) {
	if !s.Routing.On || !s.Routing.StoreReachable {
		return s, nil
	}
	w := s.Routing.Software
	if !w.Known || w.Row.Era != s.Routing.StoreEra && w.Row.Version > 0 {
		s.Routing.Software = w.WithoutRow()
		if now.Before(w.RetryAt) {
			return s, nil
		}
		return s, []state.Action{state.SyncSoftware{}}
	}
	if s.Routing.RegistryVersion == 0 {
		return s, nil
	}
	present := presentSoftware(s)
	w = withAbsent(w, present, now)
	wanted := wantedSoftware(w, present, s.Routing.RegistryConfirmed)
	due := !wanted.Equal(w.Listed)
	switch {
	case !due:
		w = w.WithDue(time.Time{})
	case w.DueSince.IsZero():
		w = w.WithDue(now)
	}
	s.Routing.Software = w
	if !due || now.Sub(w.DueSince) < softwareTurnOf(s) {
		return s, nil
	}
	s.Routing.Software = w.WithDue(now)
	data, err := wanted.Marshal()
	if err != nil {
		return s, []state.Action{softwareNote("unwritten", err.Error())}
	}
	return s, []state.Action{
		state.SyncSoftware{
			Put: true,
			Row: store.Row{
				Key:     state.SoftwareRow,
				Value:   data,
				Version: w.Row.Version,
				Era:     s.Routing.StoreEra,
			},
		},
	}
}

// softwareTurnOf returns after how long this instance writes a row that is due.
func softwareTurnOf(s state.State) time.Duration {
	rank, _ := s.Routing.Ranks.Of(state.RegistryTable)
	return min(softwareTurn*time.Duration(rank), maxSoftwareTurn)
}

// presentSoftware returns the versions of the known endpoints, departing ones included.
func presentSoftware(s state.State) origin.Listed {
	var present origin.Listed
	for _, r := range [...]member.Role{member.Engine, member.Service} {
		for _, e := range s.Members.Nodes(r) {
			for _, service := range e.Node.Models {
				present = present.With(service, e.Node.Software)
			}
		}
	}
	return present
}

// wantedSoftware returns what is to be listed: what is, without the versions that have been
// absent for long in a registry that was complete at confirmed, and those that are present.
func wantedSoftware(w state.Software, present origin.Listed, confirmed time.Time) origin.Listed {
	wanted := w.Listed
	for v, since := range w.Absent {
		if confirmed.Sub(since) >= softwareTTL {
			wanted = wanted.Without(v.Service, v.Version)
		}
	}
	return wanted.WithAll(present)
}

// withAbsent returns w with the listed versions that are not present.
func withAbsent(w state.Software, present origin.Listed, now time.Time) state.Software {
	counted := now.Sub(w.CountedAt) <= absenceGap
	var absent map[state.ServiceSoftware]time.Time
	w.Listed.Each(func(service, version string) {
		if present.Contains(service, version) {
			return
		}
		v := state.ServiceSoftware{
			Service: service,
			Version: version,
		}
		if absent == nil {
			absent = map[state.ServiceSoftware]time.Time{}
		}
		since, known := w.Absent[v]
		if !known || !counted {
			since = now
		}
		absent[v] = since
	})
	w.Absent, w.CountedAt = absent, now
	return w
}

// handleHeartbeat takes over a newer row of a peer.
func (Software) handleHeartbeat(s state.State, e state.Heartbeat) state.State {
	w, row := s.Routing.Software, e.Relay.Software
	known := w.Known && w.Row.Era == s.Routing.StoreEra
	if row.Version == 0 || !s.Routing.SameEra(e.Relay.Era) || known && row.Version <= w.Row.Version {
		return s
	}
	listed, err := origin.Unmarshal(row.Value)
	if err != nil {
		return s
	}
	row.Era = s.Routing.StoreEra
	s.Routing.Software = w.WithRow(listed, row)
	return s
}

// handleRow takes over the result of a read or a write. What a write lists is news for all:
// engines with these versions get no streams from instances that do not know.
func (Software) handleRow(s state.State, e state.SoftwareSynced, now time.Time) (state.State, []state.Action) {
	w := s.Routing.Software
	switch {
	case errors.Is(e.Err, store.ErrConflict) || errors.Is(e.Err, store.ErrLost):
		s.Routing.Software = w.WithoutRow()
		return s, nil
	case e.Err != nil && !e.Put:
		s.Routing.Software = w.WithRetryAt(now.Add(softwareRetry))
		return s, nil
	case e.Err != nil || e.Row.Era != s.Routing.StoreEra && e.Row.Version > 0:
		return s, nil
	}
	listed := origin.Listed{}
	var actions []state.Action
	if e.Row.Version > 0 {
		read, err := origin.Unmarshal(e.Row.Value)
		if err != nil {
			actions = append(actions, softwareNote("unread", err.Error()))
		}
		listed = read
	}
	if s.Routing.StoreEraSince.After(time.Time{}) && w.Row.Era != e.Row.Era {
		// An older copy of the store may lack versions that were listed.
		listed = listed.WithAll(w.Listed)
	}
	s.Routing.Software = w.WithRow(listed, e.Row)
	if !e.Put {
		return s, actions
	}
	s = s.WithNews(now, repeatDuration)
	return s, append(append(actions, heartbeatsTo(s, s.Others())...), softwareNote("software", string(e.Row.Value)))
}

// softwareNote returns a log line about the row of the listed versions.
func softwareNote(event, detail string) state.Note {
	return state.Note{
		Event: event,
		Pairs: []string{"table", "software", "detail", detail},
	}
}
