package ledger_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/ledger"
)

const mb = 1 << 20

// What is held, what is needed at rest and the garbage between two collections fit into
// the heap, which is 0.6 of the machine's memory, and a legal body fits on each machine.
func TestBudgetBySizeOfMachine(t *testing.T) {
	for _, memory := range []float64{88, 112, 536} {
		soft := int64(0.6 * memory * mb)
		held := ledger.Budget(soft)
		require.Less(t, held+12*mb, soft, memory)
		require.True(t, ledger.New(held).Fits(4*mb, 0), memory)
	}
	require.Zero(t, ledger.Budget(math.MaxInt64), "no limit")
}

func TestSmallEntriesFitBesideLargeOnes(t *testing.T) {
	l := ledger.New(40 * mb)
	for l.Fits(3*mb, 0) {
		l = l.WithHeld(3 * mb)
	}
	require.LessOrEqual(t, l.Held(), int64(34*mb))
	small := 0
	for ; l.Fits(ledger.Small, 0); small++ {
		l = l.WithHeld(ledger.Small)
	}
	require.GreaterOrEqual(t, small, 6*mb/ledger.Small)
	require.LessOrEqual(t, l.Held(), l.Limit())
}

func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	l, owned := ledger.New(40*mb), int64(0)
	for l.Fits(3*mb, owned) {
		l, owned = l.WithHeld(3*mb), owned+3*mb
	}
	require.LessOrEqual(t, owned, int64(29*mb), "six sevenths of what large entries may take")
	require.True(t, l.Fits(3*mb, 0), "another owner")
}

func TestSingleEntryMayTakeAll(t *testing.T) {
	require.True(t, ledger.New(8*mb).Fits(8*mb, 0))
	require.False(t, ledger.New(8*mb).Fits(8*mb+1, 0))
	require.True(t, ledger.Ledger{}.Fits(math.MaxInt32, math.MaxInt32), "no limit")
}

func TestWaitFollowsTheRateOfFreedBytes(t *testing.T) {
	now := time.Unix(1000, 0)
	l := ledger.New(40 * mb).WithHeld(40 * mb)
	idle := l.Wait(mb, now)
	slow := l.WithFreed(mb, now).Wait(mb, now)
	fast := l.WithFreed(30*mb, now).Wait(mb, now)
	require.Greater(t, idle, slow)
	require.Greater(t, slow, fast)
	require.Positive(t, fast)
	require.Greater(t, l.WithFreed(mb, now).Wait(mb, now.Add(time.Minute)), slow, "an old rate says little")
}
