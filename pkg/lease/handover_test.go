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

// TestReleasedLeaseIsTakenWhenTheQuietTimeEnds has the first rivals in line be
// gone, as in a rolling stop. Weights have to be in place 8 s after they were
// named; three rounds of loads and the wait at an engine leave 0.8 s for the
// others to take the lease once they may.
func TestReleasedLeaseIsTakenWhenTheQuietTimeEnds(t *testing.T) {
	const (
		quiet = 3 * time.Second
		slack = 800 * time.Millisecond
	)
	opts := []lease.Option{lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuiet(quiet)}
	for gone := range 5 {
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
			rivals = append(rivals, lease.New("lease/orders", fmt.Sprint("rival", i, "@1"), opts...).WithPlace(gone+i))
		}
		tick := func() {
			now = now.Add(200 * time.Millisecond)
			before := holder.Row()
			holder = step(holder)
			for i := range rivals {
				if holder.Row().Version != before.Version {
					rivals[i] = rivals[i].WithTold(holder.Row(), holder.Unchanged(now), now)
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
		holder = holder.WithYield()
		released := now
		taken := func() bool {
			return slices.ContainsFunc(rivals, func(l lease.Lease) bool { return l.Valid(now, now) })
		}
		for !taken() && now.Sub(released) < time.Minute {
			tick()
		}
		require.LessOrEqual(t, now.Sub(released), quiet+slack, "%d rivals that come first are gone", gone)
	}
}

func TestIdleHolderHandsOverAtOnce(t *testing.T) {
	opts := []lease.Option{lease.WithLength(2*time.Second, 500*time.Millisecond), lease.WithQuiet(3 * time.Second)}
	for _, used := range []time.Duration{0, time.Second, 5 * time.Second} {
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
		a = step(a.WithUsed(now.Add(-used)).WithYield())
		released := now
		b = b.WithTold(a.Row(), 0, now)
		for !b.Valid(now, now) {
			b = step(b)
			now = now.Add(100 * time.Millisecond)
		}
		require.LessOrEqual(t, now.Sub(released), max(3*time.Second-used, 0)+200*time.Millisecond, "idle for %s", used)
	}
}

// TestOrdersOfTwoHoldersAreTheQuietTimeApart has holders give orders at any time,
// which arrive a little later, and give their lease back, also where the answer to
// that is lost. Reads of the row take their time.
func TestOrdersOfTwoHoldersAreTheQuietTimeApart(t *testing.T) {
	const (
		quiet = 3 * time.Second
		onWay = 700 * time.Millisecond
	)
	opts := []lease.Option{lease.WithLength(2*time.Second, 500*time.Millisecond), lease.WithQuiet(quiet)}
	rapid.Check(t, func(t *rapid.T) {
		tab := table{
			skew: time.Duration(rapid.IntRange(0, 1).Draw(t, "clock")) * time.Hour,
		}
		made := 0
		join := func(place int) lease.Lease {
			made++
			return lease.New("k", fmt.Sprint("i", made), opts...).WithPlace(place)
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
				told := rapid.IntRange(0, 2).Draw(t, "told")
				holders[i] = holders[i].WithTold(holders[told].Row(), holders[told].Unchanged(now), now)
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
				if holders[i].Valid(now, now.Add(onWay)) && rapid.Bool().Draw(t, "order") {
					if last != name && now.Sub(lastAt) < quiet {
						t.Fatalf("%s gives an order %s after one of %s arrived", name, now.Sub(lastAt), last)
					}
					last = name
					lastAt = now.Add(time.Duration(rapid.IntRange(0, int(onWay.Milliseconds())).Draw(t, "way")) * time.Millisecond)
					holders[i] = holders[i].WithUsed(now.Add(onWay))
				}
				switch rapid.IntRange(0, 30).Draw(t, "stop") {
				case 0:
					holders[i] = holders[i].WithYield()
				case 1:
					starts[i]++
					holders[i] = join(i)
					reads[i] = lease.Op{}
				}
			}
		}
	})
}

// rivalQuiet is the quiet time of rivals.
const rivalQuiet = 3 * time.Second

// rival returns the lease of an instance named self.
func rival(self string) lease.Lease {
	return lease.New("k", self, lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuiet(rivalQuiet))
}

// taken returns when l holds the lease, looking each 10 ms.
func taken(t *testing.T, tab *table, l lease.Lease, now time.Time) time.Time {
	t.Helper()
	for range 2000 {
		if op, next, ok := l.Plan(now); ok {
			l = tab.do(next, op)
		}
		if l.Valid(now, now) {
			return now
		}
		now = now.Add(10 * time.Millisecond)
	}
	t.Fatal("the lease was not taken")
	return now
}

// TestSlowReadDoesNotShortenTheQuietTime has a rival's read of the row wait in
// the store for a second, until just after the release.
func TestSlowReadDoesNotShortenTheQuietTime(t *testing.T) {
	var tab table
	a, b := rival("a"), rival("b")
	now := taken(t, &tab, a, start)
	a = a.WithRow(tab.row, nil, now)
	read, b, ok := b.Plan(now)
	require.True(t, ok)
	require.False(t, read.Put)
	now = now.Add(time.Second)
	last := now
	a = a.WithUsed(last).WithYield()
	free, a, ok := a.Plan(now)
	require.True(t, ok)
	require.True(t, free.Put)
	tab.do(a, free)
	now = now.Add(5 * time.Millisecond)
	b = b.WithRow(tab.row, nil, now)
	require.GreaterOrEqual(t, taken(t, &tab, b, now).Sub(last), rivalQuiet, "orders of two holders")
}

// TestQuietTimeFollowsAnOrderOnItsWay has a holder give its lease back while an
// order may still reach its engine.
func TestQuietTimeFollowsAnOrderOnItsWay(t *testing.T) {
	var tab table
	a := rival("a")
	now := taken(t, &tab, a, start)
	a = a.WithRow(tab.row, nil, now)
	until := now.Add(700 * time.Millisecond)
	free, a, ok := a.WithUsed(until).WithYield().Plan(now)
	require.True(t, ok)
	a = tab.do(a, free)
	b := rival("b").WithTold(store.Row{
		Key:     "k",
		Version: a.Row().Version,
		Value:   a.Row().Value,
	}, 0, now)
	require.GreaterOrEqual(t, taken(t, &tab, b, now).Sub(until), rivalQuiet, "the order may arrive until %s after the release", until.Sub(now))
}

// TestRivalThatStartsNeedNotWatchTheRowAnew has the holder be killed and rivals
// start and stop before they have seen the row unchanged for long enough.
func TestRivalThatStartsNeedNotWatchTheRowAnew(t *testing.T) {
	var tab table
	now := taken(t, &tab, rival("holder"), start)
	killed := now
	watching := rival("r0")
	for i := 0; now.Sub(killed) < 20*time.Second; i++ {
		next := rival(fmt.Sprint("r", i+1))
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			next = next.WithTold(watching.Row(), watching.Unchanged(now), now)
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
	t.Fatal("nobody took the lease")
}

// TestLeaseThatLapsedBeforeTheStartIsTakenAtOnce has all instances be stopped, so
// that nobody has seen for how long the row is unchanged.
func TestLeaseThatLapsedBeforeTheStartIsTakenAtOnce(t *testing.T) {
	tab := table{
		skew: time.Hour,
	}
	killed := taken(t, &tab, rival("holder"), start)
	for _, away := range []time.Duration{2 * time.Second, 10 * time.Second} {
		next := tab
		begun := killed.Add(away)
		free := killed.Add(1800*time.Millisecond + rivalQuiet + lease.Margin)
		at := taken(t, &next, rival("later"), begun)
		require.False(t, at.Before(free), "%s after the end", away)
		latest := free
		if begun.After(free) {
			latest = begun
		}
		require.WithinDuration(t, latest, at, time.Second, "%s after the end", away)
	}
}
