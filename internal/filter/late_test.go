package filter_test

import (
	"context"
	"fmt"
	"slices"
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
	usual := slices.Repeat([]time.Duration{time.Second}, 50)
	for name, c := range map[string]struct {
		lengths  []time.Duration
		output   int
		kind     site.Kind
		timeout  time.Duration
		deadline time.Duration
		linger   time.Duration
		left     time.Duration
		admitted bool
	}{
		"the instance does not stop": {
			lengths:  slices.Repeat([]time.Duration{time.Hour}, 50),
			admitted: true,
		},
		"short route, listener open": {
			lengths:  usual,
			linger:   time.Second,
			left:     2 * time.Second,
			admitted: true,
		},
		"short route": {
			lengths: usual,
			left:    2 * time.Second,
		},
		"short stream": {
			lengths: usual,
			kind:    site.Stream,
			left:    2 * time.Second,
		},
		"short idempotent route": {
			lengths:  usual,
			kind:     site.Idempotent,
			left:     2 * time.Second,
			admitted: true,
		},
		"one of the route's requests took longer": {
			lengths: append(usual, 3*time.Second),
			kind:    site.Idempotent,
			left:    2 * time.Second,
		},
		"long route, listener open": {
			lengths: slices.Repeat([]time.Duration{3 * time.Second}, 50),
			linger:  time.Second,
			left:    2 * time.Second,
		},
		"smaller than the long ones": {
			lengths:  append(usual, 3*time.Second),
			output:   -1,
			linger:   time.Second,
			left:     2 * time.Second,
			admitted: true,
		},
		"unknown route, listener open": {
			timeout:  time.Minute,
			linger:   time.Second,
			left:     2 * time.Second,
			admitted: true,
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
			kind: site.Idempotent,
			left: 20 * time.Second,
		},
		"deadline before the end": {
			lengths:  slices.Repeat([]time.Duration{3 * time.Second}, 50),
			deadline: time.Second,
			left:     2 * time.Second,
			admitted: true,
		},
		"the grace period is over": {
			lengths: usual,
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
			}.WithRoute(site.Route{
				Name:    "charge",
				Kind:    c.kind,
				Timeout: c.timeout,
			}, "desk")
			for _, length := range c.lengths {
				now = begin.Add(-time.Minute)
				r.Arrived = now
				// The size of a request is in proportion to its length.
				r.Output = int(100 * length.Seconds())
				_, err := f.Filter(t.Context(), r, nil, handlerFunc(func() error {
					now = now.Add(length)
					return nil
				}))
				require.NoError(t, err)
			}
			now = begin
			r.Arrived = begin
			if c.output < 0 {
				r.Output = 100
			}
			if c.left != 0 {
				signal.Begin(grace.Period{
					Closed: begin.Add(c.linger),
					End:    begin.Add(c.left),
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

// A route that has served few requests must not be taken for a short one.
func TestFewRequestsAreAnUncertainEstimate(t *testing.T) {
	t.Parallel()
	begin := time.Unix(1000, 0)
	for count, most := range map[int]time.Duration{
		1:   5 * time.Second,
		64:  1100 * time.Millisecond,
		200: 1100 * time.Millisecond,
	} {
		var l grace.Lengths
		for range count {
			l.Record("charge", 0, begin, begin.Add(time.Second))
		}
		got, ok := l.Estimate("charge", 0, time.Second, begin.Add(time.Minute))
		require.True(t, ok)
		require.LessOrEqual(t, got, most)
		require.Equal(t, count == 1, got >= 2*time.Second, "%d: %s", count, got)
	}
}

// A request must not be taken for short because all of its route were much smaller so far.
func TestSmallRequestsDoNotEstimateLargeOnes(t *testing.T) {
	t.Parallel()
	var l grace.Lengths
	begin := time.Unix(1000, 0)
	for range 64 {
		l.Record("tale", 100, begin, begin.Add(time.Second))
	}
	now := begin.Add(time.Minute)
	for size, want := range map[int]bool{
		0:    true,
		50:   true,
		200:  true,
		1000: false,
	} {
		_, ok := l.Estimate("tale", size, time.Second, now)
		require.Equal(t, want, ok, size)
	}
	// Smaller requests that took longer count.
	l.Record("tale", 100, begin, begin.Add(5*time.Second))
	_, ok := l.Estimate("tale", 1000, 4*time.Second, now)
	require.True(t, ok)
	l.Record("tale", 1000, begin, begin.Add(2*time.Second))
	got, ok := l.Estimate("tale", 1000, 10*time.Second, now)
	require.True(t, ok)
	require.Greater(t, got, 5*time.Second)
}

// An instance that has just started has seen only short requests end.
func TestLengthIsUnknownAfterStart(t *testing.T) {
	t.Parallel()
	var l grace.Lengths
	begin := time.Unix(1000, 0)
	l.Record("charge", 0, begin, begin.Add(time.Second))
	_, ok := l.Estimate("charge", 0, 5*time.Second, begin.Add(2*time.Second))
	require.False(t, ok)
	_, ok = l.Estimate("charge", 0, 5*time.Second, begin.Add(5*time.Second))
	require.True(t, ok)
}

// Requests of ever new names must not use up the memory.
func TestNamesOfLengthsAreBounded(t *testing.T) {
	t.Parallel()
	var l grace.Lengths
	begin := time.Unix(1000, 0)
	for n := range 2000 {
		l.Record(fmt.Sprint(n), 0, begin, begin)
	}
	_, ok := l.Estimate("1999", 0, 0, begin)
	require.False(t, ok)
}

// Requests that reach their deadlines are the longest of their route, so an estimate
// without them is too short.
func TestRequestsThatReachTheirDeadlinesCount(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	signal := grace.New()
	f := filter.NewLate(signal, func() time.Time { return now })
	r := chain.Request{
		Kind:       chain.Relayed,
		Idempotent: true,
		Route: site.Route{
			Name: "charge",
		},
	}
	send := func(length time.Duration, err error) error {
		_, got := f.Filter(t.Context(), r, nil, handlerFunc(func() error {
			now = now.Add(length)
			return err
		}))
		return got
	}
	for range 50 {
		require.NoError(t, send(time.Second, nil))
	}
	late := fault.New(fault.Late, "the deadline passed")
	require.ErrorIs(t, send(3*time.Second, late), late)
	signal.Begin(grace.Period{
		Closed: now.Add(time.Second),
		End:    now.Add(2 * time.Second),
	})
	require.Equal(t, fault.Unavailable, fault.From(send(time.Second, nil)).Kind)
}
