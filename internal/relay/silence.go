package relay

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
)

// silence watches for an attempt that receives no data for too long and seeks
// another endpoint for its request.
//
// A silent endpoint may still go on, so an attempt is not given up for silence
// alone. One whose response has not begun is kept until another endpoint has accepted
// the request, and a begun stream until an event of another endpoint continues it. If
// none does, the request waits for its endpoint until its deadline.
type silence struct {
	exchange *exchange
	attempt  *attempt
	// ctx ends with the request.
	ctx   context.Context
	limit time.Duration
	timer *time.Timer
	// suspicion fires where the limit is longer than suspicionTimeout; nil otherwise.
	suspicion *time.Timer
	// mu guards the fields below.
	mu sync.Mutex
	// events counts how often data was received. firstAt is when it first was, and lastAt
	// when it last was or, before, when the watch began.
	events  int
	firstAt time.Time
	lastAt  time.Time
	// begun is true if the caller has received a part of the response, and
	// received is how much it is of a stream.
	begun    bool
	received position
	// asked is true once the endpoint was asked whether it has the request, in the
	// current silence if the response has begun.
	asked bool
	// ended is true once the attempt has ended.
	ended bool
	// search is the search in progress, or the one that found a replacement; nil
	// if there is none. Invariant: while it is in progress, it alone uses the
	// exchange's record of attempts and nothing else of the exchange that changes.
	search *search
}

// search is a search for an endpoint that replaces a silent one.
type search struct {
	ctx    context.Context
	cancel context.CancelFunc
	// events, begun and received are those of the silent attempt when the search
	// began.
	events   int
	begun    bool
	received position
	// found is the attempt that replaces the silent one; nil if there is none.
	found *attempt
	// done is closed when the search has ended.
	done chan struct{}
}

// watchSilence watches a until settle is called.
func (x *exchange) watchSilence(ctx context.Context, a *attempt) *silence {
	s := &silence{
		exchange: x,
		attempt:  a,
		ctx:      ctx,
		limit:    x.idleTimeout(),
		lastAt:   x.now(),
		begun:    x.headWritten,
		received: x.received,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.limit, s.expire)
	if s.limit > suspicionTimeout && len(x.served.Without(x.parts)) > 0 {
		s.suspicion = time.AfterFunc(suspicionTimeout, s.suspect)
	}
	return s
}

// reset records that data arrived, with which the caller has the given part, and
// whether its response has begun. It returns false if the attempt was replaced.
func (s *silence) reset(received position, begun bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.search != nil {
		if s.search.found != nil {
			return false
		}
		s.search.cancel()
	}
	s.lastAt = s.exchange.now()
	if s.events == 0 {
		s.firstAt = s.lastAt
	}
	s.events++
	s.asked = s.asked && !begun
	s.begun = begun
	s.received = received
	s.timer.Reset(s.limit)
	return true
}

// settle ends the watch of an attempt that ended with err. It returns the attempt
// that replaces a failed one, if there is one and the caller still waits.
func (s *silence) settle(err error) *attempt {
	needed := err != nil && callerIsWaiting(s.ctx, err)
	s.mu.Lock()
	s.ended = true
	s.timer.Stop()
	if s.suspicion != nil {
		s.suspicion.Stop()
	}
	q := s.search
	s.mu.Unlock()
	if q == nil {
		return nil
	}
	if !needed {
		q.cancel()
	}
	<-q.done
	if !needed && q.found != nil {
		q.found.close()
		return nil
	}
	return q.found
}

// expire handles an attempt that was silent for the limit. An endpoint that still
// has the request is given the same time once more.
func (s *silence) expire() {
	defer s.logPanic()
	s.mu.Lock()
	before, ask := s.events, !s.asked
	s.asked = true
	s.mu.Unlock()
	held := false
	if ask && s.exchange.resumable() {
		var answers bool
		if held, answers = s.exchange.inFlight(s.attempt); !answers {
			s.reportSilence(before)
		}
	}
	if q := s.react(before, held); q != nil {
		s.run(q)
	}
}

// suspect asks an endpoint that has sent nothing for suspicionTimeout whether it answers.
func (s *silence) suspect() {
	defer s.logPanic()
	s.mu.Lock()
	waiting := !s.ended && s.events == 0
	s.mu.Unlock()
	if waiting && !s.exchange.answers(s.attempt) {
		s.reportSilence(0)
	}
}

// reportSilence reports that the endpoint does not answer, unless data has arrived since
// the number of events was before, or had arrived for long.
func (s *silence) reportSilence(before int) {
	s.mu.Lock()
	since := s.lastAt
	over := s.ended || s.events != before || s.events > 0 && s.lastAt.Sub(s.firstAt) > startTime
	s.mu.Unlock()
	if !over {
		s.exchange.reportSilence(s.attempt.choice.endpoint.Node, since)
	}
}

// react decides what follows from a silence during which the number of events
// stayed at before. It returns a search that is to be run, or nil.
func (s *silence) react(before int, held bool) *search {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.exchange
	switch {
	case s.ended || s.events != before:
		// The timer was stopped or restarted.
	case held || s.search != nil:
		s.timer.Reset(s.limit)
	case !x.retryableAfter(s.begun, s.received) || !x.attemptsLeft() || x.risky(s.attempt.choice.endpoint.Node.Name):
		if x.request.EffectiveDeadline().IsZero() {
			s.attempt.cancel(errIdleTimeout)
			return nil
		}
		s.logKept("no further attempt is allowed")
	case !x.hasOther(s.attempt.choice.endpoint.Node.Name, s.received):
		s.logKept("no other endpoint or no retry budget is left")
		s.timer.Reset(s.limit)
	default:
		ctx, cancel := context.WithCancel(s.ctx)
		s.search = &search{
			ctx:      ctx,
			cancel:   cancel,
			events:   s.events,
			begun:    s.begun,
			received: s.received,
			done:     make(chan struct{}),
		}
		return s.search
	}
	return nil
}

// logKept logs that a silent attempt goes on.
func (s *silence) logKept(reason string) {
	s.exchange.log.Info().Str("event", "kept").Str("request", s.exchange.request.ID).
		Str("endpoint", s.attempt.choice.endpoint.Node.Name).Int("attempt", s.attempt.number).
		Bool("begun", s.begun).Str("reason", reason).Send()
}

// hasOther reports whether the retry budget and the endpoints allow another attempt
// while the one at endpoint goes on, which then gets no further attempt. The caller has
// received the given part.
func (x *exchange) hasOther(endpoint string, received position) bool {
	if !slices.Contains(x.tried, endpoint) {
		x.tried = append(x.tried, endpoint)
	}
	return x.hasCandidate(received) && x.budgets.allowsRetry(x.request.Service, x.instanceCount(), x.now())
}

// run seeks an endpoint that replaces the silent one, until one does or no further
// attempt is allowed.
func (s *silence) run(q *search) {
	defer close(q.done)
	defer s.endSearch(q)
	defer s.logPanic()
	x := s.exchange
	x.control.Post(state.Called{
		Endpoint: s.attempt.choice.endpoint.Node.Name,
		Failed:   true,
	})
	for !x.deadlinePassed() && x.attemptsLeft() && x.hasCandidate(q.received) && x.takeRetry() {
		if !s.try(q) {
			return
		}
	}
}

// try makes one attempt to replace the silent one. It returns whether to make another
// one.
func (s *silence) try(q *search) bool {
	x := s.exchange
	c, err := x.choose(q.ctx, q.received)
	if err != nil {
		return false
	}
	a := x.newAttempt(q.ctx, c)
	replaced := false
	defer func() {
		if !replaced {
			a.close()
		}
	}()
	if q.begun {
		err = s.openInTime(a, q.received)
	} else {
		err = s.offer(a, q.received)
	}
	if err == nil {
		replaced = s.replace(q, a)
		if replaced {
			return false
		}
	}
	if q.ctx.Err() != nil || err == nil {
		x.maybeSent = true
		return false
	}
	f := failureOf(err)
	x.recordFailure(a, f, q.begun)
	x.reportFailure(c.endpoint.Node.Name, f)
	return q.begun || !x.crashed(q.ctx, c.endpoint.Node, f)
}

// endSearch ends q. Unless it found a replacement, the silent attempt goes on.
func (s *silence) endSearch(q *search) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.found != nil {
		return
	}
	q.cancel()
	s.search = nil
	s.logKept("no other endpoint took the request over")
	if !s.ended && s.events == q.events {
		s.timer.Reset(s.limit)
	}
}

// logPanic is deferred where the watch runs beside the goroutine of the request, whose
// server would recover. The silent attempt goes on.
func (s *silence) logPanic() {
	if p := recover(); p != nil {
		s.exchange.log.Error().Str("event", "panic").Str("request", s.exchange.request.ID).
			Str("detail", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Send()
	}
}

// offer sends a, whose response may take long to begin. It returns once the response
// has begun or the endpoint, which would have rejected the request at once, is taken to
// have accepted it.
func (s *silence) offer(a *attempt, received position) error {
	a.opened = make(chan struct{})
	go func() {
		defer close(a.opened)
		defer s.logPanic()
		// The error stands if a panic ends the call.
		a.openErr = errNotOpened
		a.openErr = s.exchange.open(a, false, received)
	}()
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-a.opened:
	}
	if a.openErr != nil {
		return a.openErr
	}
	if status := a.reply.Head().Status; status >= minFailureStatus {
		return call.Failure{
			Cause:     call.Refused,
			MaybeSent: true,
			Detail:    "the endpoint failed with status " + statusText(status),
		}
	}
	return nil
}

// stopSearch ends the search, since the endpoint has responded. It returns false if the
// attempt was replaced.
func (s *silence) stopSearch() bool {
	s.mu.Lock()
	q := s.search
	if q != nil && q.found == nil {
		q.cancel()
	}
	s.mu.Unlock()
	if q == nil {
		return true
	}
	<-q.done
	return q.found == nil
}

// openInTime sends a, whose first events after what the caller has received have to
// arrive within the limit. The head alone does not show that an endpoint goes on.
func (s *silence) openInTime(a *attempt, received position) error {
	timer := time.AfterFunc(s.limit, func() { a.cancel(errIdleTimeout) })
	err := s.openFirst(a, received)
	if !timer.Stop() && err == nil {
		return errIdleTimeout
	}
	return err
}

// openFirst sends a and waits for its first events.
func (s *silence) openFirst(a *attempt, received position) error {
	if err := s.exchange.open(a, true, received); err != nil {
		return err
	}
	if status := a.reply.Head().Status; status != streamStatus {
		return call.Failure{
			Cause:     call.Refused,
			MaybeSent: true,
			Detail:    "the endpoint did not go on with the stream: status " + statusText(status),
		}
	}
	c, err := a.next()
	if err != nil {
		return attemptError(a.ctx, err)
	}
	a.stale.stop()
	a.lastReceived = s.exchange.now()
	a.first = &c
	return nil
}

// replace has a replace the silent attempt, or returns false if that one has gone
// on in the meantime.
func (s *silence) replace(q *search, a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events != q.events || q.ctx.Err() != nil {
		return false
	}
	q.found = a
	s.attempt.cancel(errIdleTimeout)
	return true
}
