package watch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// minBackoff and maxBackoff limit the backoff after a failed read, which
	// doubles with each failure.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// jitterDivisor limits the random deviation of an interval to this fraction
	// of it: 4 means a quarter.
	jitterDivisor = 4
	// responseTimeout is how long a read of changes may take in addition to the time that
	// it asks the store to wait.
	responseTimeout = 1500 * time.Millisecond
	// tableTimeout limits reading a whole table, which may take many calls. The
	// largest one has nine pages of 1 MB.
	tableTimeout = 9 * responseTimeout
	// minWait is how long the store holds the first read after a change, a failure or a
	// renewal. Each further read may be held twice as long, up to the long poll. All
	// instances read again at the moment of a change, so that their reads are lost
	// together if the store stops answering then.
	minWait = time.Second
	// pauseCheck is how often the end of a pause is reconsidered.
	pauseCheck = time.Second
)

// errUnanswered reports a read that got no response.
var errUnanswered = errors.New("the store does not answer: check that it runs")

// errRenewed reports a read that is abandoned for another one.
var errRenewed = errors.New("the read is sent again")

// source is the store.
type source interface {
	// Rows returns all rows of table. It limits the time for each of its calls.
	Rows(ctx context.Context, table string) (store.Batch, error)
	// Changes returns the rows that changed after a version. If there are none,
	// it waits for the first change up to the given time. With store.ErrCompacted the
	// batch holds the era alone.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Batch, error)
}

// Sink receives the rows of a table. It is called by one goroutine.
type Sink interface {
	// HandleBatch handles a batch of new, changed and removed rows.
	HandleBatch(ctx context.Context, b store.Batch)
	// HandleResult handles the result of each read.
	HandleResult(ctx context.Context, r Result)
}

// Result is the result of a read.
type Result struct {
	// Err is nil if the read succeeded.
	Err error
	// Unanswered is for how long the read waited if it ended without any response, and 0
	// for all others.
	Unanswered time.Duration
	// Overdue is set if a later call was answered before the one that was due first, whose
	// response may be lost.
	Overdue bool
}

// Table follows one table of the store. It is created by New.
type Table struct {
	source   source
	name     string
	sink     Sink
	longPoll time.Duration
	interval func() time.Duration
	// turn returns the time until the table is to be read next, and false where the interval
	// counts; nil if that is always so.
	turn func() (time.Duration, bool)
	// pause returns the mean pause after a read of changes; nil if there is none.
	pause func() time.Duration
	// hedging returns how much longer than its wait a read of changes may take until
	// another one is sent, and the time between further ones; nil if there are none.
	hedging func() time.Duration
	// check reports whether the next read must not be held by the store: the last one
	// failed or was abandoned.
	check bool
	// wait is how long the store may hold the next read.
	wait time.Duration
	// overdue reports whether a later call answered the last read.
	overdue bool
	// renewed is closed and replaced by Renew.
	renewed atomic.Pointer[chan struct{}]
	// ended holds a value after EndPause. It counts while the table pauses only.
	ended chan struct{}
	// due is the end of the present interval, which EndPause and Renew may interrupt; zero
	// if there is none.
	due time.Time
	// held is true while the store may hold a read until something changes.
	held atomic.Bool
	// spread returns the longest time by which the first read of a new era is delayed.
	spread func() time.Duration
	// version is the version of the newest change read, and rows the version of
	// each row. They are valid in the given era of the store.
	era     int64
	version int64
	rows    map[string]int64
	// synced is true if the next read can request the changes after version.
	synced bool
	done   chan struct{}
}

// Option configures a Table.
type Option func(*Table)

// WithLongPoll sets how long the store holds a read until something changes.
func WithLongPoll(d time.Duration) Option {
	return func(t *Table) { t.longPoll = d }
}

// WithInterval sets the function that returns the minimum time between the starts
// of two reads. It is called after each read.
func WithInterval(interval func() time.Duration) Option {
	return func(t *Table) { t.interval = interval }
}

// WithTurns sets the function that returns the time until the next read, and false where
// the interval counts. It is called after each read. Instances that take turns cover the
// time evenly, also if they started together.
func WithTurns(next func() (time.Duration, bool)) Option {
	return func(t *Table) { t.turn = next }
}

// WithPause makes the table pause after each read of changes, so that at any time only
// some of many instances wait for the same change. The function returns the mean pause;
// once it returns 0, the pause ends. Pauses and waits are drawn at random, since
// instances that start together would otherwise pause together.
func WithPause(pause func() time.Duration) Option {
	return func(t *Table) { t.pause = pause }
}

// WithHedging sets the function that returns how much longer than its wait a read of
// changes may take until another one is sent, and the time between further ones. The
// first response counts, so that a table reads again soon after an outage in which
// responses were lost.
func WithHedging(interval func() time.Duration) Option {
	return func(t *Table) { t.hedging = interval }
}

// WithSpread sets the function that returns the longest time by which a table that finds a
// new era of the store delays its read of all rows. Many instances find it at the same
// moment.
func WithSpread(spread func() time.Duration) Option {
	return func(t *Table) { t.spread = spread }
}

// New returns a table that is started by Run.
func New(s source, name string, sink Sink, opts ...Option) *Table {
	t := &Table{
		source:   s,
		name:     name,
		sink:     sink,
		interval: func() time.Duration { return 0 },
		rows:     map[string]int64{},
		ended:    make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	renewed := make(chan struct{})
	t.renewed.Store(&renewed)
	for _, o := range opts {
		o(t)
	}
	t.wait = min(minWait, t.longPoll)
	return t
}

// Renew makes the table read at once. A read of changes that is in flight is abandoned,
// since its response may be lost.
func (t *Table) Renew() {
	next := make(chan struct{})
	close(*t.renewed.Swap(&next))
}

// EndPause makes a table that pauses between two reads read at once. A read in flight goes
// on, and so does the backoff after a failed one.
func (t *Table) EndPause() {
	select {
	case t.ended <- struct{}{}:
	default:
	}
}

// Held reports whether the store may hold a read until something changes, so that the table
// has all that the store had until now.
func (t *Table) Held() bool { return t.held.Load() }

// Done returns a channel that is closed when Run has returned.
func (t *Table) Done() <-chan struct{} { return t.done }

// Run follows the table until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	defer close(t.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		begin, short := time.Now(), !t.synced || t.check
		renewed := *t.renewed.Load()
		t.overdue = false
		err := t.guardedRead(ctx, renewed)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errRenewed) {
			t.check = true
			continue
		}
		result := Result{
			Err:     err,
			Overdue: t.overdue,
		}
		if errors.Is(err, errUnanswered) {
			result.Unanswered = time.Since(begin)
		}
		t.sink.HandleResult(ctx, result)
		t.check = err != nil
		if err != nil {
			if t.sleep(ctx, backoff, renewed, nil) != nil {
				return nil
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if t.pauseAfter(ctx, begin, short, renewed) != nil {
			return nil
		}
	}
	return nil
}

// pauseAfter waits for the rest of the interval that started at begin and, unless the read
// was a short one, for the pause. An interval that EndPause ends goes on after the read that
// follows: the reads of several instances would otherwise coincide from then on.
func (t *Table) pauseAfter(ctx context.Context, begin time.Time, short bool, renewed <-chan struct{}) error {
	// What ended a pause that was over is answered by the read.
	select {
	case <-t.ended:
	default:
	}
	if due := t.nextDue(begin); t.due.IsZero() || due.Before(t.due) {
		t.due = due
	}
	if err := t.sleep(ctx, time.Until(t.due), renewed, t.ended); err != nil {
		return err
	}
	if t.check && time.Now().Before(t.due) {
		return nil
	}
	t.due = time.Time{}
	if short {
		return nil
	}
	return t.rest(ctx, renewed)
}

// nextDue returns when the read is due that follows one that began at begin.
func (t *Table) nextDue(begin time.Time) time.Time {
	if t.turn != nil {
		if d, ok := t.turn(); ok {
			return time.Now().Add(d)
		}
	}
	return begin.Add(withJitter(t.interval()))
}

// sleep waits for d or until renewed is closed or ended has a value. It fails if ctx ends.
func (t *Table) sleep(ctx context.Context, d time.Duration, renewed, ended <-chan struct{}) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-renewed:
		t.check = true
	case <-ended:
		t.check = true
	case <-ctx.Done():
	}
	return ctx.Err()
}

// rest waits for the pause after a read of changes.
func (t *Table) rest(ctx context.Context, renewed <-chan struct{}) error {
	if t.pause == nil {
		return nil
	}
	end := time.Now().Add(randomTime(2 * t.pause()))
	for left := time.Until(end); left > 0 && !t.check && t.pause() > 0; left = time.Until(end) {
		if err := t.sleep(ctx, min(left, pauseCheck), renewed, t.ended); err != nil {
			return err
		}
	}
	return nil
}

// withJitter returns a random time around d. Without it, instances that start
// together would read at the same moments, and changes in between would go
// unnoticed until all of them read again.
func withJitter(d time.Duration) time.Duration {
	return d - d/jitterDivisor + randomTime(2*d/jitterDivisor)
}

// randomTime returns a random time up to limit. A limit below zero, which rand.N does not
// take, counts as zero.
func randomTime(limit time.Duration) time.Duration { return rand.N(max(limit, 0) + 1) }

// guardedRead is like read, but returns an error if the source or the sink panics. The
// whole table is read next, since the rows of this read may be lost.
func (t *Table) guardedRead(ctx context.Context, renewed <-chan struct{}) (err error) {
	defer func() {
		if p := recover(); p != nil {
			t.synced = false
			err = errors.Errorf("reading table %q failed unexpectedly: %v: report this", t.name, p)
		}
	}()
	return t.read(ctx, renewed)
}

// nextWait returns how long the store may hold the next read.
func (t *Table) nextWait() time.Duration {
	if t.check {
		// The store may still be away. A read that is not held shows that early.
		t.wait = min(minWait, t.longPoll)
		return 0
	}
	wait := t.wait
	t.wait = min(2*t.wait, t.longPoll)
	if t.pause == nil {
		return wait
	}
	if t.pause() > 0 {
		wait = t.longPoll
	}
	return withJitter(wait)
}

// read does one read and passes on what is new.
func (t *Table) read(ctx context.Context, renewed <-chan struct{}) error {
	if !t.synced {
		return t.readAll(ctx)
	}
	b, err := t.changes(ctx, t.nextWait(), renewed)
	compacted := errors.Is(err, store.ErrCompacted)
	if (err == nil || compacted) && b.Era != t.era {
		// A version of the last era means nothing in this one.
		t.synced = false
		if err := t.delay(ctx); err != nil {
			return errors.Trace(err)
		}
		return t.readAll(ctx)
	}
	if compacted || errors.Is(err, store.ErrMalformed) {
		// Malformed changes would be returned again after the same version.
		t.synced = false
		return t.readAll(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	t.apply(ctx, b)
	return nil
}

// reply is the result of one call to the source.
type reply struct {
	batch store.Batch
	err   error
	// panicked is what the source panicked with, if it did.
	panicked any
	// hedged is set for all calls of a read but the first.
	hedged bool
}

// changes reads the changes since the last read. The store may hold the call for wait. If
// it takes longer, further calls are sent, and the first successful one counts. It fails
// with errUnanswered if none is answered in time, and with errRenewed if renewed is closed.
func (t *Table) changes(ctx context.Context, wait time.Duration, renewed <-chan struct{}) (store.Batch, error) {
	limited, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	t.held.Store(wait > 0)
	defer t.held.Store(false)
	replies := make(chan reply)
	after, calls, pending := t.version, 0, 0
	send := func(wait time.Duration) {
		calls++
		pending++
		hedged := calls > 1
		go func() {
			r := t.call(limited, after, wait)
			r.hedged = hedged
			select {
			case replies <- r:
			case <-limited.Done():
			}
		}()
	}
	send(wait)
	var timer *time.Timer
	var overdue <-chan time.Time
	if t.hedging != nil {
		timer = time.NewTimer(wait + t.hedging())
		defer timer.Stop()
		overdue = timer.C
	}
	unanswered := errors.Annotatef(errUnanswered, "table %q", t.name)
	for {
		select {
		case r := <-replies:
			pending--
			if r.panicked != nil {
				panic(r.panicked)
			}
			final := r.err == nil || errors.Is(r.err, store.ErrCompacted) || errors.Is(r.err, store.ErrMalformed)
			switch {
			case final:
				t.overdue = r.hedged
				return r.batch, r.err
			case limited.Err() != nil:
				return store.Batch{}, unanswered
			case pending == 0:
				return r.batch, r.err
			}
		case <-overdue:
			send(0)
			timer.Reset(t.hedging())
		case <-renewed:
			return store.Batch{}, errRenewed
		case <-limited.Done():
			return store.Batch{}, unanswered
		}
	}
}

// call calls the source, and returns what it panics with.
func (t *Table) call(ctx context.Context, after int64, wait time.Duration) (r reply) {
	defer func() {
		if p := recover(); p != nil {
			r.panicked = p
		}
	}()
	r.batch, r.err = t.source.Changes(ctx, t.name, after, wait)
	return r
}

// delay waits for a random time within the spread.
func (t *Table) delay(ctx context.Context) error {
	if t.spread == nil {
		return nil
	}
	return t.sleep(ctx, randomTime(t.spread()), nil, nil)
}

func (t *Table) readAll(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	b, err := t.source.Rows(limited, t.name)
	if err != nil {
		return errors.Trace(err)
	}
	b.Complete = true
	if !t.upToDate(b) {
		return errors.Errorf("the store returned version %d of era %d, older than version %d of era %d read before: read again until it has caught up", b.Version, b.Era, t.version, t.era)
	}
	if b.Era != t.era {
		t.era, t.version = b.Era, b.Version
	}
	t.rows = map[string]int64{}
	t.synced = true
	t.apply(ctx, b)
	return nil
}

// upToDate reports whether b, which holds the complete table, includes everything
// that was read before.
func (t *Table) upToDate(b store.Batch) bool {
	if b.Era != t.era {
		return b.Era > t.era
	}
	if b.Version < t.version {
		return false
	}
	for _, r := range b.Rows {
		if r.Err == nil && r.Version < t.rows[r.Key] {
			return false
		}
	}
	return true
}

func (t *Table) apply(ctx context.Context, b store.Batch) {
	for _, r := range b.Rows {
		t.rows[r.Key] = r.Version
	}
	for _, key := range b.Removed {
		delete(t.rows, key)
	}
	t.version = max(t.version, b.Version)
	if b.Complete || len(b.Rows)+len(b.Removed) > 0 {
		t.wait = min(minWait, t.longPoll)
		t.sink.HandleBatch(ctx, b)
	}
}
