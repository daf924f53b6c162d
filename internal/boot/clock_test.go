package boot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/boot"
)

func TestClockRunsWithTime(t *testing.T) {
	begin, at := time.Now(), boot.Now()
	time.Sleep(20 * time.Millisecond)
	require.InDelta(t, time.Since(begin).Seconds(), boot.Now().Sub(at).Seconds(), 0.01)
	require.False(t, at.IsZero())
}
