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
	// firstPause and lastPause bound the pause after a failed read.
	firstPause = 150 * time.Millisecond
	lastPause  = 900 * time.Millisecond
	// jitter is the part of a pause by which it differs at most.
	jitter = 4
	// answerLimit is how long a read may take beyond the time for which it asks
	// the store to wait.
	answerLimit = 1500 * time.Millisecond
)

// source is the store.
type source interface {
	// Rows returns all rows of table.
	Rows(ctx context.Context, table string) (store.Batch, error)
	// Changes returns the rows that changed after a version. It waits for the
	// first one up to the given time.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Batch, error)
}

// Sink takes what was read. It is called by one goroutine.
type Sink interface {
	// Take takes a batch of rows.
	Take(ctx context.Context, b store.Batch)
	// Read takes the outcome of each read; err is nil for a good one.
	Read(ctx context.Context, err error)
}

// Table follows one table. It is made by New.
type Table struct {
	source source
	name   string
	sink   Sink
	wait   time.Duration
	pause  func() time.Duration
	// version is that of the newest change that was seen, and rows the version
	// of each row.
	version int64
	rows    map[string]int64
	// whole tells that changes can be read after version.
	whole bool
	done  chan struct{}
}

// Option changes a table that New makes.
type Option func(*Table)

// WithWait sets how long the store holds a read back until something changes.
func WithWait(d time.Duration) Option {
	return func(t *Table) { t.wait = d }
}

// WithPause has pause tell the least time between two reads, after each one.
func WithPause(pause func() time.Duration) Option {
	return func(t *Table) { t.pause = pause }
}

// New returns a table that reads nothing before Run.
func New(s source, name string, sink Sink, opts ...Option) *Table {
	t := &Table{
		source: s,
		name:   name,
		sink:   sink,
		pause:  func() time.Duration { return 0 },
		rows:   map[string]int64{},
		done:   make(chan struct{}),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Done is closed when the table is not followed any more.
func (t *Table) Done() <-chan struct{} { return t.done }

// Run follows the table until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	defer close(t.done)
	pause := firstPause
	for ctx.Err() == nil {
		begin := time.Now()
		err := t.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		t.sink.Read(ctx, err)
		rest := jittered(t.pause()) - time.Since(begin)
		if err != nil {
			rest = pause
			pause = min(2*pause, lastPause)
		} else {
			pause = firstPause
		}
		if rest > 0 && retry.Wait(ctx, rest) != nil {
			return nil
		}
	}
	return nil
}

// jittered returns a time around d. Instances that start together would read
// together, and none would see what changes between.
func jittered(d time.Duration) time.Duration {
	return d - d/jitter + rand.N(2*d/jitter+1)
}

// read reads once and hands on what is new.
func (t *Table) read(ctx context.Context) error {
	if !t.whole {
		return t.readAll(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, t.wait+answerLimit)
	defer cancel()
	b, err := t.source.Changes(limited, t.name, t.version, t.wait)
	if errors.Is(err, store.ErrCompacted) {
		t.whole = false
		return t.readAll(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	t.take(ctx, b)
	return nil
}

func (t *Table) readAll(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	b, err := t.source.Rows(limited, t.name)
	if err != nil {
		return errors.Trace(err)
	}
	b.Whole = true
	if !t.newer(b) {
		return errors.Errorf("the store answers for version %d after %d: read again until it has caught up", b.Version, t.version)
	}
	t.rows = map[string]int64{}
	t.whole = true
	t.take(ctx, b)
	return nil
}

// newer tells whether b, which is whole, reflects all that was seen before.
func (t *Table) newer(b store.Batch) bool {
	if b.Version < t.version {
		return false
	}
	for _, r := range b.Rows {
		if r.Version < t.rows[r.Key] {
			return false
		}
	}
	return true
}

func (t *Table) take(ctx context.Context, b store.Batch) {
	for _, r := range b.Rows {
		t.rows[r.Key] = r.Version
	}
	for _, key := range b.Removed {
		delete(t.rows, key)
	}
	t.version = max(t.version, b.Version)
	if b.Whole || len(b.Rows)+len(b.Removed) > 0 {
		t.sink.Take(ctx, b)
	}
}
