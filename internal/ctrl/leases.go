package ctrl

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
)

// Leases takes and renews the leases of this instance.
type Leases struct{}

// Step returns the state after e.
func (Leases) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	l := s.Lease
	switch e := e.(type) {
	case state.Leased:
		if e.Op.Put {
			return s.WithLease(l.WithPut(e.Op, e.Version, e.Err)), nil
		}
		return s.WithLease(l.WithRow(e.Op, e.Row, e.Err)), nil
	case state.Stopping:
		l = l.WithYield()
	case state.Tick:
	default:
		return s, nil
	}
	if s.Routing.On {
		l = l.WithPlace(placeOf(s))
	}
	op, l, ok := l.Plan(now)
	s = s.WithLease(l)
	if !ok {
		return s, nil
	}
	return s, []state.Action{
		state.AskLease{
			Op: op,
		},
	}
}

// placeOf returns how many other instances are to take the lease before this one.
func placeOf(s state.State) int {
	own, before := xxhash.Sum64String(s.Self.Name), 0
	for _, m := range s.Routing.Mates {
		if xxhash.Sum64String(m.Name) > own {
			before++
		}
	}
	return before
}
