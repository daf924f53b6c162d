package ctrl

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/lease"
)

// handOver is how long an instance that stops goes on with the orders that are
// due, before it gives the lease back: three rounds of loads. It is less than the
// time for which a stopping instance lingers.
const handOver = 2 * time.Second

// Leases takes and renews the leases of this instance.
type Leases struct{}

// Step returns the state after e.
func (c Leases) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	l := s.Lease
	switch e := e.(type) {
	case state.Leased:
		l = l.WithClock(e.Clock)
		if e.Op.Put {
			l = l.WithPut(e.Op, e.Version, e.Err)
		} else {
			l = l.WithRow(e.Row, e.Err, now)
		}
		actions := c.changed(s.Lease, l, now)
		s = s.WithLease(l)
		if s.Routing.On && len(actions) > 0 && e.Op.Put {
			// Who is told need not read the row, and can take its turn.
			actions = append(actions, pulses(s)...)
		}
		return s, actions
	case state.Pulse:
		l = l.WithTold(e.Relay.Lease, e.Relay.LeaseAge, now)
		return s.WithLease(l), c.changed(s.Lease, l, now)
	case state.Stopping:
		s.Routing.HandOver = now.Add(handOver)
	case state.Tick:
	default:
		return s, nil
	}
	if s.Leaving && (!due(s, now) || !now.Before(s.Routing.HandOver)) {
		// The next holder waits for the quiet time after the last order. It loses
		// the least where the orders that are due were given.
		l = l.WithYield()
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

// changed notes a holder that is new, or a lease that was given back. While the
// row has to be read again, the last holder that was seen stands.
func (Leases) changed(before, after lease.Lease, now time.Time) []state.Action {
	if before.Holder() == after.Holder() && before.Valid(now, now) == after.Valid(now, now) {
		return nil
	}
	return []state.Action{
		state.Note{
			Event: "lease",
			Pairs: []string{
				"holder", after.Holder(),
				"before", before.Holder(),
				"own", yes(after.Valid(now, now)),
				"row", strconv.FormatInt(after.Row().Version, 10),
			},
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
