package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// fullMesh is how many other instances get each pulse; of more, each pulse
// goes to the next so many in turn.
const fullMesh = 16

// Members looks after the nodes, their loads and the pulses between instances.
type Members struct{}

// Step returns the state after e.
func (m Members) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return s.WithFresh(), m.polls(s)
	case state.Listed:
		return m.listed(s, e)
	case state.Reported:
		return m.reported(s, e, now)
	case state.Called:
		return m.called(s, e, now), nil
	case state.Pulse:
		return m.pulse(s, e, now), nil
	case state.Collected:
		return m.collected(s, e)
	case state.Stopping:
		s = s.WithLeaving()
		return s, pulses(s)
	}
	return s, nil
}

// polls asks the list and every endpoint.
func (Members) polls(s state.State) []state.Action {
	actions := []state.Action{state.AskList{}, state.Collect{}}
	for _, r := range [...]member.Role{member.Engine, member.Service} {
		for _, n := range s.Members.Nodes(r) {
			actions = append(actions, state.AskLoad{
				Endpoint: n,
			})
		}
	}
	return actions
}

func (m Members) listed(s state.State, e state.Listed) (state.State, []state.Action) {
	first := len(s.Members.Nodes(member.Instance)) == 0
	s = s.WithMembers(s.Members.WithList(e.Nodes)).WithFresh()
	if !first {
		return s, nil
	}
	// The first list is followed up at once, so that a restarted instance
	// serves without waiting for the next tick.
	return s, append(m.polls(s), pulses(s)...)
}

func (Members) reported(s state.State, e state.Reported, now time.Time) (state.State, []state.Action) {
	if e.Failed {
		return s.WithMembers(s.Members.WithFailure(e.Endpoint, now)), nil
	}
	old, _ := s.Members.Find(e.Endpoint)
	s = s.WithMembers(s.Members.WithReport(e.Endpoint, e.Report, now))
	s = s.WithLoads(s.Loads.WithReport(e.Endpoint, e.Work, now))
	if old.Report.Epoch == e.Report.Epoch && old.Report.Leaving == e.Report.Leaving {
		return s, nil
	}
	note := state.Note{
		Event: "endpoint",
		Pairs: []string{"endpoint", e.Endpoint, "epoch", e.Report.Epoch, "leaving", yes(e.Report.Leaving)},
	}
	if old.Report.Leaving != e.Report.Leaving {
		return s, append(pulses(s), note)
	}
	return s, []state.Action{note}
}

func (Members) called(s state.State, e state.Called, now time.Time) state.State {
	if e.Failed {
		return s.WithMembers(s.Members.WithFailure(e.Endpoint, now))
	}
	return s.WithMembers(s.Members.WithSuccess(e.Endpoint, now))
}

func (Members) pulse(s state.State, e state.Pulse, now time.Time) state.State {
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
		s = s.WithMembers(s.Members.WithAccused(name, now))
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

func (Members) collected(s state.State, e state.Collected) (state.State, []state.Action) {
	own := e.Summary
	own.Beat = s.Own.Beat + 1
	s = s.WithOwn(own)
	return s, pulses(s)
}

// pulses sends what this instance knows to the others.
func pulses(s state.State) []state.Action {
	others := s.Others()
	from := 0
	if len(others) > fullMesh {
		from = int(s.Own.Beat) * fullMesh % len(others)
	}
	var actions []state.Action
	for i := range min(len(others), fullMesh) {
		n, _ := s.Members.Find(others[(from+i)%len(others)])
		actions = append(actions, state.SendPulse{
			To:    n.Node,
			Pulse: PulseOf(s),
		})
	}
	return actions
}

// PulseOf returns what an instance in state s tells its peers.
func PulseOf(s state.State) state.Pulse {
	return state.Pulse{
		Name:    s.Self.Name,
		Epoch:   s.Self.Epoch,
		Version: s.Config.Document().Version,
		Leaving: s.Leaving,
		Summary: s.Own,
		Drained: s.Members.Leaving(),
	}
}

func yes(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
