package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// silentPeers are peers that answer no ask.
type silentPeers struct {
	peerClient
	asks atomic.Int64
}

func (p *silentPeers) Grant(ctx context.Context, _ member.Node, _ allot.Ask) (allot.Answer, error) {
	p.asks.Add(1)
	<-ctx.Done()
	return allot.Answer{}, errors.Trace(ctx.Err())
}

// limitedState is the state of instance n0 of two. Team a has an allotment of 10 requests a
// second, and holder the lease.
func limitedState(holder string, now time.Time) fixedState {
	l := lease.New("l", "n0@1").WithPeerRow(store.Row{
		Version: 1,
		Value:   []byte("1 " + holder + "@1"),
	}, 0, now)
	s := state.Forwarding(state.Self{
		Name: "n0",
	}, l)
	s.Routing.Site = site.New(1, site.WithTeams(site.Team{
		Name: "a",
		Limit: allot.Limit{
			Rate:  10,
			Burst: 10,
		},
	}, site.Team{
		Name: "free",
	}))
	s.Routing.PeerHeardAt = now
	s.Routing.Peers = []member.Node{
		{
			Name: "n1",
			Role: member.Instance,
			Addr: "10.0.0.1:1",
		},
	}
	s.Members = s.Members.WithRegistry(s.Routing.Peers)
	return fixedState{
		state: s,
	}
}

// startAllotter runs an allotter of instance n0 until the test ends.
func startAllotter(t *testing.T, v fixedState, peers peerClient) *allotter {
	t.Helper()
	a := newAllotter(v, Parts{
		Self:  v.state.Self,
		Peers: peers,
		Now:   time.Now,
		Log:   zerolog.Nop(),
		Meter: discardMeter{},
		Bounds: Bounds{
			Allot: allot.Bounds{
				Window: 8 * time.Second,
			},
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = a.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return a
}

// failingHandler fails each request with err, or none if that is nil.
type failingHandler struct {
	err error
}

func (h failingHandler) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	return chain.Result{}, h.err
}

// send has the filter handle a request, whose handler fails with err, and returns the
// outcome.
func send(a *allotter, team string, err error) error {
	_, got := a.Filter(context.Background(), chain.Request{
		Team: team,
	}, nil, failingHandler{
		err: err,
	})
	return got
}

// sendAll returns how many of n requests are passed on, one a step.
func sendAll(a *allotter, team string, n int, step time.Duration, err error) int {
	passed := 0
	for range n {
		var f fault.Error
		if got := send(a, team, err); !errors.As(got, &f) || f.Kind != fault.Limited {
			passed++
		}
		time.Sleep(step)
	}
	return passed
}

func TestRequestsBeyondTheAllotmentAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The other instance is silent, so that half of the rate stays with it.
		a := startAllotter(t, limitedState("n0", time.Now()), &silentPeers{})
		time.Sleep(20 * time.Second)
		require.Equal(t, 1000, sendAll(a, "free", 1000, time.Millisecond, nil))
		got := sendAll(a, "a", 200, 50*time.Millisecond, nil)
		require.InDelta(t, 55, got, 6)
		var err error
		for i := 0; err == nil && i < 20; i++ {
			err = send(a, "a", nil)
		}
		var f fault.Error
		require.ErrorAs(t, err, &f)
		require.Equal(t, fault.Limited, f.Kind)
		require.Equal(t, fault.NotRun, f.Run)
		require.Positive(t, f.Retry)
	})
}

func TestRefusedLaterRequestGetsItsCreditBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAllotter(t, limitedState("n0", time.Now()), &silentPeers{})
		time.Sleep(20 * time.Second)
		require.Equal(t, 200, sendAll(a, "a", 200, time.Millisecond, fault.New(fault.Overload, "full")))
		// All that a window of 8 s holds.
		require.LessOrEqual(t, sendAll(a, "a", 200, time.Millisecond, fault.New(fault.Lost, "cut").WithRun(fault.Unknown)), 90)
	})
}

// A grantor that does not answer leaves the instance its part of the rate, and no request
// waits long for it.
func TestInstanceOutOfTouchUsesItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &silentPeers{}
		a := startAllotter(t, limitedState("n1", time.Now()), peers)
		begin := time.Now()
		require.Error(t, send(a, "a", nil))
		require.LessOrEqual(t, time.Since(begin), maxCreditWait)
		time.Sleep(10 * time.Second)
		got := sendAll(a, "a", 200, 50*time.Millisecond, nil)
		require.InDelta(t, 52, got, 6)
		require.Positive(t, peers.asks.Load())
	})
}

func TestFleetWithoutAllotmentsAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := limitedState("n1", time.Now())
		v.state.Routing.Site = site.New(1, site.WithTeams(site.Team{
			Name: "a",
		}))
		peers := &silentPeers{}
		a := startAllotter(t, v, peers)
		require.Equal(t, 1000, sendAll(a, "a", 1000, time.Millisecond, nil))
		require.Zero(t, peers.asks.Load())
	})
}
