package relay

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

const (
	// patienceLeast, patienceTargets and patienceGaps make the time after which
	// callers of a stream give up: the longest of two seconds, four times the
	// target and eight times the longest pause.
	patienceLeast   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// silentShare is the part of that time after which a silent attempt at a
	// stream is given up, so that another one can still answer.
	silentShare = 0.6
	// reportLimit is how long an endpoint may take to report: several ways and
	// the store's slowest answers.
	reportLimit = 250 * time.Millisecond
	// withdrawTime is how long before the end of the platform's bound an attempt
	// that waits at an engine with replaced weights is withdrawn: a lost packet is
	// sent again, and a busy instance stands still for a tenth of a second.
	withdrawTime = 400 * time.Millisecond
	// longSilence bounds the silence of all other requests.
	longSilence = 10 * time.Second
)

// waits is how long the caller of a stream waits for the next event.
func (x *exchange) waits() time.Duration {
	r := x.request.Route
	return max(patienceLeast, patienceTargets*r.Target, patienceGaps*r.Gap)
}

// patience is how long an attempt may stay without its next event.
func (x *exchange) patience() time.Duration {
	if !x.request.Stream || !x.request.Route.Resumable {
		return longSilence
	}
	return time.Duration(silentShare * float64(x.waits()))
}

// underWay tells whether the endpoint of a silent attempt still has it under
// way. Elsewhere the prompt would be read once more, and busy endpoints would
// keep all others waiting longer.
func (x *exchange) underWay(ctx context.Context, c choice, attempt int) bool {
	if !x.request.Stream || !x.request.Route.Resumable {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	held, err := x.ends.Holds(ctx, c.endpoint.Node, x.request.ID)
	if errors.Is(ctx.Err(), context.Canceled) {
		// The attempt ended meanwhile.
		return false
	}
	line := x.log.Info().Str("event", "silent").Str("request", x.request.ID).Str("endpoint", c.endpoint.Node.Name).
		Int("attempt", attempt).Bool("held", held)
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Send()
	if held {
		// What is still to come goes elsewhere, as after a failure.
		x.control.Post(state.Called{
			Endpoint: c.endpoint.Node.Name,
			Failed:   true,
		})
	}
	return held
}

// watchdog gives an attempt up that stays silent.
type watchdog struct {
	timer *time.Timer
	// mu guards events, the number of those that came. An event that comes while
	// the endpoint is asked has set the timer anew.
	mu     sync.Mutex
	events int
}

// newWatchdog returns a watchdog that calls cancel after d without an event. It
// grants as much once more where underWay says so.
func newWatchdog(d time.Duration, underWay func() bool, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	var granted atomic.Bool
	armed := make(chan struct{})
	w.timer = time.AfterFunc(d, func() {
		<-armed
		before := w.seen()
		held := granted.CompareAndSwap(false, true) && underWay()
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.events != before:
		case held:
			w.timer.Reset(d)
		default:
			cancel(errSilent)
		}
	})
	close(armed)
	return w
}

// next allows d more for what follows.
func (w *watchdog) next(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	w.timer.Reset(d)
}

// seen returns how many events came.
func (w *watchdog) seen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events
}

func (w *watchdog) stop() { w.timer.Stop() }

func statusText(status int) string { return strconv.Itoa(status) }

// expiry withdraws an attempt that has not begun when its engine's weights are
// too old to begin on.
type expiry struct {
	timer *time.Timer
	// over tells that the attempt has begun, ended or was withdrawn: whichever
	// comes first decides.
	over atomic.Bool
}

// newExpiry returns the expiry of an attempt at c. Versions that are named while
// the attempt waits count as well.
func (x *exchange) newExpiry(c choice, cancel context.CancelCauseFunc) *expiry {
	if c.weights == 0 {
		return &expiry{}
	}
	e := &expiry{}
	armed := make(chan struct{})
	e.timer = time.AfterFunc(x.mayBegin(c), func() {
		<-armed
		left := x.mayBegin(c)
		switch {
		case e.over.Load():
		case left > 0:
			e.timer.Reset(left)
		case e.over.CompareAndSwap(false, true):
			cancel(errStale)
		}
	})
	close(armed)
	return e
}

// mayBegin returns for how long a request may still begin on the weights of c.
func (x *exchange) mayBegin(c choice) time.Duration {
	since, behind := x.control.View().Routing.Weights.Behind(c.endpoint.Node.Name, x.request.Model)
	if !behind || since.IsZero() {
		return x.bounds.WeightsIn - withdrawTime
	}
	return since.Add(x.bounds.WeightsIn - withdrawTime).Sub(x.now())
}

func (e *expiry) stop() {
	e.over.Store(true)
	if e.timer != nil {
		e.timer.Stop()
	}
}
