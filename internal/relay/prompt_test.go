package relay

import (
	"slices"
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
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// begin is the current time in tests that choose endpoints.
var begin = time.Unix(2_000_000, 0)

// fiveEngines is the state of an instance with five engines, which have loaded
// version 1 of model m, and a store of cached prompts.
func fiveEngines() state.State {
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
	s.Members = s.Members.WithRegistry(nodes)
	for _, n := range nodes {
		s.Routing.Weights = s.Routing.Weights.WithLoaded(n.Name, "m", 1)
	}
	return s
}

// sharedPromptRequest is a request whose prompt has two parts in common with
// other requests.
func sharedPromptRequest() chain.Request {
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

// choose returns the choice for r, given s.
func choose(t *testing.T, s state.State, r chain.Request, tried ...string) (choice, bool) {
	t.Helper()
	return chooseWithLinks(t, s, newStoreLinks(), r, tried...)
}

// chooseWithLinks is choose with the given use of the stores' links.
func chooseWithLinks(t *testing.T, s state.State, l *storeLinks, r chain.Request, tried ...string) (choice, bool) {
	t.Helper()
	x := &exchange{
		forwarder: forwarder{
			control: fixedState{
				state: s,
			},
			gauge:  &load.Gauge{},
			served: &poison.Served{},
			now:    func() time.Time { return begin },
			log:    zerolog.Nop(),
			links:  l,
			meter:  discardMeter{},
			bounds: Bounds{
				StaleWeightsLimit: 8 * time.Second,
			},
		},
		request: r,
		tried:   tried,
	}
	c, err := x.choose(t.Context(), position{})
	return c, err == nil
}

// stored returns ix with the shared parts of r, under version 1, stored at
// name.
func stored(ix prefix.Index, name string, r chain.Request) prefix.Index {
	keys := prefix.PartKeys(prefix.Salt("", "m", "1"), r.Parts[:2])
	return ix.WithEpoch(name, "1").WithStored(name, "1", keys, begin)
}

func TestPreferredEngineIsChosenAndFillsStore(t *testing.T) {
	c, ok := choose(t, fiveEngines(), sharedPromptRequest())
	require.True(t, ok)
	require.Equal(t, "home", c.reason)
	require.Equal(t, "10.0.0.9:1", c.source)
	require.Equal(t, "10.0.0.9:1", c.target, "the store lacks the parts")
	require.Equal(t, prefix.Salt("", "m", "1"), c.salt)
	again, _ := choose(t, fiveEngines(), sharedPromptRequest())
	require.Equal(t, c.endpoint.Node.Name, again.endpoint.Node.Name)
}

func TestNoTransferToStoreThatHoldsPrompt(t *testing.T) {
	s := fiveEngines()
	s.Routing.StoreIndex = stored(s.Routing.StoreIndex, "keep", sharedPromptRequest())
	c, _ := choose(t, s, sharedPromptRequest())
	require.True(t, c.inStore)
	require.Equal(t, "10.0.0.9:1", c.source)
	require.Empty(t, c.target)
}

func TestUnavailableStoreIsNotUsed(t *testing.T) {
	s := fiveEngines()
	s.Routing.StoreIndex = stored(s.Routing.StoreIndex, "keep", sharedPromptRequest())
	s.Routing.UnreachableStores = map[string]bool{
		"keep": true,
	}
	c, _ := choose(t, s, sharedPromptRequest())
	require.Empty(t, c.source)
	require.Empty(t, c.target)
}

func TestCachingEngineIsTheSource(t *testing.T) {
	s := fiveEngines()
	preferred, _ := choose(t, s, sharedPromptRequest())
	s.Index = stored(s.Index, preferred.endpoint.Node.Name, sharedPromptRequest())
	c, _ := choose(t, s, sharedPromptRequest(), preferred.endpoint.Node.Name)
	require.NotEqual(t, preferred.endpoint.Node.Name, c.endpoint.Node.Name)
	require.Equal(t, preferred.endpoint.Node.Addr, c.source)
}

func TestEnginesWithExpiredWeightsAreNotChosen(t *testing.T) {
	s := fiveEngines()
	preferred, _ := choose(t, s, sharedPromptRequest())
	name := preferred.endpoint.Node.Name
	weights := s.Routing.Weights.WithDesired("m", 2, begin.Add(-7*time.Second)).WithDesired("m", 3, begin)
	for _, e := range s.Members.Nodes(member.Engine) {
		if e.Node.Name != name {
			weights = weights.WithLoaded(e.Node.Name, "m", 2)
		}
	}
	s.Routing.Weights = weights
	c, ok := choose(t, s, sharedPromptRequest())
	require.True(t, ok)
	require.NotEqual(t, name, c.endpoint.Node.Name, "version 2 has been desired for 7 s")
	require.EqualValues(t, 2, c.weights)
	s.Routing.Weights = fiveEngines().Routing.Weights.WithDesired("m", 2, begin.Add(-7*time.Second))
	_, ok = choose(t, s, sharedPromptRequest())
	require.False(t, ok, "no engine may still start requests")
}

func TestDesiredWeightsOfUnknownAge(t *testing.T) {
	s := fiveEngines()
	preferred, _ := choose(t, s, sharedPromptRequest())
	weights := s.Routing.Weights.WithUndatedVersion("m", 3, begin).WithLoaded("e0", "m", 2)
	s.Routing.Weights = weights
	c, ok := choose(t, s, sharedPromptRequest())
	require.True(t, ok, "no engine has loaded version 3, so it is probably recent")
	require.Equal(t, "e0", c.endpoint.Node.Name, "the newest loaded version")
	other := "e1"
	if preferred.endpoint.Node.Name == other {
		other = "e2"
	}
	s.Routing.Weights = weights.WithLoaded(other, "m", 3)
	c, ok = choose(t, s, sharedPromptRequest())
	require.True(t, ok)
	require.Equal(t, other, c.endpoint.Node.Name)
}

// Guards against requests that go to replaced weights without a limit, at instances that
// have started since and where no engine has loaded the new ones.
func TestDesiredWeightsOfUnknownAgeAreOldOnceKnownForLong(t *testing.T) {
	s := fiveEngines()
	s.Routing.Weights = s.Routing.Weights.WithUndatedVersion("m", 3, begin.Add(-8*time.Second))
	_, ok := choose(t, s, sharedPromptRequest())
	require.False(t, ok, "whenever version 3 was set, that was too long ago")
}

// withTeams is s with a configuration of the teams loom and braid, of which the given ones
// are dedicated.
func withTeams(s state.State, dedicated ...string) state.State {
	teams := []site.Team{
		{
			Name:      "loom",
			Dedicated: slices.Contains(dedicated, "loom"),
		},
		{
			Name:      "braid",
			Dedicated: slices.Contains(dedicated, "braid"),
		},
	}
	s.Routing.Site = site.New(2, site.WithServices(s.Routing.Site.Services()...), site.WithTeams(teams...))
	return s
}

func TestDedicatedTeamHasOwnSalt(t *testing.T) {
	salt := func(team string, dedicated ...string) string {
		r := sharedPromptRequest()
		r.Team = team
		c, ok := choose(t, withTeams(fiveEngines(), dedicated...), r)
		require.True(t, ok)
		return c.salt
	}
	require.Equal(t, salt("loom"), salt("braid"), "open teams share")
	require.Equal(t, salt("loom"), salt(""), "so do requests without a team")
	require.NotEqual(t, salt("loom", "braid"), salt("braid", "braid"))
	require.NotEqual(t, salt("loom"), salt("loom", "braid"), "the parts that braid left are out of reach")
}

// Guards against a request that waits while its team becomes dedicated, and that then
// leaves its parts where the other teams find them.
func TestSaltFollowsConfigurationInForce(t *testing.T) {
	r := sharedPromptRequest().WithTeam(site.Team{
		Name: "braid",
	})
	waited, _ := choose(t, withTeams(fiveEngines(), "braid"), r)
	other := sharedPromptRequest().WithTeam(site.Team{
		Name: "loom",
	})
	c, _ := choose(t, withTeams(fiveEngines(), "braid"), other)
	require.NotEqual(t, waited.salt, c.salt)
}

func TestInstancesStayInSharedRetryBudget(t *testing.T) {
	bounds := Bounds{
		RetryShare: 0.2,
		RetryExtra: 56,
		RetrySpan:  10 * time.Second,
	}
	const instances = 8
	taken := 0
	for range instances {
		b := newRetryBudgets(bounds)
		for range 100 {
			b.countRequest("llm", begin)
		}
		for b.takeRetry("llm", instances, begin) {
			taken++
		}
	}
	require.LessOrEqual(t, float64(taken), bounds.RetryShare*instances*100+bounds.RetryExtra)
	require.Greater(t, taken, 150)
}

// withLink is the state of an instance whose store has a link for the given
// number of prompts per second.
func withLink(prompts float64) state.State {
	s := fiveEngines()
	llm, _ := s.Routing.Site.Service("llm")
	llm.TokenBytes = 1000
	keep, _ := s.Routing.Site.Service("keep")
	keep.LinkBandwidth = prompts * 6300 * float64(llm.TokenBytes)
	s.Routing.Site = site.New(2, site.WithServices(llm, keep))
	return s
}

func TestInstanceStaysInShareOfStoreLink(t *testing.T) {
	s := withLink(0.1)
	open := newStoreLinks()
	used := 0
	for range 20 {
		c, ok := chooseWithLinks(t, s, open, sharedPromptRequest())
		require.True(t, ok, "the request is served without the store")
		if c.source != "" {
			used++
		}
	}
	require.Positive(t, used)
	require.Less(t, used, 20)
	c, _ := chooseWithLinks(t, withLink(1000), newStoreLinks(), sharedPromptRequest())
	require.NotEmpty(t, c.source)
}
