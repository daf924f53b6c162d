package site_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// allFields is an encoded site in which every field has a value.
const allFields = `{"Version":7,` +
	`"Limits":{"Header":1,"Body":2,"HeaderTime":3,"Idle":4},` +
	`"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Kind":2,"Resumable":true,"Timeout":5,"Target":6,"Gap":7,` +
	`"Priority":8,"Attempts":9,"Anonymous":true,"Prompts":true,"Targets":[{"Service":"s","Weight":10}]}],` +
	`"Services":[{"Name":"s","Connections":11,"Slots":12,"Memory":13,"Models":["m"],"Store":"a","Domain":"d","Follows":14,"Token":15,"Link":16}],` +
	`"Teams":[{"Name":"t","Keys":["k"],"Ranked":true,"Priority":17,"Dedicated":true,` +
	`"Limit":{"Rate":18,"Burst":19,"Unit":1,"Plain":20}}]}`

// TestEncodedFieldNamesAreStable guards against a renamed field: instances of other
// versions decode these names and drop a field with another name without an error.
func TestEncodedFieldNamesAreStable(t *testing.T) {
	s := site.New(7,
		site.WithLimits(site.Limits{
			Header:     1,
			Body:       2,
			HeaderTime: 3 * time.Nanosecond,
			Idle:       4 * time.Nanosecond,
		}),
		site.WithRoutes(site.Route{
			Name:          "r",
			Host:          "h",
			Prefix:        "/p/",
			Kind:          site.Stream,
			Resumable:     true,
			Timeout:       5 * time.Nanosecond,
			TargetLatency: 6 * time.Nanosecond,
			Gap:           7 * time.Nanosecond,
			Priority:      8,
			Attempts:      9,
			Anonymous:     true,
			Prompts:       true,
			Targets: []site.Target{
				{
					Service: "s",
					Weight:  10,
				},
			},
		}),
		site.WithServices(site.Service{
			Name:          "s",
			Connections:   11,
			Slots:         12,
			Memory:        13,
			Models:        []string{"m"},
			Store:         "a",
			Domain:        "d",
			Follows:       14,
			TokenBytes:    15,
			LinkBandwidth: 16,
		}),
		site.WithTeams(site.Team{
			Name:      "t",
			Keys:      []string{"k"},
			Ranked:    true,
			Priority:  17,
			Dedicated: true,
			Limit: allot.Limit{
				Rate:  18,
				Burst: 19,
				Unit:  allot.Tokens,
				Plain: 20,
			},
		}))
	data, err := site.Marshal(s)
	require.NoError(t, err)
	require.JSONEq(t, allFields, string(data))
	back, err := site.Unmarshal([]byte(allFields))
	require.NoError(t, err)
	require.Equal(t, s, back)
}

func TestEncodedKindsAreStable(t *testing.T) {
	for kind, number := range map[site.Kind]int{
		site.NonIdempotent: 0,
		site.Idempotent:    1,
		site.Stream:        2,
	} {
		require.EqualValues(t, number, kind)
	}
}
