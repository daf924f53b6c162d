package prefix

import (
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// maxHolders is the most endpoints that are kept for one block.
	maxHolders = 8
	// minLife and maxLife bound the learned lifetime of an entry.
	minLife = 1 * time.Second
	maxLife = 60 * time.Second
	// firstLife is the lifetime before anything is learned.
	firstLife = 20 * time.Second
	// shorten and lengthen are the steps in which a lifetime is learned.
	shorten  = 0.8
	lengthen = 1.05
	// MaxBlocks is the most blocks of one generation of an index.
	MaxBlocks = 1 << 20
)

// Index maps the hashes of blocks to the endpoints that hold them. The zero
// value is empty. An Index is immutable; the With methods share structure.
type Index struct {
	// young and old are two generations of blocks. The old one is dropped
	// whole, so that expiry costs nothing for each entry.
	young *immutable.Map[uint64, holders]
	old   *immutable.Map[uint64, holders]
	// turned is when the young generation began.
	turned time.Time
	// sources holds what is known of each endpoint.
	sources *immutable.Map[string, source]
}

// holders is the endpoints of one block. Invariant: never written once stored.
type holders []holder

type holder struct {
	endpoint string
	epoch    string
	learned  time.Time
}

type source struct {
	// epoch is the endpoint's incarnation and weights.
	epoch string
	// void is the time up to which entries are not believed.
	void time.Time
	// life is how long an entry is believed.
	life time.Duration
	// seq is the number of the last event.
	seq int64
}

// Hit is an endpoint that is believed to hold the first blocks of a prompt.
type Hit struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Epoch is the endpoint's epoch in which it stored them.
	Epoch string
	// Blocks is how many leading blocks it holds. Invariant: above 0.
	Blocks int
}

// hasher spreads block hashes, which are random already.
type hasher struct{}

// Hash folds the key to 32 bits.
func (hasher) Hash(key uint64) uint32 { return uint32(key ^ key>>32) }

// Equal compares two keys.
func (hasher) Equal(a, b uint64) bool { return a == b }

// Lookup returns the endpoints that hold the first blocks of hashes.
func (ix Index) Lookup(hashes []uint64, now time.Time) []Hit {
	return ix.AppendHits(nil, hashes, now)
}

// AppendHits appends the hits for hashes to buf, so that a caller can reuse it.
func (ix Index) AppendHits(buf []Hit, hashes []uint64, now time.Time) []Hit {
	for i, hash := range hashes {
		grown := false
		for _, gen := range [...]*immutable.Map[uint64, holders]{ix.young, ix.old} {
			if gen == nil {
				continue
			}
			hs, _ := gen.Get(hash)
			for _, h := range hs {
				if !ix.believed(h, now) {
					continue
				}
				if extend(&buf, h, i) {
					grown = true
				}
			}
		}
		if !grown {
			break
		}
	}
	return buf
}

// extend counts block i for its holder if all blocks before it were counted.
func extend(hits *[]Hit, of holder, i int) bool {
	for j := range *hits {
		h := &(*hits)[j]
		if h.Endpoint != of.endpoint {
			continue
		}
		if h.Blocks == i {
			h.Blocks = i + 1
			return true
		}
		return h.Blocks == i+1
	}
	if i > 0 {
		return false
	}
	*hits = append(*hits, Hit{
		Endpoint: of.endpoint,
		Epoch:    of.epoch,
		Blocks:   1,
	})
	return true
}

// believed tells whether h is of its endpoint's present epoch, after the last
// gap and within its lifetime.
func (ix Index) believed(h holder, now time.Time) bool {
	src, ok := ix.source(h.endpoint)
	return ok && src.epoch == h.epoch && h.learned.After(src.void) && now.Sub(h.learned) < src.life
}

func (ix Index) source(endpoint string) (source, bool) {
	if ix.sources == nil {
		return source{}, false
	}
	return ix.sources.Get(endpoint)
}

// WithEpoch returns a copy of ix in which endpoint is in the given epoch. A
// new epoch voids all entries of earlier ones.
func (ix Index) WithEpoch(endpoint, epoch string) Index {
	src, ok := ix.source(endpoint)
	if ok && src.epoch == epoch {
		return ix
	}
	return ix.withSource(endpoint, source{
		epoch: epoch,
		life:  firstLife,
	})
}

// WithStored returns a copy of ix in which endpoint holds the blocks. Entries
// of an epoch that is not the present one are not taken.
func (ix Index) WithStored(endpoint, epoch string, hashes []uint64, now time.Time) Index {
	src, ok := ix.source(endpoint)
	if !ok || src.epoch != epoch || len(hashes) == 0 {
		return ix
	}
	ix = ix.turn(now)
	young := ix.young
	for _, hash := range hashes {
		hs, _ := young.Get(hash)
		young = young.Set(hash, hs.with(holder{
			endpoint: endpoint,
			epoch:    epoch,
			learned:  now,
		}))
	}
	ix.young = young
	return ix
}

// WithRemoved returns a copy of ix in which endpoint does not hold the blocks.
func (ix Index) WithRemoved(endpoint, epoch string, hashes []uint64) Index {
	src, ok := ix.source(endpoint)
	if !ok || src.epoch != epoch {
		return ix
	}
	ix.young = without(ix.young, endpoint, hashes)
	ix.old = without(ix.old, endpoint, hashes)
	return ix
}

// WithSeq returns a copy of ix after event number seq of endpoint, and whether
// events were lost before it. A loss voids everything learned up to now.
func (ix Index) WithSeq(endpoint, epoch string, seq int64, now time.Time) (Index, bool) {
	src, ok := ix.source(endpoint)
	if !ok || src.epoch != epoch || seq <= src.seq {
		return ix, false
	}
	lost := src.seq > 0 && seq != src.seq+1
	if lost {
		src.void = now
	}
	src.seq = seq
	return ix.withSource(endpoint, src), lost
}

// Seq returns the number of the last event of endpoint in its epoch.
func (ix Index) Seq(endpoint string) int64 {
	src, _ := ix.source(endpoint)
	return src.seq
}

// Epoch returns the epoch whose entries of endpoint are believed.
func (ix Index) Epoch(endpoint string) string {
	src, _ := ix.source(endpoint)
	return src.epoch
}

// WithOutcome returns a copy of ix that learned from an answer: endpoint was
// believed to hold expected blocks of hashes and held only actual.
func (ix Index) WithOutcome(endpoint, epoch string, hashes []uint64, expected, actual int) Index {
	src, ok := ix.source(endpoint)
	if !ok || src.epoch != epoch || expected == 0 {
		return ix
	}
	if actual >= expected {
		src.life = min(time.Duration(float64(src.life)*lengthen), maxLife)
		return ix.withSource(endpoint, src)
	}
	src.life = max(time.Duration(float64(src.life)*shorten), minLife)
	ix = ix.withSource(endpoint, src)
	return ix.WithRemoved(endpoint, epoch, hashes[actual:min(expected, len(hashes))])
}

// Blocks returns the number of blocks over both generations.
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

func (ix Index) withSource(endpoint string, src source) Index {
	if ix.sources == nil {
		ix.sources = immutable.NewMap[string, source](nil)
	}
	ix.sources = ix.sources.Set(endpoint, src)
	return ix
}

// turn begins a new generation when the young one is old enough or full.
func (ix Index) turn(now time.Time) Index {
	switch {
	case ix.young == nil:
	case now.Sub(ix.turned) < maxLife && ix.young.Len() < MaxBlocks:
		return ix
	}
	ix.old = ix.young
	ix.young = immutable.NewMap[uint64, holders](hasher{})
	ix.turned = now
	return ix
}

// with returns a copy of hs that holds h, without the oldest where it is full.
func (hs holders) with(h holder) holders {
	next := make(holders, 0, len(hs)+1)
	for _, other := range hs {
		if other.endpoint != h.endpoint {
			next = append(next, other)
		}
	}
	if len(next) == maxHolders {
		next = next[1:]
	}
	return append(next, h)
}

func without(gen *immutable.Map[uint64, holders], endpoint string, hashes []uint64) *immutable.Map[uint64, holders] {
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
			if h.endpoint != endpoint {
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
