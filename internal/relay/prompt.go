package relay

import (
	"cmp"
	"context"
	"maps"
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
	// prefillRate is the assumed prefill rate of engines, in tokens per
	// millisecond. The slowest current engines reach 38.
	prefillRate = 40.0
	// transferRate is the assumed rate at which cached parts move between
	// engines, in tokens per millisecond.
	transferRate = 170.0
	// prefillWeight is the cost of a token to prefill relative to a queued one.
	// Prefill delays other requests and evicts cached parts that they would
	// have hit.
	prefillWeight = 4.0
	// preferredCachedShare is the share of the shared tokens not reported as
	// cached that the preferred engine is assumed to have cached.
	preferredCachedShare = 0.8
	// storeTransferWeight is the cost of a token fetched from the store of
	// cached prompts relative to one from an engine, because all engines share
	// the store's link.
	storeTransferWeight = 3.0
	// staleCost is added for an engine without the desired weights after
	// staleGrace, when requests on them count less.
	staleCost = 400 * time.Millisecond
	// staleGrace is how long requests on replaced weights count in full.
	staleGrace = 1500 * time.Millisecond
	// staleMargin is how long before the platform's limit requests are no
	// longer sent to replaced weights, because they may still wait at the
	// engine.
	staleMargin = 1800 * time.Millisecond
	// privateParts is how many parts at the end of a prompt belong to one
	// request only.
	privateParts = 1
	// minSharedTokens is the number of shared tokens from which copying cached
	// parts is worth the calls.
	minSharedTokens = 1000
)

// prompt is a request's prompt, prepared for scoring engines.
type prompt struct {
	picker
	// shared are the parts that other requests have in common with this one,
	// and sharedTokens is their total.
	shared       []prefix.Part
	sharedTokens int
	// key orders the engines by rendezvous hashing.
	key uint64
	// preferred is the engine that rendezvous hashing selects for the shared
	// parts.
	preferred string
	// store is the store of cached prompts for the shared parts. Its name is
	// empty if none is available.
	store site.Service
	// caches holds what is known to be cached of the shared parts, by the version
	// of weights, since engines with the same version share it.
	caches map[int64]cacheView
}

// cacheView is what is believed to be cached of a prompt's shared parts under one
// version of weights.
type cacheView struct {
	// salt separates the cached parts from those of other versions.
	salt string
	// engines holds the engines that have cached some of the parts, sorted by name.
	engines []cachingEngine
	// inStore is the tokens that the prompt's store of cached prompts holds.
	inStore int
}

// cachingEngine is an engine that has cached some of the shared parts.
type cachingEngine struct {
	name   string
	tokens int
	// addr and domain are those of an engine from which parts may be fetched; addr is
	// empty if the engine is unknown or suspected.
	addr   string
	domain string
}

// tokensAt returns the tokens that the engine name is believed to have cached.
func (v cacheView) tokensAt(name string) int {
	for i := range v.engines {
		if v.engines[i].name == name {
			return v.engines[i].tokens
		}
	}
	return 0
}

// view returns what is cached under a version of weights.
func (p prompt) view(version int64) cacheView {
	if v, ok := p.caches[version]; ok {
		return v
	}
	v := cacheView{
		salt: p.salt(version),
	}
	keys := prefix.PartKeys(v.salt, p.shared)
	v.inStore = p.cachedTokens(p.state.Routing.StoreIndex, keys)[p.store.Name]
	cached := p.cachedTokens(p.state.Index, keys)
	for _, name := range slices.Sorted(maps.Keys(cached)) {
		c := cachingEngine{
			name:   name,
			tokens: cached[name],
		}
		if e, ok := p.state.Members.Find(name); ok && !e.SuspectUntil.After(p.now) {
			c.addr, c.domain = e.Node.Addr, e.Node.Domain
		}
		v.engines = append(v.engines, c)
	}
	p.caches[version] = v
	return v
}

// newPrompt returns the request's prompt for scoring the engines of pool.
func (p picker) newPrompt(pool []member.Endpoint) prompt {
	parts := p.request.Parts
	shared := parts[:max(len(parts)-privateParts, 0)]
	key := xxhash.Sum64String(p.request.ID)
	if len(shared) > 0 {
		key = prefix.PartKey(p.salt(0), shared[len(shared)-1].ID)
	}
	return prompt{
		picker:       p,
		shared:       shared,
		sharedTokens: prefix.TotalTokens(shared),
		key:          key,
		preferred:    preferredEngine(key, pool),
		store:        p.preferredStore(key),
		caches:       map[int64]cacheView{},
	}
}

// preferredEngine returns the engine that rendezvous hashing selects for key.
func preferredEngine(key uint64, pool []member.Endpoint) string {
	best := slices.MaxFunc(pool, func(a, b member.Endpoint) int { return cmp.Compare(a.Weight(key), b.Weight(key)) })
	return best.Node.Name
}

// preferredStore returns the store of cached prompts that rendezvous hashing
// selects for key among the stores that answer. It returns none if that store's
// link has no capacity left.
func (p picker) preferredStore(key uint64) site.Service {
	var best site.Service
	most := uint64(0)
	for _, v := range p.state.Routing.Site.Stores() {
		w := member.Endpoint{
			Hash: xxhash.Sum64String(v.Name),
		}.Weight(key)
		if !p.state.Routing.UnreachableStores[v.Name] && (best.Name == "" || w > most) {
			best, most = v, w
		}
	}
	if best.Name != "" && !p.links.hasCapacity(best, p.tokenBytes(), p.instanceCount(), p.now) {
		return site.Service{}
	}
	return best
}

// tokenBytes is the size of a cached token of the request's service, in bytes.
func (p picker) tokenBytes() int {
	service, _ := p.state.Routing.Site.Service(p.request.Service)
	return service.TokenBytes
}

// salt separates the cached parts of different models, weight versions and
// dedicated teams. The scope is that of the current configuration, not of the one that
// admitted the request: a team may have become dedicated while the request waited.
func (p picker) salt(weights int64) string {
	scope := p.state.Routing.Site.CacheScope(p.request.Team)
	return prefix.Salt(scope, p.request.Model, strconv.FormatInt(weights, 10))
}

// best returns the engine of pool with the lowest cost, or one of the next if that has
// no room, and reserves what is copied for it.
func (p prompt) best(ctx context.Context, pool []member.Endpoint) (choice, bool) {
	best, ok := p.lowestCost(pool)
	if ok {
		best = p.withRoom(ctx, best, pool)
		best.source, best.target = p.cacheCopies(best)
	}
	return best, ok
}

// lowestCost returns the engine of pool with the lowest cost. Engines with an
// order in progress and engines whose weights may no longer start requests are
// excluded.
func (p prompt) lowestCost(pool []member.Endpoint) (choice, bool) {
	best, ok := p.cheapest(pool, func(age time.Duration) bool { return age <= p.bounds.StaleWeightsLimit-staleMargin })
	if !ok {
		best, ok = p.cheapest(p.withNewestWeights(pool), func(time.Duration) bool { return true })
	}
	return best, ok
}

// withNewestWeights returns the engines with the newest loaded weights, except
// those that are known to have been behind since a certain time. An instance
// that has just started may not know when the desired version was set; if no
// engine has loaded it, it was probably set recently. What the instance has known
// for long is too old whenever it was set.
func (p prompt) withNewestWeights(pool []member.Endpoint) []member.Endpoint {
	weights := p.state.Routing.Weights
	loaded := func(e member.Endpoint) int64 { return weights.Loaded(e.Node.Name, p.request.Model) }
	newest := slices.MaxFunc(pool, func(a, b member.Endpoint) int { return cmp.Compare(loaded(a), loaded(b)) })
	return slices.DeleteFunc(slices.Clone(pool), func(e member.Endpoint) bool {
		since, behind := weights.Behind(e.Node.Name, p.request.Model)
		return loaded(e) < loaded(newest) || behind && !since.IsZero() ||
			weights.BehindFor(e.Node.Name, p.request.Model, p.now) > p.bounds.StaleWeightsLimit-staleMargin
	})
}

// cheapest returns the engine with the lowest cost. Engines that lack the
// desired weights are excluded unless allowed returns true for how long they
// have lacked them.
func (p prompt) cheapest(engines []member.Endpoint, allowed func(age time.Duration) bool) (choice, bool) {
	weights := p.state.Routing.Weights
	best := choice{
		cost: math.MaxInt64,
	}
	for i := range engines {
		e := &engines[i]
		if _, busy := weights.OrderInFlight(e.Node.Name, p.now); busy {
			continue
		}
		since, behind := weights.Behind(e.Node.Name, p.request.Model)
		age := p.now.Sub(since)
		if behind && !allowed(age) {
			continue
		}
		c := p.score(e)
		c.behind, c.behindSince = behind, since
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
func (p prompt) score(e *member.Endpoint) choice {
	c := choice{
		endpoint: *e,
		reason:   "load",
		weights:  p.state.Routing.Weights.Loaded(e.Node.Name, p.request.Model),
	}
	view := p.view(c.weights)
	c.salt = view.salt
	local, inStore := view.tokensAt(e.Node.Name), view.inStore
	source, most := view.source(e)
	c.cachingEngine = source
	c.inStore = inStore == p.sharedTokens
	switch {
	case e.Node.Name == p.preferred:
		c.reason = "home"
		// The preferred engine may have cached more than it has reported.
		local += int(preferredCachedShare * float64(p.sharedTokens-local))
	case local == p.sharedTokens && p.sharedTokens > 0:
		c.reason = "prefix"
	}
	c.sharedToTransfer = p.sharedTokens - local
	// Links between engines are mostly idle, while the store's link serves all
	// engines.
	moved, moveCost := max(most-local, 0), 1.0
	if inStore > most {
		moved, moveCost = max(inStore-local, 0), storeTransferWeight
		c.cachingEngine = ""
	}
	reachable := max(inStore, local, most)
	c.uncachedShared = p.sharedTokens - reachable
	c.uncached = prefix.TotalTokens(p.request.Parts) - reachable
	work := p.state.Loads.Work(e.Node.Name, p.gauge.Work(e.Node.Name), prefillRate*1000, p.now)
	c.cost = millis(float64(work.PrefillTokens)/prefillRate) + time.Duration(work.Calls)*promptCallCost +
		millis(float64(c.uncached)/prefillRate) + millis(prefillWeight*float64(c.uncachedShared)/prefillRate) +
		millis(moveCost*float64(moved)/transferRate) + p.distanceCost(e)
	return c
}

// source returns the address of the engine other than e that has cached the most
// shared tokens, and their number. Among equals it prefers the failure domain of e.
func (v cacheView) source(e *member.Endpoint) (string, int) {
	addr, most, near := "", 0, false
	for i := range v.engines {
		o := &v.engines[i]
		if o.addr == "" || o.name == e.Node.Name || o.tokens < most {
			continue
		}
		sameDomain := o.domain == e.Node.Domain
		if o.tokens > most || sameDomain && !near {
			addr, most, near = o.addr, o.tokens, sameDomain
		}
	}
	return addr, most
}

// cachedTokens returns how many tokens of the shared parts, which have the given keys,
// each endpoint is believed to have cached. A holder of a part is assumed to hold all
// parts before it, because every use of a part is also a use of those.
func (p prompt) cachedTokens(ix prefix.Index, keys []uint64) map[string]int {
	out := map[string]int{}
	for i, key := range keys {
		for _, name := range ix.Holders(key, p.now) {
			out[name] = prefix.TotalTokens(p.shared[:i+1])
		}
	}
	return out
}

// cacheCopies returns the source and the target of cached parts. The store of
// cached prompts receives what an engine prefills and serves it to any engine,
// even after the first one has evicted it. Nothing is copied to a store that
// already holds all shared parts.
func (p prompt) cacheCopies(c choice) (string, string) {
	if p.sharedTokens < minSharedTokens {
		return "", ""
	}
	if p.store.Name == "" {
		return c.cachingEngine, ""
	}
	source, target := p.store.Store, p.store.Store
	if c.cachingEngine != "" {
		source = c.cachingEngine
	}
	if c.inStore {
		target = ""
	}
	p.links.reserve(p.store, p.storeLinkTokens(c, source, target), p.now)
	return source, target
}

// storeLinkTokens is how many tokens are expected to cross the store's link.
// Transfers to another failure domain take longer and count accordingly.
func (p prompt) storeLinkTokens(c choice, source, target string) float64 {
	tokens := 0.0
	if source == p.store.Store {
		tokens += float64(c.sharedToTransfer)
	}
	if target != "" {
		tokens += float64(c.uncachedShared)
	}
	if c.endpoint.Node.Domain != p.store.Domain {
		tokens *= crossDomainFactor
	}
	return tokens
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
