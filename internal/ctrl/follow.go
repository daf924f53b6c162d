package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// followShare is the part of the calls for events an endpoint takes that is
	// used. Instances that started apart may disagree for a while on who follows.
	followShare = 0.75
	// followTotal is how many engines all instances follow together, each counted
	// for each of its followers. It bounds the bytes of a large fleet.
	followTotal = 100
	// followTicks is the ticks between two reads of an endpoint's events.
	followTicks = 4
)

// Follow learns from their events what endpoints have cached. Single events may
// never arrive, so that the index is a belief: an endpoint that lacks what it
// was believed to hold reads it.
type Follow struct{}

// Step returns the state after e.
func (c Follow) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		if s.Ticks%followTicks != 0 {
			return s, nil
		}
		return s, c.polls(s)
	case state.Cached:
		return c.cached(s, e, now)
	}
	return s, nil
}

// polls asks the engines and the store of cached prompts for their events, as
// far as it is this instance's part to follow them.
func (Follow) polls(s state.State) []state.Action {
	var actions []state.Action
	engines := max(len(s.Members.Nodes(member.Engine)), 1)
	each := (followTotal + engines - 1) / engines
	for _, v := range s.Routing.Site.Services() {
		if len(v.Models) == 0 {
			continue
		}
		for _, e := range s.Members.Pool(v.Name) {
			if follows(s, e.Node.Name, min(each, share(v.Follows))) {
				actions = append(actions, state.AskCache{
					Endpoint: e,
					After:    s.Index.Seq(e.Node.Name),
				})
			}
		}
	}
	for _, v := range s.Routing.Site.Stores() {
		if !FollowsStore(s, v) {
			continue
		}
		actions = append(actions, state.AskCache{
			Endpoint: member.Endpoint{
				Node: member.Node{
					Name:   v.Name,
					Addr:   v.Store,
					Domain: v.Domain,
				},
			},
			After: s.Routing.Kept.Seq(v.Name),
		})
	}
	return actions
}

// FollowsStore tells whether this instance follows a store of cached prompts.
func FollowsStore(s state.State, store site.Service) bool {
	return follows(s, store.Name, share(store.Follows))
}

// share is how many of the calls that an endpoint takes at once are used.
func share(limit int) int { return int(followShare * float64(limit)) }

// follows tells whether this instance is among the given number of those that
// follow an endpoint. Rendezvous hashing names the same ones everywhere without
// messages.
func follows(s state.State, endpoint string, most int) bool {
	own, before := xxhash.Sum64String(endpoint+"/"+s.Self.Name), 0
	for _, m := range s.Routing.Mates {
		if xxhash.Sum64String(endpoint+"/"+m.Name) > own {
			before++
		}
	}
	return before < most
}

func (c Follow) cached(s state.State, e state.Cached, now time.Time) (state.State, []state.Action) {
	isStore := slices.ContainsFunc(s.Routing.Site.Stores(), func(v site.Service) bool { return v.Name == e.Endpoint })
	switch {
	case isStore:
		return c.kept(s, e, now)
	case e.Failed:
		return s, nil
	}
	return s.WithIndex(learn(s.Index, e, now)), nil
}

// kept takes what a store of cached prompts told, or that it is away.
func (Follow) kept(s state.State, e state.Cached, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	if s.Routing.Away[e.Endpoint] != e.Failed {
		what := "regained"
		if e.Failed {
			what = "lost"
		}
		actions = append(actions, state.Note{
			Event: "dependency",
			Pairs: []string{"name", e.Endpoint, "state", what, "reason", "store of cached prompts"},
		})
		next := maps.Clone(s.Routing.Away)
		if next == nil {
			next = map[string]bool{}
		}
		next[e.Endpoint] = e.Failed
		s.Routing.Away = next
	}
	if !e.Failed {
		s.Routing.Kept = learn(s.Routing.Kept, e, now)
	}
	return s, actions
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
