package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// copiedTable is a table that can come back from an older copy.
type copiedTable struct {
	row     store.Row
	version int64
	era     int64
	clock   time.Duration
	past    []tableCopy
	// late holds writes that are carried out later, unless their condition fails.
	late []store.Row
}

// tableCopy is a copy of a table.
type tableCopy struct {
	at      time.Time
	row     store.Row
	version int64
}

// put carries out a write and reports whether its condition held.
func (t *copiedTable) put(r store.Row, now time.Time) bool {
	if r.Version != t.row.Version {
		return false
	}
	t.version++
	t.row = r
	t.row.Version, t.row.Era = t.version, t.era
	t.past = append(t.past, tableCopy{
		at:      now,
		row:     t.row,
		version: t.version,
	})
	return true
}

// comeBack replaces the table by a copy of the given age, whose clock may go back as well.
func (t *copiedTable) comeBack(age, clock time.Duration, now time.Time) {
	for len(t.past) > 0 && t.past[len(t.past)-1].at.After(now.Add(-age)) {
		t.past = t.past[:len(t.past)-1]
	}
	t.row, t.version = store.Row{}, 0
	if n := len(t.past); n > 0 {
		t.row, t.version = t.past[n-1].row, t.past[n-1].version
	}
	t.era++
	t.row.Era = t.era
	t.clock -= clock
}

// do executes op for l, of which lost says whether the response is lost and late whether
// it is carried out later, too.
func (t *copiedTable) do(l lease.Lease, op lease.Op, lost, late bool) lease.Lease {
	if lost && op.Put {
		if late {
			t.late = append(t.late, op.Row)
		} else {
			t.put(op.Row, op.Sent)
		}
		return l.WithPut(op, 0, store.ErrLost)
	}
	l = l.WithEra(t.era, op.Sent).WithClock(store.Clock{
		Reading: op.Sent.Sub(start) + t.clock,
		SentAt:  op.Sent,
		Era:     t.era,
	})
	switch {
	case !op.Put && t.row.Version == 0:
		return l.WithRow(store.Row{}, store.ErrMissing, op.Sent)
	case !op.Put:
		return l.WithRow(t.row, nil, op.Sent)
	case t.put(op.Row, op.Sent):
		return l.WithPut(op, t.row.Version, nil)
	}
	return l.WithPut(op, 0, store.ErrConflict)
}

// Guards against a second holder, or a fencing token that is given out twice, after the
// table has come back from an older copy: it may name a former holder or none, have a
// released or an idle row, and carry out writes of the era before.
func TestOneHolderAcrossErasOfTheTable(t *testing.T) {
	const quiet = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		tab := copiedTable{
			era:   1,
			clock: time.Hour,
		}
		opts := []lease.Option{lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(quiet)}
		leases := make([]lease.Lease, 3)
		stopping, names := make([]time.Time, len(leases)), make([]string, len(leases))
		starts := 0
		begin := func(i int) {
			starts++
			stopping[i] = time.Time{}
			names[i] = fmt.Sprintf("n%d@%d", i, starts)
			leases[i] = lease.New("lease/orders", names[i], opts...).WithRivalsAhead(i)
		}
		for i := range leases {
			begin(i)
		}
		now := start
		orders := orderCheck{
			quiet: quiet,
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond)
			who := rapid.IntRange(0, len(leases)-1).Draw(t, "who")
			switch rapid.IntRange(0, 30).Draw(t, "fault") {
			case 0:
				age := time.Duration(rapid.IntRange(0, 12000).Draw(t, "age")) * time.Millisecond
				tab.comeBack(age, rapid.SampledFrom([]time.Duration{0, age}).Draw(t, "clock"), now)
			case 1:
				begin(who)
			case 2:
				leases[who], stopping[who] = leases[who].WithRelease(), now
			case 3:
				for _, r := range tab.late {
					tab.put(r, now)
				}
				tab.late = nil
			}
			for i := range leases {
				if !stopping[i].IsZero() && now.Sub(stopping[i]) > 2*time.Second {
					begin(i)
				}
				leases[i] = leases[i].WithOrdersDue(rapid.IntRange(0, 2).Draw(t, "due") > 0)
				if op, next, ok := leases[i].Plan(now); ok {
					lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
					leases[i] = tab.do(next, op, lost, lost && rapid.Bool().Draw(t, "late"))
				}
			}
			for i := range leases {
				leases[i] = orders.send(t, leases[i], names[i], now)
			}
		}
	})
}

// orderCheck checks the orders of all holders of a lease.
type orderCheck struct {
	quiet time.Duration
	// The last holder that sent one, as name@incarnation, its token and when it did.
	last  string
	token int64
	at    time.Time
}

// send sends an order of the instance name if its lease l allows it.
func (c *orderCheck) send(t *rapid.T, l lease.Lease, name string, now time.Time) lease.Lease {
	if !l.MayOrder(now, now.Add(100*time.Millisecond)) {
		return l
	}
	if l.FencingToken() < c.token || l.FencingToken() == c.token && name != c.last {
		t.Fatalf("%s orders with token %d after %s with %d", name, l.FencingToken(), c.last, c.token)
	}
	if c.last != "" && name[:2] != c.last[:2] && now.Sub(c.at) < c.quiet {
		t.Fatalf("%s orders %s after %s", name, now.Sub(c.at), c.last)
	}
	c.last, c.token, c.at = name, l.FencingToken(), now
	return l.WithOrderInFlight(now)
}

// A holder whose renewals the table has lost goes on without a gap, also if a rival has marked
// the row.
func TestHolderRestoresItsRow(t *testing.T) {
	tab := copiedTable{
		era:   1,
		clock: time.Hour,
	}
	l := lease.New("lease/orders", "a@1", lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(3*time.Second)).WithRivalsAhead(20)
	now, held, back := start, time.Time{}, time.Time{}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		op, next, ok := l.Plan(now)
		l = next
		if ok {
			l = tab.do(l, op, false, false)
		}
		if l.Valid(now, now) && held.IsZero() {
			held = now
		}
		if !held.IsZero() && back.IsZero() && now.Sub(held) > 2*time.Second {
			back = now
			tab.comeBack(time.Hour, 0, now)
			rival := lease.New("lease/orders", "b@1", lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(3*time.Second))
			for i := range 2 {
				op, next, ok := rival.Plan(now.Add(time.Duration(i) * time.Minute))
				require.True(t, ok)
				op.Sent = now
				rival = tab.do(next, op, false, false)
			}
			require.Equal(t, rival.Row(), tab.row)
		}
		require.True(t, held.IsZero() || l.Valid(now, now))
	}
	require.False(t, back.IsZero())
	require.EqualValues(t, 1<<20+1, l.FencingToken(), "it is the same hold")
}

// Instances that end before they have observed the row for long enough must not leave the
// lease without a holder: they mark since when it may be free.
func TestRowOfEarlierEraIsMarked(t *testing.T) {
	tab := copiedTable{
		era:   1,
		clock: time.Hour,
	}
	tab.put(store.Row{
		Value: []byte("1048577 x@1 3600000 3000  1"),
	}, start)
	tab.comeBack(0, 0, start)
	now, starts := start, 0
	var l lease.Lease
	for now.Sub(start) < 8*time.Second {
		if now.Sub(start) >= time.Duration(starts)*2*time.Second {
			starts++
			l = lease.New("lease/orders", fmt.Sprintf("n@%d", starts), lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(3*time.Second))
		}
		if op, next, ok := l.Plan(now); ok {
			l = tab.do(next, op, false, false)
		}
		require.False(t, l.Valid(now, now) && now.Sub(start) < 5800*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
	require.True(t, l.Valid(now, now))
	require.EqualValues(t, 2<<20+1, l.FencingToken())
}
