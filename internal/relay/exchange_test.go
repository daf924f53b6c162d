package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// busyEnds is engines at which requests wait until they are withdrawn.
type busyEnds struct {
	ends
	// mu guards what follows: the engines that were asked, and when the request
	// was withdrawn from the last one.
	mu    sync.Mutex
	asked []string
	left  []time.Time
}

func (e *busyEnds) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	e.mu.Lock()
	e.asked = append(e.asked, a.Endpoint.Node.Name)
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = append(e.left, time.Now())
	return nil, call.Failure{
		Cause:  call.Broken,
		Sent:   true,
		Detail: ctx.Err().Error(),
	}
}

func TestRequestThatWaitsAtAnEngineDoesNotBeginOnReplacedWeights(t *testing.T) {
	const bound = 2200 * time.Millisecond
	r := long()
	r.Route.Kind = site.Stream
	r.Route.Resumable = true
	r.Route.Attempts = 2
	r.Route.Target = time.Minute
	r.Stream = true
	s := engines()
	home, ok := chosen(t, s, r)
	require.True(t, ok)
	current := "e1"
	if home.endpoint.Node.Name == current {
		current = "e2"
	}
	named := time.Now()
	s.Routing.Weights = s.Routing.Weights.WithNamed("m", 2, named).WithHeld(current, "m", 2)
	e := &busyEnds{}
	ctx, cancel := context.WithTimeout(t.Context(), bound+time.Second)
	defer cancel()
	x := exchange{
		forward: forward{
			control: fixed{
				state: s,
			},
			ends:  e,
			gauge: &load.Gauge{},
			now:   time.Now,
			log:   zerolog.Nop(),
			links: newLinks(),
			meter: noMeter{},
			bounds: Bounds{
				WeightsIn: bound,
			},
			budgets: newBudgets(Bounds{
				RetryExtra: 5,
				RetrySpan:  time.Second,
			}),
		},
		request: r,
	}
	err := x.run(ctx)
	require.Error(t, err)
	require.NotErrorIs(t, err, context.Canceled)
	require.Equal(t, []string{home.endpoint.Node.Name, current}, e.asked)
	require.Less(t, e.left[0].Sub(named), bound, "the request could begin on version 1 until it was withdrawn")
}
