package filter_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// changingControl is a control thread whose state tests replace.
type changingControl struct {
	state atomic.Pointer[state.State]
}

func (c *changingControl) View() *state.State { return c.state.Load() }

func (*changingControl) Post(state.Event) bool { return true }

// mutedEngines send nothing from e1 before release is closed, and one chunk from the
// others at once.
type mutedEngines struct {
	release chan struct{}
}

func (e mutedEngines) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	if a.Endpoint.Node.Name == "e1" {
		select {
		case <-e.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return oneChunk{
		attempt: a.ID,
	}, nil
}

// oneChunk is a response of one chunk.
type oneChunk struct {
	attempt string
}

func (r oneChunk) Head() chain.Head {
	return chain.Head{
		Attempt: r.attempt,
	}
}

func (oneChunk) Next() (chain.Chunk, int, error) {
	return chain.Chunk{
		End: true,
	}, 0, nil
}

func (oneChunk) Usage() call.Usage { return call.Usage{} }

func (oneChunk) Close() {}

// discard discards a response.
type discard struct{}

func (discard) Begin(chain.Head) error { return nil }

func (discard) Write(chain.Chunk) error { return nil }

// withFailures returns s in which e is suspected.
func withFailures(s state.State, e string) state.State {
	for range 10 {
		s.Members = s.Members.WithFailure(e, time.Now())
	}
	return s
}

// Requests that an engine holds which gets no more calls must not use up the capacity of
// the others.
func TestWorkHeldAtSilentEngineLeavesCapacityOfOthers(t *testing.T) {
	t.Parallel()
	node := func(name string) member.Node {
		return member.Node{
			Name:   name,
			Role:   member.Engine,
			Addr:   name + ":1",
			Models: []string{"llm"},
		}
	}
	for name, change := range map[string]func(s state.State) state.State{
		"suspected": func(s state.State) state.State { return withFailures(s, "e1") },
		"departing": func(s state.State) state.State {
			s.Members = s.Members.WithReport("e1", member.Report{
				Departing: true,
			}, time.Now())
			return s
		},
		"gone": func(s state.State) state.State {
			s.Members = s.Members.WithRegistry([]member.Node{node("e2")})
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				both := state.State{}
				both.Members = member.Unpolled().WithRegistry([]member.Node{node("e1"), node("e2")})
				control := &changingControl{}
				first := withFailures(both, "e2")
				control.state.Store(&first)
				engines := mutedEngines{
					release: make(chan struct{}),
				}
				d := filter.NewDispatch(control, engines, &load.Gauge{}, func() string { return "id" })
				g := filter.NewGate(control, &filter.Tally{}, time.Now, zerolog.Nop())
				send := func() error {
					_, err := g.Filter(t.Context(), chain.Request{
						ID:      "r",
						Kind:    chain.Chat,
						Model:   "llm",
						Arrived: time.Now(),
						Policy: policy.Policy{
							Rank:   policy.Urgent,
							Target: time.Second,
						},
					}, discard{}, d)
					return err
				}
				ended := make(chan error, 8)
				for range 8 {
					go func() { ended <- send() }()
				}
				synctest.Wait()
				next := change(both)
				control.state.Store(&next)
				begin := time.Now()
				for range 3 {
					require.NoError(t, send())
				}
				require.Zero(t, time.Since(begin), "the other engine is free")
				close(engines.release)
				for range 8 {
					require.NoError(t, <-ended)
				}
			})
		})
	}
}
