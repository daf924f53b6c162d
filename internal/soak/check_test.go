package soak_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/soak"
)

// teller has endpoints answer "whole", with seals of the form end/id.
type teller struct{}

func (teller) Whole(soak.Attempt) string { return "whole" }

func (teller) Owner(seal string) (string, string) {
	end, id, _ := strings.Cut(seal, "/")
	return end, id
}

var bounds = soak.Bounds{
	Contact:   3 * time.Second,
	Apply:     2 * time.Second,
	Drain:     2 * time.Second,
	WeightsIn: 8 * time.Second,
	Quiet:     3 * time.Second,
	Thaw:      300 * time.Millisecond,
	Grace:     8 * time.Second,
	Slack:     200 * time.Millisecond,
	Abandon:   500 * time.Millisecond,
	Timeout:   3 * time.Second,
	Over:      500 * time.Millisecond,
	Extra:     500 * time.Millisecond,
	Loose:     20,
	Attempts:  2,
	Few:       3,
}

// begin is when the books of the tests begin.
var begin = time.Now().Add(-time.Hour)

// at returns a time in milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// attempt is a success at 20 s.
func attempt(change func(a *soak.Attempt)) soak.Attempt {
	a := soak.Attempt{
		Request: soak.Request{
			Key:   "k",
			Route: "/r/",
			Once:  true,
			Limit: 2 * time.Second,
		},
		ID:     "a",
		Node:   "n",
		Begun:  at(20000),
		Sent:   at(20000),
		Done:   at(20100),
		Status: 200,
		Echo:   "a",
		Seal:   "e/a",
		Answer: "whole",
		Whole:  true,
	}
	if change != nil {
		change(&a)
	}
	return a
}

func run(change func(r *soak.Run)) soak.Run {
	r := soak.Run{
		End:     "e",
		Service: "s",
		ID:      "a",
		Team:    "t",
		Weights: 1,
		Left:    2 * time.Second,
		At:      at(20050),
	}
	if change != nil {
		change(&r)
	}
	return r
}

// cut has the connection of an attempt end without an answer.
func cut(a *soak.Attempt) {
	a.Status, a.Echo, a.Seal, a.Answer, a.Whole = 0, "", "", "", false
	a.Done, a.Fail = at(20800), "reset"
}

func order(holder string, fence int64, ms int) soak.Order {
	return soak.Order{
		End:    "e",
		Holder: holder,
		Fence:  fence,
		At:     at(ms),
	}
}

// cases have what is seen besides a configuration that allows the attempt.
var cases = []struct {
	name string
	rule string
	see  func(b *soak.Book)
}{
	{
		name: "clean",
		see: func(b *soak.Book) {
			b.Asked(attempt(nil))
			b.Ran(run(nil))
		},
	},
	{
		name: "two runs",
		rule: "TWICE",
		see: func(b *soak.Book) {
			b.Asked(attempt(nil))
			b.Ran(run(nil))
			b.Ran(run(nil))
		},
	},
	{
		name: "refused and run later",
		rule: "REFUSED",
		see: func(b *soak.Book) {
			b.Asked(attempt(func(a *soak.Attempt) { a.Status, a.Seal, a.Answer = 503, "", "" }))
			b.Ran(run(func(r *soak.Run) { r.At = at(24000) }))
		},
	},
	{
		name: "no seal",
		rule: "MIXED",
		see: func(b *soak.Book) {
			b.Asked(attempt(func(a *soak.Attempt) { a.Seal = "" }))
			b.Ran(run(nil))
		},
	},
	{
		name: "the answer of another request",
		rule: "MIXED",
		see: func(b *soak.Book) {
			b.Asked(attempt(func(a *soak.Attempt) { a.Echo, a.Seal = "b", "e/b" }))
			b.Ran(run(nil))
		},
	},
	{
		name: "complete with a piece missing",
		rule: "ORDER",
		see: func(b *soak.Book) {
			b.Asked(attempt(func(a *soak.Attempt) { a.Stream, a.Answer = true, "who" }))
			b.Ran(run(nil))
		},
	},
	{
		name: "cut with a piece twice",
		rule: "ORDER",
		see: func(b *soak.Book) {
			b.Asked(attempt(func(a *soak.Attempt) { a.Stream, a.Whole, a.Left, a.Answer = true, false, true, "whwh" }))
			b.Ran(run(nil))
		},
	},
	{
		name: "nobody asked",
		rule: "UNASKED",
		see:  func(b *soak.Book) { b.Ran(run(nil)) },
	},
	{
		name: "another body",
		rule: "UNASKED",
		see: func(b *soak.Book) {
			b.Asked(attempt(nil))
			b.Ran(run(func(r *soak.Run) { r.Body = "x" }))
		},
	},
	{
		name: "a service that no configuration names",
		rule: "CONFIG",
		see: func(b *soak.Book) {
			b.Asked(attempt(nil))
			b.Ran(run(func(r *soak.Run) { r.Service = "other" }))
		},
	},
	{
		name: "refused though all configurations allow it",
		rule: "CONFIG",
		see:  func(b *soak.Book) { b.Asked(attempt(func(a *soak.Attempt) { a.Status, a.Seal = 401, "" })) },
	},
	{
		name: "weights of long ago",
		rule: "VERSION",
		see: func(b *soak.Book) {
			b.Marked(soak.Weights, "", 2, at(11000))
			b.Asked(attempt(nil))
			b.Ran(run(nil))
		},
	},
	{
		name: "weights of a while ago",
		see: func(b *soak.Book) {
			b.Marked(soak.Weights, "", 2, at(13000))
			b.Asked(attempt(nil))
			b.Ran(run(nil))
		},
	},
	{
		name: "cut at a planned stop",
		rule: "LOST",
		see: func(b *soak.Book) {
			b.Marked(soak.Stop, "n", 0, at(19000))
			b.Asked(attempt(cut))
		},
	},
	{
		name: "cut once for itself",
		see: func(b *soak.Book) {
			b.Asked(attempt(cut))
			b.Ran(run(nil))
		},
	},
	{
		name: "after the leaving was confirmed",
		rule: "DRAIN",
		see: func(b *soak.Book) {
			b.Marked(soak.EndLeave, "e", 0, at(18000))
			b.Asked(attempt(nil))
			b.Ran(run(nil))
		},
	},
	{
		name: "the endpoint is back",
		see: func(b *soak.Book) {
			b.Marked(soak.EndLeave, "e", 0, at(15000))
			b.Marked(soak.EndLeave, "e", 1, at(19000))
			b.Asked(attempt(nil))
			b.Ran(run(nil))
		},
	},
	{
		name: "no answer after the route's limit",
		rule: "CONFIG",
		see: func(b *soak.Book) {
			for range 8 {
				b.Asked(attempt(func(a *soak.Attempt) { a.Limit, a.Status, a.Seal, a.Done = 5*time.Second, 504, "", at(23600) }))
			}
		},
	},
	{
		name: "endpoints are told too long a time",
		rule: "BUDGET",
		see: func(b *soak.Book) {
			b.Asked(attempt(func(a *soak.Attempt) { a.Once = false }))
			for range 21 {
				b.Ran(run(func(r *soak.Run) { r.Left = 3 * time.Second }))
			}
		},
	},
	{
		name: "two holders in turn",
		rule: "ONE",
		see: func(b *soak.Book) {
			b.Ordered(order("n", 1, 1000))
			b.Ordered(order("m", 2, 3900))
		},
	},
	{
		name: "two holders after the quiet time",
		see: func(b *soak.Book) {
			b.Ordered(order("n", 1, 1000))
			b.Ordered(order("m", 2, 4100))
		},
	},
	{
		name: "a lower fence",
		rule: "ONE",
		see: func(b *soak.Book) {
			b.Ordered(order("n", 2, 1000))
			b.Ordered(order("n", 1, 9000))
		},
	},
	{
		name: "one fence of two holders",
		rule: "ONE",
		see: func(b *soak.Book) {
			b.Ordered(order("n", 2, 1000))
			b.Ordered(order("m", 2, 9000))
		},
	},
}

func TestEachBreachIsFound(t *testing.T) {
	t.Parallel()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := soak.NewBook()
			b.Configured(soak.Config{
				Version: 1,
				Routes: map[string]string{
					"/r/": "s",
				},
				Keys: map[string]string{
					"k": "t",
				},
			}, at(0))(at(1))
			c.see(b)
			found := map[string]bool{}
			for _, f := range soak.Check(b, bounds, teller{}) {
				found[f.Rule] = true
			}
			want := map[string]bool{}
			if c.rule != "" {
				want[c.rule] = true
			}
			require.Equal(t, want, found)
		})
	}
}

// A configuration that drops a key is in force after its bound, unless the
// instance was harmed.
func TestConfigurationCountsWhileItsInstanceIsCalm(t *testing.T) {
	t.Parallel()
	book := func() *soak.Book {
		b := soak.NewBook()
		for v, keys := range []map[string]string{
			{
				"k": "t",
			},
			{},
		} {
			b.Configured(soak.Config{
				Version: int64(v),
				Routes: map[string]string{
					"/r/": "s",
				},
				Keys: keys,
			}, at(17000*v))(at(17000*v + 1))
		}
		b.Asked(attempt(nil))
		b.Ran(run(nil))
		return b
	}
	require.Len(t, soak.Check(book(), bounds, teller{}), 1)
	b := book()
	b.Harm("n", soak.Kill.String(), at(16000))(at(17500))
	require.Empty(t, soak.Check(b, bounds, teller{}))
}

func TestPlanIsDrawnFromItsSeed(t *testing.T) {
	t.Parallel()
	size := soak.Size{
		Nodes: 3,
		Ends:  6,
	}
	first, again := soak.Draw(7, size, time.Minute), soak.Draw(7, size, time.Minute)
	require.Equal(t, first, again)
	require.NotEqual(t, soak.Draw(7, size, time.Minute).String(), soak.Draw(8, size, time.Minute).String())
}
