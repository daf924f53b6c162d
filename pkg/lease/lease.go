package lease

import (
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// Length is the default time for which a lease is valid without renewal.
	Length = 6 * time.Second
	// defaultRenewInterval is the default time between two renewals of a holder and
	// between two reads of a rival.
	defaultRenewInterval = 2 * time.Second
	// maxRivalsAhead caps the number of rivals ahead that count, and with it how much
	// less often a rival reads the row and how long it waits before it takes a released
	// lease. If all rivals ahead end at once, the lease stays free for that long.
	maxRivalsAhead = 100
	// Margin is how long a rival waits after the lease's expiry before it takes over.
	Margin = 1 * time.Second
	// takeoverDelay is how much longer each rival waits than the one ahead of it
	// before it takes a released lease: a few round trips to the table.
	takeoverDelay = 100 * time.Millisecond
	// eraTokens is the number of fencing tokens of an era. Those of an era begin above all
	// of the one before, since the table may have forgotten the last ones.
	eraTokens = 1 << 20
	// maxClockAge is how long a reading of the table's clock is extrapolated. Clocks
	// whose rates differ by 100 ppm diverge by 60 ms in this time.
	maxClockAge = 10 * time.Minute
)

// Op is a read or write of the lease's row.
type Op struct {
	// Put reports whether the operation is a write.
	Put bool
	// Row is the row to write if the table's row has the same version.
	Row store.Row
	// Sent is when the operation was planned.
	Sent time.Time
}

// Lease is an instance's view of a lease.
type Lease struct {
	// key is the key of the lease's row.
	key string
	// self identifies the incarnation of the instance.
	self string
	// row is the last row that was seen; unchangedSince is since when it is known to
	// be unchanged, and zero if the row has to be read.
	row            store.Row
	unchangedSince time.Time
	// peerSince equals unchangedSince while that was last learned from a peer.
	peerSince time.Time
	// heldUntil is when the lease of this instance expires; zero if it holds none.
	heldUntil time.Time
	// nextCall is when the next call to the table is due.
	nextCall time.Time
	// token is the fencing token with which this instance held the lease last.
	token int64
	// maxSeen is the greatest fencing token that was seen in a row. Tokens do not go
	// back when a row is lost or replaced by one that can't be read.
	maxSeen int64
	// era is the table's era, and 0 for a table that has none. Invariant: row, clock and
	// unchangedSince were learned in it.
	era int64
	// risen reports whether the era rose since this instance knows the row.
	risen bool
	// inFlightUntil is the time until which an order of this instance may be in
	// flight; zero if it sent none.
	inFlightUntil time.Time
	// clock is the last reading of the table's clock.
	clock store.Clock
	// ordering reports whether the row says that this instance, which wrote it, may send
	// orders. due reports whether it has any to send.
	ordering bool
	due      bool
	// calling reports whether an operation on the row may be in flight.
	calling bool
	// note is the text that this instance passes on to the next holders.
	note string
	// releasing reports whether the instance releases the lease and does not take it again.
	releasing bool
	// length is the validity without renewal, renewInterval the time between
	// renewals, and quietPeriod the minimum time between orders of two holders.
	length        time.Duration
	renewInterval time.Duration
	quietPeriod   time.Duration
	// rivalsAhead is how many rivals take the lease in preference to this instance.
	rivalsAhead int
}

// Option configures a lease.
type Option func(*Lease)

// WithLength sets how long the lease is valid without renewal and the interval
// between renewals.
func WithLength(length, renew time.Duration) Option {
	return func(l *Lease) {
		l.length = length
		l.renewInterval = renew
	}
}

// WithQuietPeriod makes a new holder wait for d after the previous lease may have ended.
// Endpoints that do not check fencing tokens then get no orders of two holders within
// d of each other.
func WithQuietPeriod(d time.Duration) Option {
	return func(l *Lease) { l.quietPeriod = d }
}

// New returns the view of an instance that does not hold the lease.
func New(key, self string, opts ...Option) Lease {
	l := Lease{
		key:           key,
		self:          self,
		length:        Length,
		renewInterval: defaultRenewInterval,
	}
	for _, o := range opts {
		o(&l)
	}
	return l
}

// Plan returns the call to make to the table at now and the lease after sending it. It
// returns false if no call is due; the lease may have changed then, too.
func (l Lease) Plan(now time.Time) (Op, Lease, bool) {
	if l.nextCall.IsZero() && !l.releasing {
		// The rivals ahead read the row first, and their heartbeats may tell of it.
		l.nextCall = now.Add(l.rivalsDelay())
	}
	if now.Before(l.nextCall) && !l.mustDeclare(now) {
		return Op{}, l, false
	}
	holder, token := decodeHolder(l.row.Value)
	if l.informedByPeer(holder, now) || l.releasing && !l.unchangedSince.IsZero() && !l.mayRelease(holder, token, now) {
		return Op{}, l, false
	}
	l.nextCall = l.callAfter(holder, now)
	op := Op{
		Sent: now,
		Row: store.Row{
			Key:     l.key,
			Version: l.row.Version,
			Era:     l.era,
		},
	}
	l.calling = true
	if value := l.rowToWrite(holder, token, now); value != nil {
		op.Put, op.Row.Value = true, value
		// The row may be written at any time from now on.
		_, idle := heldIdleTime(value)
		l.ordering = l.ordering && !idle
	}
	return op, l, true
}

// callAfter returns when the call after one at now is due.
func (l Lease) callAfter(holder string, now time.Time) time.Time {
	if takeover, ok := l.takeoverTime(); ok && now.Before(takeover) {
		return takeover
	}
	if holder != l.self && !now.Before(l.heldUntil) {
		return now.Add(l.renewInterval * time.Duration(1+l.rivalsAhead))
	}
	return now.Add(l.renewInterval)
}

// rowToWrite returns the value to write to the row, or nil if the row has to be read.
func (l Lease) rowToWrite(holder string, token int64, now time.Time) []byte {
	idle := l.idleTime(now) >= 0
	switch {
	case l.unchangedSince.IsZero():
		return nil
	case l.releasing:
		return encodeReleased(max(token, l.token), l.idleTime(now), l.clockBound(now), l.note, l.era)
	case l.mayRestore(token, now):
		return l.heldRow(l.token, idle && !l.due, now)
	case holder == l.self && now.Before(l.heldUntil):
		return l.heldRow(token, idle && !l.due, now)
	case !l.current():
		return l.markRow(token, now)
	case l.mayTake(holder, now):
		return l.heldRow(l.nextToken(token), idle, now)
	}
	return nil
}

// nextToken returns the fencing token with which this instance takes a lease whose row
// has the given one.
func (l Lease) nextToken(token int64) int64 { return max(token, l.maxSeen, l.era*eraTokens) + 1 }

// current reports whether the row was written in the table's era. Any other one may come
// from an older copy of the table: it does not show who held the lease last. A missing row
// shows that nobody did only in the first era, and one without an era, of an older release,
// counts there until the era rises.
func (l Lease) current() bool {
	era := eraOf(l.row.Value)
	return era == l.era || era == 0 && l.era <= 1 && !l.risen
}

// markRow returns the row that replaces one of an earlier era. It has no holder, and says that
// the lease may have been held, and orders sent, until the latest time at which that is
// possible. Instances that start later need not observe the row for that long themselves.
func (l Lease) markRow(token int64, now time.Time) []byte {
	return encodeReleased(max(token, l.maxSeen, 1), -l.length-Margin, l.clockBound(now), "", l.era)
}

// marked reports whether the row is that of markRow: nobody has held the lease in this era.
func (l Lease) marked() bool {
	holder, token := decodeHolder(l.row.Value)
	return holder == "" && l.era > 0 && eraOf(l.row.Value) == l.era && token <= l.era*eraTokens
}

// mayRelease reports whether this instance holds the lease, so that it can release it.
func (l Lease) mayRelease(holder string, token int64, now time.Time) bool {
	return holder == l.self && l.current() || l.mayRestore(token, now)
}

// mayRestore reports whether this instance holds the lease, but the row with the given
// token comes from an older copy of the table that has lost this, or replaces one. Rivals
// wait until the lease has expired, from when they see the copy.
func (l Lease) mayRestore(token int64, now time.Time) bool {
	return (!l.current() || l.marked()) && now.Before(l.heldUntil) && token <= l.token
}

// mustDeclare reports whether the row has to say that orders follow before the next
// renewal.
func (l Lease) mustDeclare(now time.Time) bool {
	return l.due && !l.calling && !l.MayOrder(now, now) && l.Valid(now, now)
}

// heldRow returns the row of this instance as the holder. Where orders of two holders need
// a quiet period between them, idle says that this instance sends none under this row.
func (l Lease) heldRow(token int64, idle bool, now time.Time) []byte {
	return held{
		holder:   l.self,
		token:    token,
		clock:    l.clockBound(now),
		idle:     idle && l.quietPeriod > 0,
		idleTime: l.idleTime(now),
		note:     l.note,
		era:      l.era,
	}.encode()
}

// takeoverWait returns how long the row of another holder must have been unchanged before
// this instance may take the lease. The quiet period follows the end of the lease, unless
// the row says that no orders were sent under it.
func (l Lease) takeoverWait() time.Duration {
	if idle, ok := heldIdleTime(l.row.Value); ok {
		return max(l.length+Margin, l.quietPeriod-idle)
	}
	return l.length + l.quietPeriod + Margin
}

// informedByPeer reports whether a peer recently confirmed that another instance holds
// the lease, so that the table does not have to be read.
func (l Lease) informedByPeer(holder string, now time.Time) bool {
	return l.current() && !l.peerSince.IsZero() && l.peerSince.Equal(l.unchangedSince) && holder != l.self && holder != "" &&
		now.Sub(l.unchangedSince) < l.takeoverWait()+l.rivalsDelay()
}

// mayTake reports whether this instance may take the lease. If the row still names
// this instance, no other instance has held the lease since.
func (l Lease) mayTake(holder string, now time.Time) bool {
	switch holder {
	case l.self:
		return l.quietPeriod > 0 || now.Sub(l.unchangedSince) >= l.length+Margin
	case "":
		if takeover, ok := l.takeoverTime(); ok {
			return !now.Before(takeover)
		}
		// A lost or unreadable row does not show whether the lease is held.
	}
	return now.Sub(l.unchangedSince) >= l.takeoverWait()+l.rivalsDelay()
}

// rivalsDelay is how long this instance lets the rivals ahead of it take a lease that has
// ended, so that not all instances of a large fleet write the row at the same moment.
func (l Lease) rivalsDelay() time.Duration { return takeoverDelay * time.Duration(l.rivalsAhead) }

// takeoverTime returns when this instance may take a released lease. The rivals ahead
// of it may take it earlier. It returns false if the lease is not known to be released.
func (l Lease) takeoverTime() (time.Time, bool) {
	holder, token := decodeHolder(l.row.Value)
	switch {
	case l.unchangedSince.IsZero() || l.releasing:
		return time.Time{}, false
	case l.row.Version == 0 && l.maxSeen == 0:
		// Nobody has held the lease yet.
		return l.unchangedSince.Add(l.rivalsDelay()), true
	case holder != "" || token == 0 || !l.current():
		return time.Time{}, false
	}
	rest := min(max(l.quietPeriod-idleTimeOf(l.row.Value), 0), l.length+l.quietPeriod+Margin)
	return l.unchangedSince.Add(rest + l.rivalsDelay()), true
}

// withTakeoverScheduled returns the lease with its next call to the table at the
// takeover time, if the last row shows that the lease was released.
func (l Lease) withTakeoverScheduled() Lease {
	if takeover, ok := l.takeoverTime(); ok {
		l.nextCall = takeover
	}
	return l
}

// WithPeerRow returns the lease after a peer sent the row as it knows it, with the time
// for which the row has been unchanged. If the peer's row is outdated, a write that is
// based on it fails.
func (l Lease) WithPeerRow(row store.Row, unchanged time.Duration, now time.Time) Lease {
	since := now.Add(-unchanged)
	if row.Version == 0 || row.Version < l.row.Version {
		return l
	}
	if row.Version == l.row.Version {
		return l.withUnchangedSince(since)
	}
	next := l.withRow(row)
	if !next.current() {
		// To mark it takes a reading of the table's clock.
		return l
	}
	l = next
	l.unchangedSince = since
	l.peerSince = since
	return l.withoutLostHold().withTakeoverScheduled()
}

// withoutLostHold returns the lease without the hold of this instance if the row shows
// that it ended.
func (l Lease) withoutLostHold() Lease {
	holder, token := decodeHolder(l.row.Value)
	if holder != l.self && (l.current() && !l.marked() || token > l.token) {
		l.heldUntil = time.Time{}
	}
	return l
}

// WithEra returns the lease after the table's era became known at now. Rows and readings of
// the clock of an earlier era do not count any more: the row has to be read again, and no
// instance takes the lease before one that was held then must have expired.
func (l Lease) WithEra(era int64, now time.Time) Lease {
	if era <= l.era {
		return l
	}
	l.era = era
	l.risen = l.risen || l.maxSeen > 0
	l.row = store.Row{
		Key: l.key,
	}
	l.unchangedSince, l.peerSince = time.Time{}, time.Time{}
	l.clock = store.Clock{}
	switch {
	case now.Before(l.heldUntil):
		l.nextCall = now
	case l.maxSeen > 0:
		// The holder reads first, and the others may learn its row from a peer.
		l.nextCall = now.Add(takeoverDelay * time.Duration(1+l.rivalsAhead))
	}
	return l
}

// withUnchangedSince returns the lease with the knowledge that the row has been
// unchanged since the given time. It keeps the time of the instance's own writes.
func (l Lease) withUnchangedSince(since time.Time) Lease {
	if holder, _ := decodeHolder(l.row.Value); holder == l.self || !since.Before(l.unchangedSince) {
		return l
	}
	if l.peerSince.Equal(l.unchangedSince) {
		l.peerSince = since
	}
	l.unchangedSince = since
	return l.withTakeoverScheduled()
}

// Row returns the last row that was seen.
func (l Lease) Row() store.Row { return l.row }

// Unchanged returns how long the row is known to have been unchanged at now.
func (l Lease) Unchanged(now time.Time) time.Duration {
	if l.unchangedSince.IsZero() {
		return 0
	}
	return max(now.Sub(l.unchangedSince), 0)
}

// WithRow returns the lease after a read that was answered at now. A row that differs
// from the last one counts as unchanged only since now, because it may have been
// written at any time until then.
func (l Lease) WithRow(row store.Row, err error, now time.Time) Lease {
	l.calling = false
	if errors.Is(err, store.ErrMissing) {
		row = store.Row{
			Key: l.key,
		}
		err = nil
	}
	if err != nil || row.Version < l.row.Version || row.Era != l.era && row.Version != 0 {
		return l
	}
	if l.unchangedSince.IsZero() || row.Version != l.row.Version {
		l.unchangedSince = now
	}
	l = l.withRow(row).withoutLostHold()
	if age, ok := l.clock.Since(clockOf(row.Value)); ok && l.current() {
		l = l.withUnchangedSince(now.Add(-age))
	}
	if _, token := decodeHolder(row.Value); l.mayRestore(token, now) {
		l.nextCall = now
		return l
	}
	return l.withTakeoverScheduled()
}

// withRow returns the lease with row as the last row that was seen.
func (l Lease) withRow(row store.Row) Lease {
	_, token := decodeHolder(row.Value)
	l.row = row
	l.maxSeen = max(l.maxSeen, token)
	return l
}

// WithClock returns the lease with a reading of the table's clock.
func (l Lease) WithClock(c store.Clock) Lease {
	if c.Reading > 0 && c.Era == l.era {
		l.clock = c
	}
	return l
}

// clockBound returns an upper bound of the table's clock at now, or 0 if it is not
// known.
func (l Lease) clockBound(now time.Time) time.Duration {
	if l.clock.Reading == 0 || now.Sub(l.clock.SentAt) > maxClockAge {
		return 0
	}
	return l.clock.Reading + now.Sub(l.clock.SentAt)
}

// WithPut returns the lease after a write that was planned as op.
func (l Lease) WithPut(op Op, version int64, err error) Lease {
	l.calling = false
	if err != nil || op.Row.Era != l.era {
		// The row has to be read first: a write whose response was lost may have
		// renewed the lease, but only confirmed renewals count.
		l.row.Version = 0
		l.unchangedSince = time.Time{}
		l.nextCall = op.Sent
		return l
	}
	l = l.withRow(op.Row)
	l.row.Version = version
	l.unchangedSince = op.Sent
	l.nextCall = op.Sent.Add(l.renewInterval)
	holder, token := decodeHolder(op.Row.Value)
	if l.marked() && !l.releasing {
		return l.withTakeoverScheduled()
	}
	l.heldUntil = time.Time{}
	if holder == l.self {
		l.heldUntil = op.Sent.Add(l.length)
		l.token = token
		_, idle := heldIdleTime(op.Row.Value)
		l.ordering = !idle
		if l.releasing {
			// The lease was released while its renewal was in flight.
			l.nextCall = time.Time{}
		}
	}
	return l
}

// WithOrderInFlight returns the lease after an order that may be in flight until the given
// time.
func (l Lease) WithOrderInFlight(until time.Time) Lease {
	if until.After(l.inFlightUntil) {
		l.inFlightUntil = until
	}
	return l
}

// idleTime returns how long no order has been in flight, at most the quiet period. It
// is negative if one may still be in flight. If this holder sent no order, the quiet
// period has passed, because the lease was taken only after that of the previous holder.
func (l Lease) idleTime(now time.Time) time.Duration {
	if l.inFlightUntil.IsZero() {
		return l.quietPeriod
	}
	return min(now.Sub(l.inFlightUntil), l.quietPeriod)
}

// WithRivalsAhead returns the lease with the number of rivals that take it in preference to
// this instance. The more there are, the less often the instance reads the row, which
// limits the load of a large fleet on the table.
func (l Lease) WithRivalsAhead(others int) Lease {
	l.rivalsAhead = min(others, maxRivalsAhead)
	return l
}

// WithOrdersDue returns the lease with the knowledge whether this instance has orders to
// send. While it has none, the row says so, and the next holder need not wait for the quiet
// period.
func (l Lease) WithOrdersDue(due bool) Lease {
	l.due = due
	return l
}

// WithNote returns the lease with a text, without spaces, that each row of this instance
// passes on to the next holders.
func (l Lease) WithNote(note string) Lease {
	l.note = note
	return l
}

// Note returns the text in the last row that was seen. It is empty if the row may come from
// an older copy of the table, whose clock may be another one.
func (l Lease) Note() string {
	if !l.current() {
		return ""
	}
	return noteOf(l.row.Value)
}

// TableTime returns an upper bound of the table's clock at now. It returns false if the
// clock is not known.
func (l Lease) TableTime(now time.Time) (time.Duration, bool) {
	clock := l.clockBound(now)
	return clock, clock > 0
}

// AgeOfLater returns an upper bound of the age, at now, of a change of the table that has
// the given version. It returns false if that is not known: the last row that was seen must
// be older than the change and hold the table's clock.
func (l Lease) AgeOfLater(version int64, now time.Time) (time.Duration, bool) {
	clock, known := l.TableTime(now)
	written := clockOf(l.row.Value)
	if !known || !l.current() || written <= 0 || written > clock || l.row.Version == 0 || version <= l.row.Version {
		return 0, false
	}
	return clock - written, true
}

// WithRelease returns a lease that the instance releases and does not take again.
func (l Lease) WithRelease() Lease {
	if l.releasing {
		return l
	}
	l.releasing = true
	l.nextCall = time.Time{}
	return l
}

// Valid reports whether this instance holds the lease at least until deadline.
func (l Lease) Valid(now, deadline time.Time) bool {
	return !l.releasing && now.Before(l.heldUntil) && !deadline.After(l.heldUntil)
}

// MayOrder reports whether this instance may send an order that ends by deadline: it holds
// the lease until then, and the row says that it sends orders. It is checked immediately
// before each order.
func (l Lease) MayOrder(now, deadline time.Time) bool { return l.ordering && l.Valid(now, deadline) }

// Held reports whether any instance is known to hold the lease at now.
func (l Lease) Held(now time.Time) bool {
	holder, _ := decodeHolder(l.row.Value)
	return holder != "" && !l.unchangedSince.IsZero() && now.Sub(l.unchangedSince) < l.length+Margin
}

// Holder returns the last known holder of the lease, or "another instance".
func (l Lease) Holder() string {
	if holder, _ := decodeHolder(l.row.Value); holder != "" {
		return holder
	}
	return "another instance"
}

// FencingToken returns the fencing token with which this instance holds the lease.
func (l Lease) FencingToken() int64 { return l.token }

// Until returns when the lease of this instance expires.
func (l Lease) Until() time.Time { return l.heldUntil }
