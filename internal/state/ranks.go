package state

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/pkg/member"
)

// OperatorsTable and RegistryTable stand for these tables among the endpoints that are
// ranked.
const (
	OperatorsTable = "operators"
	RegistryTable  = "registry"
)

// Ranks holds how many instances go before this one, by rendezvous hash, for each
// of some endpoints. All instances that know the same peers compute the same ranks
// without exchanging messages. The zero value is empty.
type Ranks struct {
	// peers are the instances from which the ranks are derived, and hashes the
	// hashes of their names. Invariant: neither is written in place.
	peers  []member.Node
	hashes []uint64
	own    uint64
	// ranks is keyed by endpoint.
	ranks *immutable.Map[string, int]
}

// WithPeers returns the ranks among self and peers. They are derived anew only if the
// peers have changed or if more than limit endpoints are ranked. Since the slice of
// peers is never written in place, the same slice means the same peers.
func (r Ranks) WithPeers(self string, peers []member.Node, limit int) Ranks {
	if r.ranks != nil && sameSlice(r.peers, peers) && r.ranks.Len() <= limit {
		return r
	}
	r = Ranks{
		peers:  peers,
		hashes: make([]uint64, len(peers)),
		own:    xxhash.Sum64String(self),
		ranks:  immutable.NewMap[string, int](nil),
	}
	for i := range peers {
		r.hashes[i] = xxhash.Sum64String(peers[i].Name)
	}
	return r
}

// WithEndpoint returns r, to which WithPeers was applied, with the rank for endpoint.
func (r Ranks) WithEndpoint(endpoint string) Ranks {
	if _, ok := r.ranks.Get(endpoint); !ok {
		r.ranks = r.ranks.Set(endpoint, r.rank(xxhash.Sum64String(endpoint)))
	}
	return r
}

// Of returns how many instances go before this one for endpoint, and false if
// WithEndpoint was not applied to it.
func (r Ranks) Of(endpoint string) (int, bool) {
	if r.ranks == nil {
		return 0, false
	}
	return r.ranks.Get(endpoint)
}

// First returns the first n peers for key, by rendezvous hashing. Instances that agree on who
// belongs to the fleet differ in themselves only.
func (r Ranks) First(key string, n int) []member.Node {
	hash := xxhash.Sum64String(key)
	weights := make([]uint64, 0, n)
	out := make([]member.Node, 0, n)
	for i, h := range r.hashes {
		weight := member.Endpoint{
			Hash: h,
		}.Weight(hash)
		at, _ := slices.BinarySearchFunc(weights, weight, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at >= n {
			continue
		}
		weights = slices.Insert(weights[:min(len(weights), n-1)], at, weight)
		out = slices.Insert(out[:min(len(out), n-1)], at, r.peers[i])
	}
	return out
}

// rank returns how many peers have a greater weight than this instance for the
// endpoint with the given hash.
func (r Ranks) rank(endpoint uint64) int {
	weight := func(instance uint64) uint64 {
		return member.Endpoint{
			Hash: instance,
		}.Weight(endpoint)
	}
	own, before := weight(r.own), 0
	for _, h := range r.hashes {
		if weight(h) > own {
			before++
		}
	}
	return before
}

// sameSlice reports whether a and b are the same elements in memory.
func sameSlice(a, b []member.Node) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
