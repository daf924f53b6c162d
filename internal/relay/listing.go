package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// listReadInterval is the time for each instance between two of its reads of the listed
	// versions, so that the reads of all are 500 a second at most, a quarter of what the store
	// takes.
	listReadInterval = 2 * time.Millisecond
	// listTimeout bounds the time to wait for a read and the read itself.
	listTimeout = 400 * time.Millisecond
	// eraDoubt is how long the list of a new era of the store may lack versions. Each instance
	// that knew them has had its turn to write them again, a second after the era began at
	// most.
	eraDoubt = 2 * time.Second
)

const (
	errListLate  = errors.ConstError("the versions of the engines' software were not read in time")
	errListDoubt = errors.ConstError("the store came back from an older copy and may lack versions of the engines' software")
)

// rowGetter reads rows of the platform's store.
type rowGetter interface {
	Get(ctx context.Context, key string) (store.Row, error)
}

// listing reads the listed versions of the engines' software from the store. A version is
// listed before a stream begins at it, so that a read that begins after a caller has come
// back lists the version of its stream, whatever this instance has missed. Requests that
// wait at the same time share a read. It is safe for concurrent use.
type listing struct {
	rows rowGetter
	view func() *state.State
	now  func() time.Time
	// wake holds a value while a read is wanted.
	wake chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// next is the read that has not begun, or nil if none is wanted.
	next *listRead
	// begun is when the last read began.
	begun time.Time
}

// listRead is a read of the listed versions. Its results are set before done is closed.
type listRead struct {
	done   chan struct{}
	listed origin.Listed
	err    error
}

func newListing(rows rowGetter, view func() *state.State, now func() time.Time) *listing {
	return &listing{
		rows: rows,
		view: view,
		now:  now,
		wake: make(chan struct{}, 1),
	}
}

// read returns the versions that are listed in the store at some moment after its call.
func (l *listing) read(ctx context.Context) (origin.Listed, error) {
	r, err := l.join()
	if err != nil {
		return origin.Listed{}, err
	}
	timer := time.NewTimer(listTimeout)
	defer timer.Stop()
	select {
	case <-r.done:
		return r.listed, r.err
	case <-timer.C:
		return origin.Listed{}, errListLate
	case <-ctx.Done():
		return origin.Listed{}, context.Cause(ctx)
	}
}

// join returns the next read, or an error if it may not begin in time.
func (l *listing) join() (*listRead, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != nil {
		return l.next, nil
	}
	if wait := l.pause(); wait > listTimeout {
		return nil, listPause{
			wait: wait,
		}
	}
	l.next = &listRead{
		done: make(chan struct{}),
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return l.next, nil
}

// listPause is the error of a read that may not begin in time.
type listPause struct {
	// wait is the time until it may.
	wait time.Duration
}

// Error implements error.
func (e listPause) Error() string {
	return "the versions of the engines' software are read again in " + e.wait.String()
}

// pause returns the time until a read may begin. The caller holds mu.
func (l *listing) pause() time.Duration {
	if l.begun.IsZero() {
		return 0
	}
	interval := listReadInterval * time.Duration(len(l.view().Routing.Peers)+1)
	return interval - l.now().Sub(l.begun)
}

// run reads the versions whenever a request waits for them, until ctx ends.
func (l *listing) run(ctx context.Context) error {
	for {
		select {
		case <-l.wake:
			l.serve(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// serve carries out the next read.
func (l *listing) serve(ctx context.Context) {
	l.mu.Lock()
	pause := l.pause()
	l.mu.Unlock()
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	r := l.next
	l.next, l.begun = nil, l.now()
	l.mu.Unlock()
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	row, err := l.rows.Get(ctx, state.SoftwareRow)
	switch {
	case errors.Is(err, store.ErrMissing):
		// No version was ever listed.
	case err != nil:
		r.err = err
	case doubtful(row, l.view().Routing, l.now()):
		r.err = errListDoubt
	default:
		r.listed, r.err = origin.Unmarshal(row.Value)
	}
}

// doubtful reports whether a row that was just read may lack versions that were listed, as an
// older copy of the store does.
func doubtful(row store.Row, r state.Routing, now time.Time) bool {
	return row.Era != r.StoreEra || !r.StoreEraSince.IsZero() && now.Sub(r.StoreEraSince) <= eraDoubt
}
