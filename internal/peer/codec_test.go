package peer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

func TestHeartbeatRoundTrip(t *testing.T) {
	p := state.Heartbeat{
		Name:     "i1",
		Epoch:    "7",
		Version:  3,
		Stopping: true,
		Drained:  []string{"e1"},
		Summary: state.Summary{
			Seq: 9,
			Work: map[string]load.Work{"e1": {
				Calls:         2,
				PrefillTokens: 300,
			}},
			Usage: map[string]float64{"loom": 12.5},
			Tally: map[string]alarm.Tally{"dye": {
				Good: 4,
				Bad:  1,
			}},
		},
	}
	require.Equal(t, p, peer.DecodeHeartbeat(peer.EncodeHeartbeat(p)))
}

// Builds from before the announcements skip them: the field must keep a number that they
// don't know, and a message without it must decode to none.
func TestAnnouncementsAreOptionalInHeartbeats(t *testing.T) {
	h := state.Heartbeat{
		Name: "i1",
		Relay: state.Relay{
			Addr: "10.0.0.1:1",
			Announcements: []state.Announcement{
				{
					Endpoint: "e1",
					Start:    "1700000000000",
					Age:      1500 * time.Millisecond,
				},
			},
		},
	}
	m := peer.EncodeHeartbeat(h)
	require.Equal(t, h.Relay.Announcements, peer.DecodeHeartbeat(m).Relay.Announcements)
	require.EqualValues(t, 13, m.GetRelay().ProtoReflect().Descriptor().Fields().ByName("announced").Number())
	m.Relay.Announced = nil
	require.Empty(t, peer.DecodeHeartbeat(m).Relay.Announcements)
}

func FuzzUnmarshalDocument(f *testing.F) {
	doc, _ := policy.Decode(3, "c", "a", "[[policy]]\nname = \"x\"\n")
	data, err := peer.MarshalDocument(peer.EncodeDocument(doc))
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := peer.UnmarshalDocument(data)
		if err == nil {
			peer.DecodeDocument(m)
		}
	})
}
