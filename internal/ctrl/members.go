package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// Members looks after the nodes and their loads by polling them.
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
		return called(s, e, now)
	case state.Abandoned:
		return s, cancel(s, e)
	}
	return s, nil
}

// cancel has the engine end a stream, so that it spends nothing on it.
func cancel(s state.State, e state.Abandoned) []state.Action {
	n, ok := s.Members.Find(e.Endpoint)
	if !ok {
		return nil
	}
	return []state.Action{
		state.Cancel{
			Endpoint: n,
			Attempt:  e.Attempt,
		},
	}
}

// polls asks the list and every endpoint.
func (Members) polls(s state.State) []state.Action {
	actions := []state.Action{state.AskList{}}
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

// called counts the outcome of a call for or against its endpoint.
func called(s state.State, e state.Called, now time.Time) (state.State, []state.Action) {
	if !e.Failed {
		return s.WithMembers(s.Members.WithSuccess(e.Endpoint, now)), nil
	}
	before, _ := s.Members.Find(e.Endpoint)
	s = s.WithMembers(s.Members.WithFailure(e.Endpoint, now))
	after, ok := s.Members.Find(e.Endpoint)
	if !ok || before.Suspect.After(now) || !after.Suspect.After(now) {
		return s, nil
	}
	return s, []state.Action{
		state.Note{
			Event: "endpoint",
			Pairs: []string{
				"endpoint", e.Endpoint,
				"state", "suspect",
				"for", after.Suspect.Sub(now).String(),
			},
		},
	}
}

func yes(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
