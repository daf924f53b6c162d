package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// followerShare is the share of the event calls that an endpoint accepts that
	// the followers may use. The rest is headroom, since instances that started at
	// different times may disagree for a while on who follows.
	followerShare = 0.75
	// totalFollowers is the number of engine subscriptions of all instances
	// together, each engine counted once per follower. It bounds the traffic in a
	// large fleet.
	totalFollowers = 100
	// followTicks is the number of ticks between two reads of an endpoint's events.
	followTicks = 4
)

// Follow learns from cache events which prompts endpoints have cached. Events may be
// lost, so the index is only an estimate: an endpoint that lacks blocks it was
// predicted to have processes them again.
type Follow struct{}

// Step implements Controller.
func (c Follow) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		if s.Ticks%followTicks != 0 {
			return s, nil
		}
		s = withoutUnfollowed(withRanks(s))
		return s, c.pollActions(s)
	case state.CacheEvents:
		return c.handleCacheEvents(s, e, now)
	}
	return s, nil
}

// pollActions polls the cache events of the engines and of the stores of cached
// prompts that this instance follows.
func (Follow) pollActions(s state.State) []state.Action {
	var actions []state.Action
	engines := max(len(s.Members.Nodes(member.Engine)), 1)
	each := (totalFollowers + engines - 1) / engines
	for _, v := range s.Routing.Site.Services() {
		if len(v.Models) == 0 {
			continue
		}
		limit, pool := min(each, followerLimit(v.Follows)), s.Members.Pool(v.Name)
		for i := range pool {
			e := &pool[i]
			if rank, ok := s.Routing.Ranks.Of(e.Node.Name); ok && rank < limit {
				actions = append(actions, state.PollCacheEvents{
					Endpoint: *e,
					After:    s.Index.Seq(e.Node.Name),
				})
			}
		}
	}
	for _, v := range s.Routing.Site.Stores() {
		if !followsStore(s, v) {
			continue
		}
		actions = append(actions, state.PollCacheEvents{
			Endpoint: member.Endpoint{
				Node: member.Node{
					Name:   v.Name,
					Addr:   v.Store,
					Domain: v.Domain,
				},
			},
			After: s.Routing.StoreIndex.Seq(v.Name),
		})
	}
	return actions
}

// followsStore reports whether this instance follows a store of cached prompts.
func followsStore(s state.State, v site.Service) bool {
	rank, ok := s.Routing.Ranks.Of(v.Name)
	return ok && rank < followerLimit(v.Follows)
}

// withoutUnfollowed returns s in which no store counts as unreachable that this instance
// does not follow: it would not learn that the store answers again. Instances that start
// follow all stores until they know their peers, and stores refuse most of those calls.
func withoutUnfollowed(s state.State) state.State {
	if len(s.Routing.UnreachableStores) == 0 {
		return s
	}
	next := map[string]bool{}
	for _, v := range s.Routing.Site.Stores() {
		if s.Routing.UnreachableStores[v.Name] && followsStore(s, v) {
			next[v.Name] = true
		}
	}
	s.Routing.UnreachableStores = next
	return s
}

// withRanks returns s with the instance's ranks for all endpoints that can be followed.
// An endpoint is followed by the instances with the lowest ranks.
func withRanks(s state.State) state.State {
	endpoints := len(s.Members.Nodes(member.Engine)) + len(s.Routing.Site.Stores())
	// Endpoints that are gone keep their ranks until they outnumber the others.
	r := s.Routing.Ranks.WithPeers(s.Self.Name, s.Routing.Peers, 2*endpoints+2)
	for _, v := range s.Routing.Site.Services() {
		if len(v.Models) == 0 {
			continue
		}
		pool := s.Members.Pool(v.Name)
		for i := range pool {
			r = r.WithEndpoint(pool[i].Node.Name)
		}
	}
	for _, v := range s.Routing.Site.Stores() {
		r = r.WithEndpoint(v.Name)
	}
	r = r.WithEndpoint(state.OperatorsTable).WithEndpoint(state.RegistryTable)
	s.Routing.Ranks = r
	return s
}

// followerLimit returns how many followers an endpoint may have that accepts limit
// event calls at once.
func followerLimit(limit int) int { return int(followerShare * float64(limit)) }

// handleCacheEvents applies a batch of cache events to the index of the engines or
// of the stores.
func (c Follow) handleCacheEvents(s state.State, e state.CacheEvents, now time.Time) (state.State, []state.Action) {
	isStore := slices.ContainsFunc(s.Routing.Site.Stores(), func(v site.Service) bool { return v.Name == e.Endpoint })
	switch {
	case isStore:
		return c.handleStoreEvents(s, e, now)
	case e.Failed:
		return s, nil
	}
	return s.WithIndex(applyCacheEvents(s.Index, e, now)), nil
}

// handleStoreEvents handles the events of a store of cached prompts, and logs when
// the store becomes unreachable or reachable.
func (Follow) handleStoreEvents(s state.State, e state.CacheEvents, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	if s.Routing.UnreachableStores[e.Endpoint] != e.Failed {
		status := "regained"
		if e.Failed {
			status = "lost"
		}
		actions = append(actions, state.Note{
			Event: "dependency",
			Pairs: []string{"name", e.Endpoint, "state", status, "reason", "store of cached prompts"},
		})
		next := maps.Clone(s.Routing.UnreachableStores)
		if next == nil {
			next = map[string]bool{}
		}
		next[e.Endpoint] = e.Failed
		s.Routing.UnreachableStores = next
	}
	if !e.Failed {
		s.Routing.StoreIndex = applyCacheEvents(s.Routing.StoreIndex, e, now)
	}
	return s, actions
}

// applyCacheEvents returns ix with the events of e applied.
func applyCacheEvents(ix prefix.Index, e state.CacheEvents, now time.Time) prefix.Index {
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
