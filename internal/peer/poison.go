package peer

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/pkg/poison"
)

// encodePoison returns e as a message, or nil if it is empty.
func encodePoison(e poison.Evidence) *rpcapi.Poison {
	if e.Empty() {
		return nil
	}
	m := &rpcapi.Poison{
		Cleared: encodeParts(e.Cleared),
	}
	for _, c := range e.Crashes {
		m.Crashes = append(m.Crashes, &rpcapi.Crash{
			Engine: c.Engine,
			Start:  c.Start,
			Age:    c.Age.Milliseconds(),
			Parts:  encodeParts(c.Parts),
		})
	}
	return m
}

// decodePoison returns the evidence that m encodes.
func decodePoison(m *rpcapi.Poison) poison.Evidence {
	e := poison.Evidence{
		Cleared: decodeParts(m.GetCleared()),
	}
	for _, c := range m.GetCrashes() {
		e.Crashes = append(e.Crashes, poison.Report{
			Engine: c.GetEngine(),
			Start:  c.GetStart(),
			Age:    time.Duration(c.GetAge()) * time.Millisecond,
			Parts:  decodeParts(c.GetParts()),
		})
	}
	return e
}

func encodeParts(parts []poison.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}

func decodeParts(values []uint64) []poison.Part {
	if len(values) == 0 {
		return nil
	}
	out := make([]poison.Part, 0, len(values))
	for _, v := range values {
		out = append(out, poison.Part(v))
	}
	return out
}
