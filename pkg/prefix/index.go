package prefix

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// maxBlockHolders is the maximum number of endpoints that are recorded for one
	// block in one generation.
	maxBlockHolders = 8
	// minTTL and maxTTL limit the adaptive TTL of entries.
	minTTL = 1 * time.Second
	maxTTL = 60 * time.Second
	// initialTTL is the TTL of entries before the first true or false hit.
	initialTTL = 20 * time.Second
	// ttlDecrease and ttlIncrease are the factors by which false and true hits adapt
	// the TTL.
	ttlDecrease = 0.8
	ttlIncrease = 1.05
	// MaxGenerationBlocks is the number of blocks at which a new generation of an index
	// is started.
	MaxGenerationBlocks = 1 << 20
)

// Index maps block hashes to the endpoints that have the blocks cached. The zero value
// is empty. An Index is immutable; the With methods share structure.
type Index struct {
	// young and old are two generations of blocks. The old one is dropped as a whole,
	// so that expiry needs no work for each entry.
	young *immutable.Map[uint64, holders]
	old   *immutable.Map[uint64, holders]
	// rotatedAt is when the young generation was started.
	rotatedAt time.Time
	// endpoints holds the state of each endpoint, keyed by name.
	endpoints *immutable.Map[string, endpointState]
	// endpointNames holds the names of the endpoints, keyed by the ids of their current
	// epochs. It doesn't contain ids of earlier epochs.
	endpointNames *immutable.Map[uint64, string]
	// lastID is the last id that was assigned to an epoch.
	lastID uint64
}

// holders is the endpoints that hold one block, the least recently recorded first.
// Invariant: never modified once stored.
type holders []holder

// holder records that an endpoint holds a block in one of its epochs.
type holder struct {
	// id identifies the epoch of the endpoint, so that a new epoch invalidates the
	// entry.
	id uint64
	// storedAt is when the entry was recorded, in nanoseconds since the Unix epoch.
	storedAt int64
}

// endpointState is the state of an endpoint in its current epoch.
type endpointState struct {
	// id identifies the epoch of the endpoint in holders.
	id uint64
	// epoch is the endpoint's incarnation and weight version.
	epoch string
	// invalidUntil is the time up to which recorded entries are invalid, in nanoseconds
	// since the Unix epoch.
	invalidUntil int64
	// ttl is how long an entry is valid after it was recorded.
	ttl time.Duration
	// seq is the sequence number of the last event.
	seq int64
}

// Hit is an endpoint that is expected to hold the leading blocks of a prompt.
type Hit struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Epoch is the epoch in which the endpoint stored them.
	Epoch string
	// Blocks is the number of leading blocks that it holds. Invariant: above 0.
	Blocks int
}

// hasher hashes the keys of maps. The keys are block hashes, which are already uniformly
// distributed, or ids.
type hasher struct{}

// Hash folds key to 32 bits.
func (hasher) Hash(key uint64) uint32 { return uint32(key ^ key>>32) }

// Equal reports whether a and b are equal.
func (hasher) Equal(a, b uint64) bool { return a == b }

// Lookup returns the endpoints that hold leading blocks of hashes.
func (ix Index) Lookup(hashes []uint64, now time.Time) []Hit {
	return ix.AppendHits(nil, hashes, now)
}

// AppendHits appends the hits for hashes to buf, so that the buffer can be reused.
func (ix Index) AppendHits(buf []Hit, hashes []uint64, now time.Time) []Hit {
	if len(hashes) == 0 || ix.endpointNames == nil {
		return buf
	}
	var matchBuf [2 * maxBlockHolders]match
	matches := ix.firstMatches(matchBuf[:0], hashes[0], now)
	nanos := now.UnixNano()
	for i, hash := range hashes {
		if !ix.extendMatches(matches, hash, i, nanos) {
			break
		}
	}
	for _, m := range matches {
		buf = append(buf, Hit{
			Endpoint: m.name,
			Epoch:    m.state.epoch,
			Blocks:   m.blocks,
		})
	}
	return buf
}

// Holders returns the endpoints that are expected to hold the block with the given hash.
func (ix Index) Holders(hash uint64, now time.Time) []string {
	if ix.endpointNames == nil {
		return nil
	}
	var matchBuf [2 * maxBlockHolders]match
	var out []string
	for _, m := range ix.firstMatches(matchBuf[:0], hash, now) {
		out = append(out, m.name)
	}
	return out
}

// match counts the leading blocks that an endpoint holds.
type match struct {
	name   string
	state  endpointState
	blocks int
}

// firstMatches appends a match for each endpoint that holds the first block.
func (ix Index) firstMatches(matches []match, first uint64, now time.Time) []match {
	for _, gen := range ix.generations() {
		hs, _ := gen.Get(first)
		for _, h := range hs {
			name, ok := ix.endpointNames.Get(h.id)
			if !ok || slices.ContainsFunc(matches, func(m match) bool { return m.state.id == h.id }) {
				continue
			}
			state, _ := ix.endpoints.Get(name)
			if state.isValid(h, now.UnixNano()) {
				matches = append(matches, match{
					name:  name,
					state: state,
				})
			}
		}
	}
	return matches
}

// extendMatches adds block i to each match that has all blocks before it and whose
// endpoint holds block i. It reports whether it extended any match.
func (ix Index) extendMatches(matches []match, hash uint64, i int, now int64) bool {
	extended := false
	for _, gen := range [...]*immutable.Map[uint64, holders]{ix.young, ix.old} {
		if gen == nil {
			continue
		}
		hs, _ := gen.Get(hash)
		for _, h := range hs {
			for j := range matches {
				m := &matches[j]
				if m.state.id != h.id {
					continue
				}
				if m.blocks == i && m.state.isValid(h, now) {
					m.blocks++
					extended = true
				}
				break
			}
		}
	}
	return extended
}

// generations returns the existing generations, the young one first.
func (ix Index) generations() []*immutable.Map[uint64, holders] {
	switch {
	case ix.young == nil:
		return nil
	case ix.old == nil:
		return []*immutable.Map[uint64, holders]{ix.young}
	}
	return []*immutable.Map[uint64, holders]{ix.young, ix.old}
}

// isValid reports whether h was recorded after the last gap and has not expired at now,
// in nanoseconds since the Unix epoch.
func (state endpointState) isValid(h holder, now int64) bool {
	return h.storedAt > state.invalidUntil && now-h.storedAt < int64(state.ttl)
}

func (ix Index) endpointState(endpoint string) (endpointState, bool) {
	if ix.endpoints == nil {
		return endpointState{}, false
	}
	return ix.endpoints.Get(endpoint)
}

// WithEpoch returns a copy of ix in which epoch is the current epoch of endpoint. A new
// epoch invalidates all entries of earlier ones.
func (ix Index) WithEpoch(endpoint, epoch string) Index {
	state, ok := ix.endpointState(endpoint)
	if ok && state.epoch == epoch {
		return ix
	}
	if ix.endpointNames == nil {
		ix.endpointNames = immutable.NewMap[uint64, string](hasher{})
	}
	if ok {
		ix.endpointNames = ix.endpointNames.Delete(state.id)
	}
	ix.lastID++
	ix.endpointNames = ix.endpointNames.Set(ix.lastID, endpoint)
	return ix.withEndpoint(endpoint, endpointState{
		id:    ix.lastID,
		epoch: epoch,
		ttl:   initialTTL,
	})
}

// WithStored returns a copy of ix in which endpoint holds the blocks. Blocks of an epoch
// other than the current one are ignored.
func (ix Index) WithStored(endpoint, epoch string, hashes []uint64, now time.Time) Index {
	state, ok := ix.endpointState(endpoint)
	if !ok || state.epoch != epoch || len(hashes) == 0 {
		return ix
	}
	ix = ix.rotated(now)
	young := ix.young
	for _, hash := range hashes {
		hs, _ := young.Get(hash)
		young = young.Set(hash, hs.with(holder{
			id:       state.id,
			storedAt: now.UnixNano(),
		}))
	}
	ix.young = young
	return ix
}

// WithRemoved returns a copy of ix in which endpoint doesn't hold the blocks.
func (ix Index) WithRemoved(endpoint, epoch string, hashes []uint64) Index {
	state, ok := ix.endpointState(endpoint)
	if !ok || state.epoch != epoch {
		return ix
	}
	ix.young = withoutHolder(ix.young, state.id, hashes)
	ix.old = withoutHolder(ix.old, state.id, hashes)
	return ix
}

// WithSeq returns a copy of ix in which seq is the sequence number of the last event of
// endpoint, and whether events were lost before it. A loss invalidates all entries of
// the endpoint that were recorded up to now.
func (ix Index) WithSeq(endpoint, epoch string, seq int64, now time.Time) (Index, bool) {
	state, ok := ix.endpointState(endpoint)
	if !ok || state.epoch != epoch || seq <= state.seq {
		return ix, false
	}
	lost := state.seq > 0 && seq != state.seq+1
	if lost {
		state.invalidUntil = now.UnixNano()
	}
	state.seq = seq
	return ix.withEndpoint(endpoint, state), lost
}

// WithNext returns a copy of ix in which next is the position from which the events of
// endpoint are read next, as the endpoint reported it. If the endpoint also reported
// lost events, all its entries that were recorded up to now are invalid.
func (ix Index) WithNext(endpoint, epoch string, next int64, lost bool, now time.Time) Index {
	state, ok := ix.endpointState(endpoint)
	if !ok || state.epoch != epoch {
		return ix
	}
	if lost {
		state.invalidUntil = now.UnixNano()
	}
	state.seq = next
	return ix.withEndpoint(endpoint, state)
}

// Seq returns the recorded position in endpoint's event stream in its current epoch.
func (ix Index) Seq(endpoint string) int64 {
	state, _ := ix.endpointState(endpoint)
	return state.seq
}

// Epoch returns the current epoch of endpoint.
func (ix Index) Epoch(endpoint string) string {
	state, _ := ix.endpointState(endpoint)
	return state.epoch
}

// WithOutcome returns a copy of ix that is adapted to a response: endpoint was expected
// to hold the first expected blocks of hashes and held the first actual ones.
func (ix Index) WithOutcome(endpoint, epoch string, hashes []uint64, expected, actual int) Index {
	state, ok := ix.endpointState(endpoint)
	if !ok || state.epoch != epoch || expected == 0 {
		return ix
	}
	if actual >= expected {
		state.ttl = min(time.Duration(float64(state.ttl)*ttlIncrease), maxTTL)
		return ix.withEndpoint(endpoint, state)
	}
	state.ttl = max(time.Duration(float64(state.ttl)*ttlDecrease), minTTL)
	ix = ix.withEndpoint(endpoint, state)
	return ix.WithRemoved(endpoint, epoch, hashes[actual:min(expected, len(hashes))])
}

// Blocks returns the total number of blocks in both generations.
func (ix Index) Blocks() int {
	n := 0
	if ix.young != nil {
		n += ix.young.Len()
	}
	if ix.old != nil {
		n += ix.old.Len()
	}
	return n
}

func (ix Index) withEndpoint(endpoint string, state endpointState) Index {
	if ix.endpoints == nil {
		ix.endpoints = immutable.NewMap[string, endpointState](nil)
	}
	ix.endpoints = ix.endpoints.Set(endpoint, state)
	return ix
}

// rotated returns a copy of ix with a new young generation if there is none yet or if
// the current one is at least maxTTL old or full.
func (ix Index) rotated(now time.Time) Index {
	switch {
	case ix.young == nil:
	case now.Sub(ix.rotatedAt) < maxTTL && ix.young.Len() < MaxGenerationBlocks:
		return ix
	}
	ix.old = ix.young
	ix.young = immutable.NewMap[uint64, holders](hasher{})
	ix.rotatedAt = now
	return ix
}

// with returns a copy of hs that contains h, without the oldest holder if hs is full.
func (hs holders) with(h holder) holders {
	next := make(holders, 0, len(hs)+1)
	for _, other := range hs {
		if other.id != h.id {
			next = append(next, other)
		}
	}
	if len(next) == maxBlockHolders {
		next = next[1:]
	}
	return append(next, h)
}

// withoutHolder returns a copy of gen in which the epoch id doesn't hold the blocks.
func withoutHolder(gen *immutable.Map[uint64, holders], id uint64, hashes []uint64) *immutable.Map[uint64, holders] {
	if gen == nil {
		return nil
	}
	for _, hash := range hashes {
		hs, ok := gen.Get(hash)
		if !ok {
			continue
		}
		next := make(holders, 0, len(hs))
		for _, h := range hs {
			if h.id != id {
				next = append(next, h)
			}
		}
		if len(next) == 0 {
			gen = gen.Delete(hash)
			continue
		}
		gen = gen.Set(hash, next)
	}
	return gen
}
