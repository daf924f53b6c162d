package relay

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// callCost is what each call at an endpoint adds to the wait there.
	callCost = 300 * time.Microsecond
	// afarCost is added for an endpoint in another failure domain: the way, and
	// the price of its bytes.
	afarCost = 12 * time.Millisecond
	// connectionShare is the part of an endpoint's connections that all instances
	// together may use.
	connectionShare = 0.9
	// turnCost is what each call at a plain service adds to the wait there.
	turnCost = 5 * time.Millisecond
)

// choice is the endpoint that was chosen for an attempt.
type choice struct {
	endpoint member.Endpoint
	// weights is the version that the endpoint must have, and salt keeps its
	// cached parts apart.
	weights int64
	salt    string
	// source and target are where cached parts may come from and go to.
	source string
	target string
	// missed is the tokens that are expected to be read, unread those of them
	// that other requests share, and moved the shared ones that a store may send.
	missed int
	unread int
	moved  int
	limit  int
	cost   time.Duration
	reason string
	// from is the address of an engine that holds more of the prompt.
	from string
	// behind tells that the endpoint lacks weights that were named, and since when
	// it does; the zero time where that is not known.
	behind bool
	since  time.Time
	// kept tells that the store of cached prompts is believed to hold the shared
	// parts.
	kept bool
}

// origin is what kind of source cached parts may come from.
func (c choice) origin() string {
	switch c.source {
	case "":
		return "none"
	case c.from:
		return "engine"
	}
	return "store"
}

// lag is for how long the endpoint has lacked weights at now, as it stands in logs.
func (c choice) lag(now time.Time) string {
	switch {
	case !c.behind:
		return "0s"
	case c.since.IsZero():
		return "unknown"
	}
	return now.Sub(c.since).Round(time.Millisecond).String()
}

// choose picks an endpoint and logs the decision.
func (x *exchange) choose() (choice, error) {
	s := x.control.View()
	service, ok := s.Routing.Site.Service(x.request.Service)
	if !ok {
		return choice{}, fault.New(fault.Unavailable, "the configuration does not describe service %q: come back later", x.request.Service).WithRetry(busyRetry)
	}
	p := picker{
		exchange: x,
		state:    s,
		now:      x.now(),
	}
	c, ok := p.best()
	if !ok {
		return c, fault.New(fault.Unavailable, "no endpoint of %q takes work: come back later", x.request.Service).WithRetry(busyRetry)
	}
	c.limit = int(connectionShare * float64(service.Connections) / float64(x.instances()))
	x.meter.Chosen(c.reason, c.origin(), c.missed)
	x.log.Info().Str("event", "route").Str("request", x.request.ID).Str("team", x.request.Team).
		Str("route", x.request.Route.Name).Int("order", x.request.Order()).
		Str("endpoint", c.endpoint.Node.Name).Str("reason", c.reason).Int("missed", c.missed).Bool("kept", c.kept).Str("source", c.source).
		Int64("weights", c.weights).Str("behind", c.lag(p.now)).Int64("site", s.Routing.Site.Version()).Int64("listing", s.Routing.Listing).
		Stringer("cost", c.cost.Round(time.Millisecond)).Int("attempt", x.attempts+1).Send()
	return c, nil
}

// picker chooses among the endpoints of a service on one state.
type picker struct {
	*exchange
	state *state.State
	now   time.Time
}

// best returns the endpoint with the least cost.
func (p picker) best() (choice, bool) {
	pool := p.pool()
	if len(pool) == 0 {
		return choice{}, false
	}
	if !p.request.Route.Prompts || len(p.request.Parts) == 0 {
		return p.plain(pool), true
	}
	return p.prompt(pool).best(pool)
}

// pool returns the endpoints that may be asked: those that are trusted and were
// not tried, or else those that were not tried.
func (p picker) pool() []member.Endpoint {
	all := slices.DeleteFunc(slices.Clone(p.state.Members.Pool(p.request.Service)), func(e member.Endpoint) bool {
		return slices.Contains(p.tried, e.Node.Name)
	})
	trusted := slices.DeleteFunc(slices.Clone(all), func(e member.Endpoint) bool {
		return e.Suspect.After(p.now)
	})
	if len(trusted) == 0 {
		return all
	}
	return trusted
}

// plain chooses for a request without a prompt: the nearest with the least work.
func (p picker) plain(pool []member.Endpoint) choice {
	best := choice{
		cost:   math.MaxInt64,
		reason: "load",
	}
	seed := xxhash.Sum64String(p.request.ID)
	for i := range pool {
		e := pool[(i+int(seed%uint64(len(pool))))%len(pool)]
		cost := p.distance(e) + time.Duration(p.calls(e))*turnCost
		if cost < best.cost {
			best.endpoint = e
			best.cost = cost
		}
	}
	return best
}

func (p picker) distance(e member.Endpoint) time.Duration {
	if e.Node.Domain == p.state.Self.Domain {
		return 0
	}
	return afarCost
}

// calls is how many calls are believed to be at e.
func (p picker) calls(e member.Endpoint) int {
	return p.state.Loads.Work(e.Node.Name, p.gauge.Work(e.Node.Name), 0, p.now).Calls
}
