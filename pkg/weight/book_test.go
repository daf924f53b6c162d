package weight_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/weight"
)

var start = time.Unix(1_000_000, 0)

func Example() {
	s := weight.Tracker{}.WithDesired("small", 2, start)
	engines := []weight.Engine{
		{
			Name:    "e1",
			Running: 3,
		},
		{
			Name: "e2",
		},
	}
	for _, o := range s.Plan("small", engines, 1, start) {
		fmt.Println(o.Engine, o.Version)
	}
	// Output: e2 2
}

func TestAllEnginesLoadTheDesiredVersionWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "engines")
		atOnce := rapid.IntRange(1, 4).Draw(t, "at once")
		var engines []weight.Engine
		for i := range count {
			engines = append(engines, weight.Engine{
				Name:    fmt.Sprint("e", i),
				Running: rapid.IntRange(0, 5).Draw(t, "running"),
			})
		}
		s := weight.Tracker{}.WithDesired("m", 2, start)
		now := start
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			for _, o := range s.Plan("m", engines, atOnce, now) {
				s = s.WithOrder(o)
			}
			inFlight := s.OrdersInFlight(now)
			require.LessOrEqual(t, len(inFlight), atOnce)
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "done") {
				s = s.WithLoaded(inFlight[0].Engine, "m", inFlight[0].Version)
			}
		}
		for range count {
			for _, o := range s.Plan("m", engines, atOnce, now) {
				s = s.WithOrder(o)
			}
			for _, o := range s.OrdersInFlight(now) {
				s = s.WithLoaded(o.Engine, "m", o.Version)
			}
		}
		for _, e := range engines {
			require.True(t, s.Current(e.Name, "m"), e.Name)
		}
	})
}

func TestEngineWithTheOldestVersionIsOrderedFirst(t *testing.T) {
	s := weight.Tracker{}.WithDesired("m", 3, start).WithLoaded("old", "m", 1).WithLoaded("new", "m", 2)
	engines := []weight.Engine{
		{
			Name: "new",
		},
		{
			Name:    "old",
			Running: 9,
		},
	}
	require.Equal(t, "old", s.Plan("m", engines, 1, start)[0].Engine)
}

func TestVersionsNeverGoBack(t *testing.T) {
	s := weight.Tracker{}.WithDesired("m", 5, start).WithDesired("m", 4, start).
		WithLoaded("e1", "m", 5).WithLoaded("e1", "m", 3)
	require.EqualValues(t, 5, s.Desired("m").Version)
	require.EqualValues(t, 5, s.Loaded("e1", "m"))
	require.True(t, s.Current("e1", "m"))
}

func TestOrderIsRepeatedAfterTheTimeout(t *testing.T) {
	s := weight.Tracker{}.WithDesired("m", 2, start)
	engines := []weight.Engine{
		{
			Name: "e1",
		},
	}
	s = s.WithOrder(s.Plan("m", engines, 1, start)[0])
	require.Empty(t, s.Plan("m", engines, 1, start.Add(time.Second)))
	require.Len(t, s.Plan("m", engines, 1, start.Add(time.Minute)), 1)
}

func TestDepartedEnginesAreRemoved(t *testing.T) {
	s := weight.Tracker{}.WithLoaded("e1", "m", 1).WithLoaded("e2", "m", 1)
	s = s.WithOnly(func(engine string) bool { return engine == "e2" })
	require.Zero(t, s.Loaded("e1", "m"))
	require.EqualValues(t, 1, s.Loaded("e2", "m"))
}

func TestEngineIsBehindSinceTheEarliestVersionThatItLacks(t *testing.T) {
	s := weight.Tracker{}.WithLoaded("e1", "m", 1)
	_, behind := s.Behind("e1", "m")
	require.False(t, behind)
	for i := range 40 {
		s = s.WithDesired("m", int64(2+i), start.Add(time.Duration(i)*time.Second))
	}
	s = s.WithLoaded("e2", "m", 40)
	since, behind := s.Behind("e2", "m")
	require.True(t, behind)
	require.Equal(t, start.Add(39*time.Second), since)
	since, behind = s.Behind("e1", "m")
	require.True(t, behind)
	require.False(t, since.After(start.Add(30*time.Second)), "versions that were dropped are older than those that are retained")
}
