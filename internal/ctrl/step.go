package ctrl

import (
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

// Controller looks after one part of the state. A step reads no clock, starts
// no goroutine and calls nobody.
type Controller interface {
	// Step returns the state after e and what is to be done.
	Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action)
}

// Controllers returns all controllers in the order in which they step.
func Controllers() []Controller {
	return []Controller{
		Promises{},
		Members{},
		Mesh{},
		Config{},
		Cache{},
		Leases{},
	}
}

const (
	// ForwardInterval is the time between two ticks of an instance that forwards
	// by routes. Orders are followed up at each.
	ForwardInterval = 200 * time.Millisecond
	// pulseTicks is the ticks between two of its pulses, which cost bytes.
	pulseTicks = 4
)

// Forwarding returns the controllers of an instance that forwards by routes.
func Forwarding() []Controller {
	return []Controller{
		Promises{},
		Roster{},
		Mesh{
			Every: pulseTicks,
		},
		Sites{},
		Follow{},
		Leases{},
		Orders{},
	}
}

// Step has each controller step in turn.
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
