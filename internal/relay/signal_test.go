package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// departureOf is the departure that the endpoint name announced at begin.
func departureOf(name string) member.Announcement {
	return member.Announcement{
		Endpoint: name,
		Since:    begin,
	}
}

// fakeControl applies signals to its state, and counts them.
type fakeControl struct {
	mutableState
	told int
	err  error
}

func (c *fakeControl) Tell(_ context.Context, e state.Event) error {
	c.told++
	if c.err != nil {
		return c.err
	}
	next, _ := ctrl.Step(ctrl.Forwarding(), *c.View(), e, begin)
	c.now.Store(&next)
	if s, ok := e.(state.Signaled); ok {
		s.Published()
	}
	return nil
}

func newSignalHandler(s state.State) (signalHandler, *fakeControl) {
	c := &fakeControl{}
	c.now.Store(&s)
	return signalHandler{
		control: c,
		log:     zerolog.Nop(),
		meter:   discardMeter{},
	}, c
}

// e0 is the first of five engines, as an attempt names it.
func e0() member.Node {
	return member.Node{
		Name: "e0",
		Role: member.Engine,
	}
}

// What an answer says is in force when it is passed on. Each further answer repeats it,
// which must cost the control thread nothing.
func TestSignalIsInForceBeforeTheAnswerIsPassedOn(t *testing.T) {
	h, c := newSignalHandler(fiveEngines())
	departing := call.Signal{
		Departing: true,
	}
	h.handle(e0(), departing)
	require.Len(t, c.View().Members.Pool("llm"), 4)
	h.handle(e0(), departing)
	require.Equal(t, 1, c.told)
}

// A signal that the control thread could not take must come through with a later answer.
func TestLostSignalIsRepeatedByTheNextAnswer(t *testing.T) {
	h, c := newSignalHandler(fiveEngines())
	c.err = errors.New("the queue is full")
	departing := call.Signal{
		Departing: true,
	}
	h.handle(e0(), departing)
	require.Len(t, c.View().Members.Pool("llm"), 5)
	c.err = nil
	h.handle(e0(), departing)
	require.Len(t, c.View().Members.Pool("llm"), 4)
}

// changingEndpoints change the state before they ask whether the first attempt may be
// sent, and serve the others.
type changingEndpoints struct {
	endpoints
	change func(name string)
	sent   []string
}

func (e *changingEndpoints) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	if change := e.change; change != nil {
		e.change = nil
		change(a.Endpoint.Node.Name)
	}
	if !a.Allowed() {
		return nil, call.Failure{
			Cause: call.Withheld,
		}
	}
	e.sent = append(e.sent, a.Endpoint.Node.Name)
	return &timedReply{
		ctx:   ctx,
		waits: []time.Duration{0},
	}, nil
}

// An instance that was frozen, or dialed for long, between the choice and the sending
// must not send on the old state. The request goes to another endpoint and costs neither
// an attempt nor the retry budget.
func TestAttemptIsWithheldIfItsEndpointWantsNoCalls(t *testing.T) {
	for name, change := range map[string]func(s *state.State, name string){
		"departing": func(s *state.State, name string) { s.Members = s.Members.WithDeparture(departureOf(name)) },
	} {
		t.Run(name, func(t *testing.T) {
			v := &mutableState{}
			first := fiveEngines()
			v.now.Store(&first)
			var refused string
			e := &changingEndpoints{
				change: func(name string) {
					refused = name
					next := *v.View()
					change(&next, name)
					v.now.Store(&next)
				},
			}
			x := newWaitingExchange(v, e, time.Minute)
			x.writer = discardWriter{}
			x.request.Route.Attempts = 1
			x.budgets = newRetryBudgets(Bounds{
				RetrySpan: time.Second,
			})
			require.NoError(t, x.run(t.Context()))
			require.Len(t, e.sent, 1)
			require.NotEqual(t, refused, e.sent[0])
			require.Equal(t, 1, x.attempts)
		})
	}
}
