package relay

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

const (
	// A caller of a stream is assumed to give up after the longest of
	// minCallerTimeout, callerTimeoutTargets times the latency target and
	// callerTimeoutGaps times the longest gap between events.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	// idleTimeoutShare is the share of the caller's timeout after which another
	// endpoint is sought for a silent stream, so that it can still respond in
	// time.
	idleTimeoutShare = 0.6
	// acceptTimeout is how long an endpoint may take to reject a request that is
	// offered to it beside a silent one. For less than 400 ms both may work on it.
	acceptTimeout = 150 * time.Millisecond
	// reportTimeout limits a query of an endpoint's requests. It allows for
	// several network round trips and the slowest responses of the store.
	reportTimeout = 250 * time.Millisecond
	// withdrawMargin is how long before the platform's limit an attempt that
	// waits at an engine with replaced weights is withdrawn. It allows for the
	// retransmission of a lost packet and for a busy instance that stalls for a
	// tenth of a second.
	withdrawMargin = 400 * time.Millisecond
	// suspicionTimeout is how long an endpoint may be silent to a prompt with parts that
	// were never served until it is asked whether it answers at all.
	suspicionTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of all other requests.
	defaultIdleTimeout = 10 * time.Second
)

// callerTimeout is how long the caller of a stream waits for the next event.
func (x *exchange) callerTimeout() time.Duration {
	r := x.request.Route
	return max(minCallerTimeout, callerTimeoutTargets*r.TargetLatency, callerTimeoutGaps*r.Gap)
}

// idleTimeout is how long an attempt may go without receiving data.
func (x *exchange) idleTimeout() time.Duration {
	if !x.resumable() {
		return defaultIdleTimeout
	}
	return time.Duration(idleTimeoutShare * float64(x.callerTimeout()))
}

// resumable reports whether another endpoint may go on with the response.
func (x *exchange) resumable() bool { return x.request.Stream && x.request.Route.Resumable }

// inFlight reports whether the endpoint of a silent attempt still has the
// request in flight, and whether it answers at all. If it has the request, a retry
// elsewhere would repeat the prefill, and busy endpoints would make all other requests
// wait longer.
func (x *exchange) inFlight(a *attempt) (held, answers bool) {
	node := a.choice.endpoint.Node
	if !callable(x.control.View(), node, x.now()) {
		// The endpoint can't be asked.
		return true, true
	}
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	ok, err := x.endpoints.InFlight(ctx, node, x.request.ID)
	if errors.Is(ctx.Err(), context.Canceled) {
		// The attempt ended in the meantime.
		return false, true
	}
	line := x.log.Info().Str("event", "silent").Str("request", x.request.ID).Str("endpoint", node.Name).
		Int("attempt", a.number).Bool("held", ok)
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Send()
	if ok {
		// Counted as a failure of the endpoint, so that further requests go
		// elsewhere.
		x.control.Post(state.Called{
			Endpoint: node.Name,
			Failed:   true,
		})
	}
	return ok, err == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// answers reports whether the endpoint of a silent attempt answers at all, or can't be
// asked.
func (x *exchange) answers(a *attempt) bool {
	node := a.choice.endpoint.Node
	if !callable(x.control.View(), node, x.now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	_, err := x.endpoints.InFlight(ctx, node, x.request.ID)
	return err == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func statusText(status int) string { return strconv.Itoa(status) }

// staleTimer withdraws an attempt that has not started by the time at which
// requests may no longer start on its engine's weights.
type staleTimer struct {
	timer *time.Timer
	// settled is set by whichever comes first: the start or the end of the
	// attempt, or its withdrawal.
	settled atomic.Bool
}

// newStaleTimer returns the timer of an attempt at c. It also covers versions
// that are set while the attempt waits.
func (x *exchange) newStaleTimer(c choice, cancel context.CancelCauseFunc) *staleTimer {
	if c.weights == 0 {
		return &staleTimer{}
	}
	e := &staleTimer{}
	armed := make(chan struct{})
	e.timer = time.AfterFunc(x.startTimeLeft(c), func() {
		<-armed
		remaining := x.startTimeLeft(c)
		switch {
		case e.settled.Load():
		case remaining > 0:
			e.timer.Reset(remaining)
		case e.settled.CompareAndSwap(false, true):
			cancel(errStaleWeights)
		}
	})
	close(armed)
	return e
}

// startTimeLeft returns for how long a request may still start on the weights
// of c.
func (x *exchange) startTimeLeft(c choice) time.Duration {
	weights := x.control.View().Routing.Weights
	return x.bounds.StaleWeightsLimit - withdrawMargin - weights.BehindFor(c.endpoint.Node.Name, x.request.Model, x.now())
}

func (e *staleTimer) stop() {
	e.settled.Store(true)
	if e.timer != nil {
		e.timer.Stop()
	}
}
