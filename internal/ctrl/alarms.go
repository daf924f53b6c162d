package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// Promises counts request outcomes against the promised latency targets and raises
// alarms.
type Promises struct{}

// Step implements Controller. It must run before the Mesh controller, which records
// the sequence number by which repeated summaries are recognized.
func (p Promises) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return p.evaluateAlarms(s, now)
	case state.Collected:
		return s.WithAlarms(p.addTally(s, e.Summary.Tally, now)), nil
	case state.Heartbeat:
		peer := s.Peer(e.Name)
		if peer.Epoch != e.Epoch || e.Summary.Seq > peer.SummarySeq {
			return s.WithAlarms(p.addTally(s, e.Summary.Tally, now)), nil
		}
	}
	return s, nil
}

// addTally returns the alarms with the outcomes of tally counted for each policy
// that has a target.
func (Promises) addTally(s state.State, tally map[string]alarm.Tally, now time.Time) alarm.Tracker {
	book := s.Alarms
	doc := s.Config.Document()
	for name, t := range tally {
		if p, ok := doc.Find(name); ok && p.Target > 0 {
			book = book.With(name, t, p.Percentile/100, now)
		}
	}
	return book
}

// evaluateAlarms drops the counts of policies that no longer exist and announces the
// alarms that changed.
func (Promises) evaluateAlarms(s state.State, now time.Time) (state.State, []state.Action) {
	doc := s.Config.Document()
	book := s.Alarms.Without(func(name string) bool {
		_, ok := doc.Find(name)
		return ok
	})
	book, changed := book.Evaluate(now)
	s = s.WithAlarms(book)
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
