package route

import (
	"slices"

	"github.com/baobabtally/baobabtally/pkg/member"
)

// preferredEndpoint is an endpoint with its weight in rendezvous hashing.
type preferredEndpoint struct {
	name string
	// index is the position of the endpoint in the pool.
	index  int
	weight uint64
}

// preferredEndpoints appends to preferred the endpoints with the highest rendezvous
// weights for the shared part of q's prompt, the highest first. It appends at most
// maxPreferred endpoints that may serve q.
func (v View) preferredEndpoints(preferred []preferredEndpoint, q Query, pool []member.Endpoint) []preferredEndpoint {
	if len(q.Hashes) == 0 {
		return preferred
	}
	// Assume that the first half of a short prompt is shared.
	key := q.Hashes[min(rendezvousBlock, (len(q.Hashes)-1)/2)]
	for i, e := range pool {
		w := e.Weight(key)
		if len(preferred) == maxPreferred && w <= preferred[maxPreferred-1].weight {
			continue
		}
		if !v.allows(q, e) {
			continue
		}
		if len(preferred) == maxPreferred {
			preferred = preferred[:maxPreferred-1]
		}
		pos := 0
		for pos < len(preferred) && preferred[pos].weight >= w {
			pos++
		}
		preferred = slices.Insert(preferred, pos, preferredEndpoint{
			name:   e.Node.Name,
			index:  i,
			weight: w,
		})
	}
	return preferred
}
