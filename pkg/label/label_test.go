package label_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/label"
)

func ExampleParse() {
	sel, err := label.Parse("team in (loom,braid), kind=check, !batch")
	fmt.Println(err)
	fmt.Println(sel.Matches(label.Of("team", "loom", "kind", "check")))
	fmt.Println(sel.Matches(label.Of("team", "loom", "kind", "check", "batch", "yes")))
	// Output:
	// <nil>
	// true
	// false
}

func TestSelectorMatches(t *testing.T) {
	set := label.Of("team", "loom", "gpu", "")
	cases := map[string]bool{
		"":                     true,
		"team=loom":            true,
		"team==loom":           true,
		" team = loom , gpu ":  true,
		"team!=loom":           false,
		"other!=loom":          true,
		"team in (a, loom)":    true,
		"team notin (a, loom)": false,
		"team notin (a)":       true,
		"!gpu":                 false,
		"!team, gpu":           false,
		"index":                false,
	}
	for text, want := range cases {
		sel, err := label.Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, sel.Matches(set), text)
	}
}

func TestParseReturnsSyntaxErrorWithRemedy(t *testing.T) {
	for _, text := range []string{"=a", "team in", "team in (", "team in (a", "team in ()", "a b", "a,,b", "!", "a=", "ü=1"} {
		_, err := label.Parse(text)
		var syntax label.SyntaxError
		require.ErrorAs(t, err, &syntax, text)
		require.NotEmpty(t, syntax.Remedy, text)
	}
}

func TestWithDoesNotModifyReceiver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := rapid.MapOf(rapid.String(), rapid.String()).Draw(rt, "labels")
		key, value := rapid.String().Draw(rt, "key"), rapid.String().Draw(rt, "value")
		old := label.FromMap(m)
		before := old.String()
		next := old.With(key, value)
		got, ok := next.Get(key)
		require.True(rt, ok)
		require.Equal(rt, value, got)
		require.Equal(rt, before, old.String())
	})
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"team in (a,b), !c", "a!=b", "x notin (y)", "((", "a=,"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		sel, err := label.Parse(text)
		if err != nil {
			return
		}
		again, err := label.Parse(sel.String())
		require.NoError(t, err)
		set := label.Of("team", "a", "a", "b")
		require.Equal(t, sel.Matches(set), again.Matches(set))
	})
}

func TestIsMatchesLikeItsParsedText(t *testing.T) {
	sel := label.Is("route", "r-1")
	parsed, err := label.Parse(sel.String())
	require.NoError(t, err)
	for _, set := range []label.Set{label.Of("route", "r-1", "team", "a"), label.Of("route", "r-2"), label.Of()} {
		require.Equal(t, parsed.Matches(set), sel.Matches(set), set)
	}
	require.True(t, sel.Matches(label.Of("route", "r-1")))
	require.True(t, label.Is("route", "any text, (here)").Matches(label.Of("route", "any text, (here)")))
}
