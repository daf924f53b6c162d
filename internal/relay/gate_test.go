package relay

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// fixed is a state that does not change.
type fixed struct {
	state state.State
}

func (f fixed) View() *state.State { return &f.state }

func (fixed) Post(state.Event) bool { return true }

// oneEngine is the state of an instance before one engine with room for 1,000
// tokens of slow work.
func oneEngine() fixed {
	s := state.Forwarding(state.Self{
		Name: "n0",
	}, lease.New("l", "n0@1"))
	s.Routing.Site = site.New(1, site.WithServices(site.Service{
		Name:   "llm",
		Memory: 2198, // 1000 tokens over both shares
	}))
	s.Members = s.Members.WithList([]member.Node{
		{
			Name:   "e1",
			Role:   member.Engine,
			Models: []string{"llm"},
		},
	})
	return fixed{
		state: s,
	}
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Outcome(chain.Request, chain.Result, string) {}
func (noMeter) Decision(string)                             {}
func (noMeter) Chosen(string, string, int)                  {}
func (noMeter) Failed(string)                               {}
func (noMeter) Refused(string)                              {}
func (noMeter) Waited(time.Duration, bool)                  {}

func slowRequest(team string, rank policy.Rank) chain.Request {
	return chain.Request{
		ID:      team,
		Team:    team,
		Service: "llm",
		Tokens:  399,
		Parts: []prefix.Part{
			{
				ID:     1,
				Tokens: 399,
			},
		},
		Policy: policy.Policy{
			Rank: rank,
		},
		Route: site.Route{
			Target: time.Second,
		},
	}
}

// held is a handler that serves until it is let go.
type held struct {
	mu      sync.Mutex
	running int
	most    int
	let     chan struct{}
}

func (h *held) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	h.mu.Lock()
	h.running++
	h.most = max(h.most, h.running)
	h.mu.Unlock()
	<-h.let
	h.mu.Lock()
	h.running--
	h.mu.Unlock()
	return chain.Result{}, nil
}

func (h *held) now() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

func TestSlowWorkKeepsToItsShareOfTheMemory(t *testing.T) {
	g := newGate(oneEngine(), time.Now, zerolog.Nop(), noMeter{})
	h := &held{
		let: make(chan struct{}),
	}
	var all sync.WaitGroup
	errs := make(chan error, 5)
	for range 5 {
		all.Go(func() {
			_, err := g.Filter(t.Context(), slowRequest("loom", policy.Normal), nil, h)
			errs <- err
		})
	}
	require.Eventually(t, func() bool { return h.now() == 2 }, time.Second, time.Millisecond)
	_, err := g.Filter(t.Context(), slowRequest("braid", policy.Urgent), nil, atOnce{})
	require.NoError(t, err, "urgent work is not held back")
	for range 5 {
		h.let <- struct{}{}
	}
	all.Wait()
	require.Equal(t, 2, h.most)
	for range 5 {
		require.NoError(t, <-errs)
	}
}

func TestSlowWorkKeepsToItsShareOfTheSlots(t *testing.T) {
	view := oneEngine()
	service, _ := view.state.Routing.Site.Service("llm")
	service.Slots = 4
	service.Memory = 1 << 20
	view.state.Routing.Site = site.New(2, site.WithServices(service))
	g := newGate(view, time.Now, zerolog.Nop(), noMeter{})
	h := &held{
		let: make(chan struct{}),
	}
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { _, _ = g.Filter(t.Context(), slowRequest("loom", policy.Normal), nil, h) })
	}
	require.Eventually(t, func() bool { return h.now() == 1 }, time.Second, time.Millisecond)
	require.Never(t, func() bool { return h.now() > 1 }, 50*time.Millisecond, time.Millisecond)
	close(h.let)
	all.Wait()
}

// atOnce serves at once.
type atOnce struct{}

func (atOnce) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	return chain.Result{}, nil
}

func TestSlowWorkThatWaitsTooLongIsRefusedTruly(t *testing.T) {
	g := newGate(oneEngine(), time.Now, zerolog.Nop(), noMeter{})
	h := &held{
		let: make(chan struct{}),
	}
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() { _, _ = g.Filter(t.Context(), slowRequest("loom", policy.Normal), nil, h) })
	}
	require.Eventually(t, func() bool { return h.now() == 2 }, time.Second, time.Millisecond)
	begin := time.Now()
	_, err := g.Filter(t.Context(), slowRequest("braid", policy.Normal), nil, h)
	f := fault.From(err)
	require.Equal(t, fault.Overload, f.Kind)
	require.Equal(t, fault.NotRun, f.Run)
	require.Positive(t, f.Retry)
	require.InDelta(t, waitShare, time.Since(begin).Seconds(), 0.3)
	require.Equal(t, 2, h.now())
	close(h.let)
	all.Wait()
}

func TestBoundOfTheLogSparesRefusals(t *testing.T) {
	view := oneEngine()
	view.state.Members = view.state.Members.WithList(nil)
	var out bytes.Buffer
	log := logs.Bounded(logs.New(&out, "info"))
	for range 2000 {
		log.Info().Str("event", "route").Send()
	}
	g := newGate(view, time.Now, log, noMeter{})
	_, err := g.Filter(t.Context(), slowRequest("loom", policy.Normal), nil, nil)
	require.Equal(t, fault.Overload, fault.From(err).Kind)
	require.Contains(t, out.String(), "event=refuse request=loom")
}
