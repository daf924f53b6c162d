package relay

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// storeWeight is how much a token that the store of cached prompts sends
	// counts beside one from an engine: all engines share the store's link.
	storeWeight = 3.0
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
)

// prompt is a request's prompt as it is scored against engines.
type prompt struct {
	picker
	// shared are the parts that other requests have too, and all their tokens.
	shared []prefix.Part
	all    int
	// home is the engine that rendezvous hashing favours for the shared parts.
	home string
	// store is the store of cached prompts for them; its name is empty where none
	// answers.
	store site.Service
}

// prompt returns the request's prompt.
func (p picker) prompt(pool []member.Endpoint) prompt {
	parts := p.request.Parts
	shared := parts[:max(len(parts)-ownParts, 0)]
	key := xxhash.Sum64String(p.request.ID)
	if len(shared) > 0 {
		key = prefix.PartKey(p.salt(0), shared[len(shared)-1].ID)
	}
	return prompt{
		picker: p,
		shared: shared,
		all:    prefix.Total(shared),
		home:   homeOf(key, pool),
		store:  p.storeOf(key),
	}
}

// homeOf returns the engine that rendezvous hashing favours for key.
func homeOf(key uint64, pool []member.Endpoint) string {
	best := slices.MaxFunc(pool, func(a, b member.Endpoint) int { return cmp.Compare(a.Weight(key), b.Weight(key)) })
	return best.Node.Name
}

// storeOf returns the store of cached prompts for key. Rendezvous hashing spreads
// the prompts over the stores that answer.
func (p picker) storeOf(key uint64) site.Service {
	var best site.Service
	most := uint64(0)
	for _, v := range p.state.Routing.Site.Stores() {
		w := member.Endpoint{
			Hash: xxhash.Sum64String(v.Name),
		}.Weight(key)
		if !p.state.Routing.Away[v.Name] && (best.Name == "" || w > most) {
			best, most = v, w
		}
	}
	if best.Name != "" && !p.links.open(best, p.token(), p.instances(), p.now) {
		return site.Service{}
	}
	return best
}

// token is the bytes of a cached token of the request's service.
func (p picker) token() int {
	service, _ := p.state.Routing.Site.Service(p.request.Service)
	return service.Token
}

// salt keeps cached parts of models, versions and dedicated teams apart.
func (p picker) salt(weights int64) string {
	team := ""
	if p.request.Dedicated {
		team = p.request.Team
	}
	return prefix.Salt(team, p.request.Model, strconv.FormatInt(weights, 10))
}

// best returns the engine of pool with the least cost. Engines under order, and
// those whose weights are too old to begin on, are left out.
func (p prompt) best(pool []member.Endpoint) (choice, bool) {
	best, ok := p.among(pool, func(age time.Duration) bool { return age <= p.bounds.WeightsIn-staleMargin })
	if !ok {
		best, ok = p.among(p.newest(pool), func(time.Duration) bool { return true })
	}
	if ok {
		best.source, best.target = p.copies(best)
	}
	return best, ok
}

// newest returns the engines with the newest weights, if it is not known when
// the ones that they lack were named: an instance that just started can't tell,
// and where no engine has them they are likely new.
func (p prompt) newest(pool []member.Endpoint) []member.Endpoint {
	book := p.state.Routing.Weights
	held := func(e member.Endpoint) int64 { return book.Held(e.Node.Name, p.request.Model) }
	newest := slices.MaxFunc(pool, func(a, b member.Endpoint) int { return cmp.Compare(held(a), held(b)) })
	return slices.DeleteFunc(slices.Clone(pool), func(e member.Endpoint) bool {
		since, behind := book.Behind(e.Node.Name, p.request.Model)
		return held(e) < held(newest) || behind && !since.IsZero()
	})
}

// among returns the best of engines. Those that lack weights for a time that
// young does not grant are left out.
func (p prompt) among(engines []member.Endpoint, young func(age time.Duration) bool) (choice, bool) {
	book := p.state.Routing.Weights
	best := choice{
		cost: math.MaxInt64,
	}
	for _, e := range engines {
		if _, busy := book.Ordered(e.Node.Name, p.now); busy {
			continue
		}
		since, behind := book.Behind(e.Node.Name, p.request.Model)
		age := p.now.Sub(since)
		if behind && !young(age) {
			continue
		}
		c := p.score(e)
		c.behind, c.since = behind, since
		if behind && age > staleGrace {
			c.cost += staleCost
		}
		if c.cost < best.cost {
			best = c
		}
	}
	return best, best.cost != math.MaxInt64
}

// score returns the choice of e with its cost.
func (p prompt) score(e member.Endpoint) choice {
	c := choice{
		endpoint: e,
		reason:   "load",
		weights:  p.state.Routing.Weights.Held(e.Node.Name, p.request.Model),
	}
	c.salt = p.salt(c.weights)
	held := p.held(p.state.Index, c.salt)
	local, kept := held[e.Node.Name], p.held(p.state.Routing.Kept, c.salt)[p.store.Name]
	from, most := p.source(e, held)
	c.from = from
	c.kept = kept == p.all
	switch {
	case e.Node.Name == p.home:
		c.reason = "home"
		// The home may hold more than was heard of.
		local += int(homeShare * float64(p.all-local))
	case local == p.all && p.all > 0:
		c.reason = "prefix"
	}
	c.moved = p.all - local
	// An engine's own link is mostly idle; the store's serves all engines.
	moved, moveCost := max(most-local, 0), 1.0
	if kept > most {
		moved, moveCost = max(kept-local, 0), storeWeight
		c.from = ""
	}
	reachable := max(kept, local, most)
	c.unread = p.all - reachable
	c.missed = prefix.Total(p.request.Parts) - reachable
	work := p.state.Loads.Work(e.Node.Name, p.gauge.Work(e.Node.Name), readRate*1000, p.now)
	c.cost = millis(float64(work.Tokens)/readRate) + time.Duration(work.Calls)*callCost +
		millis(float64(c.missed)/readRate) + millis(readWeight*float64(c.unread)/readRate) +
		millis(moveCost*float64(moved)/moveRate) + p.distance(e)
	return c
}

// source returns the address of the engine other than e that holds the most, the
// nearest to e among equals, and how many tokens it holds.
func (p prompt) source(e member.Endpoint, held map[string]int) (string, int) {
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

// held returns how many tokens of the shared parts each endpoint is believed to
// hold. Who holds a part is taken to hold those before it, since each use of the
// one is a use of the others.
func (p prompt) held(ix prefix.Index, salt string) map[string]int {
	out := map[string]int{}
	for i, key := range prefix.PartKeys(salt, p.shared) {
		for _, name := range ix.Holders(key, p.now) {
			out[name] = prefix.Total(p.shared[:i+1])
		}
	}
	return out
}

// copies returns where cached parts may come from and go to. The store of
// cached prompts takes what an engine reads and gives it back to any engine,
// also after the first one dropped it. It is sent nothing that it holds.
func (p prompt) copies(c choice) (string, string) {
	if p.all < leastShared {
		return "", ""
	}
	if p.store.Name == "" {
		return c.from, ""
	}
	source, target := p.store.Store, p.store.Store
	if c.from != "" {
		source = c.from
	}
	if c.kept {
		target = ""
	}
	p.links.take(p.store, p.transfer(c, source, target), p.now)
	return source, target
}

// transfer is the tokens that are expected to cross the store's link, those to
// another failure domain counted for the time that they take.
func (p prompt) transfer(c choice, source, target string) float64 {
	tokens := 0.0
	if source == p.store.Store {
		tokens += float64(c.moved)
	}
	if target != "" {
		tokens += float64(c.unread)
	}
	if c.endpoint.Node.Domain != p.store.Domain {
		tokens *= afarTimes
	}
	return tokens
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
