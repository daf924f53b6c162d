package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/conf"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

const (
	// pauseThreshold is the time between two steps above which the instance counts
	// as having been paused, for example because its machine was suspended. It
	// equals several ticks.
	pauseThreshold = 1 * time.Second
	// resumeTime is how long after a pause changes that were missed during it may
	// still arrive. It covers a few reads of the store.
	resumeTime = 1 * time.Second
)

// Self is the identity of an instance, from its settings.
type Self struct {
	// Name is the instance's name in the platform's list.
	Name string
	// Epoch identifies this incarnation of the instance.
	Epoch string
	// Domain is the instance's failure domain.
	Domain string
	// Addr is the address at which other instances reach this one; empty if the
	// platform's list provides it.
	Addr string
}

// Incarnation returns the name and the epoch as one string.
func (s Self) Incarnation() string { return s.Name + "@" + s.Epoch }

// State is the complete control state of one instance.
type State struct {
	// Self is the identity of the instance.
	Self Self
	// Members holds the known nodes and which endpoints take work.
	Members member.Set
	// Config is the effective configuration.
	Config conf.State
	// Index is the prefix index.
	Index prefix.Index
	// Loads is the load of endpoints as other instances and the endpoints report it.
	Loads load.Table
	// Alarms counts request outcomes by objective and holds the alarms.
	Alarms alarm.Tracker
	// Lease is the lease under which a single instance sends orders and announces
	// alarms.
	Lease lease.Lease
	// FreshUntil is the time until which new work may be accepted without another
	// confirmation from the table or from a majority of the instances.
	FreshUntil time.Time
	// At is when the last step ran.
	At time.Time
	// PausedAt is when the last step before the most recent pause ran, and ResumedAt
	// when the first step after it ran.
	PausedAt  time.Time
	ResumedAt time.Time
	// Stopping is set if the instance is stopping and takes no new work.
	Stopping bool
	// Own is the summary that the instance sends to its peers.
	Own Summary
	// Ticks counts the ticks since the start.
	Ticks uint64
	// Routing is the additional state of an instance that forwards by routes.
	Routing Routing
	// peers maps the names of other instances to what is known of them.
	peers *immutable.Map[string, Peer]
}

// Routing is the state of an instance that forwards requests by routes.
type Routing struct {
	// On is set if the instance forwards by routes.
	On bool
	// Site is the effective forwarding configuration, and Began is when the first
	// one arrived.
	Site  site.Site
	Began time.Time
	// The latest times at which the store had nothing newer, by what it answered to this
	// instance or to a peer that passed it on: than the configuration, and than what this
	// instance knows of the registry; zero before the first one.
	SiteConfirmed     time.Time
	RegistryConfirmed time.Time
	// SiteOverdue and RegistryOverdue are set while a confirmation is overdue.
	SiteOverdue     bool
	RegistryOverdue bool
	// NewerSite is the newest configuration that a peer is known to have.
	NewerSite NewerSite
	// SiteLateAt is when a configuration last did not arrive in time; zero if all did.
	SiteLateAt time.Time
	// Weights records the desired version of each model and the version that each
	// engine has loaded.
	Weights weight.Tracker
	// Undated holds the desired versions that were found at the start, by model, until it is
	// known since when they are desired. Invariant: the map is never written in place.
	Undated map[string]DesiredVersion
	// StoreEra is the era of the platform's store, the greatest one of which this instance
	// learned; 0 if the store has none. Versions of one era do not compare with those of
	// another. StoreEraSince is when this instance saw it rise, and zero if it has not since
	// the start.
	StoreEra      int64
	StoreEraSince time.Time
	// RegistryVersion is the known registry version; 0 before the registry was read.
	// RegistryEra is the era in which it was read.
	RegistryVersion int64
	RegistryEra     int64
	// StoreIndex indexes the contents of the stores of cached prompts. It is separate from
	// the index of the engines, because its entries for frequently used blocks would
	// displace theirs.
	StoreIndex prefix.Index
	// UnreachableStores marks the stores of cached prompts that do not answer. An engine that
	// used one would wait for it for some hundred milliseconds. Invariant: the map
	// is never written in place.
	UnreachableStores map[string]bool
	// Whether the platform's store answers, and when that last changed.
	StoreReachable bool
	StoreSince     time.Time
	// StoreAnswered is when the store last answered a read of the registry.
	StoreAnswered time.Time
	// RenewedAt is when the reads of the store were last renewed. RenewDue is set if they
	// are to be renewed again.
	RenewedAt time.Time
	RenewDue  bool
	// Departing maps endpoints to the time at which they count as departed. Their
	// registry entries vanished at a time when the store may have lost entries.
	// Invariant: the map is never written in place.
	Departing map[string]time.Time
	// Departed maps endpoints whose entries were removed recently to the time of the
	// removal. Invariant: the map is never written in place.
	Departed map[string]time.Time
	// Left holds the endpoints that departed within the last minute, or were departing when
	// the store's era rose. Invariant: the map is never written in place.
	Left map[string]Leaver
	// StaleEntries holds the registry entries that an older copy of the store may have brought
	// back: their endpoints are in Left. Invariant: the map is never written in place.
	StaleEntries map[string]member.RegistryEntry
	// The endpoints that are departing or departed, and those that were read as
	// ready, each with the registry version of StoreEra that says so. Invariant: the
	// maps are never written in place.
	DepartureVersions map[string]int64
	ReadyVersions     map[string]int64
	// NewsAt is when the last change came up that all peers need to learn of from this
	// instance. Until RepeatUntil, each tick sends a heartbeat to the peers that have
	// not answered one since then.
	NewsAt      time.Time
	RepeatUntil time.Time
	// Unannounced names the discovered peers that may not know this instance yet.
	// Invariant: the slice is never written in place.
	Unannounced []string
	// RecentEntries holds the registry entries that changed a short while ago and that
	// this instance read itself. Invariant: the slice is never written in place.
	RecentEntries []RecentEntry
	// PendingWeights holds the changes of engines' weights that are still to be sent
	// to the peers. Invariant: the slice is never written in place.
	PendingWeights []EngineWeights
	// ReleaseDeadline is the latest time at which this instance, which is stopping,
	// releases the lease for orders.
	ReleaseDeadline time.Time
	// Peers holds the other instances. Invariant: the slice is never written in
	// place.
	Peers []member.Node
	// Joining is set from the start until the peers include those that started together
	// with this instance.
	Joining bool
	// PeerHeardAt is when the last heartbeat of a peer arrived.
	PeerHeardAt time.Time
	// Ranks holds the order of the instances for each endpoint whose cache events are
	// followed.
	Ranks Ranks
	// Poison is the evidence on parts of prompts that crash engines.
	Poison poison.Tracker
	// Software is what is known of the versions of the engines' software.
	Software Software
}

// RecentEntry is a registry entry that changed a short while ago.
type RecentEntry struct {
	// Entry is the entry, and Version the registry version in which it was read.
	Entry   member.RegistryEntry
	Version int64
	// ReadAt is when this instance read it; zero if a peer did.
	ReadAt time.Time
}

// Leaver is an endpoint that is departing or has departed.
type Leaver struct {
	// Start identifies its incarnation; empty if it is not known.
	Start string
	// At is when this instance learned that it departs, or that the store's era rose since.
	At time.Time
}

// NewerSite is a newer configuration that a peer has.
type NewerSite struct {
	// Version is the version of that configuration, and Confirmed is when the store had no
	// newer one; zero if the peer did not say.
	Version   int64
	Confirmed time.Time
	// From is the peer that has it.
	From member.Node
	// Since is when a peer first reported a newer configuration, or when it was last
	// requested again, and Repeats is how often it was.
	Since   time.Time
	Repeats int
}

// Peer is what is known of another instance.
type Peer struct {
	// Epoch identifies its incarnation.
	Epoch string
	// LastAnswered is when the last call that the peer answered was sent.
	LastAnswered time.Time
	// FailedSince is when the first of the calls failed that the peer has not answered
	// since its last heartbeat; zero if there was none.
	FailedSince time.Time
	// SummarySeq is the sequence number of its last summary.
	SummarySeq uint64
	// Store is whether the store answered it at its last heartbeat.
	Store StoreView
}

// StoreView is whether the store answers an instance.
type StoreView uint8

const (
	// StoreUnknown means that the store has not answered the instance since its start, as
	// far as is known.
	StoreUnknown StoreView = iota
	// StoreAnswers means that the store answers the instance.
	StoreAnswers
	// StoreLost means that the store answered the instance before.
	StoreLost
)

// Summary is what an instance reports to its peers about an interval.
type Summary struct {
	// Seq is the sequence number of the summary within an incarnation.
	Seq uint64
	// Work is this instance's work by endpoint.
	Work map[string]load.Work
	// Usage is the served cost per second, by team.
	Usage map[string]float64
	// Tally counts the outcomes by policy.
	Tally map[string]alarm.Tally
}

// WithSeq returns a copy of s with the given sequence number.
func (s Summary) WithSeq(seq uint64) Summary {
	s.Seq = seq
	return s
}

// Top returns a copy of s limited to the n endpoints with the most work and the n
// teams with the most usage.
func (s Summary) Top(n int) Summary {
	if len(s.Work) > n {
		names := slices.SortedFunc(maps.Keys(s.Work), func(a, b string) int {
			return cmp.Or(s.Work[b].Calls-s.Work[a].Calls, strings.Compare(a, b))
		})
		work := make(map[string]load.Work, n)
		for _, name := range names[:n] {
			work[name] = s.Work[name]
		}
		s.Work = work
	}
	if len(s.Usage) > n {
		names := slices.SortedFunc(maps.Keys(s.Usage), func(a, b string) int {
			return cmp.Or(cmp.Compare(s.Usage[b], s.Usage[a]), strings.Compare(a, b))
		})
		usage := make(map[string]float64, n)
		for _, name := range names[:n] {
			usage[name] = s.Usage[name]
		}
		s.Usage = usage
	}
	return s
}

// New returns the state of an instance that has just started.
func New(self Self) State {
	return State{
		Self:  self,
		Lease: lease.New("lease/orders", self.Incarnation()),
	}
}

// Forwarding returns the state of an instance that has just started and forwards
// requests by routes. It sends orders under l.
func Forwarding(self Self, l lease.Lease) State {
	s := New(self)
	s.Lease = l
	s.Members = member.Unpolled()
	s.Routing.On = true
	return s
}

// WithStep returns a copy of s in which a step runs at now. It records a pause if
// the last step was too long ago.
func (s State) WithStep(now time.Time) State {
	if !s.At.IsZero() && now.Sub(s.At) > pauseThreshold {
		s.PausedAt, s.ResumedAt = s.At, now
	}
	s.At = now
	return s
}

// EarliestChange returns the earliest time at which a change that the instance
// learns of now may have taken effect. After a pause that is the time of the last
// step before it, since the instance may have missed the change.
func (s State) EarliestChange() time.Time {
	if !s.ResumedAt.IsZero() && s.At.Sub(s.ResumedAt) < resumeTime {
		return s.PausedAt
	}
	return s.At
}

// RegistryStamp returns the version of the registry that the instance knows.
func (r Routing) RegistryStamp() store.Stamp {
	return store.Stamp{
		Era:     r.RegistryEra,
		Version: r.RegistryVersion,
	}
}

// SameEra reports whether versions that a peer of the given era states compare with those of
// this instance. A peer of an older release states none: that matters only once the era has
// risen.
func (r Routing) SameEra(era int64) bool {
	return era == r.StoreEra || era == 0 && r.StoreEraSince.IsZero()
}

// WithRouting returns a copy of s with r.
func (s State) WithRouting(r Routing) State {
	s.Routing = r
	return s
}

// WithNews returns a copy of s with a change at now that all peers need to learn of,
// which is repeated for d to those that do not answer.
func (s State) WithNews(now time.Time, d time.Duration) State {
	s.Routing.NewsAt = now
	if until := now.Add(d); until.After(s.Routing.RepeatUntil) {
		s.Routing.RepeatUntil = until
	}
	return s
}

// WithMembers returns a copy of s with m.
func (s State) WithMembers(m member.Set) State {
	s.Members = m
	return s
}

// WithConfig returns a copy of s with c.
func (s State) WithConfig(c conf.State) State {
	s.Config = c
	return s
}

// WithIndex returns a copy of s with ix.
func (s State) WithIndex(ix prefix.Index) State {
	s.Index = ix
	return s
}

// WithLoads returns a copy of s with t.
func (s State) WithLoads(t load.Table) State {
	s.Loads = t
	return s
}

// WithAlarms returns a copy of s with t.
func (s State) WithAlarms(t alarm.Tracker) State {
	s.Alarms = t
	return s
}

// WithLease returns a copy of s with l.
func (s State) WithLease(l lease.Lease) State {
	s.Lease = l
	return s
}

// WithOwn returns a copy of s with the summary o.
func (s State) WithOwn(o Summary) State {
	s.Own = o
	return s
}

// WithStopping returns a copy of s that takes no new work.
func (s State) WithStopping() State {
	s.Stopping = true
	return s
}

// WithPeer returns a copy of s in which p is the state of the peer name.
func (s State) WithPeer(name string, p Peer) State {
	if s.peers == nil {
		s.peers = immutable.NewMap[string, Peer](nil)
	}
	s.peers = s.peers.Set(name, p)
	return s
}

// WithFresh returns a copy of s in which FreshUntil is recomputed from the times at
// which peers answered. An instance that forwards by routes does not use that time.
func (s State) WithFresh() State {
	if s.Routing.On {
		return s
	}
	var answered []time.Time
	for _, n := range s.Others() {
		answered = append(answered, s.Peer(n).LastAnswered)
	}
	s.FreshUntil = s.Config.FreshUntil(answered)
	return s
}

// Peer returns what is known of the instance name.
func (s State) Peer(name string) Peer {
	if s.peers == nil {
		return Peer{}
	}
	p, _ := s.peers.Get(name)
	return p
}

// Others returns the sorted names of the other known instances.
func (s State) Others() []string {
	var out []string
	for _, n := range s.Members.Nodes(member.Instance) {
		if n.Node.Name != s.Self.Name {
			out = append(out, n.Node.Name)
		}
	}
	return out
}

// Live returns how many instances are alive, including this one.
func (s State) Live(now time.Time) int { return len(s.Members.Live(s.Self.Name, now)) + 1 }

// Alive reports whether the given incarnation of an instance is running at now.
func (s State) Alive(incarnation string, now time.Time) bool {
	if incarnation == s.Self.Incarnation() {
		return true
	}
	for _, name := range s.Others() {
		if incarnation == name+"@"+s.Peer(name).Epoch {
			return slices.Contains(s.Members.Live(s.Self.Name, now), name)
		}
	}
	return false
}

// Ready reports whether the instance may take new work at now, and if not, why. An
// instance that is stopping still accepts what the load balancer sends to it.
func (s State) Ready(now time.Time) (bool, string) {
	switch {
	case s.Routing.On && s.Routing.Site.Version() == 0:
		return false, "no configuration was found in the store or at a peer"
	case s.Routing.On && s.Routing.RegistryVersion == 0:
		return false, "the registry of endpoints was not read in the store or at a peer"
	case s.Routing.On:
		return true, ""
	case !s.Config.Loaded():
		return false, "no configuration was found in the table, the object store or at a peer"
	case !s.Members.RegistryLoaded():
		return false, "the platform's list was not heard yet"
	case !now.Before(s.FreshUntil):
		return false, "neither the table nor a majority of the instances was heard lately"
	}
	return true, ""
}
