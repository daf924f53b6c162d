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
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/poison"
)

// newChoosingExchange returns an exchange that chooses an endpoint for r, given s, at
// the time now.
func newChoosingExchange(s state.State, r chain.Request, now time.Time) *exchange {
	return &exchange{
		forwarder: forwarder{
			control: fixedState{
				state: s,
			},
			gauge:  &load.Gauge{},
			served: &poison.Served{},
			now:    func() time.Time { return now },
			log:    zerolog.Nop(),
			links:  newStoreLinks(),
			meter:  discardMeter{},
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

// withQuiet returns s after the engines named asked for quiet until a time.
func withQuiet(s state.State, until time.Time, names ...string) state.State {
	for _, n := range names {
		s.Members = s.Members.WithQuiet(n, "", until)
	}
	return s
}

// Requests must not go to an endpoint that wants no calls, not even if no other is
// trusted. They may from the end of that time on.
func TestQuietEndpointIsNotChosen(t *testing.T) {
	for name, r := range map[string]chain.Request{
		"prompt": sharedPromptRequest(),
		"plain":  plainRequest(),
	} {
		t.Run(name, func(t *testing.T) {
			s := fiveEngines()
			usual, ok := choose(t, s, r)
			require.True(t, ok)
			quiet := usual.endpoint.Node.Name
			s = withQuiet(s, begin.Add(time.Second), quiet)
			for i := range 5 {
				e := "e" + strconv.Itoa(i)
				if e != quiet {
					s.Members = s.Members.WithFailure(e, begin).WithFailure(e, begin)
				}
			}
			c, ok := choose(t, s, r)
			require.True(t, ok)
			require.NotEqual(t, quiet, c.endpoint.Node.Name)
			c, err := newChoosingExchange(s, r, begin.Add(time.Second)).choose(t.Context(), position{})
			require.NoError(t, err)
			require.Equal(t, quiet, c.endpoint.Node.Name)
		})
	}
}

// If all endpoints want no calls, the request is refused at once, and may come back when
// the first of them wants calls again. It was not run.
func TestRefusalNamesTheShortestQuiet(t *testing.T) {
	s := withQuiet(fiveEngines(), begin.Add(3*time.Second), "e0", "e1", "e2", "e3")
	s = withQuiet(s, begin.Add(1700*time.Millisecond), "e4")
	_, err := newChoosingExchange(s, plainRequest(), begin).choose(t.Context(), position{})
	f := fault.From(err)
	require.Equal(t, fault.Unavailable, f.Kind)
	require.Equal(t, fault.NotRun, f.Run)
	require.Equal(t, 1700*time.Millisecond, f.Retry)
}

// An endpoint that took the request before and turned it away may take it again at once.
func TestRefusalAfterAttemptDoesNotWaitForQuietEndpoints(t *testing.T) {
	s := withQuiet(fiveEngines(), begin.Add(30*time.Second), "e1", "e2", "e3", "e4")
	x := newChoosingExchange(s, plainRequest(), begin)
	x.tried = []string{"e0"}
	_, err := x.choose(t.Context(), position{})
	require.Equal(t, busyRetryAfter, fault.From(err).Retry)
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
				if _, err := x.choose(b.Context(), position{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
