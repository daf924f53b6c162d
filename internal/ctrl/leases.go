package ctrl

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/lease"
)

// handOverTimeout is how long a stopping instance continues to send the orders that
// are due before it releases the lease: three rounds of weight loading. It is less
// than the time for which a stopping instance lingers.
const handOverTimeout = 2 * time.Second

// Leases acquires and renews the lease of this instance.
type Leases struct{}

// Step implements Controller.
func (c Leases) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	l := s.Lease
	switch e := e.(type) {
	case state.Leased:
		return c.handleResult(s, e, now)
	case state.Heartbeat:
		if !s.Routing.SameEra(e.Relay.Era) {
			return s, nil
		}
		l = l.WithPeerRow(e.Relay.Lease, e.Relay.LeaseAge, now)
		return s.WithLease(l), c.holderNotes(s.Lease, l, now)
	case state.Stopping:
		s.Routing.ReleaseDeadline = now.Add(handOverTimeout)
	case state.Tick:
	default:
		return s, nil
	}
	if s.Stopping && (!ordersDue(s, now) || !now.Before(s.Routing.ReleaseDeadline)) {
		// The next holder must wait for the quiet period after the last order. The
		// wait delays the least if the due orders were sent before.
		l = l.WithRelease()
	}
	if s.Routing.Joining {
		// All instances that start together would take themselves for the first in
		// order.
		return s.WithLease(l), nil
	}
	if s.Routing.On {
		l = c.withFleet(s, l, now)
	}
	op, l, ok := l.Plan(now)
	s = s.WithLease(l)
	if !ok {
		return s, nil
	}
	return s, []state.Action{
		state.RunLeaseOp{
			Op: op,
		},
	}
}

// withFleet returns l with this instance's place among its rivals and, unless somebody
// holds the lease, with what a new holder passes on.
func (Leases) withFleet(s state.State, l lease.Lease, now time.Time) lease.Lease {
	l = l.WithRivalsAhead(leaseOrder(s))
	if !l.Held(now) {
		l = l.WithNote(encodeDates(s, now))
	}
	return l
}

// handleResult applies the table's answer to an operation.
func (c Leases) handleResult(s state.State, e state.Leased, now time.Time) (state.State, []state.Action) {
	l := s.Lease.WithClock(e.Clock)
	if e.Op.Put {
		l = l.WithPut(e.Op, e.Version, e.Err)
	} else {
		l = l.WithRow(e.Row, e.Err, now)
	}
	actions := c.holderNotes(s.Lease, l, now)
	s = s.WithLease(l)
	if s.Routing.On && len(actions) > 0 && e.Op.Put {
		// A peer that receives the new row need not read it, and can take the
		// lease when it is next in order.
		actions = append(actions, broadcastHeartbeats(s)...)
	}
	return s, actions
}

// holderNotes returns a log line if the holder changed or this instance acquired or
// lost the lease. While the row has to be read again, the last known holder counts.
func (Leases) holderNotes(before, after lease.Lease, now time.Time) []state.Action {
	if before.Holder() == after.Holder() && before.Valid(now, now) == after.Valid(now, now) {
		return nil
	}
	return []state.Action{
		state.Note{
			Event: "lease",
			Pairs: []string{
				"holder", after.Holder(),
				"before", before.Holder(),
				"own", boolString(after.Valid(now, now)),
				"row", strconv.FormatInt(after.Row().Version, 10),
			},
		},
	}
}

// leaseOrder returns how many other instances take the lease in preference to this
// one.
func leaseOrder(s state.State) int {
	own, before := xxhash.Sum64String(s.Self.Name), 0
	for _, p := range s.Routing.Peers {
		if xxhash.Sum64String(p.Name) > own {
			before++
		}
	}
	return before
}
