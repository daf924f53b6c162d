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
	// OrderTimeout is the timeout of an order. The lease holder sends none that could
	// outlast its lease.
	OrderTimeout = 700 * time.Millisecond
	// reloadShare is the share of a model's engines that load new weights at the
	// same time, and minReloads the minimum number. The other engines serve requests
	// meanwhile.
	reloadShare = 0.34
	minReloads  = 2
	// orderStartTimeout is the time after which an engine that reports no order is
	// assumed to have none. It allows for a report that is some hundred milliseconds
	// old and for an order that takes as long to be sent.
	orderStartTimeout = OrderTimeout + 500*time.Millisecond
	// discoveryTime is the time after its first configuration within which an
	// instance reads the desired versions that were set before it started. It covers
	// a few reads of the store.
	discoveryTime = 1 * time.Second
)

// Orders sends orders to engines until they have loaded the desired versions of
// weights.
type Orders struct{}

// Step implements Controller.
func (c Orders) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch e := e.(type) {
	case state.Tick:
		s, actions := c.planOrders(s, now)
		s, updates := c.broadcastUpdates(s)
		return s, append(actions, updates...)
	case state.DesiredVersion:
		return c.handleDesiredVersion(s, e, now)
	case state.Leased:
		s = dateVersions(s, now)
		return c.planOrders(s, now)
	case state.Heartbeat:
		return c.handleHeartbeat(s, e, now)
	case state.WeightsSeen:
		return c.handleLoadedVersion(s, e.Engine, e.Model, e.Version, now)
	case state.Reported:
		return c.handleLoadReport(s, e, now)
	case state.Ordered:
		return c.handleOrderResult(s, e, now)
	}
	return s, nil
}

// handleDesiredVersion records a desired version and since when it is desired, and
// sends the orders that follow from it.
func (c Orders) handleDesiredVersion(s state.State, e state.DesiredVersion, now time.Time) (state.State, []state.Action) {
	before := s.Routing.Weights.Desired(e.Model)
	if !e.Dated && e.Version <= before.Version {
		// A past version is recorded even if its date is unknown, since engines
		// that lack it are outdated.
		s.Routing.Weights = s.Routing.Weights.WithUndatedVersion(e.Model, e.Version, now)
		return s, nil
	}
	found := !e.Dated && before.Version == 0 && (s.Routing.Began.IsZero() || now.Sub(s.Routing.Began) < discoveryTime)
	switch {
	case found:
		s.Routing.Weights = s.Routing.Weights.WithUndatedVersion(e.Model, e.Version, now)
		s = withUndated(s, e)
	case e.Dated:
		s.Routing.Weights = s.Routing.Weights.WithDesired(e.Model, e.Version, now.Add(-e.Age))
	default:
		s.Routing.Weights = s.Routing.Weights.WithDesired(e.Model, e.Version, s.EarliestChange())
	}
	if e.Version < before.Version || e.Version == before.Version && !before.Since.IsZero() {
		return s, nil
	}
	note := state.Note{
		Event: "named",
		Pairs: []string{
			"model", e.Model,
			"version", strconv.FormatInt(e.Version, 10),
			"found", boolString(found),
			"age", e.Age.String(),
		},
	}
	s = dateVersions(s, now)
	s, actions := c.planOrders(s, now)
	return s, append(append(actions, broadcastHeartbeats(s)...), note)
}

// handleLoadedVersion records the version that an engine has loaded, and sends the
// orders that are due next.
func (c Orders) handleLoadedVersion(s state.State, engine, model string, version int64, now time.Time) (state.State, []state.Action) {
	if _, ok := s.Members.Find(engine); !ok || version <= s.Routing.Weights.Loaded(engine, model) {
		return s, nil
	}
	s.Routing.Weights = s.Routing.Weights.WithLoaded(engine, model, version)
	s = c.queueUpdate(s, engine, model)
	s, actions := c.planOrders(s, now)
	return s, append(actions, state.Note{
		Event: "weights",
		Pairs: []string{"endpoint", engine, "model", model, "version", strconv.FormatInt(version, 10)},
	})
}

// handleHeartbeat applies what a peer reports about weights.
func (c Orders) handleHeartbeat(s state.State, e state.Heartbeat, now time.Time) (state.State, []state.Action) {
	var actions []state.Action
	s = dateVersions(s, now)
	for _, n := range e.Relay.DesiredVersions {
		next, more := c.handleDesiredVersion(s, n, now)
		s = next
		actions = append(actions, more...)
	}
	for _, w := range e.Relay.Weights {
		if _, ok := s.Members.Find(w.Engine); !ok {
			continue
		}
		weights := s.Routing.Weights.WithLoaded(w.Engine, w.Model, w.Version)
		switch {
		case s.Lease.Valid(now, now):
		case w.Ordered == 0:
			weights = weights.WithoutOrder(w.Engine)
		case w.Ordered > weights.Loaded(w.Engine, w.Model):
			weights = weights.WithOrder(weight.Order{
				Engine:  w.Engine,
				Model:   w.Model,
				Version: w.Ordered,
				Sent:    now,
			})
		}
		s.Routing.Weights = weights
	}
	return s, actions
}

// handleLoadReport handles an engine's report that was requested after an order.
func (c Orders) handleLoadReport(s state.State, e state.Reported, now time.Time) (state.State, []state.Action) {
	o, ok := s.Routing.Weights.OrderInFlight(e.Endpoint, now)
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
	if !e.Report.Busy && version < o.Version && now.Sub(o.Sent) > orderStartTimeout {
		s.Routing.Weights = s.Routing.Weights.WithoutOrder(e.Endpoint)
		s = c.queueUpdate(s, e.Endpoint, o.Model)
	}
	return c.handleLoadedVersion(s, e.Endpoint, o.Model, version, now)
}

// handleOrderResult records the outcome of an order. If the engine already has the
// version, the next orders are sent.
func (c Orders) handleOrderResult(s state.State, e state.Ordered, now time.Time) (state.State, []state.Action) {
	weights := s.Routing.Weights
	switch e.Outcome {
	case state.AlreadyLoaded:
		weights = weights.WithLoaded(e.Order.Engine, e.Order.Model, e.Order.Version).WithoutOrder(e.Order.Engine)
	case state.Refused, state.Unsent, state.Unsure:
		// An order with an unknown outcome is sent again with the order count that
		// it expects of the engine, so that only one of the two is carried out.
		weights = weights.WithoutOrder(e.Order.Engine)
	case state.Accepted:
	}
	s.Routing.Weights = weights
	s = c.queueUpdate(s, e.Order.Engine, e.Order.Model)
	var actions []state.Action
	if e.Outcome == state.AlreadyLoaded {
		next, more := c.planOrders(s, now)
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

// queueUpdate queues the state of an engine's weights for the peers, if this
// instance is the one that sends orders.
func (Orders) queueUpdate(s state.State, engine, model string) state.State {
	if s.Lease.FencingToken() == 0 {
		return s
	}
	w := state.EngineWeights{
		Engine:  engine,
		Model:   model,
		Version: s.Routing.Weights.Loaded(engine, model),
	}
	if o, ok := s.Routing.Weights.Order(engine); ok && o.Model == model {
		w.Ordered = o.Version
	}
	s.Routing.PendingWeights = append(slices.Clone(s.Routing.PendingWeights), w)
	return s
}

// broadcastUpdates sends the changes since the last tick to all peers.
func (Orders) broadcastUpdates(s state.State) (state.State, []state.Action) {
	if len(s.Routing.PendingWeights) == 0 {
		return s, nil
	}
	actions := heartbeatsTo(s, s.Others())
	s.Routing.PendingWeights = nil
	return s, actions
}

// planOrders sends the orders that are due if this instance holds the lease, and
// polls the engines that have an open order for their progress.
func (c Orders) planOrders(s state.State, now time.Time) (state.State, []state.Action) {
	if !s.Lease.Valid(now, now.Add(OrderTimeout)) {
		return s, nil
	}
	invar.Check(now.Before(s.Lease.Until()), invar.Fence, "orders are planned after the lease ended")
	s.Lease = s.Lease.WithOrdersDue(c.ordersWanted(s, now)).WithNote(encodeDates(s, now))
	var actions []state.Action
	for _, o := range s.Routing.Weights.OrdersInFlight(now) {
		if e, ok := s.Members.Find(o.Engine); ok {
			actions = append(actions, state.PollLoad{
				Endpoint: e,
			})
		}
	}
	if !s.Lease.MayOrder(now, now.Add(OrderTimeout)) {
		// The row has to say first that orders follow.
		op, l, ok := s.Lease.Plan(now)
		if ok {
			s.Lease = l
			actions = append(actions, state.RunLeaseOp{
				Op: op,
			})
		}
		return s, actions
	}
	for model := range s.Routing.Weights.AllDesired() {
		engines := c.enginesOf(s, model, now)
		atOnce := max(minReloads, int(math.Ceil(reloadShare*float64(len(engines)))))
		for _, o := range s.Routing.Weights.Plan(model, engines, atOnce, now) {
			e, _ := s.Members.Find(o.Engine)
			s.Routing.Weights = s.Routing.Weights.WithOrder(o)
			s.Lease = s.Lease.WithOrderInFlight(now.Add(OrderTimeout))
			s = c.queueUpdate(s, o.Engine, o.Model)
			actions = append(actions, state.SendOrder{
				Endpoint:     e,
				Order:        o,
				FencingToken: s.Lease.FencingToken(),
			})
		}
	}
	return s, actions
}

// ordersWanted reports whether engines lack the desired weights or carry out an order.
func (c Orders) ordersWanted(s state.State, now time.Time) bool {
	for model := range s.Routing.Weights.AllDesired() {
		for _, e := range c.enginesOf(s, model, now) {
			if !s.Routing.Weights.Current(e.Name, model) {
				return true
			}
		}
	}
	return false
}

// ordersDue reports whether this instance holds the lease and engines lack the
// desired weights.
func ordersDue(s state.State, now time.Time) bool {
	if !s.Lease.Valid(now, now.Add(OrderTimeout)) {
		return false
	}
	for model := range s.Routing.Weights.AllDesired() {
		for _, e := range (Orders{}).enginesOf(s, model, now) {
			if !e.Suspect && !s.Routing.Weights.Current(e.Name, model) {
				return true
			}
		}
	}
	return false
}

// enginesOf returns the engines of model with their current work. It includes
// suspect engines: other instances may not suspect them, and an engine that is only
// overloaded does not answer either. An engine that wants no calls is ordered later.
func (Orders) enginesOf(s state.State, model string, now time.Time) []weight.Engine {
	var out []weight.Engine
	for _, v := range s.Routing.Site.Serves(model) {
		for _, e := range s.Members.Pool(v.Name) {
			if e.Node.Role != member.Engine {
				continue
			}
			if _, ordered := s.Routing.Weights.OrderInFlight(e.Node.Name, now); !ordered && e.QuietUntil.After(now) {
				continue
			}
			out = append(out, weight.Engine{
				Name:    e.Node.Name,
				Suspect: e.SuspectUntil.After(now),
				Running: s.Loads.PeerWork(e.Node.Name, 0, now).Plus(s.Own.Work[e.Node.Name]).Calls,
			})
		}
	}
	return out
}
