package prefix_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/prefix"
)

func TestPartKeysAreEqualForSharedParts(t *testing.T) {
	a := []prefix.Part{
		{
			ID:     1,
			Tokens: 2000,
		},
		{
			ID:     2,
			Tokens: 300,
		},
	}
	b := []prefix.Part{
		a[0],
		{
			ID:     3,
			Tokens: 300,
		},
	}
	ha, hb := prefix.PartKeys("s", a), prefix.PartKeys("s", b)
	require.Equal(t, ha[0], hb[0])
	require.NotEqual(t, ha[1], hb[1])
	require.NotEqual(t, ha[0], prefix.PartKeys("t", a)[0], "keys of different salts differ")
	require.Equal(t, 2300, prefix.TotalTokens(a))
	require.Empty(t, prefix.PartKeys("s", nil))
	require.Equal(t, prefix.PartKey("s", 3), hb[1])
}
