package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
)

// Follow learns from their events what endpoints have cached. Single events may
// never arrive, so that the index is a belief: an endpoint that lacks what it
// was believed to hold reads it.
type Follow struct{}

// Step returns the state after e.
func (c Follow) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return s, c.polls(s)
	case state.Cached:
		return c.cached(s, e, now), nil
	}
	return s, nil
}

// polls asks the engines and the store of cached prompts for their events.
func (Follow) polls(s state.State) []state.Action {
	var actions []state.Action
	for _, e := range s.Members.Nodes(member.Engine) {
		actions = append(actions, state.AskCache{
			Endpoint: e,
			After:    s.Index.Seq(e.Node.Name),
		})
	}
	if kept, ok := s.Relay.Site.Store(); ok {
		actions = append(actions, state.AskCache{
			Endpoint: member.Endpoint{
				Node: member.Node{
					Name:   kept.Name,
					Addr:   kept.Store,
					Domain: kept.Domain,
				},
			},
			After: s.Relay.Kept.Seq(kept.Name),
		})
	}
	return actions
}

func (Follow) cached(s state.State, e state.Cached, now time.Time) state.State {
	if kept, ok := s.Relay.Site.Store(); ok && kept.Name == e.Endpoint {
		s.Relay.Kept = learn(s.Relay.Kept, e, now)
		return s
	}
	return s.WithIndex(learn(s.Index, e, now))
}

// learn returns ix after the events of e.
func learn(ix prefix.Index, e state.Cached, now time.Time) prefix.Index {
	ix = ix.WithEpoch(e.Endpoint, e.Epoch).WithNext(e.Endpoint, e.Epoch, e.Next, e.Lost, now)
	for _, ev := range e.Events {
		if ev.Removed {
			ix = ix.WithRemoved(e.Endpoint, e.Epoch, ev.Hashes)
			continue
		}
		ix = ix.WithStored(e.Endpoint, e.Epoch, ev.Hashes, now.Add(1))
	}
	return ix
}
