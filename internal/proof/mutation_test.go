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

// staleEpochs is a cache controller that never replaces the first epoch of an
// endpoint.
type staleEpochs struct {
	ctrl.Cache
	first map[string]string
}

// Step replaces the epoch of reports and cache events with the first one.
func (b staleEpochs) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
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

// ignoredDepartures is a members controller that does not see that endpoints are
// departing.
type ignoredDepartures struct{ ctrl.Members }

// Step clears the departure flag of reports.
func (b ignoredDepartures) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	if ev, ok := e.(state.Reported); ok {
		ev.Report.Departing = false
		e = ev
	}
	return b.Members.Step(s, e, now)
}

// withoutObjectReads is a configuration controller that never reads the object
// store.
type withoutObjectReads struct{ ctrl.Config }

// Step removes reads of the object store from the actions.
func (b withoutObjectReads) Step(s state.State, e state.Event, now time.Time) (state.State, []state.Action) {
	s, actions := b.Config.Step(s, e, now)
	var remaining []state.Action
	for _, a := range actions {
		if _, ok := a.(state.ReadConfigBackup); !ok {
			remaining = append(remaining, a)
		}
	}
	return s, remaining
}

// replaceController replaces the controller that b is a mutation of.
func replaceController(b ctrl.Controller) func([]controller) []controller {
	return func(cs []controller) []controller {
		for i, c := range cs {
			switch c.(type) {
			case ctrl.Cache:
				if _, ok := b.(staleEpochs); ok {
					cs[i] = staleEpochs{first: map[string]string{}}
				}
			case ctrl.Members:
				if _, ok := b.(ignoredDepartures); ok {
					cs[i] = b
				}
			case ctrl.Config:
				if _, ok := b.(withoutObjectReads); ok {
					cs[i] = b
				}
			}
		}
		return cs
	}
}

// withoutFilters removes the filters for which drop returns true.
func withoutFilters(drop func(chain.Filter) bool) func([]chain.Filter) []chain.Filter {
	return func(fs []chain.Filter) []chain.Filter {
		var remaining []chain.Filter
		for _, f := range fs {
			if !drop(f) {
				remaining = append(remaining, f)
			}
		}
		return remaining
	}
}

// misreportedAttempts hides failures of attempts from the dispatch filter:
// renumber hides duplicate and missing chunks, and unsent reports that the request
// of a failed attempt was not sent.
type misreportedAttempts struct {
	*network
	renumber bool
	unsent   bool
}

// Open opens an attempt and changes what it reports.
func (b misreportedAttempts) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	r, err := b.network.Open(ctx, a)
	var f call.Failure
	if b.unsent && errors.As(err, &f) {
		f.MaybeSent = false
		return nil, f
	}
	if err == nil && b.renumber {
		return &renumberedReply{Reply: r, next: a.Resume.Offset}, nil
	}
	return r, err
}

// renumberedReply numbers chunks consecutively, which hides duplicate and missing
// ones.
type renumberedReply struct {
	call.Reply
	next int
}

// Next returns the next chunk with a consecutive number.
func (r *renumberedReply) Next() (chain.Chunk, int, error) {
	c, _, err := r.Reply.Next()
	at := r.next
	r.next++
	return c, at, err
}

// operationsToViolation runs generated simulations until one violates the given
// rule. It returns the number of operations run, or 0 if none did.
func operationsToViolation(t *testing.T, b mutations, rule string) int {
	t.Helper()
	operations := 0
	for seed := range 200 {
		var ops []op
		for i := range 60 {
			ops = append(ops, genOperation().Example(seed*1000+i))
		}
		violations, _ := simulate(t, ops, b)
		operations += len(ops)
		for _, violation := range violations {
			if strings.HasPrefix(violation, rule) {
				return operations
			}
		}
	}
	return 0
}

func TestMutationsAreDetected(t *testing.T) {
	cases := map[string]struct {
		rule string
		b    mutations
	}{
		"cache entries of old epochs": {
			rule: "cache",
			b:    mutations{controllers: replaceController(staleEpochs{})},
		},
		"duplicate and missing chunks hidden": {
			rule: "order",
			b: mutations{endpoints: func(net *network) endpointClient {
				return misreportedAttempts{network: net, renumber: true}
			}},
		},
		"sent requests reported as unsent": {
			rule: "once",
			b: mutations{endpoints: func(net *network) endpointClient {
				return misreportedAttempts{network: net, unsent: true}
			}},
		},
		"no claim filter": {
			rule: "once",
			b: mutations{filters: withoutFilters(func(f chain.Filter) bool {
				_, ok := f.(filter.Claim)
				return ok
			})},
		},
		"departures ignored": {
			rule: "drain",
			b:    mutations{controllers: replaceController(ignoredDepartures{})},
		},
		"no ready filter": {
			rule: "norevert",
			b: mutations{filters: withoutFilters(func(f chain.Filter) bool {
				_, ok := f.(filter.Ready)
				return ok
			})},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			operations := operationsToViolation(t, c.b, c.rule)
			require.NotZero(t, operations, "the mutation was not detected")
			t.Logf("detected by the rule %s after %d operations", c.rule, operations)
		})
	}
}

// restartAll restarts all instances while the table is down and returns how many
// are ready 3 s later.
func restartAll(t *testing.T, b mutations) (ready int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(b)
		sim.recordInvariants(t)
		time.Sleep(2 * time.Second)
		sim.table.set(func(t *fakeTable) { t.down = true })
		for i := range sim.slots {
			sim.kill(i)
		}
		for i := range sim.slots {
			sim.start(i)
			sim.chat(i, 3, "loom")
		}
		time.Sleep(3 * time.Second)
		for _, s := range sim.slots {
			if ok, _ := s.live.Load().core.Loop.View().Ready(time.Now()); ok {
				ready++
			}
		}
		require.Equal(t, ready, sim.counted("chat answered"))
		sim.settle()
		require.Empty(t, sim.violations)
	})
	return ready
}

func TestRestartedInstancesServeWhileTableIsDown(t *testing.T) {
	require.Equal(t, instances, restartAll(t, mutations{}))
}

func TestRestartWhileTableIsDownNeedsObjectStore(t *testing.T) {
	require.Zero(t, restartAll(t, mutations{controllers: replaceController(withoutObjectReads{})}))
}
