package ledger

import (
	"math"
	"time"
)

const (
	// restBytes and restShare are what a process needs without callers: a fixed part of
	// the heap, and the part of the limit that its knowledge of the fleet may grow to.
	restBytes = 12 << 20
	restShare = 1.0 / 16
	// heldShare is the part of the remaining heap that may be held. The rest is garbage
	// between two collections.
	heldShare = 0.9
	// minBudget lets a single request of the usual limit be served on any machine.
	minBudget = 8 << 20
	// Small is the size in bytes up to which an entry may use the reserve.
	Small = 64 << 10
	// reserveShare is the part of the ledger that is left to small entries.
	reserveShare = 0.15
	// ownerFactor is how many times as much as remains free the large entries of one owner
	// may take together: six sevenths if it is alone, six thirteenths if there are two.
	ownerFactor = 6
	// rateTime is the time over which the rate of freed bytes is averaged.
	rateTime = 2 * time.Second
	// minWait and maxWait bound the advised wait.
	minWait = 500 * time.Millisecond
	maxWait = 10 * time.Second
)

// Budget returns how many bytes a process may hold for callers, given the soft limit of
// its heap in bytes. Without a limit it returns 0.
func Budget(softLimit int64) int64 {
	if softLimit <= 0 || softLimit == math.MaxInt64 {
		return 0
	}
	free := float64(softLimit)*(1-restShare) - restBytes
	return max(int64(heldShare*free), minBudget)
}

// Ledger is the number of bytes that are held for callers. The zero value has no limit.
// It is immutable.
type Ledger struct {
	// limit is the number of bytes that may be held; 0 for no limit.
	limit int64
	// held is the number of bytes that are held. It may exceed limit by entries that
	// could not be refused.
	held int64
	// rate is how many bytes a second were set free as of at.
	rate float64
	at   time.Time
}

// New returns an empty ledger for limit bytes; 0 is no limit.
func New(limit int64) Ledger {
	return Ledger{
		limit: limit,
	}
}

// Held returns the number of bytes that are held.
func (l Ledger) Held() int64 { return l.held }

// Limit returns the number of bytes that may be held; 0 for no limit.
func (l Ledger) Limit() int64 { return l.limit }

// Fits reports whether size more bytes may be held for an owner whose large entries hold
// owned bytes.
func (l Ledger) Fits(size, owned int64) bool {
	total := float64(l.held + size)
	limit := float64(l.limit)
	switch {
	case l.limit <= 0:
		return true
	case total > limit:
		return false
	case size <= Small:
		return true
	case float64(l.held) <= reserveShare*limit && owned == 0:
		// A single large entry may take what nobody else uses.
		return true
	}
	free := (1-reserveShare)*limit - total
	return free >= 0 && (owned == 0 || float64(owned+size) <= ownerFactor*free)
}

// WithHeld returns the ledger with n more bytes held.
func (l Ledger) WithHeld(n int64) Ledger {
	l.held += n
	return l
}

// WithFreed returns the ledger after n bytes were set free at now.
func (l Ledger) WithFreed(n int64, now time.Time) Ledger {
	l.held -= n
	l.rate = l.decayed(now) + float64(n)/rateTime.Seconds()
	l.at = now
	return l
}

// decayed returns the rate of freed bytes as of now.
func (l Ledger) decayed(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return l.rate * math.Exp(-max(now.Sub(l.at), 0).Seconds()/rateTime.Seconds())
}

// Wait returns after what time size bytes will probably have been set free.
func (l Ledger) Wait(size int64, now time.Time) time.Duration {
	rate := l.decayed(now)
	if rate < 1 {
		return maxWait
	}
	return min(max(time.Duration(min(float64(size)/rate, maxWait.Seconds())*float64(time.Second)), minWait), maxWait)
}
