package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/origin"
)

var begin = time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)

func TestListedVersions(t *testing.T) {
	none := origin.Listed{}
	one := none.With("chat", "v1")
	two := one.With("chat", "v2").With("check", "v7")
	require.True(t, none.Empty("chat"))
	v, ok := one.Only("chat")
	require.True(t, ok)
	require.Equal(t, "v1", v)
	_, ok = two.Only("chat")
	require.False(t, ok)
	require.True(t, two.Mixed())
	require.False(t, one.Mixed())
	require.True(t, two.Contains("chat", "v2"))
	require.False(t, one.Contains("chat", "v2"), "a With method leaves its receiver as it is")
	require.True(t, two.Without("chat", "v2").Without("check", "v7").Equal(one))
	require.True(t, one.WithAll(two).Equal(two))
}

func TestListedIsBounded(t *testing.T) {
	var l origin.Listed
	for i := range 1000 {
		l = l.With("chat", fmt.Sprintf("v%d", i))
	}
	n := 0
	l.Each(func(string, string) { n++ })
	require.Equal(t, 16, n)
}

func TestListedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l origin.Listed
		for range rapid.IntRange(0, 10).Draw(t, "versions") {
			l = l.With(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), rapid.String().Draw(t, "version"))
		}
		data, err := l.Marshal()
		require.NoError(t, err)
		got, err := origin.Unmarshal(data)
		require.NoError(t, err)
		require.True(t, got.Equal(l))
	})
	_, err := origin.Unmarshal([]byte("{"))
	require.Error(t, err)
}

func TestStreamsAreRememberedForAMinute(t *testing.T) {
	var b origin.Book
	b.Begin(origin.Stream{
		ID:       "a",
		Software: "v1",
	}, begin)
	b.Keep([]origin.Stream{
		{
			ID:       "b",
			Software: "v2",
		},
	}, begin.Add(time.Second))
	found := func(id string) string {
		v, _ := b.Find(id)
		return v
	}
	require.Equal(t, "v1", found("a"))
	require.Equal(t, "v2", found("b"))
	_, ok := b.Find("c")
	require.False(t, ok)
	b.Keep([]origin.Stream{
		{
			ID:       "c",
			Software: "v2",
		},
	}, begin.Add(61*time.Second))
	require.Equal(t, "v1", found("a"), "it may be older than a minute")
	b.Keep([]origin.Stream{
		{
			ID:       "d",
			Software: "v2",
		},
	}, begin.Add(150*time.Second))
	_, ok = b.Find("a")
	require.False(t, ok)
}

func TestStreamsThatBeganHereAreTakenOnce(t *testing.T) {
	var b origin.Book
	for i := range 3 {
		b.Begin(origin.Stream{
			ID:       fmt.Sprint(i),
			Software: "v1",
		}, begin.Add(time.Duration(i)*40*time.Second))
	}
	require.Len(t, b.Take(begin.Add(80*time.Second)), 2, "the first one is too old")
	require.Empty(t, b.Take(begin.Add(80*time.Second)))
}

func TestFullBookForgetsTheOldestStreams(t *testing.T) {
	var b origin.Book
	for i := range 50_000 {
		b.Begin(origin.Stream{
			ID:       fmt.Sprint(i),
			Software: "v1",
		}, begin)
	}
	_, ok := b.Find("0")
	require.False(t, ok)
	_, ok = b.Find("49999")
	require.True(t, ok)
	require.LessOrEqual(t, len(b.Take(begin)), 1<<14)
}
