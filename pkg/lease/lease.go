package lease

import (
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// Length is how long a lease holds without renewal.
	Length = 6 * time.Second
	// renewEvery is how often a holder renews and a rival reads.
	renewEvery = 2 * time.Second
	// lastPlace bounds how much less often a rival reads the row.
	lastPlace = 20
	// Margin is how much longer a rival waits.
	Margin = 1 * time.Second
	// turnStep is by how much one rival lets another go first, where a lease was
	// given back: some answers of the table.
	turnStep = 100 * time.Millisecond
	// clockLife is for how long a reading of the table's clock is reckoned on from:
	// clocks that differ by 100 in a million are 60 ms apart by then.
	clockLife = 10 * time.Minute
)

// Op is a call to the table.
type Op struct {
	// Put is false for a read.
	Put bool
	// Row is the row to write if its version is the given one.
	Row store.Row
	// Sent is when the operation was planned.
	Sent time.Time
}

// Lease is one instance's view of a lease.
type Lease struct {
	// key is the row.
	key string
	// self identifies the incarnation of this instance.
	self string
	// row is the last row that was seen, and since when it is unchanged.
	row  store.Row
	seen time.Time
	// told is seen where a peer showed the row.
	told time.Time
	// until is when this instance's hold ends; zero where it holds nothing.
	until time.Time
	// next is when to ask the table again.
	next time.Time
	// fence is the number of this instance's hold.
	fence int64
	// used is until when orders of this instance may be on their way; the zero time
	// where it gave none.
	used time.Time
	// clock is the last reading of the table's clock.
	clock store.Clock
	// yield tells that the lease is not to be taken or renewed.
	yield bool
	// length, renew and quiet are the times of this lease.
	length time.Duration
	renew  time.Duration
	quiet  time.Duration
	// place is how many others are to take the lease before this one.
	place int
}

// Option changes a lease that New makes.
type Option func(*Lease)

// WithLength sets how long a hold lasts without renewal and how often it is
// renewed.
func WithLength(length, renew time.Duration) Option {
	return func(l *Lease) {
		l.length = length
		l.renew = renew
	}
}

// WithQuiet has a new holder wait for d after the last hold may have ended.
// Endpoints that do not check fencing numbers then see no two holders within d.
func WithQuiet(d time.Duration) Option {
	return func(l *Lease) { l.quiet = d }
}

// New returns the view of an instance that holds nothing.
func New(key, self string, opts ...Option) Lease {
	l := Lease{
		key:    key,
		self:   self,
		length: Length,
		renew:  renewEvery,
	}
	for _, o := range opts {
		o(&l)
	}
	return l
}

// Plan returns what to ask of the table now, if anything, and the lease after
// asking.
func (l Lease) Plan(now time.Time) (Op, Lease, bool) {
	if now.Before(l.next) {
		return Op{}, l, false
	}
	holder, fence := decode(l.row.Value)
	if l.follows(holder, now) || l.yield && !l.seen.IsZero() && holder != l.self {
		return Op{}, l, false
	}
	l.next = now.Add(l.renew)
	if holder != l.self {
		l.next = now.Add(l.renew * time.Duration(1+l.place))
	}
	if turn, ok := l.turn(); ok && now.Before(turn) {
		l.next = turn
	}
	op := Op{
		Sent: now,
		Row: store.Row{
			Key:     l.key,
			Version: l.row.Version,
		},
	}
	switch {
	case l.seen.IsZero():
	case l.yield:
		op.Put = true
		op.Row.Value = encodeFree(fence, l.idle(now), l.stamp(now))
	case holder == l.self && now.Before(l.until):
		op.Put = true
		op.Row.Value = encode(l.self, fence, l.stamp(now))
	case l.free(holder, fence, now):
		op.Put = true
		op.Row.Value = encode(l.self, fence+1, l.stamp(now))
	}
	return op, l, true
}

// follows tells that peers keep this instance informed of another's hold, so
// that the table need not be read.
func (l Lease) follows(holder string, now time.Time) bool {
	return !l.told.IsZero() && l.told.Equal(l.seen) && holder != l.self && holder != "" &&
		now.Sub(l.seen) < l.length+l.quiet+Margin
}

// free tells whether this instance may take the lease. The row of its own hold
// proves that nobody else held the lease since.
func (l Lease) free(holder string, fence int64, now time.Time) bool {
	switch holder {
	case l.self:
		return l.quiet > 0 || now.Sub(l.seen) >= l.length+Margin
	case "":
		turn, ok := l.turn()
		return fence == 0 || ok && !now.Before(turn)
	}
	return now.Sub(l.seen) >= l.length+l.quiet+Margin
}

// turn returns when this instance may take a lease that was given back. Those
// that are to take it before this one go first, if they are there.
func (l Lease) turn() (time.Time, bool) {
	holder, fence := decode(l.row.Value)
	if holder != "" || fence == 0 || l.seen.IsZero() || l.yield {
		return time.Time{}, false
	}
	rest := max(l.quiet-idleOf(l.row.Value), 0)
	return l.seen.Add(rest + turnStep*time.Duration(l.place)), true
}

// inTurn returns the lease after a row was seen: where it was given back, the
// table is asked again when this instance may take it.
func (l Lease) inTurn() Lease {
	if turn, ok := l.turn(); ok {
		l.next = turn
	}
	return l
}

// WithTold returns the lease after a peer showed a row that it knows to be
// unchanged for the given time. The write that takes the lease fails where the
// row has changed since.
func (l Lease) WithTold(row store.Row, unchanged time.Duration, now time.Time) Lease {
	since := now.Add(-unchanged)
	if row.Version == 0 || row.Version < l.row.Version {
		return l
	}
	if row.Version == l.row.Version {
		return l.withSeen(since)
	}
	l.row = row
	l.seen = since
	l.told = since
	if holder, _ := decode(row.Value); holder != l.self {
		l.until = time.Time{}
	}
	return l.inTurn()
}

// withSeen returns the lease where the row is known to be unchanged since the
// given time. The time of an own write stays.
func (l Lease) withSeen(since time.Time) Lease {
	if holder, _ := decode(l.row.Value); holder == l.self || !since.Before(l.seen) {
		return l
	}
	if l.told.Equal(l.seen) {
		l.told = since
	}
	l.seen = since
	return l.inTurn()
}

// Row returns the last row that was seen.
func (l Lease) Row() store.Row { return l.row }

// Unchanged returns for how long the row is known to be unchanged at now.
func (l Lease) Unchanged(now time.Time) time.Duration {
	if l.seen.IsZero() {
		return 0
	}
	return max(now.Sub(l.seen), 0)
}

// WithRow returns the lease after a read that was answered at now. The row may
// have been written until then.
func (l Lease) WithRow(row store.Row, err error, now time.Time) Lease {
	if errors.Is(err, store.ErrMissing) {
		row = store.Row{
			Key: l.key,
		}
		err = nil
	}
	if err != nil || row.Version < l.row.Version {
		return l
	}
	if l.seen.IsZero() || row.Version != l.row.Version {
		l.seen = now
	}
	l.row = row
	if holder, _ := decode(row.Value); holder != l.self {
		l.until = time.Time{}
	}
	if age, ok := l.clock.Since(stampOf(row.Value)); ok {
		l = l.withSeen(now.Add(-age))
	}
	return l.inTurn()
}

// WithClock returns the lease after a reading of the table's clock.
func (l Lease) WithClock(c store.Clock) Lease {
	if c.Reading > 0 {
		l.clock = c
	}
	return l
}

// stamp returns what the table's clock shows at now at most, or 0 where that is
// not known.
func (l Lease) stamp(now time.Time) time.Duration {
	if l.clock.Reading == 0 || now.Sub(l.clock.Asked) > clockLife {
		return 0
	}
	return l.clock.Reading + now.Sub(l.clock.Asked)
}

// WithPut returns the lease after a write that was planned as op.
func (l Lease) WithPut(op Op, version int64, err error) Lease {
	if err != nil {
		// The row is read again before anything else: a lost answer may have
		// renewed the lease, but only a known renewal counts.
		l.row.Version = 0
		l.seen = time.Time{}
		l.next = op.Sent
		return l
	}
	l.row = op.Row
	l.row.Version = version
	l.seen = op.Sent
	l.next = op.Sent.Add(l.renew)
	holder, fence := decode(op.Row.Value)
	l.until = time.Time{}
	if holder == l.self {
		l.until = op.Sent.Add(l.length)
		l.fence = fence
		if l.yield {
			// The lease was to be given back while its renewal was under way.
			l.next = time.Time{}
		}
	}
	return l
}

// WithUsed returns the lease after an order that may be on its way until the
// given time.
func (l Lease) WithUsed(until time.Time) Lease {
	if until.After(l.used) {
		l.used = until
	}
	return l
}

// idle returns for how long no order was on its way; it is negative where one may
// still be. A hold under which none was given began when the quiet time of the one
// before was over.
func (l Lease) idle(now time.Time) time.Duration {
	if l.used.IsZero() {
		return l.quiet
	}
	return min(now.Sub(l.used), l.quiet)
}

// WithPlace returns the lease of an instance before which others are to take it.
// It reads the row less often, so that a large fleet asks little of the table.
func (l Lease) WithPlace(others int) Lease {
	l.place = min(others, lastPlace)
	return l
}

// WithYield returns a lease that is given back and not taken again.
func (l Lease) WithYield() Lease {
	if l.yield {
		return l
	}
	l.yield = true
	l.next = time.Time{}
	return l
}

// Valid tells whether this instance holds the lease until deadline at least.
// It is checked just before each order with the order's own deadline.
func (l Lease) Valid(now, deadline time.Time) bool {
	return !l.yield && now.Before(l.until) && !deadline.After(l.until)
}

// Held tells whether somebody is known to hold the lease at now.
func (l Lease) Held(now time.Time) bool {
	holder, _ := decode(l.row.Value)
	return holder != "" && !l.seen.IsZero() && now.Sub(l.seen) < l.length+Margin
}

// Holder returns who was last seen to hold the lease, or "another instance".
func (l Lease) Holder() string {
	if holder, _ := decode(l.row.Value); holder != "" {
		return holder
	}
	return "another instance"
}

// Fence returns the fencing number of this instance's hold.
func (l Lease) Fence() int64 { return l.fence }

// Until returns when the hold ends.
func (l Lease) Until() time.Time { return l.until }
