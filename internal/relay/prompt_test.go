package relay

import (
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// begin is when the tests of choices begin.
var begin = time.Unix(2_000_000, 0)

// engines is the state of an instance before five engines with version 1 of m
// and a store of cached prompts.
func engines() state.State {
	s := state.Forwarding(state.Self{
		Name:   "n0",
		Domain: "a",
	}, lease.New("l", "n0@1"))
	s.Routing.Site = site.New(1, site.WithServices(
		site.Service{
			Name:        "llm",
			Connections: 100,
			Models:      []string{"m"},
		},
		site.Service{
			Name:    "keep",
			Store:   "10.0.0.9:1",
			Follows: 12,
		}))
	var nodes []member.Node
	for i := range 5 {
		name := "e" + strconv.Itoa(i)
		nodes = append(nodes, member.Node{
			Name:   name,
			Role:   member.Engine,
			Addr:   name + ":1",
			Domain: "a",
			Models: []string{"llm"},
		})
	}
	s.Members = s.Members.WithList(nodes)
	for _, n := range nodes {
		s.Routing.Weights = s.Routing.Weights.WithHeld(n.Name, "m", 1)
	}
	return s
}

// long is a request whose prompt shares two parts with others.
func long() chain.Request {
	return chain.Request{
		ID:      "r1",
		Model:   "m",
		Service: "llm",
		Route: site.Route{
			Prompts: true,
		},
		Parts: []prefix.Part{
			{
				ID:     1,
				Tokens: 2500,
			},
			{
				ID:     2,
				Tokens: 3800,
			},
			{
				ID:     3,
				Tokens: 2900,
			},
		},
	}
}

// chosen returns the choice for r on s.
func chosen(t *testing.T, s state.State, r chain.Request, tried ...string) (choice, bool) {
	t.Helper()
	return chosenWith(t, s, newLinks(), r, tried...)
}

// chosenWith is chosen for an instance that used some of the stores' links.
func chosenWith(t *testing.T, s state.State, l *links, r chain.Request, tried ...string) (choice, bool) {
	t.Helper()
	x := &exchange{
		forward: forward{
			control: fixed{
				state: s,
			},
			gauge: &load.Gauge{},
			now:   func() time.Time { return begin },
			log:   zerolog.Nop(),
			links: l,
			meter: noMeter{},
			bounds: Bounds{
				WeightsIn: 8 * time.Second,
			},
		},
		request: r,
		tried:   tried,
	}
	c, err := x.choose()
	return c, err == nil
}

// stored returns ix after name stored the shared parts of r under version 1.
func stored(ix prefix.Index, name string, r chain.Request) prefix.Index {
	keys := prefix.PartKeys(prefix.Salt("", "m", "1"), r.Parts[:2])
	return ix.WithEpoch(name, "1").WithStored(name, "1", keys, begin)
}

func TestPromptGoesToItsHomeWhichReadsForTheStore(t *testing.T) {
	c, ok := chosen(t, engines(), long())
	require.True(t, ok)
	require.Equal(t, "home", c.reason)
	require.Equal(t, "10.0.0.9:1", c.source)
	require.Equal(t, "10.0.0.9:1", c.target, "the store lacks the parts")
	require.Equal(t, prefix.Salt("", "m", "1"), c.salt)
	again, _ := chosen(t, engines(), long())
	require.Equal(t, c.endpoint.Node.Name, again.endpoint.Node.Name)
}

func TestStoreIsSentNothingThatItHolds(t *testing.T) {
	s := engines()
	s.Routing.Kept = stored(s.Routing.Kept, "keep", long())
	c, _ := chosen(t, s, long())
	require.True(t, c.kept)
	require.Equal(t, "10.0.0.9:1", c.source)
	require.Empty(t, c.target)
}

func TestStoreThatIsAwayIsLeftOut(t *testing.T) {
	s := engines()
	s.Routing.Kept = stored(s.Routing.Kept, "keep", long())
	s.Routing.Away = map[string]bool{
		"keep": true,
	}
	c, _ := chosen(t, s, long())
	require.Empty(t, c.source)
	require.Empty(t, c.target)
}

func TestAnotherEngineIsTheSourceWhereItHoldsThePrompt(t *testing.T) {
	s := engines()
	home, _ := chosen(t, s, long())
	s.Index = stored(s.Index, home.endpoint.Node.Name, long())
	c, _ := chosen(t, s, long(), home.endpoint.Node.Name)
	require.NotEqual(t, home.endpoint.Node.Name, c.endpoint.Node.Name)
	require.Equal(t, home.endpoint.Node.Addr, c.source)
}

func TestEnginesUnderOrderOrTooFarBehindAreLeftOut(t *testing.T) {
	s := engines()
	home, _ := chosen(t, s, long())
	name := home.endpoint.Node.Name
	book := s.Routing.Weights.WithNamed("m", 2, begin.Add(-7*time.Second)).WithNamed("m", 3, begin)
	for _, e := range s.Members.Nodes(member.Engine) {
		if e.Node.Name != name {
			book = book.WithHeld(e.Node.Name, "m", 2)
		}
	}
	s.Routing.Weights = book
	c, ok := chosen(t, s, long())
	require.True(t, ok)
	require.NotEqual(t, name, c.endpoint.Node.Name, "version 2 was named 7 s ago")
	require.EqualValues(t, 2, c.weights)
	s.Routing.Weights = engines().Routing.Weights.WithNamed("m", 2, begin.Add(-7*time.Second))
	_, ok = chosen(t, s, long())
	require.False(t, ok, "rather none than one that is too old")
}

func TestWeightsThatWereNamedBeforeTheStartAreTakenForOld(t *testing.T) {
	s := engines()
	home, _ := chosen(t, s, long())
	book := s.Routing.Weights.WithFound("m", 3).WithHeld("e0", "m", 2)
	s.Routing.Weights = book
	c, ok := chosen(t, s, long())
	require.True(t, ok, "no engine has them, so that they are likely new")
	require.Equal(t, "e0", c.endpoint.Node.Name, "the newest that there are")
	other := "e1"
	if home.endpoint.Node.Name == other {
		other = "e2"
	}
	s.Routing.Weights = book.WithHeld(other, "m", 3)
	c, ok = chosen(t, s, long())
	require.True(t, ok)
	require.Equal(t, other, c.endpoint.Node.Name)
}

func TestDedicatedTeamHasASaltOfItsOwn(t *testing.T) {
	r := long()
	r.Team = "braid"
	shared, _ := chosen(t, engines(), r)
	r.Dedicated = true
	own, _ := chosen(t, engines(), r)
	require.NotEqual(t, shared.salt, own.salt)
}

func TestInstancesShareTheRetriesEvenly(t *testing.T) {
	bounds := Bounds{
		RetryShare: 0.2,
		RetryExtra: 56,
		RetrySpan:  10 * time.Second,
	}
	const instances = 8
	taken := 0
	for range instances {
		b := newBudgets(bounds)
		for range 100 {
			b.fresh("llm", begin)
		}
		for b.take("llm", instances, begin) {
			taken++
		}
	}
	require.LessOrEqual(t, float64(taken), bounds.RetryShare*instances*100+bounds.RetryExtra)
	require.Greater(t, taken, 150)
}

// withLink is the state of an instance whose store has a link for the given
// prompts a second.
func withLink(prompts float64) state.State {
	s := engines()
	llm, _ := s.Routing.Site.Service("llm")
	llm.Token = 1000
	keep, _ := s.Routing.Site.Service("keep")
	keep.Link = prompts * 6300 * float64(llm.Token)
	s.Routing.Site = site.New(2, site.WithServices(llm, keep))
	return s
}

func TestInstanceKeepsToItsPartOfTheStoresLink(t *testing.T) {
	s := withLink(0.1)
	open := newLinks()
	used := 0
	for range 20 {
		c, ok := chosenWith(t, s, open, long())
		require.True(t, ok, "the request is served without the store")
		if c.source != "" {
			used++
		}
	}
	require.Positive(t, used)
	require.Less(t, used, 20)
	c, _ := chosenWith(t, withLink(1000), newLinks(), long())
	require.NotEmpty(t, c.source)
}
