package proof

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
)

// oldEpochs keeps the first epoch that it hears of each endpoint.
type oldEpochs struct {
	ctrl.Cache
	first map[string]string
}

// Step passes reports on with the first epoch.
func (b oldEpochs) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	switch ev := e.(type) {
	case state.Reported:
		if b.first[ev.Endpoint] == "" {
			b.first[ev.Endpoint] = ev.Report.Epoch
		}
		ev.Report.Epoch = b.first[ev.Endpoint]
		e = ev
	case state.CacheObserved:
		ev.Epoch = b.first[ev.Endpoint]
		e = ev
	}
	return b.Cache.Step(s, e, now)
}

// deafToLeaving forgets that endpoints say they are leaving.
type deafToLeaving struct{ ctrl.Members }

// Step passes reports on without the leaving mark.
func (b deafToLeaving) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	if ev, ok := e.(state.Reported); ok {
		ev.Report.Departing = false
		e = ev
	}
	return b.Members.Step(s, e, now)
}

// noObject never reads the object store.
type noObject struct{ ctrl.Config }

// Step drops reads of the object store.
func (b noObject) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	s, actions := b.Config.Step(s, e, now)
	var kept []state.Action
	for _, a := range actions {
		if _, ok := a.(state.ReadObject); !ok {
			kept = append(kept, a)
		}
	}
	return s, kept
}

// swap replaces the controller of the same kind as b.
func swap(b ctrl.Controller) func([]controller) []controller {
	return func(cs []controller) []controller {
		for i, c := range cs {
			switch c.(type) {
			case ctrl.Cache:
				if _, ok := b.(oldEpochs); ok {
					cs[i] = oldEpochs{first: map[string]string{}}
				}
			case ctrl.Members:
				if _, ok := b.(deafToLeaving); ok {
					cs[i] = b
				}
			case ctrl.Config:
				if _, ok := b.(noObject); ok {
					cs[i] = b
				}
			}
		}
		return cs
	}
}

// without drops the filters for which drop holds.
func without(drop func(chain.Filter) bool) func([]chain.Filter) []chain.Filter {
	return func(fs []chain.Filter) []chain.Filter {
		var kept []chain.Filter
		for _, f := range fs {
			if !drop(f) {
				kept = append(kept, f)
			}
		}
		return kept
	}
}

// blindEnds changes what the dispatch filter learns of attempts.
type blindEnds struct {
	*link
	renumber bool
	unsent   bool
}

// Open hides what a break hides.
func (b blindEnds) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	r, err := b.link.Open(ctx, a)
	var f call.Failure
	if b.unsent && errors.As(err, &f) {
		f.MaybeSent = false
		return nil, f
	}
	if err == nil && b.renumber {
		return &renumbered{Reply: r, next: a.Resume.Offset}, nil
	}
	return r, err
}

// renumbered counts chunks itself, so that doubled and missing ones are not seen.
type renumbered struct {
	call.Reply
	next int
}

// Next returns the next chunk with the next number.
func (r *renumbered) Next() (chain.Chunk, int, error) {
	c, _, err := r.Reply.Next()
	at := r.next
	r.next++
	return c, at, err
}

// runsToBreach plays generated runs until one has a breach of the given rule.
func runsToBreach(t *testing.T, b breaks, rule string) int {
	t.Helper()
	played := 0
	for seed := range 200 {
		var ops []op
		for i := range 60 {
			ops = append(ops, genOp().Example(seed*1000+i))
		}
		breaches, _ := run(t, ops, b)
		played += len(ops)
		for _, what := range breaches {
			if strings.HasPrefix(what, rule) {
				return played
			}
		}
	}
	return 0
}

func TestBreaksAreCaught(t *testing.T) {
	cases := map[string]struct {
		rule string
		b    breaks
	}{
		"entries of old epochs": {
			rule: "cache",
			b:    breaks{controllers: swap(oldEpochs{})},
		},
		"chunks without numbers": {
			rule: "order",
			b: breaks{ends: func(l *link) ends {
				return blindEnds{link: l, renumber: true}
			}},
		},
		"sent calls taken for unsent": {
			rule: "once",
			b: breaks{ends: func(l *link) ends {
				return blindEnds{link: l, unsent: true}
			}},
		},
		"no claims": {
			rule: "once",
			b: breaks{filters: without(func(f chain.Filter) bool {
				_, ok := f.(filter.Claim)
				return ok
			})},
		},
		"leaving endpoints not heard": {
			rule: "drain",
			b:    breaks{controllers: swap(deafToLeaving{})},
		},
		"work while cut off": {
			rule: "norevert",
			b: breaks{filters: without(func(f chain.Filter) bool {
				_, ok := f.(filter.Ready)
				return ok
			})},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			played := runsToBreach(t, c.b, c.rule)
			require.NotZero(t, played, "the break was not caught")
			t.Logf("caught as %s after %d operations", c.rule, played)
		})
	}
}

// herd restarts all instances while the table is down and tells which are
// ready after a while.
func herd(t *testing.T, b breaks) (ready int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(b)
		w.hooked(t)
		time.Sleep(2 * time.Second)
		w.table.set(func(t *fakeTable) { t.down = true })
		for i := range w.slots {
			w.kill(i)
		}
		for i := range w.slots {
			w.start(i)
			w.chat(i, 3, "loom")
		}
		time.Sleep(3 * time.Second)
		for _, s := range w.slots {
			if ok, _ := s.live.Load().core.Loop.View().Ready(time.Now()); ok {
				ready++
			}
		}
		require.Equal(t, ready, w.counted("chat answered"))
		w.settle()
		require.Empty(t, w.breaches)
	})
	return ready
}

func TestHerdServesAtOnceWhileTheTableIsDown(t *testing.T) {
	require.Equal(t, instances, herd(t, breaks{}))
}

func TestHerdNeedsTheObjectStore(t *testing.T) {
	require.Zero(t, herd(t, breaks{controllers: swap(noObject{})}))
}
