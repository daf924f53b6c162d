package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/site"
)

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

func TestAgeOfTheConfigurationRestartsWithEachConfirmation(t *testing.T) {
	c := serving(t, "e1")
	age := func() time.Duration { return c.now.Sub(c.state.Routing.SiteHeard) }
	c.step(state.SiteFound{
		Site: site.New(6),
	})
	require.Zero(t, age(), "it was just read")
	c.wait(3 * time.Second)
	require.Equal(t, 3*time.Second, age())
	c.step(state.SiteHeard{})
	require.Zero(t, age())
	c.wait(time.Second)
	peer := state.Pulse{
		Name: "n1",
		Relay: state.Relay{
			Site: 6,
		},
	}
	c.step(peer)
	require.Equal(t, time.Second, age(), "the peer does not hear the store")
	peer.Relay.Follows = true
	peer.Relay.Site = 5
	c.step(peer)
	require.Equal(t, time.Second, age(), "the peer holds an older one")
	peer.Relay.Site = 6
	c.step(peer)
	require.Zero(t, age())
}
