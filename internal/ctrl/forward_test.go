package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

var start = time.Unix(1_000_000, 0)

// control steps the controllers of an instance without a thread.
type control struct {
	state   state.State
	now     time.Time
	actions []state.Action
}

func newControl() *control {
	return &control{
		state: state.Forwarding(state.Self{
			Name: "n0",
			Addr: "10.0.0.1:1",
		}, lease.New("lease/orders", "n0@1", lease.WithLength(2*time.Second, time.Second), lease.WithQuiet(3*time.Second))),
		now: start,
	}
}

// step hands e to all controllers and keeps what they want done.
func (c *control) step(e state.Event) {
	next, actions := ctrl.Step(ctrl.Forwarding(), c.state, e, c.now)
	c.state = next
	c.actions = actions
}

// wait lets time pass and ticks.
func (c *control) wait(d time.Duration) {
	c.now = c.now.Add(d)
	c.step(state.Tick{})
}

// names returns the endpoints that take work.
func (c *control) names() []string {
	var out []string
	for _, e := range c.state.Members.Pool("llm") {
		out = append(out, e.Node.Name)
	}
	return out
}

func listing(name string) member.Listing {
	return member.Listing{
		Node: member.Node{
			Name:   name,
			Role:   member.Engine,
			Addr:   name + ":1",
			Models: []string{"llm"},
		},
		Weights: map[string]int64{
			"m": 1,
		},
	}
}

// roster is a whole read of the registry.
func roster(version int64, names ...string) state.Roster {
	r := state.Roster{
		Version: version,
		Whole:   true,
	}
	for _, n := range names {
		r.Put = append(r.Put, listing(n))
	}
	return r
}

func serving(t *testing.T, names ...string) *control {
	t.Helper()
	c := newControl()
	c.step(state.StoreHeard{
		OK: true,
	})
	c.step(roster(10, names...))
	c.step(state.SiteFound{
		Site: site.New(5, site.WithServices(site.Service{
			Name:   "llm",
			Models: []string{"m"},
		})),
	})
	ok, why := c.state.Ready(c.now)
	require.True(t, ok, why)
	c.now = c.now.Add(time.Minute)
	return c
}

func TestNewerSiteStays(t *testing.T) {
	c := serving(t, "e1")
	c.step(state.SiteFound{
		Site: site.New(4),
	})
	require.EqualValues(t, 5, c.state.Routing.Site.Version())
	c.step(state.Pulse{
		Name: "n1",
		Relay: state.Relay{
			Addr: "10.0.0.2:1",
			Site: 9,
		},
	})
	c.wait(500 * time.Millisecond)
	require.True(t, slices.ContainsFunc(c.actions, func(a state.Action) bool { return a.Key() == "site/n1" }), "a peer's newer site is fetched")
}

func TestEntryThatVanishesIsGone(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.Roster{
		Gone:    []string{"e1"},
		Version: 11,
	})
	require.Equal(t, []string{"e2"}, c.names())
}

func TestEntriesThatVanishWithTheStoreMayReturn(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.StoreHeard{})
	c.wait(5 * time.Second)
	c.step(state.StoreHeard{
		OK: true,
	})
	c.step(roster(20))
	require.Equal(t, []string{"e1", "e2"}, c.names(), "the platform grants them two seconds")
	c.now = c.now.Add(time.Second)
	c.step(state.Roster{
		Put:     []member.Listing{listing("e1")},
		Version: 21,
	})
	c.wait(2 * time.Second)
	require.Equal(t, []string{"e1"}, c.names())
}

func TestFewEntriesThatVanishAtOnceAreGone(t *testing.T) {
	c := serving(t, "e1", "e2", "e3", "e4", "e5", "e6", "e7")
	c.step(roster(20, "e1", "e2", "e3", "e4"))
	require.Equal(t, []string{"e1", "e2", "e3", "e4"}, c.names(), "three that leave without a word get no new work")
}

func TestMostEntriesThatVanishAtOnceMayReturn(t *testing.T) {
	c := serving(t, "e1", "e2", "e3", "e4")
	c.step(roster(20, "e4"))
	require.Len(t, c.names(), 4)
	c.wait(3 * time.Second)
	require.Equal(t, []string{"e4"}, c.names())
}

func TestStaleRosterIsNotTaken(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(roster(9, "e1"))
	require.Equal(t, []string{"e1", "e2"}, c.names())
}

func TestPeerTellsOfLeavingEndpoint(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.Pulse{
		Name:    "n1",
		Drained: []string{"e1"},
	})
	require.Equal(t, []string{"e2"}, c.names())
}

func TestRestartedEndpointOfTheSameNameStartsAnew(t *testing.T) {
	c := serving(t, "e1", "e2")
	for range 3 {
		c.step(state.Called{
			Endpoint: "e1",
			Failed:   true,
		})
	}
	e, _ := c.state.Members.Find("e1")
	require.True(t, e.Suspect.After(c.now))
	l := listing("e1")
	l.Node.Start = "7"
	c.step(state.Roster{
		Put:     []member.Listing{l},
		Version: 12,
	})
	e, _ = c.state.Members.Find("e1")
	require.True(t, e.Suspect.IsZero())
}

// hold has c hold the lease for orders.
func (c *control) hold(t *testing.T) {
	t.Helper()
	for range 5 {
		c.wait(time.Second)
		for _, a := range c.actions {
			ask, ok := a.(state.AskLease)
			switch {
			case !ok:
			case ask.Op.Put:
				c.step(state.Leased{
					Op:      ask.Op,
					Version: ask.Op.Row.Version + 1,
				})
			default:
				c.step(state.Leased{
					Op:  ask.Op,
					Err: store.ErrMissing,
				})
			}
		}
		if c.state.Lease.Valid(c.now, c.now.Add(ctrl.OrderLimit)) {
			return
		}
	}
	t.Fatal("the lease was not taken")
}

// orders returns the orders among the actions.
func (c *control) orders() []weight.Order {
	var out []weight.Order
	for _, a := range c.actions {
		if o, ok := a.(state.SendOrder); ok {
			out = append(out, o.Order)
		}
	}
	return out
}

func TestOnlyTheHolderGivesOrders(t *testing.T) {
	c := serving(t, "e1", "e2", "e3", "e4")
	named := state.Named{
		Model:   "m",
		Version: 2,
	}
	c.step(named)
	require.Empty(t, c.orders())
	c.hold(t)
	c.wait(100 * time.Millisecond)
	require.Len(t, c.state.Routing.Weights.Orders(c.now), 2)
	c.wait(10 * time.Second)
	require.Empty(t, c.orders(), "the lease is over")
}

func TestInstanceThatStartsCannotTellWhenWeightsWereNamed(t *testing.T) {
	c := newControl()
	c.step(state.SiteFound{
		Site: site.New(5),
	})
	found := state.Named{
		Model:   "m",
		Version: 3,
	}
	c.step(found)
	require.True(t, c.state.Routing.Weights.Named("m").Since.IsZero())
	c.wait(2 * time.Second)
	c.step(state.Named{
		Model:   "other",
		Version: 1,
	})
	require.Equal(t, c.now, c.state.Routing.Weights.Named("other").Since, "named while the instance ran")
	alone := newControl()
	alone.step(state.Pulse{
		Name: "n1",
		Relay: state.Relay{
			Named: map[string]int64{
				"m": 3,
			},
		},
	})
	require.True(t, alone.state.Routing.Weights.Named("m").Since.IsZero(), "a peer told it before there was a configuration")
}

func TestOrderOfUnknownOutcomeIsGivenAgain(t *testing.T) {
	c := serving(t, "e1")
	c.hold(t)
	c.step(state.Named{
		Model:   "m",
		Version: 2,
	})
	first := c.orders()
	require.Len(t, first, 1)
	c.step(state.Ordered{
		Order: first[0],
	})
	c.hold(t)
	c.wait(100 * time.Millisecond)
	_, under := c.state.Routing.Weights.Ordered("e1", c.now)
	require.True(t, under)
	c.step(state.Ordered{
		Order:   first[0],
		Outcome: state.Holds,
	})
	require.True(t, c.state.Routing.Weights.Current("e1", "m"))
}

func TestNewsOfOrdersReachPeers(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.MatesFound{
		Mates: []member.Node{
			{
				Name: "n1",
				Addr: "10.0.0.2:1",
			},
		},
	})
	c.hold(t)
	c.step(state.Named{
		Model:   "m",
		Version: 2,
	})
	c.wait(200 * time.Millisecond)
	var told []state.EngineWeights
	for _, a := range c.actions {
		if p, ok := a.(state.SendPulse); ok {
			told = append(told, p.Pulse.Relay.Weights...)
		}
	}
	require.NotEmpty(t, told)
	other := serving(t, "e1", "e2")
	other.step(state.Pulse{
		Name: "n0",
		Relay: state.Relay{
			Weights: told,
		},
	})
	_, busy := other.state.Routing.Weights.Ordered(told[0].Engine, other.now)
	require.True(t, busy, "peers keep requests away from engines under order")
}

func TestSilentStoreOfCachedPromptsIsNotUsed(t *testing.T) {
	c := serving(t, "e1")
	c.step(state.SiteFound{
		Site: site.New(6, site.WithServices(site.Service{
			Name:  "keep",
			Store: "10.0.0.9:1",
		})),
	})
	c.step(state.Cached{
		Endpoint: "keep",
		Failed:   true,
	})
	require.True(t, c.state.Routing.Away["keep"])
	c.step(state.Cached{
		Endpoint: "keep",
		Epoch:    "7",
		Next:     3,
	})
	require.False(t, c.state.Routing.Away["keep"])
	require.EqualValues(t, 3, c.state.Routing.Kept.Seq("keep"))
}

func TestPeersHearOfEndpointsThatAreGone(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.Roster{
		Gone:    []string{"e1"},
		Version: 11,
	})
	other := serving(t, "e1", "e2")
	other.step(ctrl.PulseOf(c.state))
	require.Equal(t, []string{"e2"}, other.names())
	c.wait(time.Minute)
	require.Empty(t, ctrl.PulseOf(c.state).Drained)
}

func TestEndpointThatReturnsIsNotToldAsGone(t *testing.T) {
	c := serving(t, "e1", "e2")
	c.step(state.Roster{
		Gone:    []string{"e1"},
		Version: 11,
	})
	require.Equal(t, []string{"e1"}, ctrl.PulseOf(c.state).Drained)
	c.step(state.Roster{
		Put:     []member.Listing{listing("e1")},
		Version: 12,
	})
	require.Empty(t, ctrl.PulseOf(c.state).Drained)
	require.Equal(t, []string{"e1", "e2"}, c.names())
}

// fetches counts the configurations that are asked of peers.
func (c *control) fetches() int {
	n := 0
	for _, a := range c.actions {
		if _, ok := a.(state.FetchSite); ok {
			n++
		}
	}
	return n
}

func TestPeersAreAskedForAConfigurationOnlyWhereTheStoreIsLate(t *testing.T) {
	newer := state.Pulse{
		Name: "n1",
		Relay: state.Relay{
			Addr: "10.0.0.2:1",
			Site: 9,
		},
	}
	c := serving(t, "e1")
	c.step(newer)
	c.step(newer)
	require.Zero(t, c.fetches(), "the store brings it to all")
	c.wait(500 * time.Millisecond)
	require.Equal(t, 1, c.fetches())
	c.wait(100 * time.Millisecond)
	c.step(newer)
	require.Zero(t, c.fetches(), "one at a time")
	c.step(state.SiteFound{
		Site: site.New(9),
	})
	c.wait(time.Second)
	require.Zero(t, c.fetches())
	c.step(state.StoreHeard{})
	newer.Relay.Site = 12
	c.step(newer)
	require.Equal(t, 1, c.fetches(), "an instance without the store asks at once")
}

// promising is an instance whose route owes its requests an answer in time.
func promising(t *testing.T) *control {
	t.Helper()
	c := serving(t, "e1")
	c.step(state.SiteFound{
		Site: site.New(6, site.WithRoutes(site.Route{
			Name:   "check",
			Target: 500 * time.Millisecond,
		})),
	})
	return c
}

// outcomes steps through half of a promise's window, in which each second has
// the given outcomes, and returns the alarms that were announced.
func (c *control) outcomes(good, bad int64) []alarm.Alarm {
	var out []alarm.Alarm
	for range int(alarm.Window / time.Second / 2) {
		c.step(state.Collected{
			Summary: state.Summary{
				Tally: map[string]alarm.Tally{
					"check": {
						Good: good,
						Bad:  bad,
					},
				},
			},
		})
		c.wait(time.Second)
		for _, a := range c.actions {
			if announced, ok := a.(state.Announce); ok {
				out = append(out, announced.Alarm)
			}
		}
	}
	return out
}

func TestAlarmMeansThatARoutesPromiseIsAtRisk(t *testing.T) {
	require.Empty(t, promising(t).outcomes(99, 1))
	alarms := promising(t).outcomes(80, 20)
	require.NotEmpty(t, alarms)
	require.Equal(t, "check", alarms[0].Promise)
	require.True(t, alarms[0].Active())
}
