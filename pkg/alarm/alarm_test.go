package alarm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/alarm"
)

var start = time.Unix(1_000_000_000, 0)

func Example() {
	var tracker alarm.Tracker
	for s := range 40 {
		now := start.Add(time.Duration(s) * time.Second)
		tracker = tracker.With("dye", alarm.Tally{
			Good: 50,
			Bad:  50,
		}, 0.95, now)
		next, changed := tracker.Evaluate(now)
		for _, a := range changed {
			fmt.Println(a.Objective, a.Active())
		}
		tracker = next
	}
	// Output: dye true
}

// simulate counts one tally each second, and returns the seconds in which the alarm
// was raised and cleared.
func simulate(seconds int, tally func(s int) alarm.Tally) (raised, cleared []int) {
	var tracker alarm.Tracker
	for s := range seconds {
		now := start.Add(time.Duration(s) * time.Second)
		tracker = tracker.With("dye", tally(s), 0.95, now)
		next, changed := tracker.Evaluate(now)
		for _, a := range changed {
			if a.Active() {
				raised = append(raised, s)
			} else {
				cleared = append(cleared, s)
			}
		}
		tracker = next
	}
	return raised, cleared
}

func TestAlarmPrecedesViolationAndIsRaisedOnce(t *testing.T) {
	raised, cleared := simulate(1200, func(s int) alarm.Tally {
		if s >= 400 && s < 700 {
			return alarm.Tally{
				Good: 80,
				Bad:  20,
			}
		}
		return alarm.Tally{
			Good: 100,
		}
	})
	require.Len(t, raised, 1)
	require.Len(t, cleared, 1)
	// At 20% misses, the 5% that the window allows are used up after 75 s.
	require.Less(t, raised[0], 475)
	require.Greater(t, cleared[0], 700)
}

func TestShortCrashRaisesNoAlarm(t *testing.T) {
	raised, _ := simulate(900, func(s int) alarm.Tally {
		if s == 400 || s == 401 {
			return alarm.Tally{
				Good: 50,
				Bad:  50,
			}
		}
		return alarm.Tally{
			Good: 100,
		}
	})
	require.Empty(t, raised)
}

func TestFewOutcomesRaiseNoAlarm(t *testing.T) {
	raised, _ := simulate(300, func(s int) alarm.Tally {
		if s%60 == 0 {
			return alarm.Tally{
				Bad: 1,
			}
		}
		return alarm.Tally{}
	})
	require.Empty(t, raised)
}

func TestEvaluationDoesNotModifyReceiver(t *testing.T) {
	var tracker alarm.Tracker
	tracker = tracker.With("dye", alarm.Tally{
		Bad: 100,
	}, 0.95, start)
	_, _ = tracker.Evaluate(start)
	require.False(t, tracker.Alarms()[0].Active())
	require.Empty(t, tracker.WithOnly(func(string) bool { return false }).Alarms())
}
