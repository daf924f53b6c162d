package relay

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// readRate, in tokens a millisecond, is at what rate engines are taken to
	// read prompts; the slowest of today's engines read 38.
	readRate = 40.0
	// moveRate, in tokens a millisecond, is at what rate cached parts are taken
	// to move between engines.
	moveRate = 170.0
	// readWeight is how much a token that is read counts beside one of waiting:
	// reading holds up others and puts out parts that others would have hit.
	readWeight = 4.0
	// homeShare is the part of what was not heard of that the home of a prompt is
	// taken to hold.
	homeShare = 0.8
	// spread is an odd number that spreads the bits of a hash (2^64 over the
	// golden ratio).
	spread = 0x9e3779b97f4a7c15
	// storeWeight is how much a token that the store of cached prompts sends
	// counts beside one from an engine: all engines share the store's link.
	storeWeight = 3.0
	// callCost is what each call at an endpoint adds to the wait there.
	callCost = 300 * time.Microsecond
	// afarCost is added for an endpoint in another failure domain: the way, and
	// the price of its bytes.
	afarCost = 12 * time.Millisecond
	// staleCost is added for an engine whose weights are not the wanted ones, once
	// requests on them count less.
	staleCost = 400 * time.Millisecond
	// staleGrace is how long requests on replaced weights count in full.
	staleGrace = 1500 * time.Millisecond
	// staleMargin is how long before the end of the platform's bound no request
	// is sent to replaced weights any more, since it may wait at the engine.
	staleMargin = 1800 * time.Millisecond
	// ownParts is how many parts at the end of a prompt belong to one request.
	ownParts = 1
	// leastShared is from how many shared tokens on copies are worth their calls.
	leastShared = 1000
	// connectionShare is the part of an endpoint's connections that all instances
	// together may use.
	connectionShare = 0.9
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
	// missed is the tokens that are expected to be read.
	missed int
	limit  int
	cost   time.Duration
	reason string
	// from is the address of an engine that holds more of the prompt.
	from string
	// kept tells that the store of cached prompts is believed to hold the shared
	// parts.
	kept bool
}

// choose picks an endpoint and logs the decision.
func (x *exchange) choose() (choice, error) {
	s := x.control.View()
	now := x.now()
	service, ok := s.Routing.Site.Service(x.request.Service)
	if !ok {
		return choice{}, fault.New(fault.Unavailable, "the configuration does not describe service %q: come back later", x.request.Service).WithRetry(busyRetry)
	}
	p := picker{
		exchange: x,
		state:    s,
		service:  service,
		now:      now,
	}
	c, ok := p.best()
	if !ok {
		return c, fault.New(fault.Unavailable, "no endpoint of %q takes work: come back later", x.request.Service).WithRetry(busyRetry)
	}
	c.limit = int(connectionShare * float64(service.Connections) / float64(x.instances()))
	x.log.Info().Str("event", "route").Str("request", x.request.ID).Str("team", x.request.Team).
		Str("route", x.request.Route.Name).Int("order", x.request.Order()).
		Str("endpoint", c.endpoint.Node.Name).Str("reason", c.reason).Int("missed", c.missed).Bool("kept", c.kept).Str("source", c.source).
		Int64("weights", c.weights).Int64("site", s.Routing.Site.Version()).Int64("listing", s.Routing.Listing).
		Stringer("cost", c.cost.Round(time.Millisecond)).Int("attempt", x.attempts+1).Send()
	return c, nil
}

// picker chooses among the endpoints of a service on one state.
type picker struct {
	*exchange
	state   *state.State
	service site.Service
	now     time.Time
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
	return p.prompt(pool)
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
		cost := p.distance(e) + time.Duration(p.calls(e))*5*time.Millisecond
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

// prompt chooses for a request with a prompt.
func (p picker) prompt(pool []member.Endpoint) (choice, bool) {
	book := p.state.Routing.Weights
	homes := p.homes(pool)
	best := choice{
		cost: math.MaxInt64,
	}
	for _, e := range pool {
		if _, busy := book.Ordered(e.Node.Name, p.now); busy {
			continue
		}
		since, behind := book.Behind(e.Node.Name, p.request.Model)
		age := p.now.Sub(since)
		if behind && age > p.bounds.WeightsIn-staleMargin {
			continue
		}
		c := p.score(e, homes)
		if behind && age > staleGrace {
			c.cost += staleCost
		}
		if c.cost < best.cost {
			best = c
		}
	}
	if best.cost == math.MaxInt64 {
		return best, false
	}
	best.source, best.target = p.copies(best)
	return best, true
}

// salt keeps cached parts of models, versions and dedicated teams apart.
func (p picker) salt(weights int64) string {
	team := ""
	if p.request.Dedicated {
		team = p.request.Team
	}
	return prefix.Salt(team, p.request.Model, strconv.FormatInt(weights, 10))
}

// home is an endpoint that rendezvous hashing favours for a prompt.
type home struct {
	endpoint member.Endpoint
	weight   uint64
}

// homes returns the endpoints in the order in which rendezvous hashing favours
// them for the shared parts of the prompt.
func (p picker) homes(pool []member.Endpoint) []home {
	key := p.key()
	out := make([]home, 0, len(pool))
	for _, e := range pool {
		out = append(out, home{
			endpoint: e,
			weight:   e.Weight(key),
		})
	}
	slices.SortFunc(out, func(a, b home) int { return cmp.Compare(b.weight, a.weight) })
	return out[:min(len(out), 3)]
}

// key stands for the shared parts of the prompt, and the team where it shares
// nothing with others.
func (p picker) key() uint64 {
	shared := p.sharedParts()
	if len(shared) == 0 {
		return xxhash.Sum64String(p.request.ID)
	}
	return prefix.PartKey(p.salt(0), shared[len(shared)-1].ID)
}

// score returns the choice of e with its cost.
func (p picker) score(e member.Endpoint, homes []home) choice {
	c := choice{
		endpoint: e,
		reason:   "load",
		weights:  p.state.Routing.Weights.Held(e.Node.Name, p.request.Model),
	}
	c.salt = p.salt(c.weights)
	shared := p.sharedParts()
	total, all := prefix.Total(p.request.Parts), prefix.Total(shared)
	held := p.held(p.state.Index, c.salt, shared)
	local, kept := held[e.Node.Name], 0
	from, best := p.source(e, held)
	c.from = from
	if v, ok := p.store(); ok {
		kept = p.held(p.state.Routing.Kept, c.salt, shared)[v.Name]
	}
	c.kept = kept == all
	if len(homes) > 0 && homes[0].endpoint.Node.Name == e.Node.Name {
		c.reason = "home"
		if local < all {
			// The home may hold more than was heard of.
			local += int(homeShare * float64(all-local))
		}
	}
	if local == all && all > 0 && c.reason != "home" {
		c.reason = "prefix"
	}
	// An engine's own link is mostly idle; the store's serves all engines.
	moved, moveCost := max(best-local, 0), 1.0
	if kept > best {
		moved, moveCost = max(kept-local, 0), storeWeight
		c.from = ""
	}
	unread := all - max(kept, local, best)
	c.missed = total - max(kept, local, best)
	work := p.state.Loads.Work(e.Node.Name, p.gauge.Work(e.Node.Name), readRate*1000, p.now)
	c.cost = millis(float64(work.Tokens)/readRate) + time.Duration(work.Calls)*callCost +
		millis(float64(c.missed)/readRate) + millis(readWeight*float64(unread)/readRate) +
		millis(moveCost*float64(moved)/moveRate) + p.distance(e)
	return c
}

// source returns the address of the engine other than e that holds the most, the
// nearest to e among equals, and how many tokens it holds.
func (p picker) source(e member.Endpoint, held map[string]int) (string, int) {
	addr, most, near := "", 0, false
	for name, tokens := range held {
		o, ok := p.state.Members.Find(name)
		if !ok || name == e.Node.Name || o.Suspect.After(p.now) || tokens < most {
			continue
		}
		sameDomain := o.Node.Domain == e.Node.Domain
		if tokens > most || sameDomain && !near {
			addr, most, near = o.Node.Addr, tokens, sameDomain
		}
	}
	return addr, most
}

// sharedParts are the parts that other requests have too.
func (p picker) sharedParts() []prefix.Part {
	return p.request.Parts[:max(len(p.request.Parts)-ownParts, 0)]
}

// held returns how many tokens of the first parts each endpoint is believed to
// hold. Who holds a part is taken to hold those before it, since each use of the
// one is a use of the others.
func (p picker) held(ix prefix.Index, salt string, parts []prefix.Part) map[string]int {
	out := map[string]int{}
	for i, key := range prefix.PartKeys(salt, parts) {
		for _, name := range ix.Holders(key, p.now) {
			out[name] = prefix.Total(parts[:i+1])
		}
	}
	return out
}

// store returns the store of cached prompts for the shared parts. Rendezvous
// hashing spreads the prompts over the stores that answer.
func (p picker) store() (site.Service, bool) {
	var best site.Service
	var most uint64
	key, found := p.key(), false
	for _, v := range p.state.Routing.Site.Stores() {
		if p.state.Routing.Away[v.Name] {
			continue
		}
		if w := xxhash.Sum64String(v.Name) ^ key; !found || w*spread > most {
			best, most, found = v, w*spread, true
		}
	}
	return best, found
}

// copies returns where cached parts may come from and go to. The store of
// cached prompts takes what an engine reads and gives it back to any engine,
// also after the first one dropped it. It is sent nothing that it holds.
func (p picker) copies(c choice) (string, string) {
	if prefix.Total(p.sharedParts()) < leastShared {
		return "", ""
	}
	store, ok := p.store()
	if !ok {
		return c.from, ""
	}
	source, target := store.Store, store.Store
	if c.from != "" {
		source = c.from
	}
	if c.kept || !ctrl.FollowsStore(*p.state, store) {
		// An instance that does not follow the store can't tell what it lacks.
		target = ""
	}
	return source, target
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
