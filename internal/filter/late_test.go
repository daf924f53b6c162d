package filter_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// handlerFunc is a handler that is a function.
type handlerFunc func() error

func (h handlerFunc) Handle(context.Context, chain.Request, chain.Writer) (chain.Result, error) {
	return chain.Result{}, h()
}

// A request that may outlast the grace period must be refused as not run before anything
// is done for it.
func TestLateRequestIsRefusedBeforeItRuns(t *testing.T) {
	t.Parallel()
	begin := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		lengths  []time.Duration
		timeout  time.Duration
		deadline time.Duration
		left     time.Duration
		admitted bool
	}{
		"the instance does not stop": {
			lengths:  []time.Duration{time.Hour},
			admitted: true,
		},
		"short route": {
			lengths:  []time.Duration{time.Second, 2 * time.Second},
			left:     2 * time.Second,
			admitted: true,
		},
		"one of the route's requests took longer": {
			lengths: []time.Duration{3 * time.Second, time.Second},
			left:    2 * time.Second,
		},
		"unknown route with a short timeout": {
			timeout:  time.Second,
			left:     time.Second,
			admitted: true,
		},
		"unknown route with a long timeout": {
			timeout: 3 * time.Second,
			left:    2 * time.Second,
		},
		"unknown route without a timeout": {
			left: 20 * time.Second,
		},
		"deadline before the end": {
			lengths:  []time.Duration{3 * time.Second},
			deadline: time.Second,
			left:     2 * time.Second,
			admitted: true,
		},
		"the grace period is over": {
			lengths: []time.Duration{time.Millisecond},
			left:    -time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := begin
			signal := grace.New()
			f := filter.NewLate(signal, func() time.Time { return now })
			r := chain.Request{
				Kind: chain.Relayed,
				Route: site.Route{
					Name:    "charge",
					Timeout: c.timeout,
				},
				Arrived: begin,
			}
			for _, length := range c.lengths {
				now = begin
				_, err := f.Filter(t.Context(), r, nil, handlerFunc(func() error {
					now = now.Add(length)
					return nil
				}))
				require.NoError(t, err)
			}
			now = begin
			if c.left != 0 {
				signal.Begin(grace.Period{
					End: begin.Add(c.left),
				})
			}
			if c.deadline > 0 {
				r.Deadline = begin.Add(c.deadline)
			}
			handled := false
			_, err := f.Filter(t.Context(), r, nil, handlerFunc(func() error {
				handled = true
				return nil
			}))
			require.Equal(t, c.admitted, handled)
			if !c.admitted {
				require.Equal(t, fault.NotRun, fault.From(err).Run)
				require.Equal(t, grace.RetryAfter, fault.From(err).Retry)
			}
		})
	}
}

// Requests that ran long ago and routes beyond the limit must not grow the memory of
// lengths.
func TestLengthsAreBounded(t *testing.T) {
	t.Parallel()
	var l grace.Lengths
	l.Record("charge", time.Hour)
	for range 100 {
		l.Record("charge", time.Second)
	}
	longest, ok := l.Longest("charge")
	require.True(t, ok)
	require.Equal(t, time.Second, longest)
	for n := range 2000 {
		l.Record(string(rune(n+1000)), time.Second)
	}
	_, ok = l.Longest(string(rune(2999)))
	require.False(t, ok)
}
