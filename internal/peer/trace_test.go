package peer_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// echoTracer knows the streams that it was told last.
type echoTracer struct{ known []origin.Stream }

func (e *echoTracer) Trace(known []origin.Stream, asked []string) []origin.Stream {
	if len(known) > 0 {
		e.known = known
	}
	if len(asked) > 0 {
		return e.known
	}
	return nil
}

func TestTraceOverHTTP(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		options []peer.Option
		known   bool
	}{
		"traces": {
			options: []peer.Option{peer.WithTracer(&echoTracer{})},
			known:   true,
		},
		"traces nothing": {},
	} {
		srv := httptest.NewServer(rpcapi.NewPeerServer(peer.NewServer(nil, c.options...)))
		t.Cleanup(srv.Close)
		client, to := peer.NewClient([]byte("secret")), member.Node{
			Name: "n1",
			Addr: strings.TrimPrefix(srv.URL, "http://"),
		}
		streams := []origin.Stream{
			{
				ID:       "s",
				Software: "v1",
			},
		}
		_, err := client.Trace(t.Context(), to, streams, nil)
		require.Equal(t, c.known, err == nil, name)
		found, err := client.Trace(t.Context(), to, nil, []string{"s"})
		require.Equal(t, c.known, err == nil, name)
		if c.known {
			require.Equal(t, streams, found)
		}
	}
}

func TestRowOfSoftwareVersionsRoundTrip(t *testing.T) {
	t.Parallel()
	h := state.Heartbeat{
		Name: "n1",
		Relay: state.Relay{
			Addr: "10.0.0.1:1",
			Software: store.Row{
				Key:     state.SoftwareRow,
				Value:   []byte("{}"),
				Version: 7,
			},
		},
	}
	require.Equal(t, h.Relay.Software, peer.DecodeHeartbeat(peer.EncodeHeartbeat(h)).Relay.Software)
	h.Relay.Software = store.Row{}
	require.Equal(t, h.Relay.Software, peer.DecodeHeartbeat(peer.EncodeHeartbeat(h)).Relay.Software)
}
