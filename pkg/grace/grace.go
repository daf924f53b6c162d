package grace

import (
	"context"
	"errors"
	"time"
)

// ErrEnded is the cause with which requests are canceled at the end of the grace
// period.
var ErrEnded = errors.New("the instance stopped before the request ended")

// RetryAfter is the Retry-After time of requests that a stopping instance refuses, since
// other instances can serve them at once. It is the shortest that is sent to callers.
const RetryAfter = 10 * time.Millisecond

// Signal tells requests that their instance stops. It is created by New and safe for
// concurrent use.
type Signal struct {
	ended context.Context
	end   context.CancelCauseFunc
}

// New returns the signal of an instance that does not stop.
func New() *Signal {
	ended, end := context.WithCancelCause(context.Background())
	return &Signal{
		ended: ended,
		end:   end,
	}
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
