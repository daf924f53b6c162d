package watch_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	// era is the era of the batches without changes.
	era int64
}

func (s *fakeStore) next(call string, after int64) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	s.after = append(s.after, after)
	if len(s.responses) == 0 {
		return store.Batch{
			Era:     s.era,
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
	// resultAt is when each result arrived.
	resultAt []time.Time
}

func (s *recordingSink) HandleBatch(_ context.Context, b store.Batch) {
	if s.panics > 0 {
		s.panics--
		panic("odd row")
	}
	s.batches = append(s.batches, b)
}

func (s *recordingSink) HandleResult(_ context.Context, r watch.Result) {
	s.errs = append(s.errs, r.Err)
	s.resultAt = append(s.resultAt, time.Now())
}

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

// In a new era the versions go back: what was read before must not make the rows of the
// store look outdated, and its changes must not be taken for those that follow.
func TestTableIsReadAgainInNewEra(t *testing.T) {
	inEra := func(b store.Batch, era int64) store.Batch {
		b.Era = era
		return b
	}
	all := inEra(rows(30, true, "new"), 1)
	older := inEra(rows(4, true, "older"), 2)
	for name, second := range map[string]response{
		"changes": {
			batch: inEra(rows(40, false, "not all"), 2),
		},
		"no changes": {
			batch: inEra(rows(40, false), 2),
		},
		"beyond the newest version": {
			err: store.ErrCompacted,
		},
		"beyond the newest version, with the era": {
			batch: store.Batch{
				Era: 2,
			},
			err: store.ErrCompacted,
		},
	} {
		s := &fakeStore{
			responses: []response{
				{
					batch: all,
				},
				second,
				{
					batch: older,
				},
				{
					batch: inEra(rows(5, false, "next"), 2),
				},
			},
		}
		got := follow(t, s, 2*time.Second)
		require.Equal(t, []string{"rows", "changes", "rows", "changes"}, s.calls[:4], name)
		require.Equal(t, []store.Batch{all, older, inEra(rows(5, false, "next"), 2)}, got.batches, name)
		require.EqualValues(t, 4, s.after[3], name)
	}
}

// Many instances find a new era at the same moment: their reads of all rows are spread.
func TestReadsOfNewEraAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at []time.Duration
		for range 20 {
			s := &fakeStore{
				responses: []response{
					{
						batch: rows(3, true, "a"),
					},
					{
						batch: store.Batch{
							Era: 1,
						},
						err: store.ErrCompacted,
					},
					{
						batch: store.Batch{
							Era:     1,
							Version: 1,
						},
					},
				},
			}
			begin := time.Now()
			got := &timingSink{}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			require.NoError(t, watch.New(s, "op", got, watch.WithLongPoll(time.Second), watch.WithSpread(func() time.Duration { return time.Second })).Run(ctx))
			cancel()
			require.Len(t, got.batchAt, 2)
			at = append(at, got.batchAt[1].Sub(begin))
		}
		require.LessOrEqual(t, slices.Max(at), time.Second)
		require.Greater(t, slices.Max(at)-slices.Min(at), 300*time.Millisecond)
	})
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
		// No time passes, so that a pause of any length has not ended.
		synctest.Wait()
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

// Guards against a table that goes on pausing though nobody else follows the store any more.
func TestEndedPauseIsFollowedByAReadAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		option watch.Option
		// held is true if the next read is due without a pause, and held by the store.
		held bool
	}{
		{
			name:   "interval",
			option: watch.WithInterval(func() time.Duration { return time.Hour }),
		},
		{
			name:   "pause",
			option: watch.WithPause(func() time.Duration { return 100 * time.Hour }),
			held:   true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				table := watch.New(s, "op", &recordingSink{}, watch.WithLongPoll(20*time.Second), c.option)
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = table.Run(ctx) }()
				time.Sleep(time.Minute)
				calls := callsOf(s)
				table.EndPause()
				synctest.Wait()
				want := calls + 1
				if c.held {
					want++
				}
				require.Equal(t, want, callsOf(s))
				require.Equal(t, c.held, table.Held())
				cancel()
				<-table.Done()
			})
		})
	}
}

// Guards against reads of several instances that coincide from then on, since each began a
// new interval when its last one was ended.
func TestEndedIntervalGoesOnAfterTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		var interval atomic.Int64
		interval.Store(int64(time.Hour))
		table := watch.New(s, "op", &recordingSink{}, watch.WithInterval(func() time.Duration { return time.Duration(interval.Load()) }))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = table.Run(ctx) }()
		time.Sleep(44 * time.Minute)
		table.EndPause()
		time.Sleep(32 * time.Minute)
		require.Equal(t, 3, callsOf(s), "all rows, after the end of the pause, and after an hour and a quarter at most")
		interval.Store(int64(time.Minute))
		table.EndPause()
		time.Sleep(2 * time.Minute)
		require.GreaterOrEqual(t, callsOf(s), 5, "an interval that is shorter by now counts")
		cancel()
		<-table.Done()
	})
}

// A read in flight must go on, and must not be followed by another one at once.
func TestEndedPauseKeepsTheReadInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		table := watch.New(s, "op", &recordingSink{}, watch.WithLongPoll(20*time.Second), watch.WithPause(func() time.Duration { return 100 * time.Hour }))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = table.Run(ctx) }()
		for range 5 {
			time.Sleep(time.Second)
			require.True(t, table.Held())
			table.EndPause()
		}
		require.Equal(t, 2, callsOf(s), "all rows, and a read that the store holds")
		time.Sleep(time.Minute)
		require.Equal(t, 2, callsOf(s))
		require.False(t, table.Held())
		cancel()
		<-table.Done()
	})
}

// A failed read must be followed by its backoff, however often the pause ends.
func TestEndedPauseKeepsTheBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		for range 100 {
			s.responses = append(s.responses, response{
				err: store.ErrUnavailable,
			})
		}
		table := watch.New(s, "op", &recordingSink{}, watch.WithLongPoll(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = table.Run(ctx) }()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			table.EndPause()
		}
		require.Less(t, callsOf(s), 10)
		cancel()
		<-table.Done()
	})
}

// Guards against intervals, pauses and spreads below zero, which are computed from the size
// of the fleet: drawing a random time below one of them ended the process.
func TestNegativeTimesAreTakenAsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		negative := func() time.Duration { return -20 * time.Second }
		s := &fakeStore{
			era: 1,
			responses: []response{
				{
					batch: rows(1, true, "a"),
				},
				{
					batch: store.Batch{
						Era:     1,
						Version: 1,
					},
				},
				{
					batch: store.Batch{
						Era:      1,
						Version:  1,
						Complete: true,
					},
				},
			},
		}
		got := &recordingSink{}
		table := watch.New(s, "op", got, watch.WithLongPoll(time.Second),
			watch.WithInterval(negative), watch.WithPause(negative), watch.WithSpread(negative))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(t, table.Run(ctx))
		for _, err := range got.errs {
			require.NoError(t, err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		require.Equal(t, []string{"rows", "changes", "rows"}, s.calls[:3], "the new era is read")
		require.Greater(t, len(s.calls), 9)
	})
}

// silentStore answers no call that is sent or held while it is away.
type silentStore struct {
	begin time.Time
	// away holds the outages, relative to begin: from and until.
	away [][2]time.Duration
	// changes holds when the row changes, relative to begin.
	changes []time.Duration
}

// version returns the version of the row.
func (s *silentStore) version() int64 {
	n := int64(1)
	for _, at := range s.changes {
		if time.Since(s.begin) >= at {
			n++
		}
	}
	return n
}

func (s *silentStore) down() bool {
	for _, d := range s.away {
		if at := time.Since(s.begin); at >= d[0] && at < d[1] {
			return true
		}
	}
	return false
}

func (s *silentStore) Rows(context.Context, string) (store.Batch, error) {
	return rows(s.version(), true, "a"), nil
}

func (s *silentStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (store.Batch, error) {
	sent := time.Now()
	for {
		switch {
		case s.down():
			<-ctx.Done()
			return store.Batch{}, ctx.Err()
		case after < s.version():
			return rows(s.version(), false, "b"), nil
		case time.Since(sent) >= wait:
			return store.Batch{
				Version: after,
			}, nil
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against an instance that learns seconds late that the store answers again: a read
// that was sent in the outage was waited for until its timeout.
func TestReturnOfSilentStoreIsFoundWithinOneSecond(t *testing.T) {
	for _, length := range []time.Duration{1500, 2900, 3600, 4500, 6100, 8000} {
		synctest.Test(t, func(t *testing.T) {
			end := 10*time.Second + length*time.Millisecond
			s := &silentStore{
				begin: time.Now(),
				away:  [][2]time.Duration{{10 * time.Second, end}},
			}
			got := &recordingSink{}
			ctx, cancel := context.WithTimeout(t.Context(), end+4*time.Second)
			defer cancel()
			table := watch.New(s, "op", got, watch.WithLongPoll(time.Second), watch.WithHedging(func() time.Duration { return 400 * time.Millisecond }))
			require.NoError(t, table.Run(ctx))
			back := s.begin.Add(end)
			for i, at := range got.resultAt {
				if got.errs[i] == nil && !at.Before(back) {
					require.LessOrEqual(t, at.Sub(back), time.Second, "after %v of silence", length*time.Millisecond)
					return
				}
			}
			require.Fail(t, "no read succeeded after the return")
		})
	}
}

// followSilent follows a table of s for d with a long poll of 20 s and returns when each
// batch was read, relative to the begin. Renew is called at the given times.
func followSilent(t *testing.T, s *silentStore, d time.Duration, renewals ...time.Duration) []time.Duration {
	t.Helper()
	var out []time.Duration
	synctest.Test(t, func(t *testing.T) {
		s.begin = time.Now()
		got := &timingSink{}
		table := watch.New(s, "op", got, watch.WithLongPoll(20*time.Second), watch.WithHedging(func() time.Duration { return 400 * time.Millisecond }))
		for _, at := range renewals {
			time.AfterFunc(at, table.Renew)
		}
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		require.NoError(t, table.Run(ctx))
		for _, at := range got.batchAt {
			out = append(out, at.Sub(s.begin))
		}
	})
	return out
}

// timingSink records when batches arrive.
type timingSink struct {
	batchAt []time.Time
}

func (s *timingSink) HandleBatch(context.Context, store.Batch) {
	s.batchAt = append(s.batchAt, time.Now())
}

func (s *timingSink) HandleResult(context.Context, watch.Result) {}

// Guards against a change that a whole fleet misses: the one before it ends the reads of
// all instances at once, and the next ones are sent to a store that has fallen silent.
func TestChangeAfterLostReadIsFoundInTime(t *testing.T) {
	const bound = 2 * time.Second
	for _, silence := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second} {
		first := 5 * time.Second
		back := first + 20*time.Millisecond + silence
		second := back + 3*time.Second
		at := followSilent(t, &silentStore{
			away:    [][2]time.Duration{{first + 20*time.Millisecond, back}},
			changes: []time.Duration{first, second},
		}, second+10*time.Second)
		require.Len(t, at, 3, "the whole table and two changes, after %v of silence", silence)
		require.LessOrEqual(t, at[2]-second, bound, "after %v of silence", silence)
	}
}

// Guards against waiting for the response to a read that was sent while the store was away,
// once another reader has found that it answers again.
func TestRenewedReadIsSentAgain(t *testing.T) {
	s := &silentStore{
		away:    [][2]time.Duration{{45 * time.Second, 45200 * time.Millisecond}},
		changes: []time.Duration{48 * time.Second},
	}
	at := followSilent(t, s, 90*time.Second, 46*time.Second)
	require.Len(t, at, 2)
	require.LessOrEqual(t, at[1], 48500*time.Millisecond)
}

// Guards against an instance that finds the store's return only with its next read, which
// may be half a minute away in a large fleet.
func TestRenewEndsThePauseBetweenReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		table := watch.New(s, "op", &recordingSink{}, watch.WithLongPoll(time.Second), watch.WithInterval(func() time.Duration { return 30 * time.Second }))
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		time.AfterFunc(10*time.Second, table.Renew)
		require.NoError(t, table.Run(ctx))
		require.Equal(t, []string{"rows", "changes"}, s.calls)
	})
}

// An unanswered read must say for how long it waited, unlike one that was refused.
func TestResultTellsUnansweredFromRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{
			begin: time.Now(),
			away:  [][2]time.Duration{{10 * time.Second, time.Hour}},
		}
		got := &resultSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		require.NoError(t, watch.New(s, "op", got, watch.WithLongPoll(time.Second)).Run(ctx))
		require.Positive(t, got.last.Unanswered)
		refusing := &fakeStore{
			responses: []response{
				{
					err: store.ErrUnavailable,
				},
			},
		}
		short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		require.NoError(t, watch.New(refusing, "op", got, watch.WithLongPoll(time.Second)).Run(short))
		require.Error(t, got.last.Err)
		require.Zero(t, got.last.Unanswered)
	})
}

// resultSink keeps the last result, and counts the overdue and the failed reads.
type resultSink struct {
	last            watch.Result
	overdue, failed int
}

func (s *resultSink) HandleBatch(context.Context, store.Batch) {}

func (s *resultSink) HandleResult(_ context.Context, r watch.Result) {
	s.last = r
	if r.Overdue {
		s.overdue++
	}
	if r.Err != nil {
		s.failed++
	}
}

// Guards against an outage that nobody notices, since a further call of the read that met it
// was answered: responses to other reads may be lost, too.
func TestReadAnsweredByLaterCallIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{
			begin: time.Now(),
			away:  [][2]time.Duration{{10 * time.Second, 10700 * time.Millisecond}},
		}
		got := &resultSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		table := watch.New(s, "op", got, watch.WithLongPoll(time.Second), watch.WithHedging(func() time.Duration { return 400 * time.Millisecond }))
		require.NoError(t, table.Run(ctx))
		require.Equal(t, 1, got.overdue)
		require.Zero(t, got.failed)
	})
}
