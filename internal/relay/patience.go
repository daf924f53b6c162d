package relay

import (
	"context"
	"strconv"
	"time"
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

// watchdog gives an attempt up that stays silent.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(d time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{
		timer: time.AfterFunc(d, func() { cancel(errSilent) }),
	}
}

// next allows d more for what follows.
func (w *watchdog) next(d time.Duration) { w.timer.Reset(d) }

func (w *watchdog) stop() { w.timer.Stop() }

func statusText(status int) string { return strconv.Itoa(status) }
