package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/retry"
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
	// pauseCheck is how often the end of a pause is reconsidered.
	pauseCheck = time.Second
)

// source is the store.
type source interface {
	// Rows returns all rows of table. It limits the time for each of its calls.
	Rows(ctx context.Context, table string) (store.Batch, error)
	// Changes returns the rows that changed after a version. If there are none,
	// it waits for the first change up to the given time.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Batch, error)
}

// Sink receives the rows of a table. It is called by one goroutine.
type Sink interface {
	// HandleBatch handles a batch of new, changed and removed rows.
	HandleBatch(ctx context.Context, b store.Batch)
	// HandleResult handles the result of each read; err is nil if it succeeded.
	HandleResult(ctx context.Context, err error)
}

// Table follows one table of the store. It is created by New.
type Table struct {
	source   source
	name     string
	sink     Sink
	longPoll time.Duration
	interval func() time.Duration
	// pause returns the mean pause after a read of changes; nil if there is none.
	pause func() time.Duration
	// version is the version of the newest change read, and rows the version of
	// each row.
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

// WithPause makes the table pause after each read of changes, so that at any time only
// some of many instances wait for the same change. The function returns the mean pause;
// once it returns 0, the pause ends. Pauses and waits are drawn at random, since
// instances that start together would otherwise pause together.
func WithPause(pause func() time.Duration) Option {
	return func(t *Table) { t.pause = pause }
}

// New returns a table that is started by Run.
func New(s source, name string, sink Sink, opts ...Option) *Table {
	t := &Table{
		source:   s,
		name:     name,
		sink:     sink,
		interval: func() time.Duration { return 0 },
		rows:     map[string]int64{},
		done:     make(chan struct{}),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Done returns a channel that is closed when Run has returned.
func (t *Table) Done() <-chan struct{} { return t.done }

// Run follows the table until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	defer close(t.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		begin, complete := time.Now(), !t.synced
		err := t.guardedRead(ctx)
		if ctx.Err() != nil {
			return nil
		}
		t.sink.HandleResult(ctx, err)
		delay := withJitter(t.interval()) - time.Since(begin)
		if err != nil {
			delay = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
		}
		if delay > 0 && retry.Wait(ctx, delay) != nil {
			return nil
		}
		if err == nil && !complete && t.rest(ctx) != nil {
			return nil
		}
	}
	return nil
}

// rest waits for the pause after a read of changes.
func (t *Table) rest(ctx context.Context) error {
	if t.pause == nil {
		return nil
	}
	end := time.Now().Add(rand.N(2*t.pause() + 1))
	for left := time.Until(end); left > 0 && t.pause() > 0; left = time.Until(end) {
		if err := retry.Wait(ctx, min(left, pauseCheck)); err != nil {
			return err
		}
	}
	return nil
}

// withJitter returns a random time around d. Without it, instances that start
// together would read at the same moments, and changes in between would go
// unnoticed until all of them read again.
func withJitter(d time.Duration) time.Duration {
	return d - d/jitterDivisor + rand.N(2*d/jitterDivisor+1)
}

// guardedRead is like read, but returns an error if the source or the sink panics. The
// whole table is read next, since the rows of this read may be lost.
func (t *Table) guardedRead(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			t.synced = false
			err = errors.Errorf("reading table %q failed unexpectedly: %v: report this", t.name, p)
		}
	}()
	return t.read(ctx)
}

// read does one read and passes on what is new.
func (t *Table) read(ctx context.Context) error {
	if !t.synced {
		return t.readAll(ctx)
	}
	wait := t.longPoll
	if t.pause != nil {
		wait = withJitter(wait)
	}
	limited, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	b, err := t.source.Changes(limited, t.name, t.version, wait)
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrMalformed) {
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

func (t *Table) readAll(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	b, err := t.source.Rows(limited, t.name)
	if err != nil {
		return errors.Trace(err)
	}
	b.Complete = true
	if !t.upToDate(b) {
		return errors.Errorf("the store returned version %d, older than version %d read before: read again until it has caught up", b.Version, t.version)
	}
	t.rows = map[string]int64{}
	t.synced = true
	t.apply(ctx, b)
	return nil
}

// upToDate reports whether b, which holds the complete table, includes everything
// that was read before.
func (t *Table) upToDate(b store.Batch) bool {
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
		t.sink.HandleBatch(ctx, b)
	}
}
