package load

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// digestLife is how long the digest of a silent peer counts.
const digestLife = 3 * time.Second

// Work is work in progress at an endpoint.
type Work struct {
	// Calls is how many calls run or wait.
	Calls int
	// Tokens is how many prompt tokens are still to be read.
	Tokens int
	// Unread is how many calls have such tokens.
	Unread int
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	return Work{
		Calls:  w.Calls + o.Calls,
		Tokens: w.Tokens + o.Tokens,
		Unread: w.Unread + o.Unread,
	}
}

// Digest is what an instance tells its peers of its own work.
type Digest struct {
	// At is when the digest came in.
	At time.Time
	// Work is by endpoint. Invariant: never written once stored.
	Work map[string]Work
	// Usage is the cost served in the last interval by team. Invariant: never written.
	Usage map[string]float64
}

// Table is the load of all endpoints as others report it. The zero value is empty.
type Table struct {
	// reports is by endpoint.
	reports *immutable.Map[string, stamped]
	// digests is by peer.
	digests *immutable.Map[string, Digest]
}

type stamped struct {
	work Work
	at   time.Time
}

// Aged returns w as it should be after some time in which the endpoint read
// drain prompt tokens a second.
func (w Work) Aged(drain float64, since time.Duration) Work {
	w.Tokens = max(0, w.Tokens-int(drain*since.Seconds()))
	return w
}

// WithReport returns a copy of t in which endpoint reported w.
func (t Table) WithReport(endpoint string, w Work, now time.Time) Table {
	if t.reports == nil {
		t.reports = immutable.NewMap[string, stamped](nil)
	}
	t.reports = t.reports.Set(endpoint, stamped{
		work: w,
		at:   now,
	})
	return t
}

// WithDigest returns a copy of t with the digest of peer.
func (t Table) WithDigest(peer string, d Digest) Table {
	if t.digests == nil {
		t.digests = immutable.NewMap[string, Digest](nil)
	}
	t.digests = t.digests.Set(peer, d)
	return t
}

// Peers returns the work of all peers at endpoint, which reads drain prompt
// tokens a second.
func (t Table) Peers(endpoint string, drain float64, now time.Time) Work {
	var sum Work
	if t.digests == nil {
		return sum
	}
	itr := t.digests.Iterator()
	for !itr.Done() {
		_, d, _ := itr.Next()
		if now.Sub(d.At) < digestLife {
			sum = sum.Plus(d.Work[endpoint].Aged(drain, now.Sub(d.At)))
		}
	}
	return sum
}

// Usage returns the cost that peers served for team in the last interval.
func (t Table) Usage(team string, now time.Time) float64 {
	sum := 0.0
	if t.digests == nil {
		return sum
	}
	itr := t.digests.Iterator()
	for !itr.Done() {
		_, d, _ := itr.Next()
		if now.Sub(d.At) < digestLife {
			sum += d.Usage[team]
		}
	}
	return sum
}

// Work returns the best estimate of the work at endpoint, which reads drain
// prompt tokens a second, given the exact work of this instance.
func (t Table) Work(endpoint string, own Work, drain float64, now time.Time) Work {
	known := own.Plus(t.Peers(endpoint, drain, now))
	if t.reports == nil {
		return known
	}
	r, ok := t.reports.Get(endpoint)
	if !ok || now.Sub(r.at) >= digestLife {
		return known
	}
	aged := r.work.Aged(drain, now.Sub(r.at))
	return Work{
		Calls:  max(known.Calls, aged.Calls),
		Tokens: max(known.Tokens, aged.Tokens),
	}
}
