package alarm_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// score counts alarms and breaches over runs.
type score struct {
	breaches, warned int
	alarms, right    int
	leads            []int
}

// episode is a time in which a share of requests misses its target.
type episode struct {
	from, to int
	share    float64
}

// run plays an hour with random episodes: crashes of a few seconds, floods of
// a minute or two, and failures that last.
func (sc *score) run(rnd *rand.Rand) {
	const seconds, window, allowed = 3600, 300, 0.05
	rate := 5 + rnd.IntN(100)
	base := 0.02 * rnd.Float64()
	var episodes []episode
	for range 1 + rnd.IntN(4) {
		from := rnd.IntN(seconds)
		length := []int{2 + rnd.IntN(6), 30 + rnd.IntN(90), 200 + rnd.IntN(300)}[rnd.IntN(3)]
		episodes = append(episodes, episode{
			from:  from,
			to:    from + length,
			share: 0.05 + 0.9*rnd.Float64(),
		})
	}
	var b alarm.Book
	bad := make([]int, seconds)
	active, breached, lastAlarm, sumBad := false, false, -1, 0
	for s := range seconds {
		share := base
		for _, e := range episodes {
			if s >= e.from && s < e.to {
				share = max(share, e.share)
			}
		}
		for range rate {
			if rnd.Float64() < share {
				bad[s]++
			}
		}
		sumBad += bad[s]
		if s >= window {
			sumBad -= bad[s-window]
		}
		now := start.Add(time.Duration(s) * time.Second)
		b = b.With("dye", alarm.Tally{
			Good: int64(rate - bad[s]),
			Bad:  int64(bad[s]),
		}, 1-allowed, now)
		next, changed := b.Judge(now)
		b = next
		for _, a := range changed {
			active = a.Active()
			if active {
				sc.alarms++
				lastAlarm = s
				breached = false
			}
		}
		missed := s >= window && float64(sumBad) > allowed*float64(rate*window)
		if missed && !breached {
			breached = true
			sc.breaches++
			if active {
				sc.warned++
				sc.right++
				sc.leads = append(sc.leads, s-lastAlarm)
			}
		}
		if !missed && !active {
			breached = false
		}
	}
}

// TestAlarmsMeanSomething holds the users' targets for alarms.
func TestAlarmsMeanSomething(t *testing.T) {
	var sc score
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		sc.run(rnd)
	}
	slices.Sort(sc.leads)
	recall := float64(sc.warned) / float64(sc.breaches)
	precision := float64(sc.right) / float64(sc.alarms)
	t.Logf("%d breaches, recall %.3f; %d alarms, precision %.3f; median lead %d s", sc.breaches, recall, sc.alarms, precision, sc.leads[len(sc.leads)/2])
	require.InDelta(t, 1, recall, 1e-9)
	require.GreaterOrEqual(t, precision, 0.95)
}
