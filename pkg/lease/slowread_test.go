package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/lease"
)

const reviewQuiet = 3 * time.Second

func reviewLease(self string) lease.Lease {
	return lease.New("k", self, lease.WithLength(1800*time.Millisecond, 700*time.Millisecond), lease.WithQuiet(reviewQuiet))
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
	a, b := reviewLease("a"), reviewLease("b")
	now := taken(t, &tab, a, start)
	a = a.WithRow(lease.Op{
		Sent: now,
	}, tab.row, nil)
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
	b = b.WithRow(read, tab.row, nil)
	require.GreaterOrEqual(t, taken(t, &tab, b, now).Sub(last), reviewQuiet, "orders of two holders")
}
