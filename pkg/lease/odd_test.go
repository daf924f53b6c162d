package lease_test

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	oddLength = 2 * time.Second
	oddQuiet  = 3 * time.Second
	// latestTakeover is when a rival takes the lease of a holder that is gone, at the
	// latest: after its expiry, the quiet period, the margin and two reads.
	latestTakeover = oddLength + oddQuiet + lease.Margin + 2*time.Second
)

// oddRows are values of the lease's row that no instance writes.
func oddRows() []string {
	maxInt := strconv.Itoa(math.MaxInt64)
	return []string{
		"", " ", "x", "\x00\xff", "1.5 a", "-5 a", "0 a", maxInt + " a", maxInt, "99999999999999999999 a", strings.Repeat("9", 1<<16),
		"7  " + maxInt, "7  -" + maxInt, "7  " + maxInt + " " + maxInt, "7  -9000000000000000 5", "7  9000000000000000 5", "7 a " + maxInt, "7 a -" + maxInt,
		"7 a -9000000000000000", "7 ghost 5", strings.Repeat("[", 1<<16),
	}
}

// planUntil runs l against tab from now until it holds the lease, and returns it with the
// time at that moment.
func planUntil(t *testing.T, tab *table, l lease.Lease, now time.Time, limit time.Duration) (lease.Lease, time.Time) {
	t.Helper()
	for end := now.Add(limit); now.Before(end); now = now.Add(50 * time.Millisecond) {
		op, next, ok := l.Plan(now)
		l = next
		if ok {
			l = tab.doAt(l, op, now)
		}
		if l.Valid(now, now) {
			return l, now
		}
	}
	require.Fail(t, "no instance takes the lease", "row %.40q", tab.row.Value)
	return l, now
}

func newOddLease(name string) lease.Lease {
	return lease.New("lease/orders", name, lease.WithLength(oddLength, time.Second), lease.WithQuietPeriod(oddQuiet))
}

// A row that another writer made must not keep the lease from being taken, and a token
// must not go back or overflow, since engines refuse lower ones.
func TestOddRowDoesNotBlockLease(t *testing.T) {
	for _, value := range oddRows() {
		t.Run(fmt.Sprintf("%.20q", value), func(t *testing.T) {
			tab := &table{
				skew: time.Hour,
			}
			l, now := planUntil(t, tab, newOddLease("n1@1"), start, latestTakeover)
			before := l.FencingToken()
			tab.row.Value = []byte(value)
			tab.row.Version++
			l, now = planUntil(t, tab, withoutLease(t, tab, l, now), now, 2*latestTakeover)
			require.Greater(t, l.FencingToken(), before)
			require.Positive(t, l.FencingToken())
			require.Less(t, l.FencingToken(), int64(math.MaxInt64/2+3))
			_, _ = planUntil(t, tab, newOddLease("n2@1"), now, 2*latestTakeover)
		})
	}
}

// withoutLease runs l until it has noticed that it lost the lease.
func withoutLease(t *testing.T, tab *table, l lease.Lease, now time.Time) lease.Lease {
	t.Helper()
	for range 10 {
		op, next, ok := l.Plan(now)
		l = next
		if ok {
			l = tab.doAt(l, op, now)
			if !l.Valid(now, now) {
				return l
			}
		}
		now = now.Add(300 * time.Millisecond)
	}
	require.Fail(t, "the holder does not notice another row")
	return l
}

// An instance must not take the lease at once when another writer replaced the row: its
// holder may have sent an order right before.
func TestOddRowKeepsQuietPeriod(t *testing.T) {
	for _, value := range []string{"", "x", "-5 a", "0 a", "7 a -9000000000000000", "7 a " + strconv.Itoa(math.MinInt64)} {
		tab := &table{
			skew: time.Hour,
		}
		_, now := planUntil(t, tab, newOddLease("n1@1"), start, latestTakeover)
		tab.row.Value = []byte(value)
		tab.row.Version++
		_, taken := planUntil(t, tab, newOddLease("n2@1"), now, 2*latestTakeover)
		require.GreaterOrEqual(t, taken.Sub(now), oddQuiet, "%.20q", value)
	}
}

// A clock below 0 must not count as known: the row would seem unchanged for long.
func TestNegativeClockIsUnknown(t *testing.T) {
	c := store.Clock{
		Reading: time.Hour,
	}
	for _, stamp := range []time.Duration{0, -1, math.MinInt64, 2 * time.Hour} {
		_, ok := c.Since(stamp)
		require.False(t, ok, stamp.String())
	}
	age, ok := c.Since(time.Minute)
	require.True(t, ok)
	require.Equal(t, 59*time.Minute, age)
}
