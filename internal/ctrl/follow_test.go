package ctrl_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// An instance that starts follows all stores of cached prompts until it knows its peers,
// and a store refuses most of those calls. It must not be taken for unreachable for good
// by the instances that no longer follow it.
func TestStoreThatIsNotFollowedIsNotUnreachable(t *testing.T) {
	c := newFleetInstance(fleetSize{
		instances: 78,
		engines:   1,
	})
	var stores []site.Service
	for _, name := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		stores = append(stores, site.Service{
			Name:    name,
			Store:   name + ":80",
			Follows: 8,
		})
	}
	c.step(state.SiteFound{
		Site:   site.New(2, site.WithServices(stores...)),
		Source: "store",
	})
	for _, v := range stores {
		c.step(state.CacheEvents{
			Endpoint: v.Name,
			Failed:   true,
		})
	}
	for range 4 {
		c.advance(0)
	}
	followed := map[string]bool{}
	for _, a := range c.actions {
		if p, ok := a.(state.PollCacheEvents); ok {
			followed[p.Endpoint.Node.Name] = true
		}
	}
	require.Less(t, len(followed), len(stores), "stores that one of 78 instances follows")
	for _, v := range stores {
		require.Equal(t, followed[v.Name], c.state.Routing.UnreachableStores[v.Name], v.Name)
	}
}
