package route

import (
	"slices"

	"github.com/baobabtally/baobabtally/pkg/member"
)

// ranked is an endpoint with its weight in rendezvous hashing.
type ranked struct {
	name   string
	index  int
	weight uint64
}

// favour appends the endpoints that rendezvous hashing favours for the
// shared part of q's prefix, best first.
func (v View) favour(top []ranked, q Query, pool []member.Endpoint) []ranked {
	if len(q.Hashes) == 0 {
		return top
	}
	// Of a short prompt the first half is taken to be shared.
	key := q.Hashes[min(keyBlock, (len(q.Hashes)-1)/2)]
	for i, e := range pool {
		w := e.Weight(key)
		if len(top) == favoured && w <= top[favoured-1].weight {
			continue
		}
		if !v.allows(q, e) {
			continue
		}
		if len(top) == favoured {
			top = top[:favoured-1]
		}
		at := 0
		for at < len(top) && top[at].weight >= w {
			at++
		}
		top = slices.Insert(top, at, ranked{
			name:   e.Node.Name,
			index:  i,
			weight: w,
		})
	}
	return top
}
