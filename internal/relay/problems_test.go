package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// countingMeter counts unusable rows by table.
type countingMeter map[string]int

func (m countingMeter) Unreadable(table string) { m[table]++ }

// problemRecorder is a problemLog with its output.
type problemRecorder struct {
	*problemLog
	out   bytes.Buffer
	count countingMeter
}

func newProblemRecorder() *problemRecorder {
	r := &problemRecorder{
		count: countingMeter{},
	}
	r.problemLog = newProblemLog("registry", logs.New(&r.out, "info"), r.count)
	return r
}

// read reads a batch with the given problems and returns the new lines.
func (r *problemRecorder) read(complete bool, problems ...store.Problem) []string {
	b := store.Batch{
		Complete: complete,
	}
	for _, p := range problems {
		b.Rows = append(b.Rows, store.Row{
			Key:     p.Key,
			Version: p.Version,
		})
	}
	r.out.Reset()
	r.update(b, problems)
	return strings.Split(strings.TrimSuffix(r.out.String(), "\n"), "\n")
}

func problem(key string, version int64) store.Problem {
	return store.Problem{
		Key:     key,
		Version: version,
		Err:     errors.New("it is odd"),
	}
}

// An odd row that stays in the table must be logged once for each of its versions, not
// with each read.
func TestProblemIsLoggedOncePerVersion(t *testing.T) {
	r := newProblemRecorder()
	line := r.read(true, problem("x", 3))[0]
	for _, want := range []string{"event=unread", "table=registry", "key=x", "version=3", `error="it is odd"`} {
		require.Contains(t, line, want)
	}
	require.Equal(t, []string{""}, r.read(true, problem("x", 3)))
	require.Contains(t, r.read(false, problem("x", 4))[0], "version=4")
	require.Equal(t, 2, r.count["registry"])
	r.update(store.Batch{
		Rows: []store.Row{
			{
				Key:     "x",
				Version: 5,
			},
		},
	}, nil)
	require.Contains(t, r.read(false, problem("x", 6))[0], "version=6", "it was good in between")
	r.update(store.Batch{
		Removed: []string{"x"},
	}, nil)
	require.Empty(t, r.versions)
	r.read(false, problem("y", 7))
	r.read(true, problem("z", 8))
	require.Len(t, r.versions, 1, "a complete read replaces what is known")
}

// Hundreds of odd rows must not flood the log: all of them are counted, and the lines
// and their length are limited.
func TestManyProblemsAreSummarized(t *testing.T) {
	r := newProblemRecorder()
	var all []store.Problem
	for i := range 500 {
		p := problem(fmt.Sprint("x", i), int64(i+1))
		p.Err = errors.New(strings.Repeat("9", 1<<20))
		all = append(all, p)
	}
	lines := r.read(true, all...)
	require.Len(t, lines, maxProblemLines+1)
	require.Contains(t, lines[maxProblemLines], "more=484")
	require.Less(t, len(lines[0]), 2*maxReasonBytes)
	require.Equal(t, 500, r.count["registry"])
	require.Equal(t, []string{""}, r.read(true, all...))
}

// A key with a line break must not begin a line of its own.
func TestProblemKeyIsQuoted(t *testing.T) {
	r := newProblemRecorder()
	lines := r.read(true, problem("a\nlevel=error event=alarm", 1))
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], `key="a\nlevel=error event=alarm"`)
}

// In a new era of the store a row that can't be used may have the version of another one.
func TestProblemIsLoggedInEachEra(t *testing.T) {
	r := newProblemRecorder()
	r.read(true, problem("x", 7))
	r.update(store.Batch{
		Complete: true,
		Era:      2,
	}, []store.Problem{problem("x", 7)})
	require.Equal(t, 2, r.count["registry"])
}
