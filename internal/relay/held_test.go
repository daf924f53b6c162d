package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// twoEngines is the state of an instance with the engines e1 and e2, each of which adds
// room for 1,000 tokens of non-urgent work.
func twoEngines() state.State {
	s := oneEngine().state
	s.Members = s.Members.WithRegistry([]member.Node{
		{
			Name:   "e1",
			Role:   member.Engine,
			Models: []string{"llm"},
		},
		{
			Name:   "e2",
			Role:   member.Engine,
			Models: []string{"llm"},
		},
	})
	return s
}

// mutedEndpoints send no response from e1 before release is closed, and one from the
// others at once.
type mutedEndpoints struct {
	endpoints
	release chan struct{}
}

func (e mutedEndpoints) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	if a.Endpoint.Node.Name == "e1" {
		select {
		case <-e.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &timedReply{
		ctx:   ctx,
		waits: []time.Duration{0},
	}, nil
}

// Work that waits at an engine that takes no calls must not use up the room at the
// others. It counts again when its engine does.
func TestWorkHeldAtSilentEngineLeavesRoomAtOthers(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(s state.State) state.State{
		"suspected": func(s state.State) state.State {
			for range 10 {
				s.Members = s.Members.WithFailure("e1", time.Now())
			}
			return s
		},
		"quiet": func(s state.State) state.State { return withQuiet(s, time.Now().Add(time.Minute), "e1") },
		"departing": func(s state.State) state.State {
			s.Members = s.Members.WithReport("e1", member.Report{
				Departing: true,
			}, time.Now())
			return s
		},
		"gone": func(s state.State) state.State {
			s.Members = s.Members.WithRegistry([]member.Node{
				{
					Name:   "e2",
					Role:   member.Engine,
					Models: []string{"llm"},
				},
			})
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				view := &mutableState{}
				first := withQuiet(twoEngines(), time.Now().Add(time.Second), "e2")
				view.now.Store(&first)
				e := mutedEndpoints{
					release: make(chan struct{}),
				}
				f := newWaitingExchange(view, e, time.Hour).forwarder
				g := newGate(view, time.Now, zerolog.Nop(), discardMeter{})
				send := func() error {
					r := promptRequest("loom", policy.Normal)
					r.Route.Prompts = true
					_, err := g.Filter(t.Context(), r, discardWriter{}, chainHandler(f.Handle))
					return err
				}
				ended := make(chan error, 2)
				for range 2 {
					go func() { ended <- send() }()
				}
				synctest.Wait()
				time.Sleep(time.Second)
				next := change(first)
				view.now.Store(&next)
				begin := time.Now()
				for range 4 {
					require.NoError(t, send())
				}
				require.Zero(t, time.Since(begin), "the others have room")
				close(e.release)
				for range 2 {
					require.NoError(t, <-ended)
				}
				require.Empty(t, g.serviceQueue("llm").running)
			})
		})
	}
}

// Requests that wait must be admitted when an engine that holds work is suspected, though
// none ends.
func TestWaitingWorkIsAdmittedWhenHolderIsSuspected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		view := &mutableState{}
		first := twoEngines()
		view.now.Store(&first)
		g := newGate(view, time.Now, zerolog.Nop(), discardMeter{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = g.run(ctx) }()
		h := &blockingHandler{
			release: make(chan struct{}),
		}
		held := chainHandler(func(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
			admissionOf(ctx).begin("e1")
			defer admissionOf(ctx).end("e1")
			return h.Handle(ctx, r, w)
		})
		for range 6 {
			go func() { _, _ = g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, held) }()
		}
		synctest.Wait()
		require.Equal(t, 5, h.runningNow())
		next := first
		for range 10 {
			next.Members = next.Members.WithFailure("e1", time.Now())
		}
		view.now.Store(&next)
		time.Sleep(2 * updateInterval)
		require.Equal(t, 6, h.runningNow())
		close(h.release)
		synctest.Wait()
		require.Empty(t, g.serviceQueue("llm").running)
	})
}

// Whatever attempts requests make, work counts at each engine that has it, and nowhere
// once it has ended.
func TestAdmittedWorkCountsWhereItIs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		g := newGate(fixedState{
			state: twoEngines(),
		}, time.Now, zerolog.Nop(), discardMeter{})
		q := g.serviceQueue("llm")
		var requests []*admission
		at := map[*admission][]string{}
		for range rapid.IntRange(1, 4).Draw(rt, "requests") {
			a := &admission{
				gate:    g,
				service: "llm",
				tokens:  400,
			}
			q.running.add("", a.tokens)
			requests = append(requests, a)
		}
		for range rapid.IntRange(0, 20).Draw(rt, "steps") {
			a := rapid.SampledFrom(requests).Draw(rt, "request")
			if n := len(at[a]); n > 0 && rapid.Bool().Draw(rt, "ends") {
				i := rapid.IntRange(0, n-1).Draw(rt, "attempt")
				a.end(at[a][i])
				at[a] = append(at[a][:i:i], at[a][i+1:]...)
			} else if n < 2 {
				e := rapid.SampledFrom([]string{"e1", "e2", "gone"}).Draw(rt, "endpoint")
				a.begin(e)
				at[a] = append(at[a], e)
			}
			want := ledger{}
			for _, a := range requests {
				for _, e := range at[a] {
					want.add(e, a.tokens)
				}
				if len(at[a]) == 0 {
					want.add("", a.tokens)
				}
			}
			require.Equal(rt, want, q.running)
			used := want["e1"].tokens + want["e2"].tokens + want[""].tokens
			require.InDelta(rt, used, roomOf(g.view.View(), "llm", q.running, time.Now()).used, 0)
		}
		for _, a := range requests {
			a.release()
			for _, e := range at[a] {
				a.end(e)
			}
		}
		require.Empty(rt, q.running)
	})
}

// BenchmarkGate measures the admission of a request, its attempt and its end beside other
// work.
func BenchmarkGate(b *testing.B) {
	for _, size := range [][2]int{{8, 14}, {78, 78}, {295, 320}, {340, 2000}} {
		s := fleetState(size[0], size[1])
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			b.ReportAllocs()
			g := newGate(fixedState{
				state: s,
			}, time.Now, zerolog.Nop(), discardMeter{})
			for i := range 8 {
				g.serviceQueue("llm").running.add(fmt.Sprintf("e%04d", i), 1)
			}
			r := promptRequest("loom", policy.Normal)
			h := chainHandler(func(ctx context.Context, _ chain.Request, _ chain.Writer) (chain.Result, error) {
				a := admissionOf(ctx)
				a.begin("e0001")
				a.end("e0001")
				return chain.Result{}, nil
			})
			for b.Loop() {
				_, _ = g.Filter(b.Context(), r, nil, h)
			}
		})
	}
}
