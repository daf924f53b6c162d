package slope

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitRecoversLine(t *testing.T) {
	m := measure("cost", "ns", "size", []int{1, 2, 5, 10}, func(n int) float64 { return 7 + 3*float64(n) })
	l := m.Fit()
	require.InDelta(t, 7, l.Base, 1e-9)
	require.InDelta(t, 3, l.Slope, 1e-9)
	require.InDelta(t, 0, l.Residual, 1e-9)
	require.InDelta(t, 307, l.At(100), 1e-9)
}
