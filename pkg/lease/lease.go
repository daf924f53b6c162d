package lease

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// Length is how long a lease holds without renewal.
	Length = 6 * time.Second
	// renewEvery is how often a holder renews and a rival reads.
	renewEvery = 2 * time.Second
	// Margin is how much longer a rival waits.
	Margin = 1 * time.Second
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
	// until is when this instance's hold ends; zero where it holds nothing.
	until time.Time
	// next is when to ask the table again.
	next time.Time
	// fence is the number of this instance's hold.
	fence int64
	// yield tells that the lease is not to be taken or renewed.
	yield bool
}

// New returns the view of an instance that holds nothing.
func New(key, self string) Lease {
	return Lease{
		key:  key,
		self: self,
	}
}

// Plan returns what to ask of the table now, if anything, and the lease after
// asking.
func (l Lease) Plan(now time.Time) (Op, Lease, bool) {
	if now.Before(l.next) {
		return Op{}, l, false
	}
	l.next = now.Add(renewEvery)
	op := Op{
		Sent: now,
		Row: store.Row{
			Key:     l.key,
			Version: l.row.Version,
		},
	}
	holder, fence := decode(l.row.Value)
	switch {
	case l.seen.IsZero():
	case l.yield && holder != l.self:
	case l.yield:
		op.Put = true
		op.Row.Value = encode("", fence)
	case holder == l.self && now.Before(l.until):
		op.Put = true
		op.Row.Value = encode(l.self, fence)
	case holder == "" || now.Sub(l.seen) >= Length+Margin:
		op.Put = true
		op.Row.Value = encode(l.self, fence+1)
	}
	return op, l, true
}

// WithRow returns the lease after a read that was planned as op.
func (l Lease) WithRow(op Op, row store.Row, err error) Lease {
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
		l.seen = op.Sent
	}
	l.row = row
	if holder, _ := decode(row.Value); holder != l.self {
		l.until = time.Time{}
	}
	return l
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
	holder, fence := decode(op.Row.Value)
	l.until = time.Time{}
	if holder == l.self {
		l.until = op.Sent.Add(Length)
		l.fence = fence
	}
	return l
}

// WithYield returns a lease that is given back and not taken again.
func (l Lease) WithYield() Lease {
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
	return holder != "" && !l.seen.IsZero() && now.Sub(l.seen) < Length+Margin
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

func encode(holder string, fence int64) []byte {
	return []byte(strconv.FormatInt(fence, 10) + " " + holder)
}

func decode(value []byte) (string, int64) {
	number, holder, _ := strings.Cut(string(value), " ")
	fence, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return "", 0
	}
	return holder, fence
}
