package peer

import (
	"math"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// EncodeHeartbeat returns h as a message.
func EncodeHeartbeat(h state.Heartbeat) *rpcapi.Pulse {
	m := &rpcapi.Pulse{
		Name:    h.Name,
		Epoch:   h.Epoch,
		Version: h.Version,
		Leaving: h.Stopping,
		Drained: h.Drained,
		Beat:    h.Summary.Seq,
		Work:    make(map[string]*rpcapi.Work, len(h.Summary.Work)),
		Usage:   make(map[string]float32, len(h.Summary.Usage)),
		Tally:   make(map[string]*rpcapi.Tally, len(h.Summary.Tally)),
	}
	if h.Relay.Addr != "" {
		m.Relay = encodeRelay(h.Relay)
	}
	for k, w := range h.Summary.Work {
		m.Work[k] = &rpcapi.Work{
			Calls:  uint32(w.Calls),
			Tokens: uint32(w.PrefillTokens),
			Unread: uint32(w.PrefillCalls),
		}
	}
	for k, u := range h.Summary.Usage {
		m.Usage[k] = float32(u)
	}
	for k, t := range h.Summary.Tally {
		m.Tally[k] = &rpcapi.Tally{
			Good: uint32(t.Good),
			Bad:  uint32(t.Bad),
		}
	}
	return m
}

// DecodeHeartbeat returns the heartbeat that m encodes.
func DecodeHeartbeat(m *rpcapi.Pulse) state.Heartbeat {
	h := state.Heartbeat{
		Name:     m.GetName(),
		Epoch:    m.GetEpoch(),
		Version:  m.GetVersion(),
		Stopping: m.GetLeaving(),
		Drained:  m.GetDrained(),
		Summary: state.Summary{
			Seq:   m.GetBeat(),
			Work:  make(map[string]load.Work, len(m.GetWork())),
			Usage: make(map[string]float64, len(m.GetUsage())),
			Tally: make(map[string]alarm.Tally, len(m.GetTally())),
		},
	}
	if m.GetRelay() != nil {
		h.Relay = decodeRelay(m.GetRelay())
	}
	for k, w := range m.GetWork() {
		h.Summary.Work[k] = load.Work{
			Calls:         int(w.GetCalls()),
			PrefillTokens: int(w.GetTokens()),
			PrefillCalls:  int(w.GetUnread()),
		}
	}
	for k, u := range m.GetUsage() {
		if !(u >= 0 && u <= math.MaxFloat32) {
			continue
		}
		h.Summary.Usage[k] = float64(u)
	}
	for k, t := range m.GetTally() {
		h.Summary.Tally[k] = alarm.Tally{
			Good: int64(t.GetGood()),
			Bad:  int64(t.GetBad()),
		}
	}
	return h
}

// EncodeDocument returns d as a message.
func EncodeDocument(d policy.Document) *rpcapi.Document {
	return &rpcapi.Document{
		Version: d.Version,
		Change:  d.Change,
		Author:  d.Author,
		Text:    d.Text(),
	}
}

// DecodeDocument returns the document that m encodes. Problems of its text are
// ignored.
func DecodeDocument(m *rpcapi.Document) policy.Document {
	d, _ := policy.Decode(m.GetVersion(), m.GetChange(), m.GetAuthor(), m.GetText())
	return d
}

// MarshalDocument returns the encoding of m that the table and the object store
// hold.
func MarshalDocument(m *rpcapi.Document) ([]byte, error) {
	data, err := proto.Marshal(m)
	return data, errors.Trace(err)
}

// UnmarshalDocument decodes the encoding of MarshalDocument.
func UnmarshalDocument(data []byte) (*rpcapi.Document, error) {
	m := &rpcapi.Document{}
	err := proto.Unmarshal(data, m)
	return m, errors.Annotate(err, "the kept configuration is malformed: apply it again")
}
