package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// TestQuietTimeFollowsAnOrderOnItsWay has a holder give its lease back while an
// order may still reach its engine.
func TestQuietTimeFollowsAnOrderOnItsWay(t *testing.T) {
	var tab table
	a := reviewLease("a")
	now := taken(t, &tab, a, start)
	a = a.WithRow(lease.Op{
		Sent: now,
	}, tab.row, nil)
	until := now.Add(700 * time.Millisecond)
	free, a, ok := a.WithUsed(until).WithYield().Plan(now)
	require.True(t, ok)
	a = tab.do(a, free)
	b := reviewLease("b").WithTold(store.Row{
		Key:     "k",
		Version: a.Row().Version,
		Value:   a.Row().Value,
	}, now)
	require.GreaterOrEqual(t, taken(t, &tab, b, now).Sub(until), reviewQuiet, "the order may arrive until %s after the release", until.Sub(now))
}
