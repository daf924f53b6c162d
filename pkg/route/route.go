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
	// scoreAll is the size of a pool up to which every endpoint is scored.
	scoreAll = 32
	// favoured is how many endpoints rendezvous hashing names for a prefix.
	favoured = 3
	// sampled is how many random endpoints of a large pool are scored besides.
	sampled = 4
	// keyBlock is the block at whose depth prefixes have endpoints of their own:
	// deeper than what a team's prompts have in common, and not as deep as what
	// each request adds.
	keyBlock = 16
	// guessShare is the share of a prompt that the first favoured endpoint is
	// taken to have cached; each further one is taken to have nextShare of that.
	guessShare = 0.9
	nextShare  = 0.5
	// readWeight is how much a token that has to be read counts beside a token
	// of waiting. Reading holds up others and puts out blocks that others
	// would have hit, so that the fastest choice for one request is dear for
	// all.
	readWeight = 16.0
	// defaultPrefill, in tokens a second, stands in before the first report.
	defaultPrefill = 8000.0
	// defaultSlots stands in before the first report.
	defaultSlots = 16
	// defaultStep stands in before the first report.
	defaultStep = 30 * time.Millisecond
	// turnTokens is how many steps an answer holds its slot on average.
	turnTokens = 64
	// keptSlots is how many slots of each endpoint normal work leaves to urgent
	// work.
	keptSlots = 1
	// fullCost is added to an endpoint without a free slot. It is less than
	// reading a long prompt costs, so that a flood does not spread every prefix
	// over all endpoints.
	fullCost = 500 * time.Millisecond
)

// Reason says why an endpoint was chosen.
type Reason uint8

const (
	// ByLoad means that the endpoint had the shortest wait.
	ByLoad Reason = iota
	// ByPrefix means that the endpoint holds part of the prompt.
	ByPrefix
	// ByHash means that rendezvous hashing favours the endpoint.
	ByHash
	// ByForce means that all endpoints were suspect and one had to be tried.
	ByForce
)

// String returns the reason as it stands in logs.
func (r Reason) String() string { return [...]string{"load", "prefix", "hash", "force"}[r%4] }

// Query is what has to be known of a request.
type Query struct {
	// Hashes are the block hashes of the prompt.
	Hashes []uint64
	// Tokens is the length of the prompt.
	Tokens int
	// Domain is the failure domain of the instance.
	Domain string
	// Serve says which endpoints may be chosen.
	Serve label.Selector
	// Tried are endpoints that failed this request before.
	Tried []string
	// Now is the time of the decision.
	Now time.Time
	// Urgent tells whether the request may take the slots that are kept.
	Urgent bool
	// Seed makes the random choices of large pools.
	Seed uint64
}

// Choice is the endpoint that was chosen and why.
type Choice struct {
	// Endpoint is the endpoint.
	Endpoint member.Endpoint
	// Reason is what decided.
	Reason Reason
	// Cached is the number of prompt tokens that are believed to be cached.
	Cached int
	// Blocks is the number of blocks that are believed to be cached.
	Blocks int
	// Epoch is the endpoint's epoch in which they were stored.
	Epoch string
	// Missed is the number of prompt tokens to be read.
	Missed int
	// Wait is the expected wait before the prompt is read.
	Wait time.Duration
	// Expected is the expected time to first token.
	Expected time.Duration
	// Considered is how many endpoints were scored.
	Considered int
	// cost is what the choice costs this request and others; the least wins.
	cost time.Duration
}

// cache tells which endpoints hold a prefix.
type cache interface {
	AppendHits(buf []prefix.Hit, hashes []uint64, now time.Time) []prefix.Hit
}

// loads tells how much work an endpoint has.
type loads interface {
	Work(endpoint string, own load.Work, drain float64, now time.Time) load.Work
}

// gauge tells how much of that work is this instance's own.
type gauge interface {
	Work(endpoint string) load.Work
}

// nodes tells which endpoints calls may be sent to.
type nodes interface {
	Trusted(e member.Endpoint, now time.Time) bool
	Heard(name string) time.Time
}

// View is the state on which a choice is made.
type View struct {
	// Nodes is what is known of the endpoints.
	Nodes nodes
	// Cache is the prefix index.
	Cache cache
	// Loads is the load of endpoints as others report it.
	Loads loads
	// Own is the exact load from this instance.
	Own gauge
	// Distance is the added time to reach another failure domain.
	Distance time.Duration
}

// Best chooses as Choose does. The zero value is ready.
type Best struct{}

// Choose returns the best endpoint of pool.
func (Best) Choose(q Query, pool []member.Endpoint, v View) (Choice, bool) {
	return Choose(q, pool, v)
}

// Choose returns the endpoint of pool with the least cost, or false where none may serve q.
func Choose(q Query, pool []member.Endpoint, v View) (Choice, bool) {
	var hitBuf [16]prefix.Hit
	hits := v.Cache.AppendHits(hitBuf[:0], q.Hashes, q.Now)
	var topBuf [favoured]ranked
	top := v.favour(topBuf[:0], q, pool)
	best := Choice{
		cost: math.MaxInt64,
	}
	considered := 0
	try := func(e member.Endpoint) {
		if !v.allows(q, e) {
			return
		}
		considered++
		if c := v.score(q, e, hits, top); c.cost < best.cost {
			best = c
		}
	}
	if len(pool) <= scoreAll {
		for _, e := range pool {
			try(e)
		}
	} else {
		q.few(pool, hits, top, try)
	}
	if considered == 0 {
		return q.force(pool, v)
	}
	best.Considered = considered
	return best, true
}

// allows tells whether e may serve q.
func (v View) allows(q Query, e member.Endpoint) bool {
	return v.Nodes.Trusted(e, q.Now) && !slices.Contains(q.Tried, e.Node.Name) && q.Serve.Matches(e.Node.Labels)
}

// few tries the holders of the prefix, the favoured and some random endpoints.
func (q Query) few(pool []member.Endpoint, hits []prefix.Hit, top []ranked, try func(member.Endpoint)) {
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
	for _, t := range top {
		try(pool[t.index])
	}
	r := rand.New(rand.NewPCG(q.Seed, uint64(q.Now.UnixNano())))
	for range sampled {
		try(pool[r.IntN(len(pool))])
	}
}

// force chooses among endpoints that are not trusted, the one that was heard
// last, so that a wrong suspicion of all endpoints refuses no work.
func (q Query) force(pool []member.Endpoint, v View) (Choice, bool) {
	found := false
	var heard time.Time
	var best member.Endpoint
	for _, e := range pool {
		if slices.Contains(q.Tried, e.Node.Name) || !q.Serve.Matches(e.Node.Labels) {
			continue
		}
		if at := v.Nodes.Heard(e.Node.Name); !found || at.After(heard) {
			best = e
			heard = at
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

// score returns the choice of e with its expected time to first token.
func (v View) score(q Query, e member.Endpoint, hits []prefix.Hit, top []ranked) Choice {
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
	guess := 0
	credit := guessShare
	for i, t := range top {
		if t.name == e.Node.Name {
			guess = max(0, int(credit*float64(q.Tokens))-c.Cached)
			if i == 0 && guess > 0 {
				c.Reason = ByHash
			}
		}
		credit *= nextShare
	}
	c.Missed = q.Tokens - c.Cached
	rate := orElse(e.Report.Prefill, defaultPrefill)
	work := v.Loads.Work(e.Node.Name, v.Own.Work(e.Node.Name), rate, q.Now)
	wait, full := q.wait(e, work, rate)
	c.Wait = wait
	c.Expected = c.Wait + seconds(float64(c.Missed)/rate)
	c.cost = c.Wait + seconds(readWeight*float64(c.Missed-guess)/rate)
	if full {
		c.cost += fullCost
	}
	if e.Node.Domain != q.Domain {
		c.Expected += v.Distance
		c.cost += v.Distance
	}
	return c
}

// wait returns the expected time before a new call's prompt is read, and
// whether the call would first wait for a slot.
func (q Query) wait(e member.Endpoint, w load.Work, rate float64) (time.Duration, bool) {
	slots := e.Report.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	free := slots
	if !q.Urgent {
		free = max(1, slots-keptSlots)
	}
	d := seconds(float64(w.Tokens) / rate)
	over := w.Calls - free + 1
	if over <= 0 {
		return d, false
	}
	step := e.Report.Step
	if step == 0 {
		step = defaultStep
	}
	return d + step*turnTokens*time.Duration(over)/time.Duration(slots), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func orElse(v, fallback float64) float64 {
	if v <= 0 {
		return fallback
	}
	return v
}
