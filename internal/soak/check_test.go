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

// success is an attempt at 20 s.
var success = soak.Attempt{
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

// usual is the run of success.
var usual = soak.Run{
	End:     "e",
	Service: "s",
	ID:      "a",
	Team:    "t",
	Weights: 1,
	Left:    2 * time.Second,
	At:      at(20050),
}

// asked notes success, as change has it, and runs.
func asked(b *soak.Book, change func(a *soak.Attempt), runs ...soak.Run) {
	a := success
	change(&a)
	b.Asked(a)
	for _, r := range runs {
		b.Ran(r)
	}
}

// whole changes nothing, and cut has the connection end without an answer.
func whole(*soak.Attempt) {}

func cut(a *soak.Attempt) {
	a.Status, a.Echo, a.Seal, a.Answer, a.Whole = 0, "", "", "", false
	a.Done, a.Fail = at(20800), "reset"
}

// ran is usual as change has it.
func ran(change func(r *soak.Run)) soak.Run {
	r := usual
	change(&r)
	return r
}

// ordered notes orders of holders with their fences.
func ordered(b *soak.Book, holder string, fence int64, ms int) {
	b.Ordered(soak.Order{
		End:    "e",
		Holder: holder,
		Fence:  fence,
		At:     at(ms),
	})
}

// cases are named by the rule that they break, or ok, and what is seen besides a
// configuration that allows success.
var cases = map[string]func(b *soak.Book){
	"ok: one run":     func(b *soak.Book) { asked(b, whole, usual) },
	"TWICE: two runs": func(b *soak.Book) { asked(b, whole, usual, usual) },
	"REFUSED: it ran later": func(b *soak.Book) {
		asked(b, func(a *soak.Attempt) { a.Status, a.Seal, a.Answer = 503, "", "" }, ran(func(r *soak.Run) { r.At = at(24000) }))
	},
	"MIXED: no seal": func(b *soak.Book) { asked(b, func(a *soak.Attempt) { a.Seal = "" }, usual) },
	"MIXED: another's answer": func(b *soak.Book) {
		asked(b, func(a *soak.Attempt) { a.Echo, a.Seal = "b", "e/b" }, usual)
	},
	"ORDER: complete with a piece missing": func(b *soak.Book) {
		asked(b, func(a *soak.Attempt) { a.Stream, a.Answer = true, "who" }, usual)
	},
	"ORDER: a piece twice": func(b *soak.Book) {
		asked(b, func(a *soak.Attempt) { a.Stream, a.Whole, a.Left, a.Answer = true, false, true, "whwh" }, usual)
	},
	"UNASKED: nobody sent it": func(b *soak.Book) { b.Ran(usual) },
	"UNASKED: another body":   func(b *soak.Book) { asked(b, whole, ran(func(r *soak.Run) { r.Body = "x" })) },
	"CONFIG: another service": func(b *soak.Book) { asked(b, whole, ran(func(r *soak.Run) { r.Service = "x" })) },
	"CONFIG: refused though allowed": func(b *soak.Book) {
		asked(b, func(a *soak.Attempt) { a.Status, a.Seal = 401, "" })
	},
	"CONFIG: no answer after the route's limit": func(b *soak.Book) {
		for range 8 {
			asked(b, func(a *soak.Attempt) { a.Limit, a.Status, a.Seal, a.Done = 5*time.Second, 504, "", at(23600) })
		}
	},
	"VERSION: replaced long ago": func(b *soak.Book) {
		b.Marked(soak.Weights, "", 2, at(11000))
		asked(b, whole, usual)
	},
	"ok: replaced a while ago": func(b *soak.Book) {
		b.Marked(soak.Weights, "", 2, at(13000))
		asked(b, whole, usual)
	},
	"VERSION: the store was calm for long": func(b *soak.Book) {
		b.Marked(soak.Weights, "", 2, at(8600))
		b.Harm("m", soak.StorePart.String(), at(8500))(at(8900))
		asked(b, whole, usual)
	},
	"ok: the store refused one instance": func(b *soak.Book) {
		b.Marked(soak.Weights, "", 2, at(8600))
		b.Harm("m", soak.StorePart.String(), at(8500))(at(9200))
		asked(b, whole, usual)
	},
	"LOST: cut at a planned stop": func(b *soak.Book) {
		b.Marked(soak.Stop, "n", 0, at(19000))
		asked(b, cut)
	},
	"ok: cut once": func(b *soak.Book) { asked(b, cut, usual) },
	"DRAIN: after its leaving": func(b *soak.Book) {
		b.Marked(soak.EndLeave, "e", 0, at(18000))
		asked(b, whole, usual)
	},
	"ok: after its return": func(b *soak.Book) {
		b.Marked(soak.EndLeave, "e", 0, at(15000))
		b.Marked(soak.EndLeave, "e", 1, at(19000))
		asked(b, whole, usual)
	},
	"BUDGET: endpoints are told too long a time": func(b *soak.Book) {
		asked(b, func(a *soak.Attempt) { a.Once = false })
		for range 21 {
			b.Ran(ran(func(r *soak.Run) { r.Left = 3 * time.Second }))
		}
	},
	"ONE: holders in turn": func(b *soak.Book) {
		ordered(b, "n", 1, 1000)
		ordered(b, "m", 2, 3900)
	},
	"ok: holders after the quiet time": func(b *soak.Book) {
		ordered(b, "n", 1, 1000)
		ordered(b, "m", 2, 4100)
	},
	"ONE: a lower fence": func(b *soak.Book) {
		ordered(b, "n", 2, 1000)
		ordered(b, "n", 1, 9000)
	},
	"ONE: a fence of two holders": func(b *soak.Book) {
		ordered(b, "n", 2, 1000)
		ordered(b, "m", 2, 9000)
	},
}

func TestEachBreachIsFound(t *testing.T) {
	t.Parallel()
	for name, see := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := configured(map[string]string{
				"k": "t",
			})
			see(b)
			found := "ok"
			for _, f := range soak.Check(b, bounds, teller{}) {
				require.Contains(t, []string{"ok", f.Rule}, found)
				found = f.Rule
			}
			rule, _, _ := strings.Cut(name, ":")
			require.Equal(t, rule, found)
		})
	}
}

// configured returns a book with a configuration each 17 s.
func configured(keys ...map[string]string) *soak.Book {
	b := soak.NewBook()
	for v, k := range keys {
		b.Configured(soak.Config{
			Version: int64(v),
			Routes: map[string]string{
				"/r/": "s",
			},
			Keys: k,
		}, at(17000*v))(at(17000*v + 1))
	}
	return b
}

func TestConfigurationCountsWhileItsInstanceIsCalm(t *testing.T) {
	t.Parallel()
	book := func() *soak.Book {
		b := configured(map[string]string{
			"k": "t",
		}, nil)
		asked(b, whole, usual)
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
