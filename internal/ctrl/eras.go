package ctrl

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// staleTime is how long an entry that an older copy of the store brings back does
	// not count. The platform removes the entry of a silent endpoint after three ping
	// intervals of about a second; what is still there then was written again.
	staleTime = 10 * time.Second
	// leftTTL is for how long endpoints that departed are remembered: copies of the store
	// are some seconds old.
	leftTTL = time.Minute
)

// Eras observes the era of the platform's store for all that is kept by a version of it. It
// runs before the other controllers, which then compare versions of one era only.
type Eras struct{}

// Step implements Controller.
func (c Eras) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	if _, ok := e.(state.Tick); ok {
		return c.applyStale(forgetLeavers(s, now), now)
	}
	if era := eraOf(e); era > s.Routing.StoreEra {
		return c.begin(s, era, now)
	}
	return s, nil
}

// eraOf returns the store's era as e shows it, or 0 if it does not.
func eraOf(e state.Event) int64 {
	switch e := e.(type) {
	case state.EraFound:
		return e.Era
	case state.RegistrySnapshot:
		return e.Era
	case state.Leased:
		return e.Clock.Era
	case state.Heartbeat:
		return e.Relay.Era
	}
	return 0
}

// begin returns s in a new era of the store. Nothing that was read before is given up: only
// its versions do not count any more. Endpoints whose entries the copy lacks have time to
// register again, as after an outage.
func (Eras) begin(s state.State, era int64, now time.Time) (state.State, []state.Action) {
	r := s.Routing
	before := r.StoreEra
	r.StoreEra = era
	s.Lease = s.Lease.WithEra(era, now)
	if before == 0 && r.RegistryVersion == 0 {
		// The era in which the instance started.
		return s.WithRouting(r), nil
	}
	r.StoreEraSince = now
	if r.StoreReachable {
		r.StoreSince = now
	}
	r.RenewDue = true
	r.ReadyVersions, r.DepartureVersions, r.RecentEntries = nil, nil, nil
	r.Left = leaversOf(s, now)
	r.StaleEntries = nil
	r.Undated = maps.Clone(r.Undated)
	for model, d := range r.Undated {
		d.Row = 0
		r.Undated[model] = d
	}
	s = s.WithRouting(r)
	note := state.Note{
		Event: "era",
		Pairs: []string{
			"old", strconv.FormatInt(before, 10),
			"new", strconv.FormatInt(era, 10),
			"left", strconv.Itoa(len(r.Left)),
		},
	}
	return s, append(broadcastHeartbeats(s), note, state.Rejoin{})
}

// leaversOf returns the endpoints whose entries an older copy of the store may bring back:
// those that departed a short while ago and those that are departing.
func leaversOf(s state.State, now time.Time) map[string]state.Leaver {
	out := maps.Clone(s.Routing.Left)
	if out == nil {
		out = map[string]state.Leaver{}
	}
	for _, name := range s.Members.Departing() {
		e, _ := s.Members.Find(name)
		out[name] = state.Leaver{
			Start: e.Node.Start,
			At:    now,
		}
	}
	return out
}

// withLeaver returns s with the endpoint name, if it is known, as one that departed at now.
func withLeaver(s state.State, name string, now time.Time) state.State {
	e, known := s.Members.Find(name)
	if s.Routing.StoreEra == 0 || !known {
		return s
	}
	next := maps.Clone(s.Routing.Left)
	if next == nil {
		next = map[string]state.Leaver{}
	}
	next[name] = state.Leaver{
		Start: e.Node.Start,
		At:    now,
	}
	s.Routing.Left = next
	return s
}

// broughtBack reports whether an older copy of the store may have brought entry back: the
// same incarnation departed before the era began.
func broughtBack(s state.State, entry member.RegistryEntry, now time.Time) bool {
	r := s.Routing
	l, left := r.Left[entry.Node.Name]
	return left && !entry.Report.Departing && l.Start == entry.Node.Start &&
		!r.StoreEraSince.IsZero() && !l.At.After(r.StoreEraSince) && now.Sub(r.StoreEraSince) <= staleTime
}

// withoutStale returns e without the entries that an older copy of the store may have brought
// back, and s, which keeps those. A read of all rows does not show when an entry was
// written. A change does: its endpoint wrote it in this era.
func withoutStale(s state.State, e state.RegistrySnapshot, now time.Time) (state.State, state.RegistrySnapshot, []state.Action) {
	if len(s.Routing.Left)+len(s.Routing.StaleEntries) == 0 {
		return s, e, nil
	}
	before := s.Routing.StaleEntries
	left, stale := maps.Clone(s.Routing.Left), maps.Clone(before)
	if stale == nil || e.Complete {
		stale = map[string]member.RegistryEntry{}
	}
	var put []member.RegistryEntry
	var actions []state.Action
	for _, entry := range e.Put {
		name := entry.Node.Name
		if !e.Complete || !broughtBack(s, entry, now) {
			delete(left, name)
			delete(stale, name)
			put = append(put, entry)
			continue
		}
		if _, again := before[name]; !again {
			actions = append(actions, endpointNote(name, "stale", e))
		}
		stale[name] = entry
	}
	for _, name := range e.Removed {
		delete(stale, name)
	}
	e.Put = put
	s.Routing.Left, s.Routing.StaleEntries = left, stale
	return s, e, actions
}

// forgetLeavers forgets the endpoints that departed too long ago for a copy of the store to
// bring them back.
func forgetLeavers(s state.State, now time.Time) state.State {
	old := func(_ string, l state.Leaver) bool { return now.Sub(l.At) > leftTTL }
	for name, l := range s.Routing.Left {
		if old(name, l) {
			s.Routing.Left = maps.Clone(s.Routing.Left)
			maps.DeleteFunc(s.Routing.Left, old)
			break
		}
	}
	return s
}

// applyStale applies the stale entries that are still in the registry when
// staleTime is over.
func (Eras) applyStale(s state.State, now time.Time) (state.State, []state.Action) {
	if len(s.Routing.StaleEntries) == 0 || now.Sub(s.Routing.StoreEraSince) <= staleTime {
		return s, nil
	}
	e := state.RegistrySnapshot{
		Version: s.Routing.RegistryVersion,
		Era:     s.Routing.RegistryEra,
		Source:  storeSource,
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routing.StaleEntries)) {
		e.Put = append(e.Put, s.Routing.StaleEntries[name])
	}
	s, actions := Registry{}.handleSnapshot(s, e, now)
	s.Routing.StaleEntries = nil
	return s, actions
}
