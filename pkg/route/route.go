package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
)

const (
	// maxFullScan is the size of a pool up to which every endpoint is scored.
	maxFullScan = 32
	// maxPreferred is the number of endpoints that rendezvous hashing prefers for a
	// prefix.
	maxPreferred = 3
	// randomCandidates is the number of random endpoints of a large pool that are
	// scored in addition.
	randomCandidates = 4
	// rendezvousBlock is the index of the block whose hash is the rendezvous key. It
	// lies after the text that all prompts of a team have in common, so that different
	// prefixes are spread over the endpoints, and before the text that is specific to
	// a request, so that requests with the same prefix prefer the same endpoints.
	rendezvousBlock = 16
	// assumedCachedRatio is the share of a prompt that the first preferred endpoint is
	// assumed to have cached. Each further one is assumed to have cached
	// assumedCachedDecay times as much as the one before it.
	assumedCachedRatio = 0.9
	assumedCachedDecay = 0.5
	// prefillCostFactor is the cost of prefilling a token of the request itself,
	// relative to waiting for the prefill of a token of another request. A prefill
	// delays other requests and evicts blocks that they would have hit, so that the
	// fastest choice for one request is expensive for all.
	prefillCostFactor = 16.0
	// defaultPrefillRate, in tokens per second, is used before the first report.
	defaultPrefillRate = 8000.0
	// defaultSlots is the number of slots used before the first report.
	defaultSlots = 16
	// defaultStep is the duration of a decoding step used before the first report.
	defaultStep = 30 * time.Millisecond
	// meanSlotSteps is the average number of steps for which a response occupies its
	// slot.
	meanSlotSteps = 64
	// reservedSlots is the number of slots of each endpoint that are reserved for
	// urgent requests.
	reservedSlots = 1
	// noFreeSlotCost is added to the cost of an endpoint without a free slot. It is
	// less than the cost of prefilling a long prompt, so that an overload doesn't
	// spread every prefix over all endpoints.
	noFreeSlotCost = 500 * time.Millisecond
)

// Reason is the main reason for which an endpoint was chosen.
type Reason uint8

const (
	// ByLoad means that the endpoint was chosen for its load and its distance only.
	ByLoad Reason = iota
	// ByPrefix means that the endpoint has part of the prompt cached.
	ByPrefix
	// ByHash means that rendezvous hashing prefers the endpoint.
	ByHash
	// ByForce means that no endpoint was trusted and the one that answered last was chosen.
	ByForce
)

// String returns the name of the reason in logs.
func (r Reason) String() string { return [...]string{"load", "prefix", "hash", "force"}[r%4] }

// Query holds the properties of a request on which the choice depends.
type Query struct {
	// Hashes are the block hashes of the prompt.
	Hashes []uint64
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// Domain is the failure domain of this instance.
	Domain string
	// Serve selects the endpoints that may be chosen.
	Serve label.Selector
	// Tried holds the names of the endpoints at which this request failed before.
	Tried []string
	// Now is the time of the decision.
	Now time.Time
	// Urgent is whether the request may use the reserved slots.
	Urgent bool
	// Seed seeds the random choice of candidates in large pools.
	Seed uint64
}

// Choice is the chosen endpoint with the figures on which the choice is based.
type Choice struct {
	// Endpoint is the chosen endpoint.
	Endpoint member.Endpoint
	// Reason is the main reason for the choice.
	Reason Reason
	// Cached is the number of prompt tokens that the index reports as cached.
	Cached int
	// Blocks is the number of prompt blocks that the index reports as cached.
	Blocks int
	// Epoch is the epoch in which the endpoint stored them.
	Epoch string
	// UncachedTokens is the number of prompt tokens that are not reported as cached.
	UncachedTokens int
	// Wait is the expected wait before the prefill starts.
	Wait time.Duration
	// Expected is the expected time to first token.
	Expected time.Duration
	// Considered is the number of endpoints that were scored.
	Considered int
	// cost is the expected cost of the choice for this request and for others. The
	// endpoint with the lowest cost is chosen.
	cost time.Duration
}

// prefixIndex finds the endpoints that have a prefix cached.
type prefixIndex interface {
	AppendHits(buf []prefix.Hit, hashes []uint64, now time.Time) []prefix.Hit
}

// loadTable estimates the total work of an endpoint, given the work of this instance.
type loadTable interface {
	Work(endpoint string, own load.Work, prefillRate float64, now time.Time) load.Work
}

// ownLoad returns the exact work of this instance at an endpoint.
type ownLoad interface {
	Work(endpoint string) load.Work
}

// nodeStates reports which endpoints are trusted to serve calls and when they
// last answered.
type nodeStates interface {
	Trusted(e member.Endpoint, now time.Time) bool
	LastAnswer(name string) time.Time
}

// View is the state on which a choice is based.
type View struct {
	// Nodes holds the health of the endpoints.
	Nodes nodeStates
	// Cache is the prefix index.
	Cache prefixIndex
	// Loads is the load of endpoints as peers and the endpoints themselves report it.
	Loads loadTable
	// Own is the exact load that this instance causes.
	Own ownLoad
	// Distance is the additional latency to endpoints in other failure domains.
	Distance time.Duration
}

// Best chooses endpoints with Choose. The zero value is ready to use.
type Best struct{}

// Choose returns the best endpoint of pool.
func (Best) Choose(q Query, pool []member.Endpoint, v View) (Choice, bool) {
	return Choose(q, pool, v)
}

// Choose returns the endpoint of pool with the lowest cost, and false if no endpoint may
// serve q. The pool must be sorted by name.
func Choose(q Query, pool []member.Endpoint, v View) (Choice, bool) {
	var hitBuf [16]prefix.Hit
	hits := v.Cache.AppendHits(hitBuf[:0], q.Hashes, q.Now)
	var preferredBuf [maxPreferred]preferredEndpoint
	preferred := v.preferredEndpoints(preferredBuf[:0], q, pool)
	best := Choice{
		cost: math.MaxInt64,
	}
	considered := 0
	try := func(e member.Endpoint) {
		if !v.allows(q, e) {
			return
		}
		considered++
		if c := v.score(q, e, hits, preferred); c.cost < best.cost {
			best = c
		}
	}
	if len(pool) <= maxFullScan {
		for _, e := range pool {
			try(e)
		}
	} else {
		q.tryCandidates(pool, hits, preferred, try)
	}
	if considered == 0 {
		return q.chooseUntrusted(pool, v)
	}
	best.Considered = considered
	return best, true
}

// allows reports whether e is trusted, selected by q and not tried before.
func (v View) allows(q Query, e member.Endpoint) bool {
	return v.Nodes.Trusted(e, q.Now) && !slices.Contains(q.Tried, e.Node.Name) && q.Serve.Matches(e.Node.Labels)
}

// tryCandidates tries the endpoints that have the prefix cached, the preferred endpoints
// and some random ones. They are few enough to score in a large pool.
func (q Query) tryCandidates(pool []member.Endpoint, hits []prefix.Hit, preferred []preferredEndpoint, try func(member.Endpoint)) {
	for _, h := range hits {
		i, ok := slices.BinarySearchFunc(pool, h.Endpoint, func(e member.Endpoint, name string) int {
			switch {
			case e.Node.Name < name:
				return -1
			case e.Node.Name > name:
				return 1
			}
			return 0
		})
		if ok {
			try(pool[i])
		}
	}
	for _, t := range preferred {
		try(pool[t.index])
	}
	r := rand.New(rand.NewPCG(q.Seed, uint64(q.Now.UnixNano())))
	for range randomCandidates {
		try(pool[r.IntN(len(pool))])
	}
}

// chooseUntrusted returns the endpoint that answered last, whether it is trusted or
// not, so that no request is rejected if all endpoints are wrongly suspected.
func (q Query) chooseUntrusted(pool []member.Endpoint, v View) (Choice, bool) {
	found := false
	var lastAnswer time.Time
	var best member.Endpoint
	for _, e := range pool {
		if slices.Contains(q.Tried, e.Node.Name) || !q.Serve.Matches(e.Node.Labels) {
			continue
		}
		if at := v.Nodes.LastAnswer(e.Node.Name); !found || at.After(lastAnswer) {
			best = e
			lastAnswer = at
			found = true
		}
	}
	if !found {
		return Choice{}, false
	}
	c := v.score(q, best, nil, nil)
	c.Reason = ByForce
	c.Considered = 1
	return c, true
}

// score returns the choice of e with its cost and expected time to first token.
func (v View) score(q Query, e member.Endpoint, hits []prefix.Hit, preferred []preferredEndpoint) Choice {
	c := Choice{
		Endpoint: e,
	}
	for _, h := range hits {
		if h.Endpoint == e.Node.Name {
			c.Reason = ByPrefix
			c.Blocks = h.Blocks
			c.Epoch = h.Epoch
			c.Cached = min(h.Blocks*prefix.BlockTokens, q.Tokens)
		}
	}
	assumedCached := 0
	ratio := assumedCachedRatio
	for i, t := range preferred {
		if t.name == e.Node.Name {
			assumedCached = max(0, int(ratio*float64(q.Tokens))-c.Cached)
			if i == 0 && assumedCached > 0 {
				c.Reason = ByHash
			}
		}
		ratio *= assumedCachedDecay
	}
	c.UncachedTokens = q.Tokens - c.Cached
	rate := orElse(e.Report.Prefill, defaultPrefillRate)
	work := v.Loads.Work(e.Node.Name, v.Own.Work(e.Node.Name), rate, q.Now)
	wait, full := q.expectedWait(e, work, rate)
	c.Wait = wait
	c.Expected = c.Wait + seconds(float64(c.UncachedTokens)/rate)
	c.cost = c.Wait + seconds(prefillCostFactor*float64(c.UncachedTokens-assumedCached)/rate)
	if full {
		c.cost += noFreeSlotCost
	}
	if e.Node.Domain != q.Domain {
		c.Expected += v.Distance
		c.cost += v.Distance
	}
	return c
}

// expectedWait returns the expected time before the prefill of a new call starts, and
// whether the call would have to wait for a slot.
func (q Query) expectedWait(e member.Endpoint, w load.Work, rate float64) (time.Duration, bool) {
	slots := e.Report.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	usable := slots
	if !q.Urgent {
		usable = max(1, slots-reservedSlots)
	}
	d := seconds(float64(w.PrefillTokens) / rate)
	excess := w.Calls - usable + 1
	if excess <= 0 {
		return d, false
	}
	step := e.Report.Step
	if step == 0 {
		step = defaultStep
	}
	return d + step*meanSlotSteps*time.Duration(excess)/time.Duration(slots), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func orElse(v, fallback float64) float64 {
	if v <= 0 {
		return fallback
	}
	return v
}
