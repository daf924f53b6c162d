package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/route"
)

// Router is a way to choose endpoints.
type Router uint8

const (
	// Ours is the product's way.
	Ours Router = iota
	// Oracle is the product's way with exact knowledge of caches and loads at once.
	Oracle
	// Random takes any endpoint.
	Random
	// Least takes the endpoint with the least load.
	Least
	// Hash is a pure consistent hash of the prefix.
	Hash
	// Bounded is a consistent hash with bounded load.
	Bounded
)

// Routers are all ways, the product's first.
var Routers = []Router{Ours, Oracle, Random, Least, Hash, Bounded}

// String returns the router's name in tables.
func (r Router) String() string {
	return [...]string{"baobabtally", "oracle", "random", "least load", "hash", "bounded hash"}[r%6]
}

const (
	// keyBlock is the block at whose depth the hash baselines tell prefixes
	// apart: within the sheet, so that each sheet has its endpoint.
	keyBlock = 16
	// bound is the load over the average that bounded hashing allows.
	bound = 1.25
)

// chooser is what core takes.
type chooser interface {
	Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool)
}

func (r Router) chooser(f *fleet, rnd *rand.Rand) chooser {
	switch r {
	case Oracle:
		return oracle{
			fleet: f,
		}
	case Random:
		return random{
			rnd: rnd,
		}
	case Least:
		return least{}
	case Hash:
		return hashed{
			bound: 0,
		}
	case Bounded:
		return hashed{
			bound: bound,
		}
	default:
		return route.Best{}
	}
}

// oracle chooses with the engines' own state.
type oracle struct{ fleet *fleet }

// Choose returns the best endpoint by what is really so.
func (o oracle) Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool) {
	v.Cache = o
	v.Loads = o
	return route.Choose(q, pool, v)
}

// AppendHits returns what the engines hold.
func (o oracle) AppendHits(buf []prefix.Hit, hashes []uint64, _ time.Time) []prefix.Hit {
	for name, e := range o.fleet.engines {
		if n := e.model.Cached(hashes); n > 0 {
			buf = append(buf, prefix.Hit{
				Endpoint: name,
				Epoch:    e.epochName(),
				Blocks:   n,
			})
		}
	}
	return buf
}

// Work returns an engine's load.
func (o oracle) Work(endpoint string, _ load.Work, _ float64, _ time.Time) load.Work {
	now := o.fleet.engines[endpoint].model.Load()
	return load.Work{
		Calls:         now.Running + now.Waiting,
		PrefillTokens: now.Tokens,
	}
}

type random struct{ rnd *rand.Rand }

// Choose returns any endpoint.
func (r random) Choose(_ route.Query, pool []member.Endpoint, _ route.View) (route.Choice, bool) {
	if len(pool) == 0 {
		return route.Choice{}, false
	}
	return route.Choice{
		Endpoint: pool[r.rnd.IntN(len(pool))],
	}, true
}

type least struct{}

// Choose returns the endpoint with the least load.
func (least) Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool) {
	q.Hashes = nil
	return route.Choose(q, pool, v)
}

// hashed takes the endpoint that the prefix hashes to, or with a bound the
// first that is not over it.
type hashed struct{ bound float64 }

// Choose returns the endpoint of the prefix.
func (h hashed) Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool) {
	if len(pool) == 0 || len(q.Hashes) == 0 {
		return route.Choice{}, false
	}
	key := strconv.FormatUint(q.Hashes[min(keyBlock, len(q.Hashes)-1)], 16)
	calls := make([]int, len(pool))
	sum := 1
	for i, e := range pool {
		calls[i] = v.Loads.Work(e.Node.Name, v.Own.Work(e.Node.Name), e.Report.Prefill, q.Now).Calls
		sum += calls[i]
	}
	best, most := -1, uint64(0)
	for i, e := range pool {
		if h.bound > 0 && float64(calls[i]+1) > h.bound*float64(sum)/float64(len(pool))+1 {
			continue
		}
		if w := xxhash.Sum64String(e.Node.Name + key); best < 0 || w > most {
			best, most = i, w
		}
	}
	if best < 0 {
		best = 0
	}
	return route.Choice{
		Endpoint: pool[best],
	}, true
}
