package lease

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// maxToken is the greatest fencing token that a row may hold, so that the next
	// ones do not overflow.
	maxToken = math.MaxInt64 / 2
	// maxRowTime is the longest time that a row may hold, so that sums of two do not
	// overflow. The table's clock may count from 1970.
	maxRowTime = 100 * 365 * 24 * time.Hour
)

// held is the content of the row of a lease that is held.
type held struct {
	holder string
	token  int64
	// clock is an upper bound of the table's clock when the row was sent; 0 if unknown.
	clock time.Duration
	// idle reports that the holder sends no orders under this row, and idleTime for how
	// long none had been in flight when the row was sent.
	idle     bool
	idleTime time.Duration
	// note is the text that the holder passes on to the next ones.
	note string
	// era is the table's era for which the row was written; 0 if it has none.
	era int64
}

// encode returns the row: the fencing token, the holder, the clock in milliseconds, the
// time without orders in milliseconds if the holder sends none, the note and the era.
// Fields that are unknown at the end are left out.
func (h held) encode() []byte {
	idle := ""
	if h.idle {
		idle = formatMillis(h.idleTime)
	}
	return joinFields(strconv.FormatInt(h.token, 10), h.holder, formatClock(h.clock), idle, h.note, formatEra(h.era))
}

// encodeReleased returns the row of a released lease. Its holder is empty, and the clock,
// the note and the era follow the time, in milliseconds, for which no order has been in
// flight. That time is negative if an order may still be in flight.
func encodeReleased(token int64, idleTime, clock time.Duration, note string, era int64) []byte {
	return joinFields(strconv.FormatInt(token, 10), "", formatMillis(idleTime), formatClock(clock), note, formatEra(era))
}

// formatEra returns an era, or "" if there is none.
func formatEra(era int64) string {
	if era == 0 {
		return ""
	}
	return strconv.FormatInt(era, 10)
}

// joinFields joins fields with spaces, without those at the end that are empty or an
// unknown clock.
func joinFields(fields ...string) []byte {
	for len(fields) > 0 && (fields[len(fields)-1] == "" || fields[len(fields)-1] == unknownClock) {
		fields = fields[:len(fields)-1]
	}
	return []byte(strings.Join(fields, " "))
}

// unknownClock stands for the table's clock where it is not known.
const unknownClock = "0"

// formatClock returns a reading of the table's clock in milliseconds, rounded up.
func formatClock(clock time.Duration) string {
	if clock <= 0 {
		return unknownClock
	}
	return strconv.FormatInt(clock.Milliseconds()+1, 10)
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

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

// heldIdleTime returns for how long no order had been in flight when the row of a lease
// that is held was sent. It returns false unless the row says that the holder sends none.
func heldIdleTime(value []byte) (time.Duration, bool) {
	if holder, _ := decodeHolder(value); holder == "" {
		return 0, false
	}
	if text, ok := fieldAt(value, 1); !ok || text == "" {
		return 0, false
	}
	idle := millisAt(value, 1)
	return idle, idle >= 0
}

// noteOf returns the note of a row.
func noteOf(value []byte) string {
	note, _ := fieldAt(value, 2)
	return note
}

// eraOf returns the era for which a row was written, or 0 if it states none.
func eraOf(value []byte) int64 {
	text, _ := fieldAt(value, 3)
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil || era < 0 || era > store.MaxEra {
		return 0
	}
	return era
}

// clockOf returns an upper bound of the table's clock when the row was sent, or 0 if
// it is not known.
func clockOf(value []byte) time.Duration {
	n := 0
	if holder, _ := decodeHolder(value); holder == "" {
		n = 1
	}
	return max(millisAt(value, n), 0)
}

// fieldAt returns the field at index n after the holder.
func fieldAt(value []byte, n int) (string, bool) {
	const before = 2 // the token and the holder
	fields := strings.SplitN(string(value), " ", before+n+2)
	if len(fields) <= before+n {
		return "", false
	}
	return fields[before+n], true
}

// millisAt returns the duration in the field at index n after the holder, or 0.
func millisAt(value []byte, n int) time.Duration {
	text, ok := fieldAt(value, n)
	if !ok {
		return 0
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < -maxRowTime.Milliseconds() || ms > maxRowTime.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
