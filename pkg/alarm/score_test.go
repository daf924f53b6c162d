package alarm_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// score counts alarms and violations of the objective over simulated hours.
type score struct {
	violations, predicted int
	alarms, truePositives int
	leadTimes             []int
}

const (
	seconds = 3600
	window  = 300
	allowed = 0.05
)

// simulateMisses returns how many of rate requests miss the target in each second of
// an hour with random incidents: crashes of a few seconds, overloads of one or two
// minutes, and failures of several minutes.
func simulateMisses(rnd *rand.Rand, rate int) []int {
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

// simulateHour simulates one hour and adds its alarms and violations to sc.
func (sc *score) simulateHour(rnd *rand.Rand) {
	rate := 5 + rnd.IntN(100)
	bad := simulateMisses(rnd, rate)
	var tracker alarm.Tracker
	active, violated, lastAlarm, sumBad := false, false, -1, 0
	for s := range seconds {
		sumBad += bad[s]
		if s >= window {
			sumBad -= bad[s-window]
		}
		now := start.Add(time.Duration(s) * time.Second)
		tracker = tracker.With("dye", alarm.Tally{
			Good: int64(rate - bad[s]),
			Bad:  int64(bad[s]),
		}, 1-allowed, now)
		next, changed := tracker.Evaluate(now)
		tracker = next
		for _, a := range changed {
			active = a.Active()
			if active {
				sc.alarms++
				lastAlarm = s
				violated = false
			}
		}
		violating := s >= window && float64(sumBad) > allowed*float64(rate*window)
		if violating && !violated {
			violated = true
			sc.violations++
			if active {
				sc.predicted++
				sc.truePositives++
				sc.leadTimes = append(sc.leadTimes, s-lastAlarm)
			}
		}
		if !violating && !active {
			violated = false
		}
	}
}

// TestAlarmRecallAndPrecision checks that every violation is preceded by an alarm and
// that at least 95% of alarms are followed by a violation, as users require.
func TestAlarmRecallAndPrecision(t *testing.T) {
	var sc score
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		sc.simulateHour(rnd)
	}
	slices.Sort(sc.leadTimes)
	recall := float64(sc.predicted) / float64(sc.violations)
	precision := float64(sc.truePositives) / float64(sc.alarms)
	t.Logf("%d violations, recall %.3f; %d alarms, precision %.3f; median lead %d s", sc.violations, recall, sc.alarms, precision, sc.leadTimes[len(sc.leadTimes)/2])
	require.InDelta(t, 1, recall, 1e-9)
	require.GreaterOrEqual(t, precision, 0.95)
}
