package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// Cache maintains the prefix index.
type Cache struct{}

// Step implements Controller.
func (c Cache) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return s, c.pollActions(s)
	case state.Reported:
		if e.Failed {
			return s, nil
		}
		return s.WithIndex(s.Index.WithEpoch(e.Endpoint, e.Report.Epoch)), nil
	case state.CacheObserved:
		ix := s.Index.WithOutcome(e.Endpoint, e.Epoch, e.Hashes, e.Expected, e.Actual)
		return s.WithIndex(ix.WithStored(e.Endpoint, e.Epoch, e.Hashes, now)), nil
	case state.CacheEvents:
		return c.handleCacheEvents(s, e, now)
	}
	return s, nil
}

// pollActions polls the cache events of every engine whose epoch is known.
func (Cache) pollActions(s state.State) []state.Action {
	var actions []state.Action
	for _, n := range s.Members.Nodes(member.Engine) {
		if n.Report.Epoch == "" {
			continue
		}
		actions = append(actions, state.PollCacheEvents{
			Endpoint: n,
			After:    s.Index.Seq(n.Node.Name),
		})
	}
	return actions
}

// handleCacheEvents applies a batch of cache events to the prefix index and logs
// gaps in their sequence.
func (Cache) handleCacheEvents(s state.State, e state.CacheEvents, now time.Time) (state.State, []state.Action) {
	ix := s.Index
	var actions []state.Action
	for _, ev := range e.Events {
		if ev.Seq <= ix.Seq(e.Endpoint) {
			continue
		}
		next, lost := ix.WithSeq(e.Endpoint, e.Epoch, ev.Seq, now)
		ix = next
		if lost {
			actions = append(actions, state.Note{
				Event: "gap",
				Pairs: []string{"endpoint", e.Endpoint, "seq", strconv.FormatInt(ev.Seq, 10)},
			})
		}
		if ev.Removed {
			ix = ix.WithRemoved(e.Endpoint, e.Epoch, ev.Hashes)
			continue
		}
		ix = ix.WithStored(e.Endpoint, e.Epoch, ev.Hashes, now.Add(1))
	}
	return s.WithIndex(ix), actions
}
