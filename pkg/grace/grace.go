package grace

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrEnded is the cause with which requests are canceled at the end of the grace
// period.
var ErrEnded = errors.New("the instance stopped before the request ended")

// RetryAfter is the Retry-After time of requests that a stopping instance refuses, since
// other instances can serve them at once. It is the shortest that is sent to callers.
const RetryAfter = 10 * time.Millisecond

// Period is the time that a stopping instance leaves its requests. The zero value is
// that of an instance that does not stop.
type Period struct {
	// Closed is when the instance accepts no connections any more.
	Closed time.Time
	// End is when the remaining requests are canceled; zero if the instance does not
	// stop.
	End time.Time
}

// Active reports whether the instance stops.
func (p Period) Active() bool { return !p.End.IsZero() }

// Left returns the time until the end of an active period.
func (p Period) Left(now time.Time) time.Duration { return p.End.Sub(now) }

// Admits reports whether a request that begins at now and runs for length ends in time.
func (p Period) Admits(length time.Duration, now time.Time) bool {
	return !p.Active() || length <= p.Left(now)
}

// Signal tells requests that their instance stops. It is created by New and safe for
// concurrent use.
type Signal struct {
	// period is nil until Begin was called.
	period atomic.Pointer[Period]
	ended  context.Context
	end    context.CancelCauseFunc
}

// New returns the signal of an instance that does not stop.
func New() *Signal {
	ended, end := context.WithCancelCause(context.Background())
	return &Signal{
		ended: ended,
		end:   end,
	}
}

// Begin begins the grace period. Only the first call has an effect.
func (s *Signal) Begin(p Period) { s.period.CompareAndSwap(nil, &p) }

// Period returns the grace period, or the zero value before Begin was called.
func (s *Signal) Period() Period {
	if p := s.period.Load(); p != nil {
		return *p
	}
	return Period{}
}

// End cancels the remaining requests with ErrEnded.
func (s *Signal) End() { s.end(ErrEnded) }

// Context returns a context that ends with the grace period. It is the parent of the
// contexts of all requests.
func (s *Signal) Context() context.Context { return s.ended }

// Detach returns a copy of ctx that does not end when the caller leaves, but with the
// grace period. The function that it returns releases it.
func (s *Signal) Detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(s.ended, func() { cancel(ErrEnded) })
	return detached, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Ended reports whether ctx was canceled at the end of the grace period.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnded) }
