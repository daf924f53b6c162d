package relay

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// fixedState is a state that does not change.
type fixedState struct {
	state state.State
}

func (f fixedState) View() *state.State { return &f.state }

func (fixedState) Post(state.Event) bool { return true }

// oneEngine is the state of an instance with one engine that has capacity for 1,000
// tokens of non-urgent work.
func oneEngine() fixedState {
	s := state.Forwarding(state.Self{
		Name: "n0",
	}, lease.New("l", "n0@1"))
	s.Routing.Site = site.New(1, site.WithServices(site.Service{
		Name:   "llm",
		Memory: 2198, // 1000 tokens over both shares
	}))
	s.Members = s.Members.WithRegistry([]member.Node{
		{
			Name:   "e1",
			Role:   member.Engine,
			Models: []string{"llm"},
		},
	})
	return fixedState{
		state: s,
	}
}

// discardMeter discards all measurements.
type discardMeter struct{}

func (discardMeter) Outcome(chain.Request, chain.Result, string) {}
func (discardMeter) Decision(string)                             {}
func (discardMeter) Chosen(string, string, int)                  {}
func (discardMeter) Failed(string)                               {}
func (discardMeter) Refused(string)                              {}
func (discardMeter) Unreadable(string)                           {}
func (discardMeter) Signaled(string)                             {}
func (discardMeter) Resumed(string)                              {}
func (discardMeter) Waited(time.Duration, bool)                  {}

func promptRequest(team string, rank policy.Rank) chain.Request {
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
			TargetLatency: time.Second,
		},
	}
}

// blockingHandler is a handler that blocks until it is released.
type blockingHandler struct {
	mu      sync.Mutex
	running int
	most    int
	release chan struct{}
}

func (h *blockingHandler) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	h.mu.Lock()
	h.running++
	h.most = max(h.most, h.running)
	h.mu.Unlock()
	<-h.release
	h.mu.Lock()
	h.running--
	h.mu.Unlock()
	return chain.Result{}, nil
}

func (h *blockingHandler) runningNow() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

func TestNonUrgentWorkStaysInMemoryShare(t *testing.T) {
	g := newGate(oneEngine(), time.Now, zerolog.Nop(), discardMeter{})
	h := &blockingHandler{
		release: make(chan struct{}),
	}
	var all sync.WaitGroup
	errs := make(chan error, 5)
	for range 5 {
		all.Go(func() {
			_, err := g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, h)
			errs <- err
		})
	}
	require.Eventually(t, func() bool { return h.runningNow() == 2 }, time.Second, time.Millisecond)
	_, err := g.Filter(t.Context(), promptRequest("braid", policy.Urgent), nil, immediateHandler{})
	require.NoError(t, err, "urgent work is not queued")
	for range 5 {
		h.release <- struct{}{}
	}
	all.Wait()
	require.Equal(t, 2, h.most)
	for range 5 {
		require.NoError(t, <-errs)
	}
}

func TestNonUrgentWorkStaysInSlotShare(t *testing.T) {
	view := oneEngine()
	service, _ := view.state.Routing.Site.Service("llm")
	service.Slots = 4
	service.Memory = 1 << 20
	view.state.Routing.Site = site.New(2, site.WithServices(service))
	g := newGate(view, time.Now, zerolog.Nop(), discardMeter{})
	h := &blockingHandler{
		release: make(chan struct{}),
	}
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { _, _ = g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, h) })
	}
	require.Eventually(t, func() bool { return h.runningNow() == 1 }, time.Second, time.Millisecond)
	require.Never(t, func() bool { return h.runningNow() > 1 }, 50*time.Millisecond, time.Millisecond)
	close(h.release)
	all.Wait()
}

// immediateHandler returns at once.
type immediateHandler struct{}

func (immediateHandler) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	return chain.Result{}, nil
}

func TestNonUrgentWorkIsRefusedAfterQueueTimeout(t *testing.T) {
	g := newGate(oneEngine(), time.Now, zerolog.Nop(), discardMeter{})
	h := &blockingHandler{
		release: make(chan struct{}),
	}
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() { _, _ = g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, h) })
	}
	require.Eventually(t, func() bool { return h.runningNow() == 2 }, time.Second, time.Millisecond)
	begin := time.Now()
	_, err := g.Filter(t.Context(), promptRequest("braid", policy.Normal), nil, h)
	f := fault.From(err)
	require.Equal(t, fault.Overload, f.Kind)
	require.Equal(t, fault.NotRun, f.Run)
	require.Positive(t, f.Retry)
	require.InDelta(t, queueWaitShare, time.Since(begin).Seconds(), 0.3)
	require.Equal(t, 2, h.runningNow())
	close(h.release)
	all.Wait()
}

// A request must not wait for its turn beyond its deadline, and not at all if the wait is
// known to be longer.
func TestQueuedRequestIsRefusedByItsDeadline(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		throughput float64
		want       time.Duration
	}{
		"the wait is not known": {
			want: 300 * time.Millisecond,
		},
		"the wait is known": {
			throughput: 1000,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGate(oneEngine(), time.Now, zerolog.Nop(), discardMeter{})
				h := &blockingHandler{
					release: make(chan struct{}),
				}
				for range 2 {
					go func() { _, _ = g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, h) }()
				}
				synctest.Wait()
				g.serviceQueue("llm").throughput.rate = c.throughput
				r := promptRequest("braid", policy.Normal)
				r.Deadline = time.Now().Add(300 * time.Millisecond)
				begin := time.Now()
				_, err := g.Filter(t.Context(), r, nil, h)
				require.Equal(t, fault.NotRun, fault.From(err).Run)
				require.Equal(t, c.want, time.Since(begin))
				close(h.release)
			})
		})
	}
}

func TestLogRateLimitKeepsRefusals(t *testing.T) {
	view := oneEngine()
	view.state.Members = view.state.Members.WithRegistry(nil)
	var out bytes.Buffer
	log := logs.RateLimited(logs.New(&out, "info"))
	for range 2000 {
		log.Info().Str("event", "route").Send()
	}
	g := newGate(view, time.Now, log, discardMeter{})
	_, err := g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, nil)
	require.Equal(t, fault.Overload, fault.From(err).Kind)
	require.Contains(t, out.String(), "event=refuse request=loom")
}

// A request that waits when the grace period ends must be sent to another instance at
// once, and one whose caller left must not count as one that waited too long.
func TestEndOfGracePeriodRefusesQueuedRequests(t *testing.T) {
	t.Parallel()
	for name, stops := range map[string]bool{
		"caller left":    false,
		"instance stops": true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &bytes.Buffer{}
			g := newGate(oneEngine(), time.Now, zerolog.New(log), discardMeter{})
			h := &blockingHandler{
				release: make(chan struct{}),
			}
			var all sync.WaitGroup
			for range 2 {
				all.Go(func() { _, _ = g.Filter(t.Context(), promptRequest("loom", policy.Normal), nil, h) })
			}
			require.Eventually(t, func() bool { return h.runningNow() == 2 }, time.Second, time.Millisecond)
			signal := grace.New()
			ctx, leave := context.WithCancel(signal.Context())
			time.AfterFunc(10*time.Millisecond, func() {
				if stops {
					signal.End()
				}
				leave()
			})
			_, err := g.Filter(ctx, promptRequest("loom", policy.Normal), nil, h)
			require.Equal(t, fault.NotRun, fault.From(err).Run)
			if stops {
				require.Equal(t, fault.Unavailable, fault.From(err).Kind)
				require.Equal(t, grace.RetryAfter, fault.From(err).Retry)
			}
			require.NotContains(t, log.String(), "waited")
			close(h.release)
			all.Wait()
		})
	}
}
