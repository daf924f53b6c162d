package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/conf"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

const (
	// standstill is the time between two steps from which on the instance counts as
	// having stood still: several ticks.
	standstill = 1 * time.Second
	// wakeTime is how long after a standstill news may still come that were missed:
	// some reads of the store.
	wakeTime = 1 * time.Second
)

// Self is what an instance knows of itself from its settings.
type Self struct {
	// Name is the instance's name in the platform's list.
	Name string
	// Epoch identifies this incarnation of the instance.
	Epoch string
	// Domain is the instance's failure domain.
	Domain string
	// Addr is where other instances reach it; empty where the list says so.
	Addr string
}

// Incarnation returns the name and epoch in one word.
func (s Self) Incarnation() string { return s.Name + "@" + s.Epoch }

// State is all control state of one instance.
type State struct {
	// Self is the instance.
	Self Self
	// Members is the nodes and which endpoints take work.
	Members member.Set
	// Config is the configuration in force.
	Config conf.State
	// Index is the prefix index.
	Index prefix.Index
	// Loads is the load of endpoints as others report it.
	Loads load.Table
	// Alarms is the promises and their alarms.
	Alarms alarm.Book
	// Lease is the lease under which one instance gives orders and announces alarms.
	Lease lease.Lease
	// Fresh is up to when new work may be taken without hearing more.
	Fresh time.Time
	// At is when the last step was made.
	At time.Time
	// Stood is when the last step before the last standstill was made, and Woke
	// the first one after it.
	Stood time.Time
	Woke  time.Time
	// Leaving tells that the instance takes no new work.
	Leaving bool
	// Own is what the instance tells its peers.
	Own Summary
	// Ticks counts the ticks since the start.
	Ticks uint64
	// Routing is what an instance that forwards by routes knows besides.
	Routing Routing
	// peers is what is known of other instances. Invariant: never written.
	peers map[string]Peer
}

// Routing is the state of an instance that forwards requests by routes.
type Routing struct {
	// On tells that the instance does.
	On bool
	// Site is the configuration in force, and Began when the first one came.
	Site  site.Site
	Began time.Time
	// SiteHeard and ListingHeard are when the store, or a peer that hears it, last
	// confirmed the configuration and the listing; zero before the first time.
	SiteHeard    time.Time
	ListingHeard time.Time
	// Ahead is the newest configuration that a peer is known to have.
	Ahead Ahead
	// Weights is which weights are wanted and which engines hold.
	Weights weight.Book
	// Listing is the version of the registry of endpoints that is known; 0 before
	// it was read.
	Listing int64
	// Kept is what the stores of cached prompts hold. It is apart from the index
	// of engines, whose entries for hot parts they would be put out of.
	Kept prefix.Index
	// Away are the stores of cached prompts that do not answer. An engine would
	// wait for one for some hundred milliseconds. Invariant: never written.
	Away map[string]bool
	// Follows tells that the platform's store answers, and Since when it began
	// or ceased to.
	Follows bool
	Since   time.Time
	// Going are endpoints whose entries vanished while the store may have been
	// forgetful, and when they count as gone. Invariant: never written.
	Going map[string]time.Time
	// Left are endpoints whose entries were removed lately, and when. Invariant:
	// never written.
	Left map[string]time.Time
	// Leavers are the endpoints that are leaving or gone, and Entered all that were
	// read as ready, each with the version of the registry that says so. Invariant:
	// never written.
	Leavers map[string]int64
	Entered map[string]int64
	// RepeatUntil is until when news are told to all others at each tick.
	RepeatUntil time.Time
	// News is what the others have to be told of engines' weights. Invariant:
	// never written.
	News []EngineWeights
	// HandOver is when this instance, which is stopping, gives the lease for orders
	// back at the latest.
	HandOver time.Time
	// Mates are the other instances. Invariant: never written.
	Mates []member.Node
}

// Ahead is a newer configuration that a peer has.
type Ahead struct {
	// Version is the configuration's.
	Version int64
	// From is the peer.
	From member.Node
	// Since is when the first peer told of a newer one, or when it was asked for
	// the last time.
	Since time.Time
}

// Peer is what is known of another instance.
type Peer struct {
	// Epoch is its incarnation.
	Epoch string
	// Heard is when the last call that it answered was sent.
	Heard time.Time
	// Beat is the number of its last pulse.
	Beat uint64
}

// Summary is what an instance tells its peers of an interval.
type Summary struct {
	// Beat counts the summaries of an incarnation.
	Beat uint64
	// Work is this instance's work by endpoint.
	Work map[string]load.Work
	// Usage is the cost a second that was served, by team.
	Usage map[string]float64
	// Tally is the outcomes by policy.
	Tally map[string]alarm.Tally
}

// WithBeat returns a copy of s with the given number.
func (s Summary) WithBeat(beat uint64) Summary {
	s.Beat = beat
	return s
}

// Most returns a copy of s that tells of at most n endpoints and n teams, those
// with the most work and usage.
func (s Summary) Most(n int) Summary {
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

// New returns the state of an instance that just started.
func New(self Self) State {
	return State{
		Self:  self,
		Lease: lease.New("lease/orders", self.Incarnation()),
	}
}

// Forwarding returns the state of an instance that just started and forwards
// requests by routes. It gives orders under l.
func Forwarding(self Self, l lease.Lease) State {
	s := New(self)
	s.Lease = l
	s.Members = member.Unpolled()
	s.Routing.On = true
	return s
}

// WithStep returns a copy of s in which a step is made at now.
func (s State) WithStep(now time.Time) State {
	if !s.At.IsZero() && now.Sub(s.At) > standstill {
		s.Stood, s.Woke = s.At, now
	}
	s.At = now
	return s
}

// Happened returns since when what the instance learns now may be so. It may have
// missed it while it stood still.
func (s State) Happened() time.Time {
	if !s.Woke.IsZero() && s.At.Sub(s.Woke) < wakeTime {
		return s.Stood
	}
	return s.At
}

// WithRouting returns a copy of s with r.
func (s State) WithRouting(r Routing) State {
	s.Routing = r
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

// WithAlarms returns a copy of s with b.
func (s State) WithAlarms(b alarm.Book) State {
	s.Alarms = b
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

// WithLeaving returns a copy of s that takes no new work.
func (s State) WithLeaving() State {
	s.Leaving = true
	return s
}

// WithPeer returns a copy of s that knows p of the instance name.
func (s State) WithPeer(name string, p Peer) State {
	next := maps.Clone(s.peers)
	if next == nil {
		next = map[string]Peer{}
	}
	next[name] = p
	s.peers = next
	return s
}

// WithFresh returns a copy of s in which Fresh follows from what was heard.
func (s State) WithFresh() State {
	var heard []time.Time
	for _, n := range s.Others() {
		heard = append(heard, s.peers[n].Heard)
	}
	s.Fresh = s.Config.Until(heard)
	return s
}

// Peer returns what is known of the instance name.
func (s State) Peer(name string) Peer { return s.peers[name] }

// Others returns the names of the other instances in the platform's list, in order.
func (s State) Others() []string {
	var out []string
	for _, n := range s.Members.Nodes(member.Instance) {
		if n.Node.Name != s.Self.Name {
			out = append(out, n.Node.Name)
		}
	}
	return out
}

// Live returns how many instances, this one included, answer.
func (s State) Live(now time.Time) int { return len(s.Members.Live(s.Self.Name, now)) + 1 }

// Alive tells whether the given incarnation of an instance runs at now.
func (s State) Alive(incarnation string, now time.Time) bool {
	if incarnation == s.Self.Incarnation() {
		return true
	}
	for _, name := range s.Others() {
		if incarnation == name+"@"+s.peers[name].Epoch {
			return slices.Contains(s.Members.Live(s.Self.Name, now), name)
		}
	}
	return false
}

// Ready tells whether the instance may take new work at now, and why not. An
// instance that is stopping still takes what the balancer sends it.
func (s State) Ready(now time.Time) (bool, string) {
	switch {
	case s.Routing.On && s.Routing.Site.Version() == 0:
		return false, "no configuration was found in the store or at a peer"
	case s.Routing.On && s.Routing.Listing == 0:
		return false, "the registry of endpoints was not read in the store or at a peer"
	case s.Routing.On:
		return true, ""
	case !s.Config.Loaded():
		return false, "no configuration was found in the table, the object store or at a peer"
	case !s.Members.Listed():
		return false, "the platform's list was not heard yet"
	case !now.Before(s.Fresh):
		return false, "neither the table nor a majority of the instances was heard lately"
	}
	return true, ""
}
