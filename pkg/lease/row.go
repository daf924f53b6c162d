package lease

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxToken is the greatest fencing token that a row may hold, so that the next
	// ones do not overflow.
	maxToken = math.MaxInt64 / 2
	// maxRowTime is the longest time that a row may hold, so that sums of them do not
	// overflow.
	maxRowTime = 10 * 365 * 24 * time.Hour
)

// encodeHeld returns the row of a lease that is held: the fencing token, the holder
// and an upper bound of the table's clock when the row was sent, in milliseconds. The
// clock is left out if it is not known.
func encodeHeld(holder string, token int64, clock time.Duration) []byte {
	return appendClock(strconv.FormatInt(token, 10)+" "+holder, clock)
}

// encodeReleased returns the row of a released lease. Its holder is empty, and the
// clock follows the time, in milliseconds, for which no order has been in flight. That
// time is negative if an order may still be in flight.
func encodeReleased(token int64, idleTime, clock time.Duration) []byte {
	return appendClock(strconv.FormatInt(token, 10)+"  "+strconv.FormatInt(idleTime.Milliseconds(), 10), clock)
}

// appendClock appends the table's clock to a row, rounded up. It appends nothing if
// the clock is 0.
func appendClock(row string, clock time.Duration) []byte {
	if clock > 0 {
		row += " " + strconv.FormatInt(clock.Milliseconds()+1, 10)
	}
	return []byte(row)
}

// decodeHolder returns the holder and the fencing token of a row. The holder is empty
// if the lease is free. The token is 0 if there is no row or it can't be read.
func decodeHolder(value []byte) (string, int64) {
	number, rest, _ := strings.Cut(string(value), " ")
	token, err := strconv.ParseInt(number, 10, 64)
	if err != nil || token <= 0 || token > maxToken {
		return "", 0
	}
	holder, _, _ := strings.Cut(rest, " ")
	return holder, token
}

// idleTimeOf returns for how long no order had been in flight when the lease was
// released. It is negative if one could still be in flight for that time.
func idleTimeOf(value []byte) time.Duration { return millisAt(value, 0) }

// clockOf returns an upper bound of the table's clock when the row was sent, or 0 if
// it is not known.
func clockOf(value []byte) time.Duration {
	n := 0
	if holder, _ := decodeHolder(value); holder == "" {
		n = 1
	}
	return max(millisAt(value, n), 0)
}

// millisAt returns the duration in the field at index n after the holder, or 0.
func millisAt(value []byte, n int) time.Duration {
	const before = 2 // the token and the holder
	fields := strings.Split(string(value), " ")
	if len(fields) <= before+n {
		return 0
	}
	ms, err := strconv.ParseInt(fields[before+n], 10, 64)
	if err != nil || ms < -maxRowTime.Milliseconds() || ms > maxRowTime.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
