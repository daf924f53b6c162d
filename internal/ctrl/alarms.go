package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// Promises counts outcomes against promises and raises alarms.
type Promises struct{}

// Step returns the state after e. It steps before Members, which
// counts pulses.
func (p Promises) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		return p.judged(s, now)
	case state.Collected:
		return s.WithAlarms(p.add(s, e.Summary.Tally, now)), nil
	case state.Pulse:
		peer := s.Peer(e.Name)
		if peer.Epoch != e.Epoch || e.Summary.Beat > peer.Beat {
			return s.WithAlarms(p.add(s, e.Summary.Tally, now)), nil
		}
	}
	return s, nil
}

func (Promises) add(s state.State, tally map[string]alarm.Tally, now time.Time) alarm.Book {
	book := s.Alarms
	doc := s.Config.Document()
	for name, t := range tally {
		if p, ok := doc.Find(name); ok && p.Target > 0 {
			book = book.With(name, t, p.Percentile/100, now)
		}
	}
	return book
}

func (Promises) judged(s state.State, now time.Time) (state.State, []state.Action) {
	doc := s.Config.Document()
	book := s.Alarms.Without(func(name string) bool {
		_, ok := doc.Find(name)
		return ok
	})
	book, changed := book.Judge(now)
	s = s.WithAlarms(book)
	var actions []state.Action
	for _, a := range changed {
		// One instance announces; where none is known, each does, since an
		// alarm twice is better than none.
		if s.Lease.Valid(now, now) || !s.Lease.Held(now) {
			actions = append(actions, state.Announce{
				Alarm: a,
			})
		}
	}
	return s, actions
}
