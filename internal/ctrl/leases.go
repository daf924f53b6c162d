package ctrl

import (
	"time"

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
