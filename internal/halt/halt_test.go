package halt_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/halt"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/grace"
)

// recordingServer records what is left of the grace period when it stops.
type recordingServer struct {
	draining bool
	left     time.Duration
}

func (s *recordingServer) Drain() { s.draining = true }

func (s *recordingServer) Stop(ctx context.Context) error {
	end, _ := ctx.Deadline()
	s.left = time.Until(end)
	return nil
}

// controlThread takes events once it is released.
type controlThread struct {
	events chan state.Event
}

func (c controlThread) Tell(ctx context.Context, e state.Event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Neither a control thread that takes no events nor a grace period that is shorter than
// the linger period may leave the requests in flight without time to end.
func TestStopLeavesTimeForRequestsInFlight(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		takes  int
		linger time.Duration
		kill   time.Duration
		margin time.Duration
		left   time.Duration
	}{
		"usual": {
			takes:  1,
			linger: 200 * time.Millisecond,
			kill:   time.Second,
			left:   800 * time.Millisecond,
		},
		"short grace period": {
			takes:  1,
			linger: time.Minute,
			kill:   time.Second,
			left:   500 * time.Millisecond,
		},
		"margin": {
			takes:  1,
			linger: 200 * time.Millisecond,
			kill:   4 * time.Second,
			margin: 400 * time.Millisecond,
			left:   3400 * time.Millisecond,
		},
		"margin that is most of the grace period": {
			takes:  1,
			linger: 200 * time.Millisecond,
			kill:   800 * time.Millisecond,
			margin: 400 * time.Millisecond,
			left:   500 * time.Millisecond,
		},
		"delayed control thread": {
			linger: 200 * time.Millisecond,
			kill:   4 * time.Second,
			left:   3 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &recordingServer{}
			signal := grace.New()
			require.NoError(t, halt.Stop(halt.Parts{
				Server: s,
				Control: controlThread{
					events: make(chan state.Event, c.takes),
				},
				Signal: signal,
				Log:    zerolog.Nop(),
				Now:    time.Now,
				Kill:   c.kill,
				Margin: c.margin,
				Linger: c.linger,
			}))
			require.True(t, s.draining)
			require.InDelta(t, c.left.Seconds(), s.left.Seconds(), 0.15)
			require.InDelta(t, s.left.Seconds(), time.Until(signal.Period().End).Seconds(), 0.15)
		})
	}
}

// delayedControl takes an event only after a delay.
type delayedControl struct {
	delay time.Duration
	taken chan state.Event
}

func (c delayedControl) Tell(ctx context.Context, e state.Event) error {
	select {
	case <-time.After(c.delay):
		c.taken <- e
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitingServer stops when the control thread has taken the stop.
type waitingServer struct {
	taken chan state.Event
}

func (waitingServer) Drain() {}

func (s waitingServer) Stop(ctx context.Context) error {
	select {
	case <-s.taken:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A control thread that is late must still learn of the stop, as it passes the stop to
// peers and releases the lease.
func TestDelayedControlThreadLearnsOfStop(t *testing.T) {
	t.Parallel()
	taken := make(chan state.Event, 1)
	require.NoError(t, halt.Stop(halt.Parts{
		Server: waitingServer{
			taken: taken,
		},
		Control: delayedControl{
			delay: 1200 * time.Millisecond,
			taken: taken,
		},
		Signal: grace.New(),
		Log:    zerolog.Nop(),
		Now:    time.Now,
		Kill:   3 * time.Second,
		Linger: 200 * time.Millisecond,
	}))
}
