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

// Router is a routing strategy.
type Router uint8

const (
	// Baobabtally is the strategy of the product.
	Baobabtally Router = iota
	// Oracle is the strategy of the product with exact and immediate knowledge of
	// caches and loads.
	Oracle
	// Random chooses endpoints at random.
	Random
	// LeastLoad chooses the endpoint with the least load.
	LeastLoad
	// ConsistentHash chooses by rendezvous hashing of the prefix alone.
	ConsistentHash
	// BoundedHash is ConsistentHash with bounded loads.
	BoundedHash
)

// Routers lists all strategies, the product's first.
var Routers = []Router{Baobabtally, Oracle, Random, LeastLoad, ConsistentHash, BoundedHash}

// String returns the router's name in tables.
func (r Router) String() string {
	return [...]string{"baobabtally", "oracle", "random", "least load", "hash", "bounded hash"}[r%6]
}

const (
	// hashedBlock is the block whose hash the hash baselines use as the key. It
	// lies within the shared prefix, so that each shared prefix maps to one
	// endpoint.
	hashedBlock = 16
	// loadBound is the load relative to the average that BoundedHash allows.
	loadBound = 1.25
)

// chooser is the interface through which core chooses endpoints.
type chooser interface {
	Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool)
}

func (r Router) chooser(f *fleet, rnd *rand.Rand) chooser {
	switch r {
	case Oracle:
		return oracleChooser{
			fleet: f,
		}
	case Random:
		return randomChooser{
			rnd: rnd,
		}
	case LeastLoad:
		return leastLoadChooser{}
	case ConsistentHash:
		return hashChooser{
			bound: 0,
		}
	case BoundedHash:
		return hashChooser{
			bound: loadBound,
		}
	default:
		return route.Best{}
	}
}

// oracleChooser chooses by the actual state of the engines.
type oracleChooser struct{ fleet *fleet }

// Choose returns the best endpoint by the engines' actual caches and loads.
func (o oracleChooser) Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool) {
	v.Cache = o
	v.Loads = o
	return route.Choose(q, pool, v)
}

// AppendHits appends the blocks that each engine has cached.
func (o oracleChooser) AppendHits(buf []prefix.Hit, hashes []uint64, _ time.Time) []prefix.Hit {
	for name, e := range o.fleet.engines {
		if n := e.model.CachedBlocks(hashes); n > 0 {
			buf = append(buf, prefix.Hit{
				Endpoint: name,
				Epoch:    e.epochName(),
				Blocks:   n,
			})
		}
	}
	return buf
}

// Work returns the current work of an engine.
func (o oracleChooser) Work(endpoint string, _ load.Work, _ float64, _ time.Time) load.Work {
	now := o.fleet.engines[endpoint].model.Load()
	return load.Work{
		Calls:         now.Running + now.Waiting,
		PrefillTokens: now.PrefillTokens,
	}
}

type randomChooser struct{ rnd *rand.Rand }

// Choose returns a random endpoint.
func (r randomChooser) Choose(_ route.Query, pool []member.Endpoint, _ route.View) (route.Choice, bool) {
	if len(pool) == 0 {
		return route.Choice{}, false
	}
	return route.Choice{
		Endpoint: pool[r.rnd.IntN(len(pool))],
	}, true
}

type leastLoadChooser struct{}

// Choose returns the endpoint with the least load.
func (leastLoadChooser) Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool) {
	q.Hashes = nil
	return route.Choose(q, pool, v)
}

// hashChooser chooses the endpoint that the prefix hashes to. With a bound above
// 0 it skips endpoints whose load exceeds the bound.
type hashChooser struct{ bound float64 }

// Choose returns the endpoint with the highest hash weight for the prefix.
func (h hashChooser) Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool) {
	if len(pool) == 0 || len(q.Hashes) == 0 {
		return route.Choice{}, false
	}
	key := strconv.FormatUint(q.Hashes[min(hashedBlock, len(q.Hashes)-1)], 16)
	calls := make([]int, len(pool))
	sum := 1
	for i, e := range pool {
		calls[i] = v.Loads.Work(e.Node.Name, v.Own.Work(e.Node.Name), e.Report.Prefill, q.Now).Calls
		sum += calls[i]
	}
	best, highest := -1, uint64(0)
	for i, e := range pool {
		if h.bound > 0 && float64(calls[i]+1) > h.bound*float64(sum)/float64(len(pool))+1 {
			continue
		}
		if w := xxhash.Sum64String(e.Node.Name + key); best < 0 || w > highest {
			best, highest = i, w
		}
	}
	if best < 0 {
		best = 0
	}
	return route.Choice{
		Endpoint: pool[best],
	}, true
}
