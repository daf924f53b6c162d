package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/admit"
)

var start = time.Unix(1_000_000, 0)

// Patient work has at least two requests' room at each size, all engines' idle memory at
// most, and never what urgent work takes.
func TestRoomFollowsFromSizes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances, engines int
		least              float64
	}{
		{instances: 1, engines: 1, least: 7},
		{instances: 8, engines: 12, least: 10},
		{instances: 66, engines: 90, least: 9},
		{instances: 295, engines: 320, least: 7},
	} {
		t.Run(fmt.Sprintf("%dx%d", c.instances, c.engines), func(t *testing.T) {
			t.Parallel()
			s := admit.Size{
				Engines:   c.engines,
				Slots:     16,
				Memory:    83_121,
				Instances: c.instances,
			}
			require.InDelta(t, c.least, s.Least()/s.Slot(), 1)
			require.InDelta(t, s.Total(), s.Most(0), 1)
			require.InDelta(t, s.Least(), s.Most(s.Equal()), 1)
			require.GreaterOrEqual(t, s.Most(s.Equal()/2), s.Total()/2-1)
		})
	}
}

// A window stays within its bounds, grows only while it is full, and shrinks when answers
// are late.
func TestWindowStaysWithinBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		b := admit.Bounds{
			Least: 1000,
			Most:  50_000,
		}
		var w admit.Window
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "gap")) * time.Millisecond)
			before := w.Limit(b)
			a := admit.Answer{
				At:     now,
				Took:   time.Duration(rapid.IntRange(1, 3000).Draw(rt, "took")) * time.Millisecond,
				Target: 1500 * time.Millisecond,
				Cost:   800,
				Used:   rapid.Float64Range(0, before).Draw(rt, "used"),
			}
			w = w.With(a, b)
			after := w.Limit(b)
			require.GreaterOrEqual(rt, after, b.Least)
			require.LessOrEqual(rt, after, b.Most)
			if after > before {
				require.Greater(rt, a.Used+a.Cost, before)
				require.Less(rt, a.Took, a.Target)
			}
		}
	})
}

func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	t.Parallel()
	var c admit.Comeback
	drain := admit.NewDrain(1000)
	seconds := map[time.Duration]int{}
	last := time.Duration(0)
	for i := range 100 {
		var after time.Duration
		c, after = c.With(fmt.Sprint(i), 700*time.Millisecond, drain, 100, 12*time.Second, start)
		require.GreaterOrEqual(t, after, 500*time.Millisecond)
		require.LessOrEqual(t, after, 4*time.Second)
		if i < 30 {
			require.Greater(t, after, last, "each has its own time")
			last = after
		}
		seconds[after/time.Second]++
	}
	for s, n := range seconds {
		require.LessOrEqual(t, n, 45, "%d s", s)
	}
}

func TestReturnedCallerWaitsRatherThanBeingRefused(t *testing.T) {
	t.Parallel()
	first := admit.Ask{
		Target:  1500 * time.Millisecond,
		Timeout: 12 * time.Second,
		Left:    12 * time.Second,
	}
	class, limit := first.Limit(3 * time.Second)
	require.Equal(t, admit.Timely, class)
	require.Less(t, limit, 3*time.Second)
	again := first
	again.Left = 8 * time.Second
	class, limit = again.Limit(3 * time.Second)
	require.Equal(t, admit.Overdue, class)
	require.Equal(t, 4*time.Second, limit)
	class, _ = again.Limit(0)
	require.Equal(t, admit.Timely, class, "nothing is overdue while there is room")
}

// Urgent work gives way only while the engines are busy and beyond what they answer in
// time, at the latest when a queue builds up, before the first late answer.
func TestUrgentWorkYieldsWhileEnginesAreBusy(t *testing.T) {
	t.Parallel()
	const target = 500 * time.Millisecond
	answers := func(took time.Duration) admit.Delay {
		var d admit.Delay
		for i := range 50 {
			d = d.WithAnswer(took, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		return d
	}
	now := start.Add(5 * time.Second)
	open := func(d admit.Delay, n int) admit.Delay {
		for range n {
			d = d.WithBegun(now)
		}
		return d
	}
	require.False(t, admit.Delay{}.Yields(target, 2, now))
	idle, busy := answers(200*time.Millisecond), answers(300*time.Millisecond)
	require.False(t, open(idle, 20).Yields(target, 2, now))
	require.True(t, open(idle, 20).Yields(target, 2, now.Add(200*time.Millisecond)), "a queue builds up")
	require.False(t, open(busy, 3).Yields(target, 2, now))
	require.True(t, open(busy, 4).Yields(target, 2, now), "10 a second in 0.35 s are 3.5")
	require.False(t, busy.WithOverdue(100*time.Millisecond, now).WithOverdue(100*time.Millisecond, now).Yields(target, 2, now))
	closed := open(idle, 3).WithEnded(now).WithEnded(now).WithEnded(now)
	require.Equal(t, 200*time.Millisecond, closed.Expected(now.Add(time.Hour)))
}
