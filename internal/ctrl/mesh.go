package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// fullMeshPeers is the number of other instances up to which each heartbeat goes
	// to all of them.
	fullMeshPeers = 9
	// heartbeatBudget limits the heartbeats of larger fleets: an instance with n
	// peers sends about heartbeatBudget/n heartbeats per round, to its peers in
	// rotation.
	heartbeatBudget = fullMeshPeers * fullMeshPeers
	// tableTimeout is how long the table may not answer before heartbeats go to all
	// peers again, which is how a majority is determined without the table.
	tableTimeout = 1 * time.Second
	// pastVersionTTL is for how long heartbeats include a version of weights that is
	// no longer desired. It is longer than the time that the platform allows for
	// requests to begin on older weights.
	pastVersionTTL = 15 * time.Second
	// maxSummaryEntries is the maximum number of endpoints and of teams in the
	// summary of a heartbeat.
	maxSummaryEntries = 32
)

// Mesh exchanges heartbeats with the other instances.
type Mesh struct {
	// Every is the number of ticks between two heartbeats; 0 means one at each tick.
	Every uint64
}

// Step implements Controller.
func (m Mesh) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s.Ticks++
		if s.Ticks%max(m.Every, 1) != 0 {
			return s, nil
		}
		return s, []state.Action{state.Collect{}}
	case state.Heartbeat:
		return m.handleHeartbeat(s, e, now), nil
	case state.Collected:
		s = s.WithOwn(e.Summary.Top(maxSummaryEntries).WithSeq(s.Own.Seq + 1))
		return s, scheduledHeartbeats(s, now)
	case state.Stopping:
		s = s.WithStopping()
		return s, broadcastHeartbeats(s)
	}
	return s, nil
}

// handleHeartbeat records the state that a peer reports about itself and its load. A
// repeated summary is not recorded again.
func (Mesh) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) state.State {
	p := s.Peer(e.Name)
	if e.Sent.After(p.LastAnswered) {
		p.LastAnswered = e.Sent
	}
	p.FailedSince = time.Time{}
	s.Routing.PeerHeardAt = now
	if p.Epoch != e.Epoch {
		p.Epoch = e.Epoch
		p.SummarySeq = 0
	}
	fresh := e.Summary.Seq > p.SummarySeq
	p.SummarySeq = max(p.SummarySeq, e.Summary.Seq)
	s = s.WithPeer(e.Name, p)
	s = s.WithMembers(s.Members.WithReport(e.Name, member.Report{
		Epoch:     e.Epoch,
		Departing: e.Stopping,
	}, now))
	for _, name := range e.Drained {
		if !staleDeparture(s, e, name) {
			s = s.WithMembers(s.Members.WithReportedDeparture(name, now))
		}
	}
	if fresh {
		s = s.WithLoads(s.Loads.WithDigest(e.Name, load.Digest{
			At:    now,
			Work:  e.Summary.Work,
			Usage: e.Summary.Usage,
		}))
	}
	return s.WithFresh()
}

// broadcastHeartbeats sends changes to all peers. In a large fleet that forwards by
// routes it sends them to some peers only: all instances read the changes from the
// store and pass them on, so it is enough that an instance that cannot reach the
// store learns of them from one peer.
func broadcastHeartbeats(s state.State) []state.Action {
	others := s.Others()
	if !s.Routing.On || len(others) <= fullMeshPeers {
		return heartbeatsTo(s, others)
	}
	from := int(xxhash.Sum64String(s.Self.Name)+s.Own.Seq) % len(others)
	if from < 0 {
		from += len(others)
	}
	return heartbeatsTo(s, append(slices.Clone(others[from:]), others[:from]...)[:fullMeshPeers])
}

// scheduledHeartbeats sends the regular heartbeat to the peers that are next in the
// rotation.
func scheduledHeartbeats(s state.State, now time.Time) []state.Action {
	others := s.Others()
	n := len(others)
	if n <= fullMeshPeers || !s.Routing.On && now.Sub(s.Config.Table()) > tableTimeout {
		return heartbeatsTo(s, others)
	}
	round, first := int(s.Own.Seq), rotationStart(s.Self.Name, others)
	from, to := (round-1)*heartbeatBudget/n, round*heartbeatBudget/n
	var chosen []string
	for i := from; i < to; i++ {
		chosen = append(chosen, others[(first+i)%n])
	}
	if silent := silentPeer(s, others); silent != "" && !slices.Contains(chosen, silent) {
		chosen = append(chosen, silent)
	}
	return heartbeatsTo(s, chosen)
}

// rotationStart returns the index of the first peer in the rotation of an instance. It
// differs from instance to instance: instances that started together would otherwise all
// send their heartbeats to the same peer at the same time, and none to the others.
func rotationStart(self string, others []string) int {
	first, _ := slices.BinarySearch(others, self)
	return first
}

// silentPeer returns a peer whose last heartbeat failed, or "". It is called again soon,
// since a full rotation takes many minutes in a fleet of hundreds.
func silentPeer(s state.State, others []string) string {
	first := int(s.Own.Seq % uint64(len(others)))
	for i := range others {
		if name := others[(first+i)%len(others)]; !s.Peer(name).FailedSince.IsZero() {
			return name
		}
	}
	return ""
}

// heartbeatsTo sends the current heartbeat to the named instances.
func heartbeatsTo(s state.State, names []string) []state.Action {
	if len(names) == 0 {
		return nil
	}
	heartbeat := HeartbeatOf(s)
	actions := make([]state.Action, 0, len(names))
	for _, name := range names {
		n, _ := s.Members.Find(name)
		actions = append(actions, state.SendHeartbeat{
			To:        n.Node,
			Heartbeat: heartbeat,
		})
	}
	return actions
}

// HeartbeatOf returns the heartbeat of an instance in state s.
func HeartbeatOf(s state.State) state.Heartbeat {
	drained := s.Members.Departing()
	for name := range s.Routing.Departed {
		drained = append(drained, name)
	}
	return state.Heartbeat{
		Name:     s.Self.Name,
		Epoch:    s.Self.Epoch,
		Version:  s.Config.Document().Version,
		Stopping: s.Stopping,
		Summary:  s.Own,
		Drained:  drained,
		Relay:    relayOf(s, drained),
	}
}

// relayOf returns the part of the heartbeat that only instances which forward by
// routes send.
func relayOf(s state.State, drained []string) state.Relay {
	if !s.Routing.On {
		return state.Relay{}
	}
	r := state.Relay{
		Addr:              s.Self.Addr,
		Domain:            s.Self.Domain,
		Site:              s.Routing.Site.Version(),
		RegistryVersion:   s.Routing.RegistryVersion,
		StoreReachable:    s.Routing.StoreReachable,
		SiteConfirmed:     state.ConfirmedAt(s.Routing.SiteConfirmed, s.At),
		RegistryConfirmed: state.ConfirmedAt(s.Routing.RegistryConfirmed, s.At),
		Era:               s.Routing.StoreEra,
		Lease:             s.Lease.Row(),
		// With the age, an instance that starts need not observe the row itself
		// for the whole length of the lease.
		LeaseAge: s.Lease.Unchanged(s.At),
	}
	if s.Routing.RegistryEra != s.Routing.StoreEra {
		// The registry has not been read in this era.
		r.RegistryVersion = 0
	}
	if len(s.Routing.Peers) <= fullMeshPeers {
		r.Peers = s.Routing.Peers
	}
	r.DesiredVersions = desiredVersions(s)
	r.Poison = s.Routing.Poison.Evidence(s.At)
	r.Weights = s.Routing.PendingWeights
	r.Announcements = recentAnnouncements(s)
	r.Entries = s.Routing.RecentEntries
	if w := s.Routing.Software; w.Known && w.Row.Era == s.Routing.StoreEra {
		r.Software = w.Row
	}
	r.DepartureVersions = make(map[string]int64, len(drained))
	for _, name := range drained {
		if v, ok := s.Routing.DepartureVersions[name]; ok {
			r.DepartureVersions[name] = v
		}
	}
	return r
}

// staleDeparture reports whether a peer's message that name is departing is older
// than the registry version in which this instance read name as ready.
func staleDeparture(s state.State, e state.Heartbeat, name string) bool {
	ready, ok := s.Routing.ReadyVersions[name]
	return ok && (!s.Routing.SameEra(e.Relay.Era) || departureVersion(e, name) <= ready)
}

// departureVersion returns the registry version from which a peer knows that name is
// departing.
func departureVersion(e state.Heartbeat, name string) int64 {
	if v, ok := e.Relay.DepartureVersions[name]; ok {
		return v
	}
	return e.Relay.RegistryVersion
}

// desiredVersions returns the versions of weights that peers need to know: the
// desired versions, and past versions that determine since when an engine's weights
// are outdated.
func desiredVersions(s state.State) []state.DesiredVersion {
	var out []state.DesiredVersion
	weights := s.Routing.Weights
	for _, model := range slices.Sorted(maps.Keys(weights.AllDesired())) {
		for _, n := range weights.DesiredHistory(model) {
			desired := state.DesiredVersion{
				Model:   model,
				Version: n.Version,
				Dated:   !n.Since.IsZero(),
			}
			if desired.Dated {
				desired.Age = s.At.Sub(n.Since)
			}
			if n.Version == weights.Desired(model).Version || desired.Age <= pastVersionTTL {
				out = append(out, desired)
			}
		}
	}
	return out
}
