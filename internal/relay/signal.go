package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// signalTimeout bounds how long an answer is held until what it says of its endpoint is
// in force. The control thread mostly takes well under a millisecond; the platform
// allows half a second.
const signalTimeout = 400 * time.Millisecond

// signalControl is the control thread as seen by the handling of signals.
type signalControl interface {
	View() *state.State
	Tell(ctx context.Context, e state.Event) error
}

// capacityUpdater is told that the endpoints' capacity may have changed.
type capacityUpdater interface {
	update()
}

// signalHandler passes what endpoints say in their answers to the control thread.
type signalHandler struct {
	control signalControl
	gate    capacityUpdater
	now     func() time.Time
	log     zerolog.Logger
	meter   meter
}

// HandleSignal has the control thread apply what the endpoint n said in an answer. It
// returns when that is in force, so that no choice made after the answer was passed on
// is based on an older state.
func (i *Relay) HandleSignal(n member.Node, s call.Signal) {
	signalHandler{
		control: i.Loop,
		gate:    i.gate,
		now:     i.parts.Now,
		log:     i.parts.Log,
		meter:   i.parts.Meter,
	}.handle(n, s)
}

func (h signalHandler) handle(n member.Node, s call.Signal) {
	if n.Role == member.Instance {
		// Stores of cached prompts are no members and can't be avoided.
		return
	}
	e := state.Signaled{
		Endpoint:  n.Name,
		Start:     n.Start,
		Departing: s.Departing,
		Answer:    s.Answer,
		Done:      make(chan struct{}),
	}
	if s.Departing {
		h.meter.Signaled("departing")
	}
	if s.Quiet > 0 {
		h.meter.Signaled("quiet")
		e.QuietUntil = h.now().Add(s.Quiet)
	}
	if h.known(e) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), signalTimeout)
	defer cancel()
	if err := h.control.Tell(ctx, e); err != nil {
		// The endpoint is still in use, so that its next answer repeats it.
		h.log.Warn().Str("event", "unheeded").Str("endpoint", n.Name).Str("reason", "the control thread is too busy to apply what the endpoint said").
			Str("answer", s.Answer).Err(err).Send()
		return
	}
	select {
	case <-e.Done:
		h.gate.update()
	case <-ctx.Done():
	}
}

// known reports whether e would change nothing.
func (h signalHandler) known(e state.Signaled) bool {
	members := h.control.View().Members
	return (!e.Departing || !members.Departure(e.Endpoint, e.Start).IsZero()) &&
		!e.QuietUntil.After(members.Quiet(e.Endpoint, e.Start))
}

// callable reports whether the incarnation n of an endpoint accepts calls at now.
func callable(s *state.State, n member.Node, now time.Time) bool {
	return s.Members.Departure(n.Name, n.Start).IsZero() && !s.Members.Quiet(n.Name, n.Start).After(now)
}

// quiet reports whether the endpoint n wants no calls of this instance. Its departure
// does not matter to calls that are not made for callers.
func (x *executor) quiet(n member.Node) bool {
	return x.loop.View().Members.Quiet(n.Name, n.Start).After(x.parts.Now())
}
