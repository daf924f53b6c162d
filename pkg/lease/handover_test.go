package lease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// TestReleasedLeaseIsTakenWhenTheQuietPeriodEnds guards against a slow takeover when
// the first rivals in line have stopped too, as in a rolling restart. Engines have 8 s
// to load a desired version. Three rounds of loads and the wait at an engine leave 0.8 s
// for another instance to take the lease after the quiet period.
func TestReleasedLeaseIsTakenWhenTheQuietPeriodEnds(t *testing.T) {
	const (
		quiet = 3 * time.Second
		slack = 800 * time.Millisecond
	)
	opts := []lease.Option{lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(quiet)}
	for stopped := range 5 {
		var tab table
		now := start
		step := func(l lease.Lease) lease.Lease {
			op, next, ok := l.Plan(now)
			if !ok {
				return next
			}
			return tab.do(next, op)
		}
		holder := lease.New("lease/orders", "holder@1", opts...)
		var rivals []lease.Lease
		for i := range 3 {
			rivals = append(rivals, lease.New("lease/orders", fmt.Sprint("rival", i, "@1"), opts...).WithRivalsAhead(stopped+i))
		}
		tick := func() {
			now = now.Add(200 * time.Millisecond)
			before := holder.Row()
			holder = step(holder)
			for i := range rivals {
				if holder.Row().Version != before.Version {
					rivals[i] = rivals[i].WithPeerRow(holder.Row(), holder.Unchanged(now), now)
				}
				rivals[i] = step(rivals[i])
			}
		}
		for !holder.Valid(now, now) {
			tick()
		}
		for range 17 {
			tick()
		}
		holder = holder.WithRelease()
		released := now
		taken := func() bool {
			return slices.ContainsFunc(rivals, func(l lease.Lease) bool { return l.Valid(now, now) })
		}
		for !taken() && now.Sub(released) < time.Minute {
			tick()
		}
		require.LessOrEqual(t, now.Sub(released), quiet+slack, "the first %d rivals have stopped", stopped)
	}
}

func TestIdleTimeOfTheHolderShortensTheQuietPeriod(t *testing.T) {
	opts := []lease.Option{lease.WithLength(2*time.Second, 500*time.Millisecond), lease.WithQuietPeriod(3 * time.Second)}
	for _, idle := range []time.Duration{0, time.Second, 5 * time.Second} {
		var tab table
		now := start
		a, b := lease.New("k", "a", opts...), lease.New("k", "b", opts...)
		step := func(l lease.Lease) lease.Lease {
			op, next, ok := l.Plan(now)
			if !ok {
				return next
			}
			return tab.do(next, op)
		}
		for !a.Valid(now, now) {
			now = now.Add(500 * time.Millisecond)
			a = step(a)
		}
		a = step(a.WithOrderInFlight(now.Add(-idle)).WithRelease())
		released := now
		b = b.WithPeerRow(a.Row(), 0, now)
		for !b.Valid(now, now) {
			b = step(b)
			now = now.Add(100 * time.Millisecond)
		}
		require.LessOrEqual(t, now.Sub(released), max(3*time.Second-idle, 0)+200*time.Millisecond, "the holder was idle for %s", idle)
	}
}

// TestOrdersOfDifferentHoldersAreAQuietPeriodApart guards against orders of two holders
// within one quiet period. Holders send orders that arrive later and release the lease at
// any time, responses to releases are lost, and reads of the row are slow.
func TestOrdersOfDifferentHoldersAreAQuietPeriodApart(t *testing.T) {
	const (
		quiet      = 3 * time.Second
		flightTime = 700 * time.Millisecond
	)
	opts := []lease.Option{lease.WithLength(2*time.Second, 500*time.Millisecond), lease.WithQuietPeriod(quiet)}
	rapid.Check(t, func(t *rapid.T) {
		tab := table{
			skew: time.Duration(rapid.IntRange(0, 1).Draw(t, "clock")) * time.Hour,
		}
		made := 0
		join := func(place int) lease.Lease {
			made++
			return lease.New("k", fmt.Sprint("i", made), opts...).WithRivalsAhead(place)
		}
		holders := []lease.Lease{join(0), join(1), join(2)}
		reads, starts := make([]lease.Op, len(holders)), make([]int, len(holders))
		last, lastAt := "", time.Time{}
		now := start
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			tab.down = rapid.IntRange(0, 15).Draw(t, "down") == 0
			tab.lost = rapid.IntRange(0, 15).Draw(t, "lost") == 0
			for i := range holders {
				peer := rapid.IntRange(0, 2).Draw(t, "peer")
				holders[i] = holders[i].WithPeerRow(holders[peer].Row(), holders[peer].Unchanged(now), now)
				switch {
				case reads[i].Sent.IsZero():
					op, next, ok := holders[i].Plan(now)
					holders[i] = next
					if ok && op.Put {
						holders[i] = tab.do(next, op)
					} else if ok {
						reads[i] = op
					}
				case rapid.Bool().Draw(t, "answered"):
					holders[i] = tab.doAt(holders[i], reads[i], now)
					reads[i] = lease.Op{}
				}
				name := fmt.Sprint(i, starts[i])
				holders[i] = holders[i].WithOrdersDue(rapid.IntRange(0, 2).Draw(t, "due") > 0)
				if holders[i].MayOrder(now, now.Add(flightTime)) && rapid.Bool().Draw(t, "order") {
					if last != name && now.Sub(lastAt) < quiet {
						t.Fatalf("%s sends an order %s after an order of %s arrived", name, now.Sub(lastAt), last)
					}
					last = name
					lastAt = now.Add(time.Duration(rapid.IntRange(0, int(flightTime.Milliseconds())).Draw(t, "way")) * time.Millisecond)
					holders[i] = holders[i].WithOrderInFlight(now.Add(flightTime))
				}
				switch rapid.IntRange(0, 30).Draw(t, "stop") {
				case 0:
					holders[i] = holders[i].WithRelease()
				case 1:
					starts[i]++
					holders[i] = join(i)
					reads[i] = lease.Op{}
				}
			}
		}
	})
}

// rivalQuiet is the quiet period of the leases that rival returns.
const rivalQuiet = 3 * time.Second

// rival returns the view of an instance named self.
func rival(self string) lease.Lease {
	return lease.New("k", self, lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuietPeriod(rivalQuiet))
}

// runUntilHeld advances l, which has orders to send, in steps of 10 ms and returns when it
// may send them.
func runUntilHeld(t *testing.T, tab *table, l lease.Lease, now time.Time) time.Time {
	t.Helper()
	l = l.WithOrdersDue(true)
	for range 2000 {
		if op, next, ok := l.Plan(now); ok {
			l = tab.do(next, op)
		}
		if l.MayOrder(now, now) {
			return now
		}
		now = now.Add(10 * time.Millisecond)
	}
	t.Fatal("the lease was not taken")
	return now
}

// TestSlowReadDoesNotShortenTheQuietPeriod guards against a quiet period that counts
// from the time at which a rival sent its read. The read waits in the table for a second
// and returns the row of a release that happened meanwhile.
func TestSlowReadDoesNotShortenTheQuietPeriod(t *testing.T) {
	var tab table
	a, b := rival("a"), rival("b")
	now := runUntilHeld(t, &tab, a, start)
	a = a.WithRow(tab.row, nil, now)
	read, b, ok := b.Plan(now)
	require.True(t, ok)
	require.False(t, read.Put)
	now = now.Add(time.Second)
	last := now
	a = a.WithOrderInFlight(last).WithRelease()
	free, a, ok := a.Plan(now)
	require.True(t, ok)
	require.True(t, free.Put)
	tab.do(a, free)
	now = now.Add(5 * time.Millisecond)
	b = b.WithRow(tab.row, nil, now)
	require.GreaterOrEqual(t, runUntilHeld(t, &tab, b, now).Sub(last), rivalQuiet, "time between the orders of the two holders")
}

// TestQuietPeriodStartsAfterAnInFlightOrder guards against a quiet period that starts too
// early when a holder releases the lease while an order may still reach its engine.
func TestQuietPeriodStartsAfterAnInFlightOrder(t *testing.T) {
	var tab table
	a := rival("a")
	now := runUntilHeld(t, &tab, a, start)
	a = a.WithRow(tab.row, nil, now)
	until := now.Add(700 * time.Millisecond)
	free, a, ok := a.WithOrderInFlight(until).WithRelease().Plan(now)
	require.True(t, ok)
	a = tab.do(a, free)
	b := rival("b").WithPeerRow(store.Row{
		Key:     "k",
		Version: a.Row().Version,
		Value:   a.Row().Value,
	}, 0, now)
	require.GreaterOrEqual(t, runUntilHeld(t, &tab, b, now).Sub(until), rivalQuiet, "the order may arrive up to %s after the release", until.Sub(now))
}

// TestStartingRivalContinuesTheObservationOfItsPeer guards against a lease that is never
// taken: the holder is killed, and each rival stops before it has itself seen the row
// unchanged for long enough.
func TestStartingRivalContinuesTheObservationOfItsPeer(t *testing.T) {
	var tab table
	now := runUntilHeld(t, &tab, rival("holder"), start)
	killed := now
	watching := rival("r0")
	for i := 0; now.Sub(killed) < 20*time.Second; i++ {
		next := rival(fmt.Sprint("r", i+1))
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			next = next.WithPeerRow(watching.Row(), watching.Unchanged(now), now)
			for _, l := range []*lease.Lease{&watching, &next} {
				if op, planned, ok := l.Plan(now); ok {
					*l = tab.do(planned, op)
				}
				if l.Valid(now, now) {
					require.LessOrEqual(t, now.Sub(killed), 1800*time.Millisecond+rivalQuiet+lease.Margin+time.Second)
					return
				}
			}
		}
		watching = next
	}
	t.Fatal("no rival took the lease")
}

// TestLeaseThatExpiredBeforeTheStartIsTakenAtOnce guards against a needless wait after all
// instances were stopped: no running instance has seen since when the row is unchanged, but
// the table's clock shows it.
func TestLeaseThatExpiredBeforeTheStartIsTakenAtOnce(t *testing.T) {
	tab := table{
		skew: time.Hour,
	}
	killed := runUntilHeld(t, &tab, rival("holder"), start)
	for _, away := range []time.Duration{2 * time.Second, 10 * time.Second} {
		next := tab
		begun := killed.Add(away)
		free := killed.Add(1800*time.Millisecond + rivalQuiet + lease.Margin)
		at := runUntilHeld(t, &next, rival("later"), begun)
		require.False(t, at.Before(free), "started %s after the holder was killed", away)
		latest := free
		if begun.After(free) {
			latest = begun
		}
		require.WithinDuration(t, latest, at, time.Second, "started %s after the holder was killed", away)
	}
}

// Guards against seconds without orders after holders that were killed before they sent
// any: each of them was followed by the quiet period.
func TestUnusedLeaseIsTakenWithoutTheQuietPeriod(t *testing.T) {
	const length, renew, quiet = 1800 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second
	opts := []lease.Option{lease.WithLength(length, renew), lease.WithQuietPeriod(quiet)}
	for kills := 1; kills <= 4; kills++ {
		var tab table
		now := start
		var first time.Time
		for i := range kills {
			l, at := planUntil(t, &tab, lease.New("k", fmt.Sprint("i", i), opts...), now, time.Minute)
			require.False(t, l.MayOrder(at, at), "the row does not say yet that orders follow")
			if i == 0 {
				first = at
			}
			now = at
		}
		l, at := planUntil(t, &tab, lease.New("k", "last", opts...), now, time.Minute)
		require.LessOrEqual(t, at.Sub(first), time.Duration(kills)*(length+lease.Margin+300*time.Millisecond), "after %d kills", kills)
		op, l, ok := l.WithOrdersDue(true).Plan(at)
		require.True(t, ok, "the row says at once that orders follow")
		l = tab.doAt(l, op, at)
		require.True(t, l.MayOrder(at, at))
	}
}

// Guards against orders of two holders within the quiet period where the first one was
// killed right after it had said that orders follow.
func TestDeclaredOrdersKeepTheQuietPeriod(t *testing.T) {
	const length, renew, quiet = 1800 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second
	opts := []lease.Option{lease.WithLength(length, renew), lease.WithQuietPeriod(quiet)}
	var tab table
	l, at := planUntil(t, &tab, lease.New("k", "a", opts...), start, time.Minute)
	op, l, ok := l.WithOrdersDue(true).Plan(at)
	require.True(t, ok)
	l = tab.doAt(l, op, at)
	require.True(t, l.MayOrder(at, at))
	_, next := planUntil(t, &tab, lease.New("k", "b", opts...), at, time.Minute)
	require.GreaterOrEqual(t, next.Sub(at), length+quiet)
}

// A holder without orders says so with a renewal, and sends none until the row says
// otherwise again, whether the answer to the renewal arrives or not.
func TestHolderWithoutOrdersSendsNoneBeforeItDeclaresThem(t *testing.T) {
	for _, lost := range []bool{false, true} {
		opts := []lease.Option{lease.WithLength(2*time.Second, 500*time.Millisecond), lease.WithQuietPeriod(3 * time.Second)}
		var tab table
		l, now := planUntil(t, &tab, lease.New("k", "a", opts...), start, time.Minute)
		op, l, ok := l.WithOrdersDue(true).Plan(now)
		require.True(t, ok)
		l = tab.doAt(l, op, now)
		l = l.WithOrderInFlight(now.Add(300 * time.Millisecond)).WithOrdersDue(false)
		now = now.Add(500 * time.Millisecond)
		op, l, ok = l.Plan(now)
		require.True(t, ok)
		require.False(t, l.MayOrder(now, now), "the row may be written at any time")
		tab.lost = lost
		l = tab.doAt(l, op, now).WithOrdersDue(true)
		require.False(t, l.MayOrder(now, now))
		for range 2 {
			now = now.Add(50 * time.Millisecond)
			if op, next, ok := l.Plan(now); ok {
				l = tab.doAt(next, op, now)
			}
		}
		require.True(t, l.MayOrder(now, now), "response lost: %v", lost)
	}
}

// The note and the age of later changes come with the row, and a row of the build before
// has none.
func TestRowPassesOnNoteAndClock(t *testing.T) {
	tab := table{
		skew: time.Hour,
	}
	l, now := planUntil(t, &tab, lease.New("k", "a", lease.WithLength(2*time.Second, time.Second), lease.WithQuietPeriod(3*time.Second)).WithNote("m=2@7"), start, time.Minute)
	require.Equal(t, "m=2@7", l.Note())
	later := now.Add(4 * time.Second)
	b := tab.doAt(lease.New("k", "b"), lease.Op{
		Sent: later,
	}, later)
	require.Equal(t, "m=2@7", b.Note())
	age, ok := b.AgeOfLater(tab.row.Version+1, later)
	require.True(t, ok)
	require.InDelta(t, later.Sub(now).Seconds(), age.Seconds(), 0.1)
	_, ok = b.AgeOfLater(tab.row.Version, later)
	require.False(t, ok, "the change is not newer than the row")
	tab.row.Value = []byte("7 a 3600500")
	before := tab.doAt(lease.New("k", "c"), lease.Op{
		Sent: later,
	}, later)
	require.Empty(t, before.Note())
	require.Equal(t, "a", before.Holder())
}
