package relay

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Instances of other versions read these names in the store; a field with
// another name would be dropped without an error.
func TestPeerRowFieldNames(t *testing.T) {
	const row = `{"Addr":"10.0.0.1:80","Domain":"d"}`
	m := peerRow{
		Addr:   "10.0.0.1:80",
		Domain: "d",
	}
	data, err := json.Marshal(m)
	require.NoError(t, err)
	require.JSONEq(t, row, string(data))
	var back peerRow
	require.NoError(t, json.Unmarshal([]byte(row), &back))
	require.Equal(t, m, back)
}
