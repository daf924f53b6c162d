package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Config keeps the newest configuration in force.
type Config struct{}

// Step returns the state after e.
func (c Config) Step(s state.State, e state.Event, _ time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return s, c.reads(s)
	case state.Read:
		s = s.WithConfig(s.Config.WithTable(e.Sent, e.Document.Version))
		return c.found(s, e.Document)
	case state.Found:
		return c.found(s, e.Document)
	case state.Pulse:
		return c.heard(s, e)
	}
	return s, nil
}

func (Config) reads(s state.State) []state.Action {
	actions := []state.Action{
		state.ReadConfig{
			Held: s.Config.Document().Version,
		},
	}
	if !s.Config.Loaded() {
		actions = append(actions, state.ReadObject{})
	}
	return actions
}

// heard fetches a newer configuration from the peer that holds it.
func (Config) heard(s state.State, e state.Pulse) (state.State, []state.Action) {
	s = s.WithConfig(s.Config.WithKnown(e.Version)).WithFresh()
	if e.Version < s.Config.Document().Version || !s.Config.Behind() && s.Config.Loaded() {
		return s, nil
	}
	if e.Version == s.Config.Document().Version && s.Config.Loaded() {
		return s, nil
	}
	from, ok := s.Members.Find(e.Name)
	if !ok || e.Version == 0 {
		return s, nil
	}
	return s, []state.Action{
		state.Fetch{
			From: from.Node,
		},
	}
}

func (Config) found(s state.State, doc policy.Document) (state.State, []state.Action) {
	old := s.Config
	s = s.WithConfig(old.WithDocument(doc)).WithFresh()
	if s.Config.Document().Version == old.Document().Version && old.Loaded() {
		return s, nil
	}
	actions := []state.Action{
		state.Note{
			Event: "config",
			Pairs: []string{
				"version", strconv.FormatInt(doc.Version, 10),
				"change", doc.Change,
				"faults", strconv.Itoa(len(doc.Faults())),
			},
		},
	}
	// Peers are told at once, so that the change spreads without the table.
	return s, append(actions, pulses(s)...)
}
