package ctrl

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

const (
	// OrderLimit is how long an order may take. A holder gives none that could
	// outlast its lease.
	OrderLimit = 700 * time.Millisecond
	// loadShare is the share of a model's engines that take new weights at once,
	// and loadLeast their least number. The others serve meanwhile.
	loadShare = 0.34
	loadLeast = 2
	// orderStart is after what time an engine that reports no order has none: a
	// report is some hundred milliseconds old, and an order takes as long to leave.
	orderStart = OrderLimit + 500*time.Millisecond
	// foundTime is how soon after its first configuration an instance learns of
	// the weights that were named before it started: some reads of the store.
	foundTime = 1 * time.Second
)

// Orders brings engines to the weights that are wanted.
type Orders struct{}

// Step returns the state after e.
func (c Orders) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s, actions := c.plan(s, now)
		s, news := c.tell(s)
		return s, append(actions, news...)
	case state.Named:
		return c.named(s, e, now)
	case state.Pulse:
		return c.heard(s, e, now)
	case state.WeightsSeen:
		return c.held(s, e.Engine, e.Model, e.Version, now)
	case state.Reported:
		return c.reported(s, e, now)
	case state.Ordered:
		return c.ordered(s, e, now)
	}
	return s, nil
}

func (c Orders) named(s state.State, e state.Named, now time.Time) (state.State, []state.Action) {
	before := s.Routing.Weights.Named(e.Model)
	if !e.Dated && e.Version <= before.Version {
		// What engines lack counts, also where nobody knows since when.
		s.Routing.Weights = s.Routing.Weights.WithFound(e.Model, e.Version)
		return s, nil
	}
	found := !e.Dated && before.Version == 0 && (s.Routing.Began.IsZero() || now.Sub(s.Routing.Began) < foundTime)
	switch {
	case found:
		s.Routing.Weights = s.Routing.Weights.WithFound(e.Model, e.Version)
	case e.Dated:
		s.Routing.Weights = s.Routing.Weights.WithNamed(e.Model, e.Version, now.Add(-e.Age))
	default:
		s.Routing.Weights = s.Routing.Weights.WithNamed(e.Model, e.Version, s.Happened())
	}
	if e.Version < before.Version || e.Version == before.Version && !before.Since.IsZero() {
		return s, nil
	}
	note := state.Note{
		Event: "named",
		Pairs: []string{
			"model", e.Model,
			"version", strconv.FormatInt(e.Version, 10),
			"found", yes(found),
			"age", e.Age.String(),
		},
	}
	s, actions := c.plan(s, now)
	return s, append(append(actions, pulses(s)...), note)
}

// held notes the weights that an engine was seen with, and plans on.
func (c Orders) held(s state.State, engine, model string, version int64, now time.Time) (state.State, []state.Action) {
	if _, ok := s.Members.Find(engine); !ok || version <= s.Routing.Weights.Held(engine, model) {
		return s, nil
	}
	s.Routing.Weights = s.Routing.Weights.WithHeld(engine, model, version)
	s = c.news(s, engine, model)
	s, actions := c.plan(s, now)
	return s, append(actions, state.Note{
		Event: "weights",
		Pairs: []string{"endpoint", engine, "model", model, "version", strconv.FormatInt(version, 10)},
	})
}

// heard takes what a peer told of weights.
func (c Orders) heard(s state.State, e state.Pulse, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	for _, n := range e.Relay.Names {
		next, more := c.named(s, n, now)
		s = next
		actions = append(actions, more...)
	}
	for _, w := range e.Relay.Weights {
		if _, ok := s.Members.Find(w.Engine); !ok {
			continue
		}
		book := s.Routing.Weights.WithHeld(w.Engine, w.Model, w.Version)
		switch {
		case s.Lease.Valid(now, now):
		case w.Ordered == 0:
			book = book.WithoutOrder(w.Engine)
		case w.Ordered > book.Held(w.Engine, w.Model):
			book = book.WithOrder(weight.Order{
				Engine:  w.Engine,
				Model:   w.Model,
				Version: w.Ordered,
				Sent:    now,
			})
		}
		s.Routing.Weights = book
	}
	return s, actions
}

// reported takes an engine's own word, asked for after an order.
func (c Orders) reported(s state.State, e state.Reported, now time.Time) (state.State, []state.Action) {
	o, ok := s.Routing.Weights.Ordered(e.Endpoint, now)
	if e.Failed || !ok {
		return s, nil
	}
	version, err := strconv.ParseInt(e.Report.Version, 10, 64)
	if err != nil {
		return s, []state.Action{
			state.Note{
				Event: "weights",
				Pairs: []string{"endpoint", e.Endpoint, "model", o.Model, "reason", "the report names no version"},
			},
		}
	}
	if !e.Report.Busy && version < o.Version && now.Sub(o.Sent) > orderStart {
		s.Routing.Weights = s.Routing.Weights.WithoutOrder(e.Endpoint)
		s = c.news(s, e.Endpoint, o.Model)
	}
	return c.held(s, e.Endpoint, o.Model, version, now)
}

func (c Orders) ordered(s state.State, e state.Ordered, now time.Time) (state.State, []state.Action) {
	book := s.Routing.Weights
	switch e.Outcome {
	case state.Holds:
		book = book.WithHeld(e.Order.Engine, e.Order.Model, e.Order.Version).WithoutOrder(e.Order.Engine)
	case state.Refused, state.Unsent, state.Unsure:
		// An order whose outcome is not known is given again with the count of
		// orders that it expects, so that only one of the two is carried out.
		book = book.WithoutOrder(e.Order.Engine)
	case state.Accepted:
	}
	s.Routing.Weights = book
	s = c.news(s, e.Order.Engine, e.Order.Model)
	var actions []state.Action
	if e.Outcome == state.Holds {
		next, more := c.plan(s, now)
		s = next
		actions = append(actions, more...)
	}
	return s, append(actions, state.Note{
		Event: "order",
		Pairs: []string{
			"endpoint", e.Order.Engine,
			"model", e.Order.Model,
			"version", strconv.FormatInt(e.Order.Version, 10),
			"outcome", e.Outcome.String(),
			"reason", e.Detail,
		},
	})
}

// news notes that the others have to be told of an engine, where this instance
// gives the orders.
func (Orders) news(s state.State, engine, model string) state.State {
	if s.Lease.Fence() == 0 {
		return s
	}
	w := state.EngineWeights{
		Engine:  engine,
		Model:   model,
		Version: s.Routing.Weights.Held(engine, model),
	}
	if o, ok := s.Routing.Weights.Order(engine); ok && o.Model == model {
		w.Ordered = o.Version
	}
	s.Routing.News = append(slices.Clone(s.Routing.News), w)
	return s
}

// tell tells all others the news since the last tick.
func (Orders) tell(s state.State) (state.State, []state.Action) {
	if len(s.Routing.News) == 0 {
		return s, nil
	}
	actions := pulsesTo(s, s.Others())
	s.Routing.News = nil
	return s, actions
}

// plan gives the orders that are due, while this instance holds the lease, and
// asks engines under order how far they are.
func (c Orders) plan(s state.State, now time.Time) (state.State, []state.Action) {
	if !s.Lease.Valid(now, now.Add(OrderLimit)) {
		return s, nil
	}
	invar.That(now.Before(s.Lease.Until()), invar.Fence, "orders are planned after the lease ended")
	var actions []state.Action
	for _, o := range s.Routing.Weights.Orders(now) {
		if e, ok := s.Members.Find(o.Engine); ok {
			actions = append(actions, state.AskLoad{
				Endpoint: e,
			})
		}
	}
	for model := range s.Routing.Weights.AllNamed() {
		engines := c.engines(s, model, now)
		atOnce := max(loadLeast, int(math.Ceil(loadShare*float64(len(engines)))))
		for _, o := range s.Routing.Weights.Plan(model, engines, atOnce, now) {
			e, _ := s.Members.Find(o.Engine)
			s.Routing.Weights = s.Routing.Weights.WithOrder(o)
			s.Lease = s.Lease.WithUsed(now.Add(OrderLimit))
			s = c.news(s, o.Engine, o.Model)
			actions = append(actions, state.SendOrder{
				Endpoint: e,
				Order:    o,
				Fence:    s.Lease.Fence(),
			})
		}
	}
	return s, actions
}

// due tells whether this instance holds the lease and engines lack weights.
func due(s state.State, now time.Time) bool {
	if !s.Lease.Valid(now, now.Add(OrderLimit)) {
		return false
	}
	for model := range s.Routing.Weights.AllNamed() {
		for _, e := range (Orders{}).engines(s, model, now) {
			if !e.Suspect && !s.Routing.Weights.Current(e.Name, model) {
				return true
			}
		}
	}
	return false
}

// engines returns the engines of model with the work that they have. Suspects are
// among them: others may trust them, and one that is full is silent too.
func (Orders) engines(s state.State, model string, now time.Time) []weight.Engine {
	var out []weight.Engine
	for _, v := range s.Routing.Site.Serves(model) {
		for _, e := range s.Members.Pool(v.Name) {
			if e.Node.Role != member.Engine {
				continue
			}
			out = append(out, weight.Engine{
				Name:    e.Node.Name,
				Suspect: e.Suspect.After(now),
				Running: s.Loads.Peers(e.Node.Name, 0, now).Plus(s.Own.Work[e.Node.Name]).Calls,
			})
		}
	}
	return out
}
