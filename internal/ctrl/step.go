package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

// Controller manages one part of the state. Its Step must not read the clock, start
// goroutines or do I/O.
type Controller interface {
	// Step returns the state after e and the actions to execute.
	Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action)
}

// Controllers returns all controllers in the order in which they run.
func Controllers() []Controller {
	return []Controller{
		Alarms{},
		Members{},
		Mesh{},
		Config{},
		Cache{},
		Leases{},
	}
}

const (
	// ForwardInterval is the time between two ticks of an instance that forwards by
	// routes. At each tick it follows up on orders.
	ForwardInterval = 200 * time.Millisecond
	// heartbeatTicks is the number of ticks between two heartbeats of such an instance.
	// Fewer heartbeats save traffic.
	heartbeatTicks = 4
)

// Forwarding returns the controllers of an instance that forwards by routes, in the
// order in which they run.
func Forwarding() []Controller {
	return []Controller{
		// Before all that compare versions of the store.
		Eras{},
		Alarms{},
		// Before Registry, which replaces incarnations.
		Signals{},
		// Before Mesh, whose heartbeats pass the confirmations on.
		Freshness{},
		Registry{},
		Mesh{
			Every: heartbeatTicks,
		},
		Sites{},
		Software{},
		Follow{},
		Poison{},
		Leases{},
		Orders{},
	}
}

// Step runs each controller in turn.
func Step(cs []Controller, s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	s = s.WithStep(now)
	var actions []state.Action
	for _, c := range cs {
		next, more := c.Step(s, e, now)
		s = next
		actions = append(actions, more...)
	}
	return s, actions
}
