package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// Members tracks the nodes and their loads by polling.
type Members struct{}

// Step implements Controller.
func (m Members) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return s.WithFresh(), m.pollActions(s)
	case state.NodesListed:
		return m.handleNodeList(s, e)
	case state.Reported:
		return m.handleLoadReport(s, e, now)
	case state.Called:
		return handleCallOutcome(s, e, now)
	case state.Abandoned:
		return s, cancelStream(s, e)
	}
	return s, nil
}

// cancelStream tells the engine to end an abandoned stream, so that it spends no
// more work on it.
func cancelStream(s state.State, e state.Abandoned) []state.Action {
	n, ok := s.Members.Find(e.Endpoint)
	if !ok {
		return nil
	}
	return []state.Action{
		state.CancelStream{
			Endpoint: n,
			Attempt:  e.Attempt,
		},
	}
}

// pollActions polls the platform's list and the load of every endpoint.
func (Members) pollActions(s state.State) []state.Action {
	actions := []state.Action{state.ListNodes{}}
	for _, r := range [...]member.Role{member.Engine, member.Service} {
		for _, n := range s.Members.Nodes(r) {
			actions = append(actions, state.PollLoad{
				Endpoint: n,
			})
		}
	}
	return actions
}

// handleNodeList replaces the known nodes with those of the platform's list.
func (m Members) handleNodeList(s state.State, e state.NodesListed) (state.State, []state.Action) {
	first := len(s.Members.Nodes(member.Instance)) == 0
	s = s.WithMembers(s.Members.WithRegistry(e.Nodes)).WithFresh()
	if !first {
		return s, nil
	}
	// Poll at once after the first list, so that a restarted instance serves
	// without waiting for the next tick.
	return s, append(m.pollActions(s), broadcastHeartbeats(s)...)
}

// handleLoadReport records an endpoint's report, and logs changes of its epoch or of
// its departing flag.
func (Members) handleLoadReport(s state.State, e state.Reported, now time.Time) (state.State, []state.Action) {
	if e.Failed {
		return s.WithMembers(s.Members.WithFailure(e.Endpoint, now)), nil
	}
	old, _ := s.Members.Find(e.Endpoint)
	s = s.WithMembers(s.Members.WithReport(e.Endpoint, e.Report, now))
	s = s.WithLoads(s.Loads.WithReport(e.Endpoint, e.Work, now))
	if old.Report.Epoch == e.Report.Epoch && old.Report.Departing == e.Report.Departing {
		return s, nil
	}
	note := state.Note{
		Event: "endpoint",
		Pairs: []string{"endpoint", e.Endpoint, "epoch", e.Report.Epoch, "leaving", boolString(e.Report.Departing)},
	}
	if old.Report.Departing != e.Report.Departing {
		return s, append(broadcastHeartbeats(s), note)
	}
	return s, []state.Action{note}
}

// handleCallOutcome records the success or failure of a call for its endpoint, and
// logs when the endpoint becomes suspect.
func handleCallOutcome(s state.State, e state.Called, now time.Time) (state.State, []state.Action) {
	if !e.Failed {
		return s.WithMembers(s.Members.WithSuccess(e.Endpoint, now)), nil
	}
	before, _ := s.Members.Find(e.Endpoint)
	s = s.WithMembers(s.Members.WithFailure(e.Endpoint, now))
	after, ok := s.Members.Find(e.Endpoint)
	if !ok || before.SuspectUntil.After(now) || !after.SuspectUntil.After(now) {
		return s, nil
	}
	return s, []state.Action{
		state.Note{
			Event: "endpoint",
			Pairs: []string{
				"endpoint", e.Endpoint,
				"state", "suspect",
				"for", after.SuspectUntil.Sub(now).String(),
			},
		},
	}
}

func boolString(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
