package plat_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// maxRowBytes is the size of the largest row.
const maxRowBytes = 4 << 20

// A row that is too long is an error, since a part of it may look like a whole one.
func TestLongRowIsAnError(t *testing.T) {
	size := maxRowBytes
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("1", size)))
	}))
	defer server.Close()
	table := plat.NewTable(server.URL)
	defer table.Close()
	row, err := table.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Len(t, row.Value, maxRowBytes)
	size++
	_, err = table.Get(t.Context(), "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.ErrorContains(t, err, "over 4 MB")
}
