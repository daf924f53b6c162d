package ctrl

import (
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Config tracks the newest configuration and makes it effective.
type Config struct{}

// Step implements Controller.
func (c Config) Step(s state.State, e state.Event, _ time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return s, c.readActions(s)
	case state.ConfigRead:
		s = s.WithConfig(s.Config.WithTable(e.Sent, e.Document.Version))
		return c.handleDocument(s, e.Document)
	case state.ConfigFound:
		return c.handleDocument(s, e.Document)
	case state.Heartbeat:
		return c.handleHeartbeat(s, e)
	}
	return s, nil
}

// readActions reads the configuration from the table and, as long as none is loaded,
// also its backup in the object store.
func (Config) readActions(s state.State) []state.Action {
	actions := []state.Action{
		state.ReadConfig{
			KnownVersion: s.Config.Document().Version,
		},
	}
	if !s.Config.Loaded() {
		actions = append(actions, state.ReadConfigBackup{})
	}
	return actions
}

// handleHeartbeat fetches a newer configuration from the peer that has it.
func (Config) handleHeartbeat(s state.State, e state.Heartbeat) (state.State, []state.Action) {
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
		state.FetchConfig{
			From: from.Node,
		},
	}
}

// handleDocument makes doc the effective configuration if it is newer, and sends
// the new version to the peers.
func (Config) handleDocument(s state.State, doc policy.Document) (state.State, []state.Action) {
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
				"faults", strconv.Itoa(len(doc.Rejected())),
			},
		},
	}
	// Notify the peers at once, so that the change spreads without the table.
	return s, append(actions, broadcastHeartbeats(s)...)
}
