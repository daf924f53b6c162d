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

// table is a table that loses answers, is late and goes down by chance.
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

func never(int) bool { return false }

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

// all tells that every instance runs.
type all struct{}

// Alive returns true.
func (all) Alive(string) bool { return true }

// none tells that no other instance runs.
type none struct{}

// Alive returns false.
func (none) Alive(string) bool { return false }

func ids(prefix string) func() string {
	var mu sync.Mutex
	n := 0
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		n++
		return fmt.Sprint(prefix, n)
	}
}

func ExampleBook_Begin() {
	ctx := context.Background()
	book := claim.New(newTable(never), all{}, "i1@7", ids("n"))
	ticket, err := book.Begin(ctx, "loom", "k1", "digest")
	fmt.Println(ticket.Sendable(), err)
	err = book.Finish(ctx, ticket, claim.Outcome{
		State:  claim.Done,
		Status: 200,
		Answer: []byte("charged"),
	})
	fmt.Println(err)
	_, err = book.Begin(ctx, "loom", "k1", "digest")
	var repeat claim.Repeat
	fmt.Println(errors.As(err, &repeat), string(repeat.Outcome.Answer))
	// Output:
	// true <nil>
	// <nil>
	// true charged
}

func TestBeginTellsWhyNot(t *testing.T) {
	ctx := t.Context()
	tab := newTable(never)
	first := claim.New(tab, all{}, "i1@1", ids("a"))
	begun, err := first.Begin(ctx, "loom", "k", "d")
	require.NoError(t, err)
	kindOf := func(b claim.Book, team, digest string) fault.Error {
		_, err := b.Begin(ctx, team, "k", digest)
		return fault.From(err)
	}
	rival := claim.New(tab, all{}, "i2@1", ids("b"))
	require.Equal(t, fault.Busy, kindOf(rival, "loom", "d").Kind)
	require.Equal(t, fault.Unknown, kindOf(rival, "loom", "d").Run)
	require.Equal(t, fault.Mismatch, kindOf(rival, "loom", "other").Kind)
	orphan := claim.New(tab, none{}, "i3@1", ids("c"))
	require.Equal(t, fault.Lost, kindOf(orphan, "loom", "d").Kind, "the owner is dead")
	require.NoError(t, first.Finish(ctx, begun, claim.Outcome{
		State: claim.Free,
	}))
	_, err = rival.Begin(ctx, "loom", "k", "d")
	require.NoError(t, err, "a call that did not run may be claimed again")
	_, err = rival.Begin(ctx, "braid", "k", "d")
	require.NoError(t, err, "keys of two teams are apart")
}

func TestDownTableRefusesAsNotRun(t *testing.T) {
	tab := newTable(func(int) bool { return true })
	_, err := claim.New(tab, all{}, "i1@1", ids("a")).Begin(t.Context(), "loom", "k", "d")
	require.Equal(t, fault.Unavailable, fault.From(err).Kind)
	require.Equal(t, fault.NotRun, fault.From(err).Run)
}

// TestUnsettledClaimIsFreeAgain has the write happen long after its answer was
// lost and the call was refused as not run.
func TestUnsettledClaimIsFreeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		tab := newTable(func(int) bool {
			calls++
			return calls == 2
		})
		book := claim.New(tab, all{}, "i1@1", ids("a"))
		_, err := book.Begin(t.Context(), "loom", "k", "d")
		require.Equal(t, fault.NotRun, fault.From(err).Run)
		time.Sleep(time.Second)
		_, err = claim.New(tab, all{}, "i2@1", ids("b")).Begin(t.Context(), "loom", "k", "d")
		require.Equal(t, fault.Busy, fault.From(err).Kind, "others can't know that it was not sent")
		ticket, err := book.Begin(t.Context(), "loom", "k", "d")
		require.NoError(t, err)
		require.True(t, ticket.Sendable())
	})
}

// runInput is one call of a caller.
type runInput struct{ key string }

type runOutput struct {
	// answer is the run whose answer the caller got, 0 where there was none.
	answer int
}

// once is the sequential model of a key: the first call that is answered
// fixes the answer for all later ones.
var once = porcupine.Model{
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

// TestConcurrentCallsRunOnce has callers race with the same keys through
// several instances over a table that fails, and checks the history.
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
				book := claim.New(tab, all{}, fmt.Sprint("i", c%3, "@1"), ids(fmt.Sprint("c", c, "-")))
				callers.Go(func() {
					for n := range 8 {
						key := fmt.Sprint("k", n%4)
						call := time.Since(begin)
						ticket, err := book.Begin(t.Context(), "loom", key, "d")
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
							_ = book.Finish(t.Context(), ticket, claim.Outcome{
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
			require.True(t, porcupine.CheckOperations(once, history), "seed %d", seed)
			time.Sleep(time.Second)
		})
	}
}
