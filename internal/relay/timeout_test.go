package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// askedEndpoints are engines that tell when they are asked for a request.
type askedEndpoints struct {
	endpoints
	asked  chan struct{}
	answer chan bool
	// offered receives a value for each request that is sent.
	offered chan struct{}
}

// Open accepts a request and does not begin it.
func (e askedEndpoints) Open(ctx context.Context, _ call.Attempt) (call.Reply, error) {
	e.offered <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (e askedEndpoints) InFlight(context.Context, member.Node, string) (bool, error) {
	close(e.asked)
	return <-e.answer, nil
}

func TestEventDuringInFlightQueryKeepsAttempt(t *testing.T) {
	for _, inFlight := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := askedEndpoints{
				asked:   make(chan struct{}),
				answer:  make(chan bool),
				offered: make(chan struct{}, 1),
			}
			x := newWaitingExchange(fixedState{
				state: fiveEngines(),
			}, e, time.Hour)
			x.request.Route.TargetLatency = 0
			c, ok := choose(t, fiveEngines(), x.request)
			require.True(t, ok)
			a := x.newAttempt(t.Context(), c)
			defer a.close()
			s := x.watchSilence(t.Context(), a)
			<-e.asked
			require.True(t, s.reset(position{}, false))
			e.answer <- inFlight
			time.Sleep(s.limit - time.Millisecond)
			synctest.Wait()
			require.NoError(t, a.ctx.Err())
			require.Empty(t, e.offered)
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			require.Len(t, e.offered, 1, "no further event arrives")
			require.NoError(t, a.ctx.Err(), "the other engine may reject the request")
			time.Sleep(acceptTimeout)
			synctest.Wait()
			require.ErrorIs(t, context.Cause(a.ctx), errIdleTimeout)
			next := s.settle(errors.New("canceled"))
			require.NotNil(t, next)
			next.close()
		})
	}
}
