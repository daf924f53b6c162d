package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
)

const (
	// promptCallCost is what each outstanding call at an engine adds to the
	// estimated wait there.
	promptCallCost = 300 * time.Microsecond
	// crossDomainCost is added for an endpoint in another failure domain. It
	// stands for the network latency and the price of the traffic.
	crossDomainCost = 12 * time.Millisecond
	// connectionShare is the share of an endpoint's connections that all
	// instances together may use.
	connectionShare = 0.9
	// plainCallCost is what each outstanding call at an endpoint of a plain
	// service adds to the estimated wait there.
	plainCallCost = 5 * time.Millisecond
)

// choice is the endpoint that was chosen for an attempt.
type choice struct {
	endpoint member.Endpoint
	// weights is the version of weights that the endpoint must have loaded, and
	// salt separates its cached prompt parts from those of other versions.
	weights int64
	salt    string
	// source and target are the addresses from which cached parts may be
	// fetched and to which they may be copied.
	source string
	target string
	// uncached is the prompt tokens that the endpoint is expected to prefill,
	// uncachedShared is how many of them other requests share, and
	// sharedToTransfer is the shared tokens that the endpoint lacks and a store
	// may send.
	uncached         int
	uncachedShared   int
	sharedToTransfer int
	limit            int
	cost             time.Duration
	reason           string
	// cachingEngine is the address of another engine that caches more of the
	// prompt.
	cachingEngine string
	// behind is true if the endpoint lacks the desired weights, and behindSince
	// is since when; it is zero if that is not known.
	behind      bool
	behindSince time.Time
	// inStore is true if the store of cached prompts is believed to hold all
	// shared parts.
	inStore bool
}

// sourceKind names the kind of the source of cached parts, for metrics.
func (c choice) sourceKind() string {
	switch c.source {
	case "":
		return "none"
	case c.cachingEngine:
		return "engine"
	}
	return "store"
}

// lagText is how long the endpoint has lacked the desired weights at now, for
// logs.
func (c choice) lagText(now time.Time) string {
	switch {
	case !c.behind:
		return "0s"
	case c.behindSince.IsZero():
		return "unknown"
	}
	return now.Sub(c.behindSince).Round(time.Millisecond).String()
}

// choose picks an endpoint for a request whose caller has received the given part of the
// response, and logs the decision.
func (x *exchange) choose(ctx context.Context, received position) (choice, error) {
	s := x.control.View()
	service, ok := s.Routing.Site.Service(x.request.Service)
	if !ok {
		return choice{}, fault.New(fault.Unavailable, "the configuration does not describe service %q: come back later", x.request.Service).WithRetry(busyRetryAfter)
	}
	p := picker{
		exchange: x,
		state:    s,
		now:      x.now(),
		software: softwareOf(x.request, received, s),
	}
	if v, ok := s.Routing.Poison.Verdict(x.parts); ok {
		return choice{}, poisonError(v, p.now)
	}
	c, ok := p.best(ctx)
	if !ok {
		return c, p.unavailable()
	}
	c.limit = int(connectionShare * float64(service.Connections) / float64(x.instanceCount()))
	x.meter.Chosen(c.reason, c.sourceKind(), c.uncached)
	x.log.Info().Str("event", "route").Str("request", x.request.ID).Str("team", x.request.Team).
		Str("route", x.request.Route.Name).Int("order", x.request.CombinedPriority()).
		Str("endpoint", c.endpoint.Node.Name).Str("software", c.endpoint.Node.Software).Str("reason", c.reason).Int("missed", c.uncached).Bool("kept", c.inStore).Str("source", c.source).
		Int64("weights", c.weights).Str("behind", c.lagText(p.now)).Int64("site", s.Routing.Site.Version()).Int64("listing", s.Routing.RegistryVersion).
		Stringer("cost", c.cost.Round(time.Millisecond)).Int("attempt", x.attempts+1).Send()
	return c, nil
}

// unavailable returns the error of a request for which no endpoint is left.
func (p picker) unavailable() error {
	until, quiet := p.state.Members.QuietUntil(p.request.Service, p.now)
	if !quiet {
		return fault.New(fault.Unavailable, "no endpoint of %q takes work: come back later", p.request.Service).WithRetry(busyRetryAfter)
	}
	if p.attempts == 0 {
		p.meter.Refused("quiet")
	}
	left := until.Sub(p.now)
	return fault.New(fault.Unavailable, "all endpoints of %q asked for quiet: come back in %s", p.request.Service, left.Round(time.Millisecond)).WithRetry(left)
}

// picker chooses among the endpoints of a service, based on one state.
type picker struct {
	*exchange
	state *state.State
	now   time.Time
	// software bounds the endpoints by the version of their software.
	software softwareBound
}

// softwareBound says which versions of the software a request may be sent to. The zero value
// allows all.
type softwareBound struct {
	// exact is set if only version is allowed.
	exact   bool
	version string
	// listed is set if only the versions that are listed for service are allowed, and found
	// once the list was found.
	listed  bool
	found   bool
	list    origin.Listed
	service string
}

// softwareOf returns the bound for a request whose caller has received the given part of the
// response. A stream that callers may resume begins at a listed version only: another instance
// would take it for the only listed version's.
func softwareOf(r chain.Request, received position, s *state.State) softwareBound {
	w := s.Routing.Software
	return softwareBound{
		exact:   received.bound,
		version: received.software,
		listed:  resumable(r) && (!w.Found || !w.Listed.Empty(r.Service)),
		found:   w.Found,
		list:    w.Listed,
		service: r.Service,
	}
}

// allows reports whether e may be used.
func (b softwareBound) allows(e *member.Endpoint) bool {
	if b.exact {
		return e.Node.Software == b.version
	}
	return !b.listed || b.list.Contains(b.service, e.Node.Software)
}

// allowsAny reports whether any endpoint of pool may be used.
func (b softwareBound) allowsAny(pool []member.Endpoint) bool {
	for i := range pool {
		if b.allows(&pool[i]) {
			return true
		}
	}
	return false
}

// withoutList returns b without the bound to listed versions.
func (b softwareBound) withoutList() softwareBound {
	b.listed = false
	return b
}

// best returns the endpoint with the lowest cost.
func (p picker) best(ctx context.Context) (choice, bool) {
	pool := p.candidates()
	if len(pool) == 0 {
		return choice{}, false
	}
	if trial := p.trialPool(pool); len(trial) > 0 {
		if c, ok := p.newPrompt(trial).best(ctx, trial); ok {
			return c, true
		}
	}
	if !p.hasPrompt() {
		return p.chooseByLoad(pool), true
	}
	return p.newPrompt(pool).best(ctx, pool)
}

// hasPrompt reports whether the endpoint is chosen by the request's prompt.
func (p picker) hasPrompt() bool { return p.request.Route.Prompts && len(p.request.Parts) > 0 }

// hasCandidate reports whether choose would find an endpoint.
func (x *exchange) hasCandidate(received position) bool {
	s := x.control.View()
	p := picker{
		exchange: x,
		state:    s,
		now:      x.now(),
		software: softwareOf(x.request, received, s),
	}
	pool := p.candidates()
	if len(pool) == 0 || !p.hasPrompt() {
		return len(pool) > 0
	}
	_, ok := p.newPrompt(pool).lowestCost(pool)
	return ok
}

// candidates returns the endpoints that may be called: those that were not
// tried and are trusted or, if there are none, all that were not tried. None of
// them wants no calls. Endpoints whose software is not listed yet are left out unless the
// service has no others. While the list was not found, nothing tells which ones those are.
func (p picker) candidates() []member.Endpoint {
	pool := p.state.Members.Pool(p.request.Service)
	if trusted := p.untried(pool, false); len(trusted) > 0 {
		return trusted
	}
	if all := p.untried(pool, true); len(all) > 0 {
		return all
	}
	if !p.software.listed || p.software.allowsAny(pool) || !p.software.found && mixedSoftware(pool) {
		return nil
	}
	p.software = p.software.withoutList()
	return p.candidates()
}

// mixedSoftware reports whether the endpoints of pool have several versions of their software.
func mixedSoftware(pool []member.Endpoint) bool {
	for i := range pool {
		if pool[i].Node.Software != pool[0].Node.Software {
			return true
		}
	}
	return false
}

// untried returns the endpoints of pool that want calls and were not tried, with those
// that are suspected or without them. In calm that is pool itself, which is not copied.
func (p picker) untried(pool []member.Endpoint, suspected bool) []member.Endpoint {
	excluded := func(e *member.Endpoint) bool {
		return !p.software.allows(e) || !suspected && e.SuspectUntil.After(p.now) || e.QuietUntil.After(p.now) || slices.Contains(p.tried, e.Node.Name)
	}
	first := 0
	for first < len(pool) && !excluded(&pool[first]) {
		first++
	}
	if first == len(pool) {
		return pool
	}
	out := append(make([]member.Endpoint, 0, len(pool)-1), pool[:first]...)
	for i := first + 1; i < len(pool); i++ {
		if !excluded(&pool[i]) {
			out = append(out, pool[i])
		}
	}
	return out
}

// chooseByLoad chooses for a request without a prompt. It prefers near
// endpoints with few calls.
func (p picker) chooseByLoad(pool []member.Endpoint) choice {
	best := choice{
		cost:   math.MaxInt64,
		reason: "load",
	}
	seed := xxhash.Sum64String(p.request.ID)
	for i := range pool {
		e := &pool[(i+int(seed%uint64(len(pool))))%len(pool)]
		cost := p.distanceCost(e) + time.Duration(p.callsAt(e))*plainCallCost
		if cost < best.cost {
			best.endpoint = *e
			best.cost = cost
		}
	}
	return best
}

func (p picker) distanceCost(e *member.Endpoint) time.Duration {
	if e.Node.Domain == p.state.Self.Domain {
		return 0
	}
	return crossDomainCost
}

// callsAt is how many calls are believed to be outstanding at e.
func (p picker) callsAt(e *member.Endpoint) int {
	return p.state.Loads.Work(e.Node.Name, p.gauge.Work(e.Node.Name), 0, p.now).Calls
}
