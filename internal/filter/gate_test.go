package filter_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// A request that waits when the grace period ends must be sent to another instance at
// once, rather than after a time that depends on the queue.
func TestEndOfGracePeriodRefusesQueuedRequests(t *testing.T) {
	t.Parallel()
	for name, stops := range map[string]bool{
		"caller left":    false,
		"instance stops": true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s state.State
			s.Members = s.Members.WithRegistry([]member.Node{
				{
					Name:   "e0",
					Role:   member.Engine,
					Addr:   "e0:1",
					Models: []string{"small"},
				},
			})
			gate := filter.NewGate(fixedControl{
				state: s,
			}, &filter.Tally{}, time.Now, zerolog.Nop())
			r := chain.Request{
				Kind:  chain.Chat,
				Model: "small",
			}
			signal := grace.New()
			entered, release := make(chan struct{}, 100), make(chan struct{})
			hold := handlerFunc(func() error {
				entered <- struct{}{}
				<-release
				return nil
			})
			defer close(release)
			// Requests are admitted until the engine has as many prompts as it takes.
			ctx, leave := context.WithCancel(signal.Context())
			defer leave()
			queued := make(chan error, 100)
			for range 100 {
				go func() {
					_, err := gate.Filter(ctx, r, nil, hold)
					queued <- err
				}()
			}
			<-entered
			time.Sleep(50 * time.Millisecond)
			if stops {
				signal.End()
			}
			leave()
			err := fault.From(<-queued)
			require.Equal(t, fault.NotRun, err.Run)
			if !stops {
				require.Contains(t, err.Detail, "the caller left")
				return
			}
			require.Equal(t, fault.Unavailable, err.Kind)
			require.Equal(t, grace.RetryAfter, err.Retry)
		})
	}
}

// A request whose handler panicked must not keep its place.
func TestPanicReturnsCapacity(t *testing.T) {
	t.Parallel()
	var s state.State
	s.Members = s.Members.WithRegistry([]member.Node{
		{
			Name:   "e0",
			Role:   member.Engine,
			Addr:   "e0:1",
			Models: []string{"small"},
		},
	})
	gate := filter.NewGate(fixedControl{
		state: s,
	}, &filter.Tally{}, time.Now, zerolog.Nop())
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		require.Panics(t, func() {
			_, _ = gate.Filter(ctx, chain.Request{
				Kind:  chain.Chat,
				Model: "small",
			}, nil, handlerFunc(func() error { panic("a fault") }))
		}, "the request was not admitted")
		cancel()
	}
}
