// Package halt stops an instance gracefully.
//
// A stop has three parts: load balancers and peers learn of it while the instance still
// accepts connections, the listener closes and the requests in flight end, and what
// remains at the end of the grace period is canceled. Requests learn of each part by a
// grace.Signal.
//
//	err := halt.Stop(halt.Parts{Server: s, Control: loop, Signal: g, Kill: 8 * time.Second, ...})
package halt

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/retry"
)

const (
	// controlTimeout bounds the wait for the control thread to take the stop, so that a
	// delayed control thread does not use up the grace period.
	controlTimeout = time.Second
	// maxLingerShare is the share of the grace period that an instance accepts
	// connections for at the most. The rest is for the requests in flight.
	maxLingerShare = 0.5
	// maxMarginShare is the share of the time until the process is killed that is kept
	// for its end at the most.
	maxMarginShare = 0.125
)

// server serves the requests of callers.
type server interface {
	// Drain makes each response ask its caller to close the connection.
	Drain()
	// Stop returns when no request is in flight, or cuts those that are when ctx ends.
	Stop(ctx context.Context) error
}

// control is the control thread.
type control interface {
	Tell(ctx context.Context, e state.Event) error
}

// Parts are the parts of an instance that a stop concerns.
type Parts struct {
	Server  server
	Control control
	// Signal tells requests that the instance stops.
	Signal *grace.Signal
	Log    zerolog.Logger
	// Now is the clock of requests.
	Now func() time.Time
	// Kill is the time until the process is killed. The remaining requests are canceled
	// earlier by Margin, in which they get responses, unless that is too much of Kill.
	Kill   time.Duration
	Margin time.Duration
	// Linger is how long the instance still accepts connections, unless that is too
	// much of the time until requests are canceled.
	Linger time.Duration
}

// period returns the time until no more connections are accepted and the time until the
// remaining requests are canceled.
func (p Parts) period() (linger, end time.Duration) {
	end = p.Kill - min(p.Margin, time.Duration(maxMarginShare*float64(p.Kill)))
	return min(p.Linger, time.Duration(maxLingerShare*float64(end))), end
}

// Stop stops an instance. It returns an error if requests were cut.
func Stop(p Parts) error {
	begin := time.Now()
	linger, end := p.period()
	p.Signal.Begin(grace.Period{
		Closed: p.Now().Add(linger),
		End:    p.Now().Add(end),
	})
	p.Server.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	taken := p.tellControl(ctx)
	select {
	case <-taken:
	case <-time.After(controlTimeout):
	}
	// The time that the control thread took counts as well.
	_ = retry.Wait(ctx, linger-time.Since(begin))
	err := p.Server.Stop(ctx)
	cancel()
	<-taken
	p.Log.Info().Str("event", "drained").Stringer("took", time.Since(begin).Round(time.Millisecond)).AnErr("error", err).Send()
	return err
}

// tellControl passes the stop to the control thread, which passes it to peers and releases
// the lease. The channel that it returns is closed when the control thread has the stop or
// ctx has ended.
func (p Parts) tellControl(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p.Control.Tell(ctx, state.Stopping{}); err != nil {
			p.Log.Warn().Str("event", "stopping").Str("reason", "the control thread did not take the stop: peers learn of it when this instance does not answer").Err(err).Send()
		}
	}()
	return done
}
