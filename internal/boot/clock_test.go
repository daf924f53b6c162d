package boot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/boot"
)

func TestClockMatchesElapsedTime(t *testing.T) {
	wallStart, bootStart := time.Now(), boot.Now()
	time.Sleep(20 * time.Millisecond)
	require.InDelta(t, time.Since(wallStart).Seconds(), boot.Now().Sub(bootStart).Seconds(), 0.01)
	require.False(t, bootStart.IsZero())
}
