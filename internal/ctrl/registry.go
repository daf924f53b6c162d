package ctrl

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// reregisterTimeout is how long endpoints have to register again after the store
	// was unreachable. The platform allows two seconds; the rest is for reading.
	reregisterTimeout = 2500 * time.Millisecond
	// massRemovalShare is the share of all entries above which entries that vanish
	// together are assumed lost in an outage of the store that was not noticed;
	// their endpoints may register again. If fewer vanish, their endpoints count as
	// departed, since they may be stopping without notice.
	massRemovalShare = 0.5
	// massRemovalTimeout is how long they have to register again. It is less than the
	// platform allows for requests to endpoints that departed, since they may have.
	massRemovalTimeout = 1500 * time.Millisecond
	// departedTTL is how long heartbeats include an entry that was removed: longer
	// than the longest interval between two reads of the registry.
	departedTTL = 10 * time.Second
	// repeatDuration is for how long changes are repeated to all peers at each tick.
	repeatDuration = 500 * time.Millisecond
	// peerTTL is for how long an instance that does not answer still receives
	// changes.
	peerTTL = 30 * time.Second
	// minRenewInterval is the minimum time between two renewals of the reads of the store.
	// All peers report the end of an outage, each at its own time.
	minRenewInterval = time.Second
	// announceTicks is the number of ticks over which an instance that joins makes itself
	// known to peers that it discovered.
	announceTicks = 20
)

// Registry tracks the endpoints of the registry and the other instances.
type Registry struct{}

// Step implements Controller.
func (c Registry) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s, actions := c.expireNodes(s, now)
		s = forgetRecentEntries(s, now)
		s, renewals := c.renewReads(s, now)
		actions = append(actions, renewals...)
		s, repeated := c.repeatHeartbeats(s, now)
		if len(repeated) > 0 {
			// These go to all that may not know this instance, too.
			return s, append(actions, repeated...)
		}
		s, announced := c.announceSelf(s)
		return s, append(actions, announced...)
	case state.RegistrySnapshot:
		return c.handleSnapshot(s, e, now)
	case state.PeersFound:
		return c.handlePeersFound(s, e, now), nil
	case state.HeartbeatFailed:
		return c.handleHeartbeatFailed(s, e, now), nil
	case state.Heartbeat:
		return c.handleHeartbeat(s, e, now)
	case state.StoreStatus:
		return c.handleStoreStatus(s, e, now)
	case state.Called:
		return handleCallOutcome(s, e, now)
	}
	return s, nil
}

// handleSnapshot applies a read of the registry. Endpoints whose entries vanished
// are removed at once, or only after a grace period if the store may have lost
// entries.
func (c Registry) handleSnapshot(s state.State, e state.RegistrySnapshot, now time.Time) (state.State, []state.Action) {
	if outdated(s, e) {
		return s, nil
	}
	before := s
	r := s.Routing
	r.RegistryVersion, r.RegistryEra = e.Version, r.StoreEra
	s = s.WithRouting(r)
	s, e, actions := withoutStale(s, e, now)
	e, unread := c.withoutInstances(s, e)
	actions = append(actions, unread...)
	nodes := c.knownEndpoints(s)
	unknown := func(name string) bool {
		_, known := nodes[name]
		return !known
	}
	removed := append(slices.DeleteFunc(slices.Clone(e.Unusable), unknown), e.Removed...)
	if e.Complete {
		removed = c.missingEndpoints(s, append(slices.Collect(maps.Values(s.Routing.StaleEntries)), e.Put...))
	}
	vanished := slices.DeleteFunc(slices.Clone(removed), unknown)
	storeLoss := float64(len(vanished)) > massRemovalShare*float64(len(nodes))
	for _, entry := range e.Put {
		nodes[entry.Node.Name] = entry.Node
	}
	certain := r.StoreReachable && now.Sub(r.StoreSince) >= reregisterTimeout && !storeLoss
	s, removals := c.removeEndpoints(s, nodes, removed, certain, e, now)
	actions = append(actions, removals...)
	s = c.clearDeparture(s, e.Put)
	s = c.setNodes(s, nodes)
	s, changes := c.applyEntries(s, e, removed)
	actions = append(actions, changes...)
	s, news := withRegistryNews(before, s, e, removed, now)
	switch {
	case news:
		// In a large fleet the other instances read the registry rarely. The
		// heartbeats are repeated, since one that is already in flight may lack
		// the change and keeps another one from being sent.
		s = s.WithNews(now, repeatDuration)
		actions = append(actions, heartbeatsTo(s, s.Others())...)
	case len(actions) > 0:
		// A peer sent this change to all others. Some are told again, in case that it
		// ended meanwhile.
		actions = append(actions, broadcastHeartbeats(s)...)
	}
	return s, actions
}

// outdated reports whether e is older than what the instance knows of the registry.
func outdated(s state.State, e state.RegistrySnapshot) bool {
	r := s.Routing
	return !r.SameEra(e.Era) || r.RegistryEra == r.StoreEra && e.Version < r.RegistryVersion
}

// handlePeersFound adds peers that were discovered. This instance makes itself known to
// those that it did not know: in a large fleet the rotation of heartbeats takes many
// minutes, and until a peer knows this instance it sends it no news. An instance that has
// restarted is known: where a whole fleet restarts, its small machines have no time for
// calls to all others before they serve.
func (c Registry) handlePeersFound(s state.State, e state.PeersFound, now time.Time) state.State {
	before := s.Routing.Peers
	s = c.addPeers(s, e.Peers, now)
	s.Routing.Joining = (s.Routing.Joining || e.Joining) && !e.Settled
	if e.Known {
		return s
	}
	unannounced := slices.Clone(s.Routing.Unannounced)
	for _, p := range e.Peers {
		if indexOfPeer(before, p.Name) < 0 && indexOfPeer(s.Routing.Peers, p.Name) >= 0 {
			unannounced = append(unannounced, p.Name)
		}
	}
	s.Routing.Unannounced = unannounced
	return s
}

// announceSelf sends heartbeats to some of the peers that may not know this instance. They
// are spread over announceTicks, since many instances may join at once. Those that have
// exchanged a heartbeat with this instance meanwhile know it.
func (Registry) announceSelf(s state.State) (state.State, []state.Action) {
	left := s.Routing.Unannounced
	if len(left) == 0 {
		return s, nil
	}
	limit := 1 + len(s.Routing.Peers)/announceTicks
	var names []string
	for len(left) > 0 && len(names) < limit {
		if name := left[0]; s.Peer(name).Epoch == "" && indexOfPeer(s.Routing.Peers, name) >= 0 {
			names = append(names, name)
		}
		left = left[1:]
	}
	s.Routing.Unannounced = left
	return s, heartbeatsTo(s, names)
}

// handleHeartbeatFailed records that a peer did not answer.
func (Registry) handleHeartbeatFailed(s state.State, e state.HeartbeatFailed, now time.Time) state.State {
	p := s.Peer(e.Name)
	if !p.FailedSince.IsZero() || indexOfPeer(s.Routing.Peers, e.Name) < 0 {
		return s
	}
	p.FailedSince = now
	return s.WithPeer(e.Name, p)
}

// applyEntries applies the entries that are new or changed.
func (c Registry) applyEntries(s state.State, e state.RegistrySnapshot, removed []string) (state.State, []state.Action) {
	departures, before := s.Routing.DepartureVersions, s.Members
	s = c.recordVersions(s, e, removed)
	var actions []state.Action
	for _, entry := range e.Put {
		name := entry.Node.Name
		s = s.WithMembers(s.Members.WithRegistryEntry(entry))
		if !entry.Report.Departing && e.Version >= departures[name] {
			s = s.WithMembers(s.Members.WithoutReportedDeparture(name))
		}
		for model, version := range entry.Weights {
			s.Routing.Weights = s.Routing.Weights.WithLoaded(name, model, version)
		}
		old, known := before.Find(name)
		if entry.Report.Departing && (!known || !old.Report.Departing) {
			actions = append(actions, endpointNote(name, "leaving", e))
		}
	}
	return s, actions
}

// withoutInstances returns e without the entries that have the name of an instance. They
// would take its place, and the instance would get no more heartbeats.
func (Registry) withoutInstances(s state.State, e state.RegistrySnapshot) (state.RegistrySnapshot, []state.Action) {
	isInstance := func(entry member.RegistryEntry) bool {
		return entry.Node.Name == s.Self.Name ||
			slices.ContainsFunc(s.Routing.Peers, func(p member.Node) bool { return p.Name == entry.Node.Name })
	}
	if !slices.ContainsFunc(e.Put, isInstance) {
		return e, nil
	}
	var actions []state.Action
	var put []member.RegistryEntry
	for _, entry := range e.Put {
		if !isInstance(entry) {
			put = append(put, entry)
			continue
		}
		actions = append(actions, state.Note{
			Event: "unread",
			Pairs: []string{"table", "registry", "key", entry.Node.Name, "source", e.Source, "reason", "it has the name of an instance"},
		})
	}
	e.Put = put
	return e, actions
}

// removeEndpoints handles the entries that were removed. If it is certain that their
// endpoints have departed, it deletes these from nodes.
func (c Registry) removeEndpoints(s state.State, nodes map[string]member.Node, removed []string, certain bool, e state.RegistrySnapshot, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	for _, name := range removed {
		_, known := nodes[name]
		switch {
		case certain && known:
			delete(nodes, name)
			s = c.markDeparted(s, name, now)
			actions = append(actions, endpointNote(name, "gone", e))
		case certain:
			// It registered and left between two reads of this instance. Peers that
			// read the registry in between use it.
			s = c.markDeparted(s, name, now)
		case known && s.Routing.StoreReachable && now.Sub(s.Routing.StoreSince) >= reregisterTimeout:
			s = c.markDeparting(s, name, now.Add(massRemovalTimeout))
		case known:
			// The time for registering again is the same for all: it starts with the
			// return of the store.
			s = c.markDeparting(s, name, now)
		}
	}
	return s, actions
}

// endpointNote returns the log line for a change of an endpoint's state.
func endpointNote(name, status string, e state.RegistrySnapshot) state.Note {
	return state.Note{
		Event: "endpoint",
		Pairs: []string{
			"endpoint", name,
			"state", status,
			"listing", strconv.FormatInt(e.Version, 10),
			"source", e.Source,
		},
	}
}

// recordVersions records the registry version in which endpoints were ready,
// departing or departed.
func (Registry) recordVersions(s state.State, e state.RegistrySnapshot, removed []string) state.State {
	if len(e.Put)+len(removed) == 0 {
		return s
	}
	ready, departures := maps.Clone(s.Routing.ReadyVersions), maps.Clone(s.Routing.DepartureVersions)
	if ready == nil {
		ready = map[string]int64{}
	}
	if departures == nil {
		departures = map[string]int64{}
	}
	for _, name := range removed {
		departures[name] = e.Version
		delete(ready, name)
	}
	for _, entry := range e.Put {
		if entry.Report.Departing {
			departures[entry.Node.Name] = e.Version
			continue
		}
		ready[entry.Node.Name] = e.Version
		if e.Version >= departures[entry.Node.Name] {
			delete(departures, entry.Node.Name)
		}
	}
	maps.DeleteFunc(departures, func(name string, _ int64) bool {
		_, known := s.Members.Find(name)
		return !known && s.Routing.Departed[name].IsZero()
	})
	s.Routing.ReadyVersions, s.Routing.DepartureVersions = ready, departures
	return s
}

// markDeparted records that the entry of name was removed at now.
func (Registry) markDeparted(s state.State, name string, now time.Time) state.State {
	next := maps.Clone(s.Routing.Departed)
	if next == nil {
		next = map[string]time.Time{}
	}
	next[name] = now
	s.Routing.Departed = next
	return withLeaver(s, name, now)
}

// repeatHeartbeats repeats recent changes to all peers, and forgets departed
// endpoints that all peers know of by now.
func (Registry) repeatHeartbeats(s state.State, now time.Time) (state.State, []state.Action) {
	old := func(_ string, at time.Time) bool { return now.Sub(at) > departedTTL }
	for name, at := range s.Routing.Departed {
		if old(name, at) {
			s.Routing.Departed = maps.Clone(s.Routing.Departed)
			maps.DeleteFunc(s.Routing.Departed, old)
			break
		}
	}
	if now.After(s.Routing.RepeatUntil) {
		return s, nil
	}
	waiting := slices.DeleteFunc(s.Others(), func(name string) bool {
		return s.Peer(name).LastAnswered.After(s.Routing.NewsAt)
	})
	return s, heartbeatsTo(s, waiting)
}

// knownEndpoints returns the known endpoints by name.
func (Registry) knownEndpoints(s state.State) map[string]member.Node {
	nodes := map[string]member.Node{}
	for _, r := range [...]member.Role{member.Engine, member.Service} {
		for _, e := range s.Members.Nodes(r) {
			nodes[e.Node.Name] = e.Node
		}
	}
	return nodes
}

// missingEndpoints returns the known endpoints that are not in put.
func (c Registry) missingEndpoints(s state.State, put []member.RegistryEntry) []string {
	nodes := c.knownEndpoints(s)
	for _, entry := range put {
		delete(nodes, entry.Node.Name)
	}
	return slices.Sorted(maps.Keys(nodes))
}

// setNodes replaces the nodes of the state with the given endpoints and all peers.
func (Registry) setNodes(s state.State, endpoints map[string]member.Node) state.State {
	same := s.Members.RegistryLoaded() && len(endpoints) == len(s.Members.Nodes(member.Engine))+len(s.Members.Nodes(member.Service))
	for name, n := range endpoints {
		old, ok := s.Members.Find(name)
		same = same && ok && reflect.DeepEqual(old.Node, n)
	}
	same = same && len(s.Members.Nodes(member.Instance)) == len(s.Routing.Peers)
	for _, p := range s.Routing.Peers {
		old, ok := s.Members.Find(p.Name)
		same = same && ok && old.Node.Addr == p.Addr
	}
	if same {
		return s
	}
	// Of nodes with one name the last counts: an instance goes before an endpoint.
	nodes := append(slices.Collect(maps.Values(endpoints)), s.Routing.Peers...)
	s = s.WithMembers(s.Members.WithRegistry(nodes))
	s.Routing.Weights = s.Routing.Weights.WithOnly(func(engine string) bool {
		_, ok := endpoints[engine]
		return ok
	})
	return s
}

// markDeparting makes name count as departed from the given time on, unless it
// registers again before.
func (Registry) markDeparting(s state.State, name string, at time.Time) state.State {
	if _, ok := s.Routing.Departing[name]; ok {
		return s
	}
	next := maps.Clone(s.Routing.Departing)
	if next == nil {
		next = map[string]time.Time{}
	}
	next[name] = at
	s.Routing.Departing = next
	return s
}

// clearDeparture forgets that the endpoints in put, which are registered, were
// departing or departed.
func (Registry) clearDeparture(s state.State, put []member.RegistryEntry) state.State {
	s.Routing.Departing = withoutEntries(s.Routing.Departing, put)
	s.Routing.Departed = withoutEntries(s.Routing.Departed, put)
	return s
}

// withoutEntries returns times without the names in put.
func withoutEntries(times map[string]time.Time, put []member.RegistryEntry) map[string]time.Time {
	registered := func(name string, _ time.Time) bool {
		return slices.ContainsFunc(put, func(entry member.RegistryEntry) bool { return entry.Node.Name == name })
	}
	for name, at := range times {
		if registered(name, at) {
			times = maps.Clone(times)
			maps.DeleteFunc(times, registered)
			return times
		}
	}
	return times
}

// expireNodes removes endpoints that did not register again in time, and peers that
// do not answer.
func (c Registry) expireNodes(s state.State, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	news := false
	for _, name := range slices.Sorted(maps.Keys(s.Routing.Departing)) {
		if !s.Routing.StoreReachable || now.Before(s.Routing.Departing[name]) || now.Sub(s.Routing.StoreSince) < reregisterTimeout {
			continue
		}
		if e, ok := s.Members.Find(name); ok && !e.Report.Departing {
			// No peer sent this departure.
			news = true
		}
		nodes := c.knownEndpoints(s)
		delete(nodes, name)
		s = c.clearDeparture(s, []member.RegistryEntry{
			{
				Node: member.Node{
					Name: name,
				},
			},
		})
		s = c.markDeparted(s, name, now)
		s = c.setNodes(s, nodes)
		actions = append(actions, state.Note{
			Event: "endpoint",
			Pairs: []string{"endpoint", name, "state", "gone", "reason", "did not register again after the store outage"},
		})
	}
	if news {
		s = s.WithNews(now, repeatDuration)
		actions = append(actions, heartbeatsTo(s, s.Others())...)
	}
	silent := func(p member.Node) bool {
		failed := s.Peer(p.Name).FailedSince
		return !failed.IsZero() && now.Sub(failed) >= peerTTL
	}
	if slices.ContainsFunc(s.Routing.Peers, silent) {
		s.Routing.Peers = slices.DeleteFunc(slices.Clone(s.Routing.Peers), silent)
		s = c.setNodes(s, c.knownEndpoints(s))
	}
	return s, actions
}

// addPeers adds peers that were unknown, and takes a new address of a peer that no
// longer answers at its old one.
func (c Registry) addPeers(s state.State, peers []member.Node, now time.Time) state.State {
	next := s.Routing.Peers
	changed := false
	change := func() {
		if !changed {
			next = slices.Clone(next)
		}
		changed = true
	}
	for _, p := range peers {
		i := indexOfPeer(next, p.Name)
		switch {
		case p.Name == s.Self.Name || p.Addr == "" || p.Addr == s.Self.Addr:
		case i < 0:
			change()
			next = append(next, p)
			s = s.WithPeer(p.Name, state.Peer{
				LastAnswered: now,
			})
		case next[i].Addr != p.Addr && now.Sub(s.Peer(p.Name).LastAnswered) > member.AnswerTimeout:
			change()
			next[i] = p
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
	s.Routing.Peers = next
	return c.setNodes(s, c.knownEndpoints(s))
}

// indexOfPeer returns the index of the peer name, or -1. Peers that were just found are
// at the end, the others are sorted by name.
func indexOfPeer(peers []member.Node, name string) int {
	for i := range peers {
		if peers[i].Name == name {
			return i
		}
	}
	return -1
}

// handleHeartbeat applies what a peer reports about endpoints and about other
// instances.
func (c Registry) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) (state.State, []state.Action) {
	others := e.Relay.Peers
	if e.Relay.Addr != "" && !e.Stopping {
		others = append(slices.Clone(others), member.Node{
			Name:   e.Name,
			Role:   member.Instance,
			Addr:   e.Relay.Addr,
			Domain: e.Relay.Domain,
		})
	}
	s = c.addPeers(s, others, now)
	s = recordPeerStatus(s, e)
	s, actions := c.handleRecentEntries(s, e, now)
	for _, name := range e.Drained {
		n, ok := s.Members.Find(name)
		if !ok || n.Report.Departing || staleDeparture(s, e, name) {
			continue
		}
		n.Report.Departing = true
		s = s.WithMembers(s.Members.WithRegistryEntry(member.RegistryEntry{
			Node:   n.Node,
			Report: n.Report,
		}))
		s.Routing.DepartureVersions = maps.Clone(s.Routing.DepartureVersions)
		if s.Routing.DepartureVersions == nil {
			s.Routing.DepartureVersions = map[string]int64{}
		}
		s.Routing.DepartureVersions[name] = departureVersion(e, name)
		actions = append(actions, endpointNote(name, "leaving", state.RegistrySnapshot{
			Version: departureVersion(e, name),
			Source:  e.Name,
		}))
	}
	return s, append(actions, newerRegistry(s, e)...)
}

// newerRegistry fetches the registry from the sender of e if that has a newer version and
// the store does not answer this instance.
func newerRegistry(s state.State, e state.Heartbeat) []state.Action {
	if !e.Relay.StoreReachable || e.Relay.RegistryVersion == 0 {
		return nil
	}
	known, other := s.Routing.RegistryStamp(), registryStamp(s, e)
	if s.Routing.StoreReachable || !known.Before(other) {
		return nil
	}
	return []state.Action{
		state.FetchRegistry{
			From: member.Node{
				Name: e.Name,
				Addr: e.Relay.Addr,
			},
		},
	}
}

// registryStamp returns the version of the registry that the sender of e knows.
func registryStamp(s state.State, e state.Heartbeat) store.Stamp {
	era := e.Relay.Era
	if s.Routing.SameEra(era) {
		era = s.Routing.StoreEra
	}
	return store.Stamp{
		Era:     era,
		Version: e.Relay.RegistryVersion,
	}
}

// recordPeerStatus records whether the store answers the sender of e. If it does again, the
// reads of this instance are due. An instance that has just started is not one that lost the
// store.
func recordPeerStatus(s state.State, e state.Heartbeat) state.State {
	p := s.Peer(e.Name)
	before := p.Store
	if p.Epoch != e.Epoch {
		before = state.StoreUnknown
	}
	next := before
	switch {
	case e.Relay.StoreReachable:
		next = state.StoreAnswers
	case before == state.StoreAnswers:
		next = state.StoreLost
	}
	if next == p.Store {
		return s
	}
	s.Routing.RenewDue = s.Routing.RenewDue || before == state.StoreLost && next == state.StoreAnswers
	p.Store = next
	return s.WithPeer(e.Name, p)
}

// handleStoreStatus records and logs when the store becomes reachable or
// unreachable.
func (Registry) handleStoreStatus(s state.State, e state.StoreStatus, now time.Time) (state.State, []state.Action) {
	if e.OK {
		s = withConfirmations(s, time.Time{}, now)
	}
	// The responses to other reads may be lost, too.
	s.Routing.RenewDue = s.Routing.RenewDue || e.OK && e.Overdue
	if e.OK {
		s.Routing.StoreAnswered = now
	} else if e.Unanswered > 0 && now.Add(-e.Unanswered).Before(s.Routing.StoreAnswered) {
		// The store has answered another read since this one was sent.
		return s, nil
	}
	if s.Routing.StoreReachable == e.OK && !s.Routing.StoreSince.IsZero() {
		return s, nil
	}
	r := s.Routing
	first := r.StoreSince.IsZero()
	r.StoreReachable = e.OK
	r.StoreSince = now
	if first && e.OK {
		// The first read after a start is a complete snapshot, so no endpoint has to
		// register again.
		r.StoreSince = now.Add(-reregisterTimeout)
	}
	status := "regained"
	if !e.OK {
		status = "lost"
	}
	var actions []state.Action
	if !first {
		// After the failure of one table the others need not wait for their own. After the
		// return, reads that were sent before may never be answered.
		r.RenewDue, r.RenewedAt = false, now
		actions = append(actions, state.RenewReads{})
	}
	return s.WithRouting(r), append(actions,
		state.Note{
			Event: "dependency",
			Pairs: []string{"name", "store", "state", status, "reason", e.Reason},
		},
	)
}

// renewReads renews the reads of the store if a peer found that it answers again.
func (Registry) renewReads(s state.State, now time.Time) (state.State, []state.Action) {
	if !s.Routing.RenewDue || now.Sub(s.Routing.RenewedAt) < minRenewInterval {
		return s, nil
	}
	s.Routing.RenewDue, s.Routing.RenewedAt = false, now
	return s, []state.Action{state.RenewReads{}}
}
