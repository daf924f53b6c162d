package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// A request that must not run twice is not passed on to a further engine after its
// caller has left.
func TestCallerThatLeavesGetsNoFurtherAttempt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		e := &scriptedEndpoints{
			scripts: []script{
				{
					refuse: true,
					delay:  time.Second,
				},
			},
		}
		x := newWaitingExchange(fixedState{
			state: fiveEngines(),
		}, e, time.Minute)
		x.request.Route.Kind = site.NonIdempotent
		x.request.Deadline = x.now().Add(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := x.Handle(ctx, x.request, &recordingWriter{})
		require.Equal(t, fault.Lost, fault.From(err).Kind)
		require.Len(t, e.asked, 1)
	})
}
