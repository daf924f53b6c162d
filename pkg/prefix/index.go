package prefix

import (
	"slices"
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
	// sources holds what is known of each endpoint, by name.
	sources *immutable.Map[string, source]
	// names holds the names of the endpoints by the ids of their present
	// epochs. Ids of earlier epochs are not in it.
	names *immutable.Map[uint64, string]
	// last is the last id that was given.
	last uint64
}

// holders is the endpoints of one block. Invariant: never written once stored.
type holders []holder

// holder is an endpoint in one epoch.
type holder struct {
	// id is that of the endpoint's epoch, so that a new epoch voids the entry.
	id uint64
	// learned is when the entry was learned, in nanoseconds since 1970.
	learned int64
}

type source struct {
	// id stands for the endpoint in this epoch.
	id uint64
	// epoch is the endpoint's incarnation and weights.
	epoch string
	// void is the time up to which entries are not believed.
	void int64
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
	if len(hashes) == 0 || ix.names == nil {
		return buf
	}
	var runBuf [2 * maxHolders]run
	runs := ix.begin(runBuf[:0], hashes[0], now)
	nanos := now.UnixNano()
	for i, hash := range hashes {
		if !ix.extend(runs, hash, i, nanos) {
			break
		}
	}
	for _, r := range runs {
		buf = append(buf, Hit{
			Endpoint: r.name,
			Epoch:    r.src.epoch,
			Blocks:   r.blocks,
		})
	}
	return buf
}

// Holders returns the endpoints that are believed to hold the block of hash.
func (ix Index) Holders(hash uint64, now time.Time) []string {
	if ix.names == nil {
		return nil
	}
	var runBuf [2 * maxHolders]run
	var out []string
	for _, r := range ix.begin(runBuf[:0], hash, now) {
		out = append(out, r.name)
	}
	return out
}

// run is how many leading blocks one endpoint holds.
type run struct {
	name   string
	src    source
	blocks int
}

// begin appends a run for each endpoint that holds the first block.
func (ix Index) begin(runs []run, first uint64, now time.Time) []run {
	for _, gen := range ix.generations() {
		hs, _ := gen.Get(first)
		for _, h := range hs {
			name, ok := ix.names.Get(h.id)
			if !ok || slices.ContainsFunc(runs, func(r run) bool { return r.src.id == h.id }) {
				continue
			}
			src, _ := ix.sources.Get(name)
			if src.believes(h, now.UnixNano()) {
				runs = append(runs, run{
					name: name,
					src:  src,
				})
			}
		}
	}
	return runs
}

// extend counts block i for each run that has all blocks before it, and tells
// whether any run grew.
func (ix Index) extend(runs []run, hash uint64, i int, now int64) bool {
	grown := false
	for _, gen := range [...]*immutable.Map[uint64, holders]{ix.young, ix.old} {
		if gen == nil {
			continue
		}
		hs, _ := gen.Get(hash)
		for _, h := range hs {
			for j := range runs {
				r := &runs[j]
				if r.src.id != h.id {
					continue
				}
				if r.blocks == i && r.src.believes(h, now) {
					r.blocks++
					grown = true
				}
				break
			}
		}
	}
	return grown
}

// generations returns the generations that there are.
func (ix Index) generations() []*immutable.Map[uint64, holders] {
	switch {
	case ix.young == nil:
		return nil
	case ix.old == nil:
		return []*immutable.Map[uint64, holders]{ix.young}
	}
	return []*immutable.Map[uint64, holders]{ix.young, ix.old}
}

// believes tells whether h was learned after the last gap and within its
// lifetime, at a time in nanoseconds since 1970.
func (src source) believes(h holder, now int64) bool {
	return h.learned > src.void && now-h.learned < int64(src.life)
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
	if ix.names == nil {
		ix.names = immutable.NewMap[uint64, string](hasher{})
	}
	if ok {
		ix.names = ix.names.Delete(src.id)
	}
	ix.last++
	ix.names = ix.names.Set(ix.last, endpoint)
	return ix.withSource(endpoint, source{
		id:    ix.last,
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
			id:      src.id,
			learned: now.UnixNano(),
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
	ix.young = without(ix.young, src.id, hashes)
	ix.old = without(ix.old, src.id, hashes)
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
		src.void = now.UnixNano()
	}
	src.seq = seq
	return ix.withSource(endpoint, src), lost
}

// WithNext returns a copy of ix in which the events of endpoint are known before
// number next. Where the endpoint itself says that events are lost, everything
// learned up to now is void.
func (ix Index) WithNext(endpoint, epoch string, next int64, lost bool, now time.Time) Index {
	src, ok := ix.source(endpoint)
	if !ok || src.epoch != epoch {
		return ix
	}
	if lost {
		src.void = now.UnixNano()
	}
	src.seq = next
	return ix.withSource(endpoint, src)
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
		if other.id != h.id {
			next = append(next, other)
		}
	}
	if len(next) == maxHolders {
		next = next[1:]
	}
	return append(next, h)
}

func without(gen *immutable.Map[uint64, holders], id uint64, hashes []uint64) *immutable.Map[uint64, holders] {
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
