package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/retry"
)

func TestRetriesInAnyWindowStayWithinTheShare(t *testing.T) {
	const span = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := retry.NewWindow(span, 0.2)
		now := time.Unix(1_000_000, 0)
		var fresh, taken []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				w.RecordCall(now)
				fresh = append(fresh, now)
				continue
			}
			if !w.Take(now, 3) {
				continue
			}
			taken = append(taken, now)
			since := now.Add(-span * 9 / 10)
			require.LessOrEqual(t, float64(count(taken, since)), 0.2*float64(count(fresh, now.Add(-span)))+3)
		}
	})
}

func count(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(since) {
			n++
		}
	}
	return n
}
