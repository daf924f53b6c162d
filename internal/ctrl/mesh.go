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
	// fullMesh is the number of other instances up to which each pulse goes to all.
	fullMesh = 9
	// meshWork bounds the pulses of larger fleets: each instance sends about
	// meshWork/n of them at each tick, to the others in turn.
	meshWork = fullMesh * fullMesh
	// tableSilence is how long the table may be unheard before pulses go to all
	// others again, by which a majority is known.
	tableSilence = 1 * time.Second
	// nameLife is for how long peers are told of a version of weights that is not
	// wanted any more: longer than the platform grants to begin on older ones.
	nameLife = 15 * time.Second
	// mostTold is how many endpoints and teams a pulse tells of at most.
	mostTold = 32
)

// Mesh looks after the pulses between instances.
type Mesh struct {
	// Every is the ticks between two pulses; 0 means one at each tick.
	Every uint64
}

// Step returns the state after e.
func (m Mesh) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s.Ticks++
		if s.Ticks%max(m.Every, 1) != 0 {
			return s, nil
		}
		return s, []state.Action{state.Collect{}}
	case state.Pulse:
		return m.pulse(s, e, now), nil
	case state.Collected:
		s = s.WithOwn(e.Summary.Most(mostTold).WithBeat(s.Own.Beat + 1))
		return s, turn(s, now)
	case state.Stopping:
		s = s.WithLeaving()
		return s, pulses(s)
	}
	return s, nil
}

func (Mesh) pulse(s state.State, e state.Pulse, now time.Time) state.State {
	p := s.Peer(e.Name)
	if e.Sent.After(p.Heard) {
		p.Heard = e.Sent
	}
	if p.Epoch != e.Epoch {
		p.Epoch = e.Epoch
		p.Beat = 0
	}
	fresh := e.Summary.Beat > p.Beat
	p.Beat = max(p.Beat, e.Summary.Beat)
	s = s.WithPeer(e.Name, p)
	s = s.WithMembers(s.Members.WithReport(e.Name, member.Report{
		Epoch:   e.Epoch,
		Leaving: e.Leaving,
	}, now))
	for _, name := range e.Drained {
		if !outdated(s, e, name) {
			s = s.WithMembers(s.Members.WithAccused(name, now))
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

// pulses sends news to all others, or to some of a larger fleet that forwards by
// routes: all of its instances have the news from the store and pass it on, and
// it is enough that those which are cut off hear it from one of them.
func pulses(s state.State) []state.Action {
	others := s.Others()
	if !s.Routing.On || len(others) <= fullMesh {
		return pulsesTo(s, others)
	}
	from := int(xxhash.Sum64String(s.Self.Name)+s.Own.Beat) % len(others)
	if from < 0 {
		from += len(others)
	}
	return pulsesTo(s, append(slices.Clone(others[from:]), others[:from]...)[:fullMesh])
}

// turn sends it to those whose turn it is.
func turn(s state.State, now time.Time) []state.Action {
	others := s.Others()
	n := len(others)
	if n <= fullMesh || !s.Routing.On && now.Sub(s.Config.Table()) > tableSilence {
		return pulsesTo(s, others)
	}
	beat := int(s.Own.Beat)
	from, to := (beat-1)*meshWork/n, beat*meshWork/n
	var chosen []string
	for i := from; i < to; i++ {
		chosen = append(chosen, others[i%n])
	}
	return pulsesTo(s, chosen)
}

func pulsesTo(s state.State, names []string) []state.Action {
	pulse := PulseOf(s)
	actions := make([]state.Action, 0, len(names))
	for _, name := range names {
		n, _ := s.Members.Find(name)
		actions = append(actions, state.SendPulse{
			To:    n.Node,
			Pulse: pulse,
		})
	}
	return actions
}

// PulseOf returns what an instance in state s tells its peers.
func PulseOf(s state.State) state.Pulse {
	drained := s.Members.Leaving()
	for name := range s.Routing.Left {
		drained = append(drained, name)
	}
	return state.Pulse{
		Name:    s.Self.Name,
		Epoch:   s.Self.Epoch,
		Version: s.Config.Document().Version,
		Leaving: s.Leaving,
		Summary: s.Own,
		Drained: drained,
		Relay:   relayOf(s, drained),
	}
}

// relayOf returns what an instance that forwards by routes tells besides.
func relayOf(s state.State, drained []string) state.Relay {
	if !s.Routing.On {
		return state.Relay{}
	}
	r := state.Relay{
		Addr:    s.Self.Addr,
		Domain:  s.Self.Domain,
		Site:    s.Routing.Site.Version(),
		Listing: s.Routing.Listing,
		Follows: s.Routing.Follows,
		Lease:   s.Lease.Row(),
		// Who starts need not watch the row anew.
		LeaseAge: s.Lease.Unchanged(s.At),
	}
	if len(s.Routing.Mates) <= fullMesh {
		r.Mates = s.Routing.Mates
	}
	r.Names = namesOf(s)
	r.Weights = s.Routing.News
	r.Leavers = make(map[string]int64, len(drained))
	for _, name := range drained {
		if v, ok := s.Routing.Leavers[name]; ok {
			r.Leavers[name] = v
		}
	}
	return r
}

// outdated tells whether a peer's word that name is leaving is older than the
// registry's word to this instance that it is ready.
func outdated(s state.State, e state.Pulse, name string) bool {
	entered, ok := s.Routing.Entered[name]
	return ok && wordOf(e, name) <= entered
}

// wordOf returns the registry's version behind a peer's word that name is leaving.
func wordOf(e state.Pulse, name string) int64 {
	if v, ok := e.Relay.Leavers[name]; ok {
		return v
	}
	return e.Relay.Listing
}

// namesOf returns the versions of weights that matter to others: those that are
// wanted, and those before them by which old weights are judged.
func namesOf(s state.State) []state.Named {
	var out []state.Named
	book := s.Routing.Weights
	for _, model := range slices.Sorted(maps.Keys(book.AllNamed())) {
		for _, n := range book.Past(model) {
			told := state.Named{
				Model:   model,
				Version: n.Version,
				Dated:   !n.Since.IsZero(),
			}
			if told.Dated {
				told.Age = s.At.Sub(n.Since)
			}
			if n.Version == book.Named(model).Version || told.Age <= nameLife {
				out = append(out, told)
			}
		}
	}
	return out
}
