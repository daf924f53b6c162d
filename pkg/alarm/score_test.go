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

const (
	seconds = 3600
	window  = 300
	allowed = 0.05
)

// misses returns how many of rate requests miss in each second of an hour with
// random episodes: crashes of a few seconds, floods of a minute or two, and
// failures that last.
func misses(rnd *rand.Rand, rate int) []int {
	base := 0.02 * rnd.Float64()
	shares := make([]float64, seconds)
	for i := range shares {
		shares[i] = base
	}
	for range 1 + rnd.IntN(4) {
		from := rnd.IntN(seconds)
		length := []int{2 + rnd.IntN(6), 30 + rnd.IntN(90), 200 + rnd.IntN(300)}[rnd.IntN(3)]
		share := 0.05 + 0.9*rnd.Float64()
		for s := from; s < min(from+length, seconds); s++ {
			shares[s] = max(shares[s], share)
		}
	}
	bad := make([]int, seconds)
	for s, share := range shares {
		for range rate {
			if rnd.Float64() < share {
				bad[s]++
			}
		}
	}
	return bad
}

// run plays one hour.
func (sc *score) run(rnd *rand.Rand) {
	rate := 5 + rnd.IntN(100)
	bad := misses(rnd, rate)
	var b alarm.Book
	active, breached, lastAlarm, sumBad := false, false, -1, 0
	for s := range seconds {
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
