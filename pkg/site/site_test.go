package site_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/site"
)

func sample() site.Site {
	return site.New(7,
		site.WithRoutes(
			site.Route{
				Name:   "all",
				Host:   "a.example",
				Prefix: "/",
				Targets: []site.Target{
					{
						Service: "one",
						Weight:  3,
					},
					{
						Service: "two",
						Weight:  1,
					},
				},
			},
			site.Route{
				Name:    "deep",
				Host:    "a.example",
				Prefix:  "/x/y/",
				Timeout: time.Second,
			}),
		site.WithTeams(site.Team{
			Name: "loom",
			Keys: []string{"k1", "k2"},
		}))
}

func ExampleSite_Route() {
	s := site.New(1, site.WithRoutes(site.Route{
		Name:   "orders",
		Host:   "shop.example",
		Prefix: "/orders/",
	}))
	r, ok := s.Route("shop.example", "/orders/17")
	fmt.Println(r.Name, ok)
	// Output: orders true
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	s := sample()
	for _, c := range []struct {
		host, path, want string
	}{
		{
			host: "a.example",
			path: "/x/y/z",
			want: "deep",
		},
		{
			host: "a.example",
			path: "/x/yz",
			want: "all",
		},
		{
			host: "b.example",
			path: "/x/y/z",
			want: "",
		},
	} {
		r, _ := s.Route(c.host, c.path)
		require.Equal(t, c.want, r.Name, c.path)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r, _ := sample().Route("a.example", "/q")
	count := map[string]int{}
	for n := range uint64(4000) {
		count[r.Pick(n)]++
	}
	require.Equal(t, map[string]int{"one": 3000, "two": 1000}, count)
	require.Empty(t, site.Route{}.Pick(3))
}

func TestMarshalRoundTrip(t *testing.T) {
	s := sample()
	data, err := site.Marshal(s)
	require.NoError(t, err)
	got, err := site.Unmarshal(data)
	require.NoError(t, err)
	require.Equal(t, s, got)
	team, ok := got.Team("k2")
	require.True(t, ok)
	require.Equal(t, "loom", team.Name)
	_, err = site.Unmarshal([]byte("{"))
	require.ErrorContains(t, err, "malformed")
}
