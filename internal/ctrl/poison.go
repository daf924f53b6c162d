package ctrl

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/poison"
)

// crashRepeat is for how long a crash is repeated to all peers at each tick: a
// tick to send it, one until their answers tell which suspects they have served,
// one to pass that on, and one to spare.
const crashRepeat = 4 * ForwardInterval

// Poison decides which parts of prompts crash engines.
type Poison struct{}

// Step implements Controller.
func (c Poison) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s, ended := c.closeCrashes(s, now)
		s, judged := c.judge(s, now)
		return s, append(ended, judged...)
	case state.EngineCrashed:
		s, crashed := c.handleCrash(s, poison.Crash{
			Engine: e.Node.Name,
			Start:  e.Node.Start,
			At:     now,
			Parts:  e.Parts,
		}, now)
		s, judged := c.judge(s, now)
		return s, append(crashed, judged...)
	case state.EngineSilent:
		return c.handleCrash(s, poison.Crash{
			Engine: e.Node.Name,
			Start:  e.Node.Start,
			At:     e.Since,
			Silent: true,
			Open:   true,
			Parts:  e.Parts,
		}, now)
	case state.PartsServed:
		return c.judge(c.handleServed(s, e, now), now)
	case state.Heartbeat:
		if e.Relay.Poison.Empty() {
			return s, nil
		}
		before := s.Routing.Poison.Size()
		s, check := c.handleHeartbeat(s, e, now)
		if s.Routing.Poison.Size() == before {
			return s, check
		}
		s, judged := c.judge(s, now)
		return s, append(check, judged...)
	}
	return s, nil
}

// handleCrash records the crash or the silence of an engine. An engine that was departing
// has ended as planned.
func (Poison) handleCrash(s state.State, crash poison.Crash, now time.Time) (state.State, []state.Action) {
	n, ok := s.Members.Find(crash.Engine)
	if !ok || n.Report.Departing || !s.Routing.Departing[crash.Engine].IsZero() {
		return s, nil
	}
	s.Routing.Poison = s.Routing.Poison.WithCrash(crash, now)
	s = s.WithNews(now, crashRepeat)
	note := state.Note{
		Event: "crash",
		Pairs: []string{
			"endpoint", crash.Engine,
			"start", crash.Start,
			"suspects", strconv.Itoa(len(crash.Parts)),
			"parts", poison.Text(crash.Parts),
		},
	}
	if crash.Open {
		note.Pairs = append(note.Pairs, "state", "open")
	}
	return s, []state.Action{note}
}

// closeCrashes has the crashes of silent engines count whose incarnations have ended: the
// registry has another one under their names, or has removed them. An engine that this
// instance does not know may have registered a short while ago.
func (Poison) closeCrashes(s state.State, now time.Time) (state.State, []state.Action) {
	before := s.Routing.Poison
	if !before.Open() {
		return s, nil
	}
	var actions []state.Action
	s.Routing.Poison = before.WithEnded(func(engine, start string) bool {
		n, ok := s.Members.Find(engine)
		ended := ok && n.Node.Start != start || !ok && !s.Routing.Departed[engine].IsZero()
		if ended {
			actions = append(actions, state.Note{
				Event: "crash",
				Pairs: []string{"endpoint", engine, "start", start, "state", "ended"},
			})
		}
		return ended
	})
	if len(actions) > 0 {
		s = s.WithNews(now, crashRepeat)
	}
	return s, actions
}

// handleServed clears suspects. Those that were served just now are reported to
// the peers; what was looked up is in the answer to the peer that asked.
func (Poison) handleServed(s state.State, e state.PartsServed, now time.Time) state.State {
	if len(s.Routing.Poison.SuspectsOf(e.Parts)) == 0 {
		return s
	}
	s.Routing.Poison = s.Routing.Poison.WithServed(e.Parts, now)
	if !e.LookedUp {
		s = s.WithNews(now, repeatDuration)
	}
	return s
}

// handleHeartbeat adds a peer's evidence, and looks up whether this instance has
// seen the suspects served that are new to it.
func (Poison) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) (state.State, []state.Action) {
	before := s.Routing.Poison.Suspects()
	s.Routing.Poison = s.Routing.Poison.WithEvidence(e.Relay.Poison, now)
	fresh := slices.DeleteFunc(s.Routing.Poison.Suspects(), func(p poison.Part) bool {
		_, known := slices.BinarySearch(before, p)
		return known
	})
	if len(fresh) == 0 {
		return s, nil
	}
	return s, []state.Action{
		state.CheckServed{
			Parts: fresh,
		},
	}
}

// judge updates the verdicts and notes those that are new or no longer hold.
func (c Poison) judge(s state.State, now time.Time) (state.State, []state.Action) {
	before := s.Routing.Poison
	if before.Empty() && !before.Judging() {
		s.Routing.Poison = before.WithoutExpired(now)
		return s, nil
	}
	s.Routing.Poison = before.WithVerdicts(now)
	var actions []state.Action
	for _, v := range s.Routing.Poison.Verdicts() {
		if !containsVerdict(before.Verdicts(), v) {
			actions = append(actions, verdictNote(v, "verdict"))
		}
	}
	for _, v := range before.Verdicts() {
		if !containsVerdict(s.Routing.Poison.Verdicts(), v) {
			actions = append(actions, verdictNote(v, "lifted"))
		}
	}
	return s, actions
}

// containsVerdict reports whether one of verdicts is on the same parts as v.
func containsVerdict(verdicts []poison.Verdict, v poison.Verdict) bool {
	return slices.ContainsFunc(verdicts, func(o poison.Verdict) bool { return slices.Equal(o.Parts, v.Parts) })
}

func verdictNote(v poison.Verdict, status string) state.Note {
	return state.Note{
		Event: "poison",
		Pairs: []string{
			"state", status,
			"parts", poison.Text(v.Parts),
			"endpoints", strings.Join(v.Engines, ","),
		},
	}
}
