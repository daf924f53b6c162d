package filter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// fixedControl is a control thread whose state does not change.
type fixedControl struct {
	state state.State
}

func (c fixedControl) View() *state.State { return &c.state }

func (fixedControl) Post(state.Event) bool { return true }

// failingEndpoints fail every attempt. Only the first one may have been sent.
type failingEndpoints struct {
	attempts int
}

func (e *failingEndpoints) Open(context.Context, call.Attempt) (call.Reply, error) {
	e.attempts++
	return nil, call.Failure{
		Cause:     call.Broken,
		MaybeSent: e.attempts == 1,
		Detail:    "none",
	}
}

// A request that an earlier attempt may have run must not be reported as not run because
// the last attempt was not sent.
func TestUnsentLastAttemptDoesNotMeanNotRun(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{1, 5} {
		var s state.State
		var nodes []member.Node
		for n := range endpoints {
			nodes = append(nodes, member.Node{
				Name:   fmt.Sprint("s", n),
				Role:   member.Service,
				Addr:   fmt.Sprint("s", n, ":1"),
				Models: []string{"desk"},
			})
		}
		s.Members = s.Members.WithRegistry(nodes)
		e := &failingEndpoints{}
		d := filter.NewDispatch(fixedControl{
			state: s,
		}, e, &load.Gauge{}, func() string { return "id" })
		_, err := d.Handle(t.Context(), chain.Request{
			ID:         "r",
			Kind:       chain.Service,
			Model:      "desk",
			Idempotent: true,
			Policy: policy.Policy{
				Name: "p",
			},
		}, nil)
		require.Error(t, err)
		require.Greater(t, e.attempts, 1, "%v", err)
		require.Equal(t, fault.Unknown, fault.From(err).Run, "%v", err)
	}
}

// silentEndpoints never answer.
type silentEndpoints struct {
	opened chan struct{}
}

func (e silentEndpoints) Open(ctx context.Context, _ call.Attempt) (call.Reply, error) {
	close(e.opened)
	<-ctx.Done()
	return nil, call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
		Detail:    ctx.Err().Error(),
	}
}

// recordingControl records the events that are posted to it.
type recordingControl struct {
	fixedControl
	events chan state.Event
}

func (c recordingControl) Post(e state.Event) bool {
	c.events <- e
	return true
}

// An endpoint must not be suspected because a caller left or the instance stops.
func TestCanceledCallIsNoFailureOfItsEndpoint(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]chain.Kind{
		"call":       chain.Service,
		"generation": chain.Chat,
	} {
		for reason, stops := range map[string]bool{
			"caller left":    false,
			"instance stops": true,
		} {
			t.Run(name+", "+reason, func(t *testing.T) {
				t.Parallel()
				var s state.State
				s.Members = s.Members.WithRegistry([]member.Node{
					{
						Name:   "s0",
						Role:   member.Service,
						Addr:   "s0:1",
						Models: []string{"desk"},
					},
				})
				signal := grace.New()
				ctx, leave := context.WithCancel(signal.Context())
				defer leave()
				e := silentEndpoints{
					opened: make(chan struct{}),
				}
				control := recordingControl{
					fixedControl: fixedControl{
						state: s,
					},
					events: make(chan state.Event, 10),
				}
				d := filter.NewDispatch(control, e, &load.Gauge{}, func() string { return "id" }, filter.WithGrace(signal))
				go func() {
					<-e.opened
					if stops {
						signal.End()
					}
					leave()
				}()
				_, err := d.Handle(ctx, chain.Request{
					ID:         "r",
					Kind:       kind,
					Model:      "desk",
					Idempotent: true,
				}, nil)
				require.Error(t, err)
				require.Empty(t, control.events)
			})
		}
	}
}

// A call that continues without its caller must still end with the grace period, so that
// its caller gets an answer before the process ends.
func TestEndOfGracePeriodEndsCalls(t *testing.T) {
	t.Parallel()
	for name, r := range map[string]chain.Request{
		"not idempotent": {
			Kind: chain.Service,
		},
		"idempotent": {
			Kind:       chain.Service,
			Idempotent: true,
		},
		"generation": {
			Kind: chain.Chat,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.ID, r.Model = "r", "desk"
			var s state.State
			s.Members = s.Members.WithRegistry([]member.Node{
				{
					Name:   "s0",
					Role:   member.Service,
					Addr:   "s0:1",
					Models: []string{"desk"},
				},
			})
			signal := grace.New()
			e := silentEndpoints{
				opened: make(chan struct{}),
			}
			d := filter.NewDispatch(fixedControl{
				state: s,
			}, e, &load.Gauge{}, func() string { return "id" }, filter.WithGrace(signal))
			ended := make(chan error, 1)
			go func() {
				_, err := d.Handle(signal.Context(), r, nil)
				ended <- err
			}()
			<-e.opened
			signal.End()
			select {
			case err := <-ended:
				require.Equal(t, fault.Lost, fault.From(err).Kind)
				require.Equal(t, fault.Unknown, fault.From(err).Run)
				require.Contains(t, fault.From(err).Detail, "stopped")
			case <-time.After(100 * time.Millisecond):
				require.Fail(t, "the call did not end")
			}
		})
	}
}
