package load

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// digestTTL is how long a peer's digest or an endpoint's report is used when no
// newer one arrives.
const digestTTL = 3 * time.Second

// Work is the load of an endpoint.
type Work struct {
	// Calls is the number of running and waiting calls.
	Calls int
	// PrefillTokens is the number of uncached prompt tokens that are still to be prefilled.
	PrefillTokens int
	// PrefillCalls is the number of calls whose prefill has not ended.
	PrefillCalls int
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	return Work{
		Calls:         w.Calls + o.Calls,
		PrefillTokens: w.PrefillTokens + o.PrefillTokens,
		PrefillCalls:  w.PrefillCalls + o.PrefillCalls,
	}
}

// Digest is the summary of its own work that an instance sends to its peers.
type Digest struct {
	// At is when the digest was received.
	At time.Time
	// Work is keyed by endpoint. Invariant: never modified once stored.
	Work map[string]Work
	// Usage is the cost served in the last interval, keyed by team. Invariant: never
	// modified once stored.
	Usage map[string]float64
}

// Table is the load of all endpoints as peers and the endpoints themselves report
// it. The zero value is empty.
type Table struct {
	// reports is keyed by endpoint.
	reports *immutable.Map[string, report]
	// digests is keyed by peer.
	digests *immutable.Map[string, Digest]
	// shares holds the peers' work by endpoint, so that the work at one endpoint is
	// found without a search of all digests. Invariant: it holds what the digests
	// hold, except for digests that have expired; its slices are never written in
	// place.
	shares *immutable.Map[string, []share]
}

// share is the work of one peer at one endpoint.
type share struct {
	peer string
	at   time.Time
	work Work
}

// report is the load that an endpoint reported at a time.
type report struct {
	work Work
	at   time.Time
}

// Aged returns the estimate of w after the duration since, in which the endpoint
// prefilled prefillRate tokens per second.
func (w Work) Aged(prefillRate float64, since time.Duration) Work {
	w.PrefillTokens = max(0, w.PrefillTokens-int(prefillRate*since.Seconds()))
	return w
}

// WithReport returns a copy of t with the load w that endpoint reported.
func (t Table) WithReport(endpoint string, w Work, now time.Time) Table {
	if t.reports == nil {
		t.reports = immutable.NewMap[string, report](nil)
	}
	t.reports = t.reports.Set(endpoint, report{
		work: w,
		at:   now,
	})
	return t
}

// WithDigest returns a copy of t with the latest digest of peer.
func (t Table) WithDigest(peer string, d Digest) Table {
	if t.digests == nil {
		t.digests = immutable.NewMap[string, Digest](nil)
		t.shares = immutable.NewMap[string, []share](nil)
	}
	last, _ := t.digests.Get(peer)
	for endpoint := range last.Work {
		if _, ok := d.Work[endpoint]; !ok {
			t.shares = withoutShare(t.shares, endpoint, peer, d.At)
		}
	}
	for endpoint, w := range d.Work {
		t.shares = withoutShare(t.shares, endpoint, peer, d.At)
		others, _ := t.shares.Get(endpoint)
		t.shares = t.shares.Set(endpoint, append(slices.Clip(others), share{
			peer: peer,
			at:   d.At,
			work: w,
		}))
	}
	t.digests = t.digests.Set(peer, d)
	return t
}

// withoutShare returns shares without the work of peer at endpoint and without what
// expired there before now.
func withoutShare(shares *immutable.Map[string, []share], endpoint, peer string, now time.Time) *immutable.Map[string, []share] {
	all, ok := shares.Get(endpoint)
	if !ok {
		return shares
	}
	var kept []share
	for _, s := range all {
		if s.peer != peer && now.Sub(s.at) < digestTTL {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return shares.Delete(endpoint)
	}
	return shares.Set(endpoint, kept)
}

// PeerWork returns the estimated work of all peers at endpoint, which prefills
// prefillRate tokens per second.
func (t Table) PeerWork(endpoint string, prefillRate float64, now time.Time) Work {
	var sum Work
	if t.shares == nil {
		return sum
	}
	all, _ := t.shares.Get(endpoint)
	for _, s := range all {
		if since := now.Sub(s.at); since < digestTTL {
			sum = sum.Plus(s.work.Aged(prefillRate, since))
		}
	}
	return sum
}

// Usage returns the cost that all peers served for team in the last interval.
func (t Table) Usage(team string, now time.Time) float64 {
	sum := 0.0
	if t.digests == nil {
		return sum
	}
	itr := t.digests.Iterator()
	for !itr.Done() {
		_, d, _ := itr.Next()
		if now.Sub(d.At) < digestTTL {
			sum += d.Usage[team]
		}
	}
	return sum
}

// Work returns the best estimate of the work at endpoint, which prefills
// prefillRate tokens per second. own is the exact work of this instance there.
func (t Table) Work(endpoint string, own Work, prefillRate float64, now time.Time) Work {
	known := own.Plus(t.PeerWork(endpoint, prefillRate, now))
	if t.reports == nil {
		return known
	}
	r, ok := t.reports.Get(endpoint)
	if !ok || now.Sub(r.at) >= digestTTL {
		return known
	}
	aged := r.work.Aged(prefillRate, now.Sub(r.at))
	return Work{
		Calls:         max(known.Calls, aged.Calls),
		PrefillTokens: max(known.PrefillTokens, aged.PrefillTokens),
		PrefillCalls:  max(known.PrefillCalls, aged.PrefillCalls),
	}
}
