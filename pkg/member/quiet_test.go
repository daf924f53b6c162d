package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/member"
)

// The latest time for which a node asked counts, until it is over, for that incarnation.
func TestQuietHoldsUntilItsTime(t *testing.T) {
	set := member.Set{}.WithRegistry(started("7", engines("e1", "e2")))
	set = set.WithQuiet("e1", "7", start.Add(3*time.Second)).WithQuiet("e1", "7", start.Add(time.Second))
	e, _ := set.Find("e1")
	require.Equal(t, start.Add(3*time.Second), e.QuietUntil)
	require.Equal(t, e.QuietUntil, set.Pool("small")[0].QuietUntil)
	set, ended := set.WithoutPastSignals(start.Add(3*time.Second - 1))
	require.Empty(t, ended)
	restarted := set.WithRegistry(started("8", engines("e1", "e2")))
	e, _ = restarted.Find("e1")
	require.True(t, e.QuietUntil.IsZero(), "a new incarnation is free at once")
	set, ended = set.WithoutPastSignals(start.Add(3 * time.Second))
	require.Equal(t, []string{"e1"}, ended)
	e, _ = set.Find("e1")
	require.True(t, e.QuietUntil.IsZero())
}

// The pool is quiet until its first endpoint wants calls again, and only if all are.
func TestPoolIsQuietUntilTheEarliestTime(t *testing.T) {
	set := member.Set{}.WithRegistry(started("7", engines("e1", "e2")))
	_, quiet := set.QuietUntil("small", start)
	require.False(t, quiet)
	set = set.WithQuiet("e1", "7", start.Add(3*time.Second))
	_, quiet = set.QuietUntil("small", start)
	require.False(t, quiet)
	set = set.WithQuiet("e2", "7", start.Add(2*time.Second))
	until, quiet := set.QuietUntil("small", start)
	require.True(t, quiet)
	require.Equal(t, start.Add(2*time.Second), until)
	_, quiet = set.QuietUntil("small", until)
	require.False(t, quiet)
	_, quiet = set.QuietUntil("other", start)
	require.False(t, quiet, "a service without endpoints asks for nothing")
}
