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

func ExampleBook() {
	b := weight.Book{}.WithNamed("small", 2, start)
	engines := []weight.Engine{
		{
			Name:    "e1",
			Running: 3,
		},
		{
			Name: "e2",
		},
	}
	for _, o := range b.Plan("small", engines, 1, start) {
		fmt.Println(o.Engine, o.Version)
	}
	// Output: e2 2
}

func TestEveryEngineComesUpToDateAFewAtATime(t *testing.T) {
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
		b := weight.Book{}.WithNamed("m", 2, start)
		now := start
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			for _, o := range b.Plan("m", engines, atOnce, now) {
				b = b.WithOrder(o)
			}
			under := b.Orders(now)
			require.LessOrEqual(t, len(under), atOnce)
			if len(under) > 0 && rapid.Bool().Draw(t, "done") {
				b = b.WithHeld(under[0].Engine, "m", under[0].Version)
			}
		}
		for range count {
			for _, o := range b.Plan("m", engines, atOnce, now) {
				b = b.WithOrder(o)
			}
			for _, o := range b.Orders(now) {
				b = b.WithHeld(o.Engine, "m", o.Version)
			}
		}
		for _, e := range engines {
			require.True(t, b.Current(e.Name, "m"), e.Name)
		}
	})
}

func TestOldestWeightsGoFirst(t *testing.T) {
	b := weight.Book{}.WithNamed("m", 3, start).WithHeld("old", "m", 1).WithHeld("new", "m", 2)
	engines := []weight.Engine{
		{
			Name: "new",
		},
		{
			Name:    "old",
			Running: 9,
		},
	}
	require.Equal(t, "old", b.Plan("m", engines, 1, start)[0].Engine)
}

func TestVersionsNeverGoBack(t *testing.T) {
	b := weight.Book{}.WithNamed("m", 5, start).WithNamed("m", 4, start).
		WithHeld("e1", "m", 5).WithHeld("e1", "m", 3)
	require.EqualValues(t, 5, b.Named("m").Version)
	require.EqualValues(t, 5, b.Held("e1", "m"))
	require.True(t, b.Current("e1", "m"))
}

func TestOrderThatIsNotSeenToEndIsGivenAgain(t *testing.T) {
	b := weight.Book{}.WithNamed("m", 2, start)
	engines := []weight.Engine{
		{
			Name: "e1",
		},
	}
	b = b.WithOrder(b.Plan("m", engines, 1, start)[0])
	require.Empty(t, b.Plan("m", engines, 1, start.Add(time.Second)))
	require.Len(t, b.Plan("m", engines, 1, start.Add(time.Minute)), 1)
}

func TestEnginesThatLeftAreForgotten(t *testing.T) {
	b := weight.Book{}.WithHeld("e1", "m", 1).WithHeld("e2", "m", 1)
	b = b.WithOnly(func(engine string) bool { return engine == "e2" })
	require.Zero(t, b.Held("e1", "m"))
	require.EqualValues(t, 1, b.Held("e2", "m"))
}

func TestEngineIsBehindSinceTheFirstVersionThatItLacks(t *testing.T) {
	b := weight.Book{}.WithHeld("e1", "m", 1)
	_, behind := b.Behind("e1", "m")
	require.False(t, behind)
	for i := range 40 {
		b = b.WithNamed("m", int64(2+i), start.Add(time.Duration(i)*time.Second))
	}
	b = b.WithHeld("e2", "m", 40)
	since, behind := b.Behind("e2", "m")
	require.True(t, behind)
	require.Equal(t, start.Add(39*time.Second), since)
	since, behind = b.Behind("e1", "m")
	require.True(t, behind)
	require.False(t, since.After(start.Add(30*time.Second)), "names that were dropped are older than those that are kept")
}
