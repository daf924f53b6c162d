package relay

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/load"
)

// newChoosingExchange returns an exchange that chooses an endpoint for r, given s, at
// the time now.
func newChoosingExchange(s state.State, r chain.Request, now time.Time) *exchange {
	return &exchange{
		forwarder: forwarder{
			control: fixedState{
				state: s,
			},
			gauge: &load.Gauge{},
			now:   func() time.Time { return now },
			log:   zerolog.Nop(),
			links: newStoreLinks(),
			meter: discardMeter{},
			bounds: Bounds{
				StaleWeightsLimit: 8 * time.Second,
			},
		},
		request: r,
	}
}

// plainRequest is a request without a prompt.
func plainRequest() chain.Request {
	r := sharedPromptRequest()
	r.Route.Prompts = false
	return r
}

func TestEndpointThatAnnouncedItsDepartureIsNotChosen(t *testing.T) {
	s := fiveEngines()
	var chosen []string
	for range 5 {
		c, ok := choose(t, s, sharedPromptRequest())
		require.True(t, ok)
		name := c.endpoint.Node.Name
		require.False(t, slices.Contains(chosen, name))
		chosen = append(chosen, name)
		s.Members = s.Members.WithDeparture(departureOf(name))
	}
	_, ok := choose(t, s, sharedPromptRequest())
	require.False(t, ok, "its own word counts even if no other endpoint is left")
}

// BenchmarkChoose measures one choice among five engines.
func BenchmarkChoose(b *testing.B) {
	for name, r := range map[string]chain.Request{
		"prompt": sharedPromptRequest(),
		"plain":  plainRequest(),
	} {
		b.Run(name, func(b *testing.B) {
			x := newChoosingExchange(fiveEngines(), r, begin)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := x.choose(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
