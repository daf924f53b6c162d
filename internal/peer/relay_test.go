package peer

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// encodedSnapshot is the encoding of a snapshot whose fields are all set.
const encodedSnapshot = `{"Version":7,"Entries":[{` +
	`"Node":{"Name":"n","Role":1,"Addr":"a","Domain":"d","Labels":{},"Models":["m"],"Fences":true,"Software":"w","Leaving":true,"Start":"s"},` +
	`"Report":{"Epoch":"e","Version":"v","Leaving":true,"Slots":1,"Prefill":2,"Step":3,"Busy":true,"Orders":4},` +
	`"Weights":{"m":5}}]}`

// TestSnapshotEncodingIsStable guards against a renamed field, which peers of
// another version would drop without an error.
func TestSnapshotEncodingIsStable(t *testing.T) {
	r := registrySnapshot{
		Version: 7,
		Entries: []member.RegistryEntry{
			{
				Node: member.Node{
					Name:      "n",
					Role:      member.Engine,
					Addr:      "a",
					Domain:    "d",
					Labels:    label.Of("k", "v"),
					Models:    []string{"m"},
					Fences:    true,
					Software:  "w",
					Departing: true,
					Start:     "s",
				},
				Report: member.Report{
					Epoch:     "e",
					Version:   "v",
					Departing: true,
					Slots:     1,
					Prefill:   2,
					Step:      3 * time.Nanosecond,
					Busy:      true,
					Orders:    4,
				},
				Weights: map[string]int64{
					"m": 5,
				},
			},
		},
	}
	data, err := json.Marshal(r)
	require.NoError(t, err)
	require.JSONEq(t, encodedSnapshot, string(data))
	var decoded registrySnapshot
	require.NoError(t, json.Unmarshal([]byte(encodedSnapshot), &decoded))
	r.Entries[0].Node.Labels = label.Set{} // labels are not encoded
	require.Equal(t, r, decoded)
}

// TestRoleEncodingIsStable guards against renumbered roles, which peers of another
// version would take for other roles.
func TestRoleEncodingIsStable(t *testing.T) {
	for role, number := range map[member.Role]int{
		member.Instance: 0,
		member.Engine:   1,
		member.Service:  2,
	} {
		require.EqualValues(t, number, role)
	}
}

// An entry that a peer of another release accepted must not end this instance, for
// example by a role outside of its tables, nor cost the entries beside it.
func TestOddEntryOfPeerCostsOnlyItself(t *testing.T) {
	const entry = `{"Node":{"Name":%q,"Role":1,"Addr":"10.0.0.9:8080","Models":["m"]},"Report":{"Slots":1},"Weights":{"m":5}}`
	e1, e2 := fmt.Sprintf(entry, "e1"), fmt.Sprintf(entry, "e2")
	odd := fmt.Sprintf(entry, "odd")
	for name, value := range map[string]string{
		"unknown role":    strings.Replace(odd, `"Role":1`, `"Role":77`, 1),
		"large role":      strings.Replace(odd, `"Role":1`, `"Role":300`, 1),
		"instance":        strings.Replace(odd, `"Role":1`, `"Role":0`, 1),
		"named role":      strings.Replace(odd, `"Role":1`, `"Role":"engine"`, 1),
		"port":            strings.Replace(odd, `:8080`, `:65536`, 1),
		"host name":       strings.Replace(odd, `10.0.0.9`, `engine`, 1),
		"id":              strings.Replace(odd, `"odd"`, `"a\r\nb"`, 1),
		"negative slots":  strings.Replace(odd, `"Slots":1`, `"Slots":-1`, 1),
		"infinite slots":  strings.Replace(odd, `"Slots":1`, `"Slots":1e400`, 1),
		"negative weight": strings.Replace(odd, `"m":5`, `"m":-5`, 1),
		"text as weight":  strings.Replace(odd, `"m":5`, `"m":"5"`, 1),
		"null":            `null`,
		"array":           `[]`,
		"empty":           `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			r, err := decodeSnapshot([]byte(`{"Version":7,"Entries":[`+e1+`,`+value+`,`+e2+`]}`), "n2")
			require.NoError(t, err)
			require.Len(t, r.Put, 2)
			require.Equal(t, "e2", r.Put[1].Node.Name)
			require.Len(t, r.Invalid, 1)
			var nodes []member.Node
			for _, p := range r.Put {
				nodes = append(nodes, p.Node)
			}
			require.Len(t, member.Set{}.WithRegistry(nodes).Pool("m"), 2)
		})
	}
}

// Ages that overflow a duration must not move the start of a lease or of a version into
// the future.
func TestAgesOfPeersStayInRange(t *testing.T) {
	for _, ms := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64 / int64(time.Millisecond), math.MaxInt64} {
		r := decodeRelay(&rpcapi.Relay{
			Lease: &rpcapi.Lease{
				Age: ms,
			},
			Names: []*rpcapi.Name{
				{
					Model:   "m",
					Version: 1,
					Age:     ms,
				},
			},
		})
		for _, age := range []time.Duration{r.LeaseAge, r.DesiredVersions[0].Age} {
			require.GreaterOrEqual(t, age, time.Duration(0))
			require.LessOrEqual(t, age, maxAge)
		}
	}
}

// What a peer can't have meant must be left out: usage that is no number, a version of
// weights below 1 and an instance without an address.
func TestOddFieldsOfHeartbeatAreLeftOut(t *testing.T) {
	h := DecodeHeartbeat(&rpcapi.Pulse{
		Usage: map[string]float32{
			"nan":      float32(math.NaN()),
			"infinite": float32(math.Inf(1)),
			"negative": -1,
			"good":     2,
		},
		Relay: &rpcapi.Relay{
			Names: []*rpcapi.Name{
				{
					Model: "m",
				},
				{
					Version: 1,
				},
				nil,
			},
			Mates: []*rpcapi.Mate{
				{
					Name: "n2",
				},
				{
					Addr: "10.0.0.1:1",
				},
				nil,
			},
		},
	})
	require.Equal(t, map[string]float64{"good": 2}, h.Summary.Usage)
	require.Empty(t, h.Relay.DesiredVersions)
	require.Empty(t, h.Relay.Peers)
}

// FuzzHeartbeat guards against messages of another release that panic or carry values
// out of range.
func FuzzHeartbeat(f *testing.F) {
	data, err := proto.Marshal(EncodeHeartbeat(state.Heartbeat{
		Name: "n1",
		Relay: state.Relay{
			Addr:     "10.0.0.1:1",
			LeaseAge: time.Second,
			DesiredVersions: []state.DesiredVersion{
				{
					Model:   "m",
					Version: 2,
				},
			},
		},
	}))
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &rpcapi.Pulse{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		h := DecodeHeartbeat(m)
		require.GreaterOrEqual(t, h.Relay.LeaseAge, time.Duration(0))
		for _, u := range h.Summary.Usage {
			require.False(t, math.IsNaN(u) || math.IsInf(u, 0))
		}
	})
}

// FuzzSnapshot guards against snapshots of another release that panic or bring an entry
// that names no endpoint.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(encodedSnapshot))
	f.Add([]byte(`{"Version":7,"Entries":[{"Node":{"Name":"n","Role":77}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeSnapshot(data, "n2")
		if err != nil {
			return
		}
		var nodes []member.Node
		for _, e := range r.Put {
			require.NoError(t, e.Validate())
			nodes = append(nodes, e.Node)
		}
		member.Set{}.WithRegistry(nodes)
	})
}

// Registry entries must come back as they were sent, and one that names no endpoint must
// not hide the others.
func TestHeartbeatCarriesRegistryEntries(t *testing.T) {
	entry := func(name, addr string) state.RecentEntry {
		return state.RecentEntry{
			Entry: member.RegistryEntry{
				Node: member.Node{
					Name:   name,
					Role:   member.Engine,
					Addr:   addr,
					Models: []string{"llm"},
					Start:  "7",
				},
				Weights: map[string]int64{
					"m": 3,
				},
			},
			Version: 12,
		}
	}
	sent := state.Heartbeat{
		Name: "n1",
		Relay: state.Relay{
			Addr:    "10.0.0.9:7000",
			Entries: []state.RecentEntry{entry("e1", "10.0.0.1:80"), entry("e2", "no address"), entry("e3", "10.0.0.3:80")},
		},
	}
	m := EncodeHeartbeat(sent)
	m.Relay.Entries = append(m.Relay.Entries, &rpcapi.Entry{
		Data: []byte("{"),
	}, nil)
	got := DecodeHeartbeat(m)
	require.Equal(t, []state.RecentEntry{sent.Relay.Entries[0], sent.Relay.Entries[2]}, got.Relay.Entries)
}

// Guards against confirmations that a build before did not send, or that no instance can have
// meant, and that count as fresh.
func TestConfirmationsAreSentToPeers(t *testing.T) {
	sent := state.Relay{
		SiteConfirmed: state.Confirmation{
			Known: true,
		},
		RegistryConfirmed: state.Confirmation{
			Known: true,
			Age:   1500*time.Millisecond + time.Nanosecond,
		},
	}
	got := decodeRelay(encodeRelay(sent))
	require.Equal(t, sent.SiteConfirmed, got.SiteConfirmed)
	require.Equal(t, 1501*time.Millisecond, got.RegistryConfirmed.Age)
	require.Zero(t, decodeRelay(&rpcapi.Relay{}).SiteConfirmed)
	for _, ms := range []int64{math.MinInt64, -1} {
		require.Zero(t, decodeRelay(&rpcapi.Relay{
			Fresh: &ms,
		}).SiteConfirmed)
	}
	late := int64(math.MaxInt64)
	require.Equal(t, maxAge, decodeRelay(&rpcapi.Relay{
		Listed: &late,
	}).RegistryConfirmed.Age)
	fields := (&rpcapi.Relay{}).ProtoReflect().Descriptor().Fields()
	require.EqualValues(t, 21, fields.ByName("fresh").Number())
	require.EqualValues(t, 22, fields.ByName("listed").Number())
}

// The era decides whether a peer's versions count: it must arrive in heartbeats and in
// snapshots, and builds before must not mind it.
func TestEraIsSentToPeers(t *testing.T) {
	r := decodeRelay(encodeRelay(state.Relay{
		Era: 3,
	}))
	require.EqualValues(t, 3, r.Era)
	require.EqualValues(t, 20, (&rpcapi.Relay{}).ProtoReflect().Descriptor().Fields().ByName("era").Number())
	require.Zero(t, decodeRelay(&rpcapi.Relay{
		Era: -1,
	}).Era)
	data, err := encodeSnapshot(&state.State{
		Routing: state.Routing{
			RegistryVersion: 7,
			RegistryEra:     3,
		},
	})
	require.NoError(t, err)
	e, err := decodeSnapshot(data, "n1")
	require.NoError(t, err)
	require.EqualValues(t, 3, e.Era)
}
