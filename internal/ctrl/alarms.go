package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// Alarms counts request outcomes against the latency targets of policies and
// raises alarms.
type Alarms struct{}

// Step implements Controller. It must run before the Mesh controller, which records
// the sequence number by which repeated summaries are recognized.
func (c Alarms) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return c.evaluateAlarms(s, now)
	case state.Collected:
		return s.WithAlarms(c.addTally(s, e.Summary.Tally, now)), nil
	case state.Heartbeat:
		peer := s.Peer(e.Name)
		if peer.Epoch != e.Epoch || e.Summary.Seq > peer.SummarySeq {
			return s.WithAlarms(c.addTally(s, e.Summary.Tally, now)), nil
		}
	}
	return s, nil
}

// addTally returns the alarms with the outcomes of tally counted for each policy
// that has a target.
func (Alarms) addTally(s state.State, tally map[string]alarm.Tally, now time.Time) alarm.Tracker {
	tracker := s.Alarms
	doc := s.Config.Document()
	for name, t := range tally {
		if p, ok := doc.Find(name); ok && p.Target > 0 {
			tracker = tracker.With(name, t, p.Percentile/100, now)
		}
	}
	return tracker
}

// evaluateAlarms drops the counts of policies that no longer exist and announces the
// alarms that changed.
func (Alarms) evaluateAlarms(s state.State, now time.Time) (state.State, []state.Action) {
	doc := s.Config.Document()
	tracker := s.Alarms.WithOnly(func(name string) bool {
		_, ok := doc.Find(name)
		return ok
	})
	tracker, changed := tracker.Evaluate(now)
	s = s.WithAlarms(tracker)
	var actions []state.Action
	for _, a := range changed {
		// Only the lease holder announces alarms. If no holder is known, every
		// instance does, since a duplicate alarm is better than a missing one.
		if s.Lease.Valid(now, now) || !s.Lease.Held(now) {
			actions = append(actions, state.Announce{
				Alarm: a,
			})
		}
	}
	return s, actions
}
