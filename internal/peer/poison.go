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
		crash := &rpcapi.Crash{
			Engine: c.Engine,
			Start:  c.Start,
			Age:    c.Age.Milliseconds(),
			Parts:  encodeParts(c.Parts),
			Silent: c.Silent,
		}
		if c.Open {
			// A build that does not know of these must not count them.
			m.Open = append(m.Open, crash)
			continue
		}
		m.Crashes = append(m.Crashes, crash)
	}
	return m
}

// decodePoison returns the evidence that m encodes.
func decodePoison(m *rpcapi.Poison) poison.Evidence {
	e := poison.Evidence{
		Cleared: decodeParts(m.GetCleared()),
	}
	for _, c := range m.GetCrashes() {
		e.Crashes = append(e.Crashes, decodeCrash(c, false))
	}
	for _, c := range m.GetOpen() {
		e.Crashes = append(e.Crashes, decodeCrash(c, true))
	}
	return e
}

// decodeCrash returns the crash that c encodes.
func decodeCrash(c *rpcapi.Crash, open bool) poison.Report {
	return poison.Report{
		Engine: c.GetEngine(),
		Start:  c.GetStart(),
		Age:    time.Duration(c.GetAge()) * time.Millisecond,
		Silent: c.GetSilent() || open,
		Open:   open,
		Parts:  decodeParts(c.GetParts()),
	}
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
