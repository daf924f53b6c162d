package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/claim"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// table is a table that fails, loses responses or delays writes at random.
type table struct {
	mu     sync.Mutex
	rows   map[string]store.Row
	chance func(n int) bool
}

func newTable(chance func(n int) bool) *table {
	return &table{
		rows:   map[string]store.Row{},
		chance: chance,
	}
}

func noFault(int) bool { return false }

// Get reads a row.
func (t *table) Get(_ context.Context, key string) (store.Row, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.chance(10) {
		return store.Row{}, store.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return store.Row{}, store.ErrMissing
	}
	return row, nil
}

// Put writes a row.
func (t *table) Put(_ context.Context, row store.Row) (int64, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.chance(10):
		return 0, store.ErrUnavailable
	case t.chance(10):
		go func() {
			time.Sleep(400 * time.Millisecond)
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = t.write(row)
		}()
		return 0, store.ErrLost
	}
	v, err := t.write(row)
	if err == nil && t.chance(5) {
		return 0, store.ErrLost
	}
	return v, err
}

func (t *table) write(row store.Row) (int64, error) {
	if t.rows[row.Key].Version != row.Version {
		return 0, store.ErrConflict
	}
	row.Version++
	t.rows[row.Key] = row
	return row.Version, nil
}

// allAlive reports every instance as running.
type allAlive struct{}

// Alive returns true.
func (allAlive) Alive(string) bool { return true }

// noneAlive reports no instance as running.
type noneAlive struct{}

// Alive returns false.
func (noneAlive) Alive(string) bool { return false }

func sequence(prefix string) func() string {
	var mu sync.Mutex
	n := 0
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		n++
		return fmt.Sprint(prefix, n)
	}
}

func ExampleClaimer_Begin() {
	ctx := context.Background()
	claimer := claim.New(newTable(noFault), allAlive{}, "i1@7", sequence("n"))
	ticket, err := claimer.Begin(ctx, "loom", "k1", "digest")
	fmt.Println(ticket.Sendable(), err)
	err = claimer.Finish(ctx, ticket, claim.Outcome{
		State:  claim.Done,
		Status: 200,
		Answer: []byte("charged"),
	})
	fmt.Println(err)
	_, err = claimer.Begin(ctx, "loom", "k1", "digest")
	var repeat claim.Repeat
	fmt.Println(errors.As(err, &repeat), string(repeat.Outcome.Answer))
	// Output:
	// true <nil>
	// <nil>
	// true charged
}

func TestBeginExplainsRejections(t *testing.T) {
	ctx := t.Context()
	tab := newTable(noFault)
	first := claim.New(tab, allAlive{}, "i1@1", sequence("a"))
	begun, err := first.Begin(ctx, "loom", "k", "d")
	require.NoError(t, err)
	kindOf := func(b claim.Claimer, team, digest string) fault.Error {
		_, err := b.Begin(ctx, team, "k", digest)
		return fault.From(err)
	}
	rival := claim.New(tab, allAlive{}, "i2@1", sequence("b"))
	require.Equal(t, fault.Busy, kindOf(rival, "loom", "d").Kind)
	require.Equal(t, fault.Unknown, kindOf(rival, "loom", "d").Run)
	require.Equal(t, fault.Mismatch, kindOf(rival, "loom", "other").Kind)
	orphan := claim.New(tab, noneAlive{}, "i3@1", sequence("c"))
	require.Equal(t, fault.Lost, kindOf(orphan, "loom", "d").Kind, "the owner is no longer running")
	require.NoError(t, first.Finish(ctx, begun, claim.Outcome{
		State: claim.Free,
	}))
	_, err = rival.Begin(ctx, "loom", "k", "d")
	require.NoError(t, err, "a call that did not run may be claimed again")
	_, err = rival.Begin(ctx, "braid", "k", "d")
	require.NoError(t, err, "keys are scoped to a team")
}

func TestUnavailableTableRejectsCallAsNotRun(t *testing.T) {
	tab := newTable(func(int) bool { return true })
	_, err := claim.New(tab, allAlive{}, "i1@1", sequence("a")).Begin(t.Context(), "loom", "k", "d")
	require.Equal(t, fault.Unavailable, fault.From(err).Kind)
	require.Equal(t, fault.NotRun, fault.From(err).Run)
}

// TestUnconfirmedClaimCanBeReclaimed guards against a key that stays blocked after
// the claim's write takes effect late: its response was lost, and the call was
// rejected as not run before the row appeared.
func TestUnconfirmedClaimCanBeReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		tab := newTable(func(int) bool {
			calls++
			return calls == 2
		})
		claimer := claim.New(tab, allAlive{}, "i1@1", sequence("a"))
		_, err := claimer.Begin(t.Context(), "loom", "k", "d")
		require.Equal(t, fault.NotRun, fault.From(err).Run)
		time.Sleep(time.Second)
		_, err = claim.New(tab, allAlive{}, "i2@1", sequence("b")).Begin(t.Context(), "loom", "k", "d")
		require.Equal(t, fault.Busy, fault.From(err).Kind, "other instances don't know that the call was not sent")
		ticket, err := claimer.Begin(t.Context(), "loom", "k", "d")
		require.NoError(t, err)
		require.True(t, ticket.Sendable())
	})
}

// runInput is the input of one call in the history.
type runInput struct{ key string }

// runOutput is the result of one call in the history.
type runOutput struct {
	// answer is the number of the run whose answer the caller got; 0 if none.
	answer int
}

// atMostOnce is the sequential model of a key: all calls that are answered get the
// answer of the first one.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			in, _ := op.Input.(runInput)
			byKey[in.key] = append(byKey[in.key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(s, _, output any) (bool, any) {
		ran, _ := s.(int)
		out, _ := output.(runOutput)
		switch {
		case out.answer == 0:
			return true, ran
		case ran == 0:
			return true, out.answer
		}
		return out.answer == ran, ran
	},
}

// TestConcurrentCallsRunOnce guards against a call that runs twice when callers use
// the same key at the same time through several instances while the table fails. It
// checks the history for linearizability.
func TestConcurrentCallsRunOnce(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, 1))
			chance := func(n int) bool {
				return rnd.IntN(n) == 0
			}
			tab := newTable(chance)
			runs := map[string]int{}
			serial := 0
			var history []porcupine.Operation
			begin := time.Now()
			var callers sync.WaitGroup
			for c := range 6 {
				claimer := claim.New(tab, allAlive{}, fmt.Sprint("i", c%3, "@1"), sequence(fmt.Sprint("c", c, "-")))
				callers.Go(func() {
					for n := range 8 {
						key := fmt.Sprint("k", n%4)
						call := time.Since(begin)
						ticket, err := claimer.Begin(t.Context(), "loom", key, "d")
						out := runOutput{}
						var repeat claim.Repeat
						switch {
						case errors.As(err, &repeat):
							_, _ = fmt.Sscan(string(repeat.Outcome.Answer), &out.answer)
						case err == nil:
							time.Sleep(3 * time.Millisecond)
							mu.Lock()
							runs[key]++
							serial++
							out.answer = serial
							mu.Unlock()
							_ = claimer.Finish(t.Context(), ticket, claim.Outcome{
								State:  claim.Done,
								Answer: []byte(fmt.Sprint(out.answer)),
							})
						}
						mu.Lock()
						history = append(history, porcupine.Operation{
							ClientId: c,
							Input:    runInput{key: key},
							Call:     int64(call),
							Output:   out,
							Return:   int64(time.Since(begin)),
						})
						mu.Unlock()
					}
				})
			}
			callers.Wait()
			for key, n := range runs {
				require.Equal(t, 1, n, "key %s, seed %d", key, seed)
			}
			require.True(t, porcupine.CheckOperations(atMostOnce, history), "seed %d", seed)
			time.Sleep(time.Second)
		})
	}
}
