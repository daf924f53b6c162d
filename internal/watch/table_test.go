package watch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/baobabtally/baobabtally/internal/watch"
	"github.com/baobabtally/baobabtally/pkg/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// response is a response of the fake store.
type response struct {
	batch store.Batch
	err   error
}

// fakeStore returns its responses in turn and then no more changes.
type fakeStore struct {
	mu        sync.Mutex
	responses []response
	calls     []string
	after     []int64
}

func (s *fakeStore) next(call string, after int64) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	s.after = append(s.after, after)
	if len(s.responses) == 0 {
		return store.Batch{
			Version: after,
		}, nil
	}
	r := s.responses[0]
	s.responses = s.responses[1:]
	return r.batch, r.err
}

func (s *fakeStore) Rows(context.Context, string) (store.Batch, error) { return s.next("rows", 0) }

func (s *fakeStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (store.Batch, error) {
	b, err := s.next("changes", after)
	if err == nil && len(b.Rows) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return b, err
}

// recordingSink records its calls.
type recordingSink struct {
	batches []store.Batch
	errs    []error
	// panics is how many calls of HandleBatch panic, the first ones.
	panics int
}

func (s *recordingSink) HandleBatch(_ context.Context, b store.Batch) {
	if s.panics > 0 {
		s.panics--
		panic("odd row")
	}
	s.batches = append(s.batches, b)
}

func (s *recordingSink) HandleResult(_ context.Context, err error) { s.errs = append(s.errs, err) }

func rows(version int64, complete bool, values ...string) store.Batch {
	b := store.Batch{
		Version:  version,
		Complete: complete,
	}
	for _, v := range values {
		b.Rows = append(b.Rows, store.Row{
			Key:     "k",
			Value:   []byte(v),
			Version: version,
		})
	}
	return b
}

// follow runs a table on s for d and returns what its sink received.
func follow(t *testing.T, s *fakeStore, d time.Duration) *recordingSink {
	t.Helper()
	return followWith(t, s, &recordingSink{}, d)
}

// followWith is like follow with the sink got.
func followWith(t *testing.T, s *fakeStore, got *recordingSink, d time.Duration) *recordingSink {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		require.NoError(t, watch.New(s, "op", got, watch.WithLongPoll(time.Second)).Run(ctx))
	})
	return got
}

func TestChangesAreReadAfterAllRows(t *testing.T) {
	s := &fakeStore{
		responses: []response{
			{
				batch: rows(3, true, "a"),
			},
			{
				batch: rows(5, false, "b"),
			},
		},
	}
	got := follow(t, s, 3*time.Second)
	require.Equal(t, []store.Batch{rows(3, true, "a"), rows(5, false, "b")}, got.batches)
	require.Equal(t, []int64{0, 3, 5}, s.after[:3])
}

func TestCompactedHistoryIsReadAgain(t *testing.T) {
	s := &fakeStore{
		responses: []response{
			{
				batch: rows(3, true, "a"),
			},
			{
				err: store.ErrCompacted,
			},
			{
				batch: rows(9, true, "c"),
			},
		},
	}
	got := follow(t, s, 2*time.Second)
	require.Equal(t, []string{"rows", "changes", "rows"}, s.calls[:3])
	require.Equal(t, []store.Batch{rows(3, true, "a"), rows(9, true, "c")}, got.batches)
}

func TestStaleSnapshotIsIgnored(t *testing.T) {
	s := &fakeStore{
		responses: []response{
			{
				batch: rows(5, true, "new"),
			},
			{
				err: store.ErrCompacted,
			},
			{
				batch: rows(4, true, "old"),
			},
			{
				batch: rows(6, true, "newer"),
			},
		},
	}
	got := follow(t, s, 4*time.Second)
	require.Equal(t, []store.Batch{rows(5, true, "new"), rows(6, true, "newer")}, got.batches)
}

func TestReadIsRetriedAfterErrors(t *testing.T) {
	s := &fakeStore{
		responses: []response{
			{
				err: store.ErrUnavailable,
			},
			{
				err: store.ErrUnavailable,
			},
			{
				batch: rows(1, true, "a"),
			},
		},
	}
	got := follow(t, s, 3*time.Second)
	require.ErrorIs(t, got.errs[0], store.ErrUnavailable)
	require.NoError(t, got.errs[2])
	require.Equal(t, []store.Batch{rows(1, true, "a")}, got.batches)
}

// Changes that can't be decoded must not be read again forever.
func TestTableIsReadAgainAfterMalformedChanges(t *testing.T) {
	s := &fakeStore{
		responses: []response{
			{
				batch: rows(3, true, "a"),
			},
			{
				err: store.ErrMalformed,
			},
			{
				batch: rows(9, true, "c"),
			},
		},
	}
	got := follow(t, s, 2*time.Second)
	require.Equal(t, []string{"rows", "changes", "rows"}, s.calls[:3])
	require.Equal(t, []store.Batch{rows(3, true, "a"), rows(9, true, "c")}, got.batches)
}

// A row whose version can't be read must not make a snapshot count as outdated.
func TestRowWithoutVersionKeepsSnapshot(t *testing.T) {
	odd := rows(9, true, "x")
	odd.Rows[0].Version = 0
	odd.Rows[0].Err = store.ErrMalformed
	s := &fakeStore{
		responses: []response{
			{
				batch: rows(3, true, "a"),
			},
			{
				err: store.ErrCompacted,
			},
			{
				batch: odd,
			},
		},
	}
	got := follow(t, s, 2*time.Second)
	require.Equal(t, []store.Batch{rows(3, true, "a"), odd}, got.batches)
}

// A panic while rows are handled must neither end the process nor lose the rows: they are
// read again.
func TestTableIsReadAgainAfterPanic(t *testing.T) {
	s := &fakeStore{
		responses: []response{
			{
				batch: rows(3, true, "a"),
			},
			{
				batch: rows(9, true, "c"),
			},
		},
	}
	got := followWith(t, s, &recordingSink{
		panics: 1,
	}, 2*time.Second)
	require.Equal(t, []string{"rows", "rows", "changes"}, s.calls[:3])
	require.ErrorContains(t, got.errs[0], "odd row")
	require.Equal(t, []store.Batch{rows(9, true, "c")}, got.batches)
}

// callsOf returns how many calls s has had.
func callsOf(s *fakeStore) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// A table must pause after each read of changes, for about the given time, and must wait
// again at once when the pause is lifted.
func TestPauseFollowsReadsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{
			responses: []response{
				{
					batch: store.Batch{
						Version: 1,
					},
				},
			},
		}
		for v := range int64(5) {
			s.responses = append(s.responses, response{
				batch: store.Batch{
					Version: v + 2,
					Rows: []store.Row{
						{
							Key:     "a",
							Version: v + 2,
						},
					},
				},
			})
		}
		var mu sync.Mutex
		pause := 100 * time.Second
		tab := watch.New(s, "op", &recordingSink{}, watch.WithLongPoll(20*time.Second), watch.WithPause(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return pause
		}))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = tab.Run(ctx) }()
		time.Sleep(time.Second)
		require.Equal(t, 2, callsOf(s), "one read of all rows and one that returns a change at once")
		time.Sleep(time.Hour)
		calls := callsOf(s)
		require.Greater(t, calls, 15)
		require.Less(t, calls, 60, "a wait of about 20 s at most and a pause of about 100 s: 30 an hour")
		mu.Lock()
		pause = 0
		mu.Unlock()
		time.Sleep(2 * time.Minute)
		require.GreaterOrEqual(t, callsOf(s)-calls, 4)
		cancel()
		<-tab.Done()
	})
}
