package lease

import (
	"strconv"
	"strings"
	"time"
)

// A row holds the fencing number, the holder, and what the table's clock showed at
// most when the row was sent. One that was given back has no holder, and before the
// clock for how many milliseconds no order was on its way, less than 0 where one may
// have been. Without a clock the row ends before it.
func encode(holder string, fence int64, stamp time.Duration) []byte {
	return stamped(strconv.FormatInt(fence, 10)+" "+holder, stamp)
}

func encodeFree(fence int64, idle, stamp time.Duration) []byte {
	return stamped(strconv.FormatInt(fence, 10)+"  "+strconv.FormatInt(idle.Milliseconds(), 10), stamp)
}

func stamped(row string, stamp time.Duration) []byte {
	if stamp > 0 {
		row += " " + strconv.FormatInt(stamp.Milliseconds()+1, 10)
	}
	return []byte(row)
}

func decode(value []byte) (string, int64) {
	number, rest, _ := strings.Cut(string(value), " ")
	fence, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return "", 0
	}
	holder, _, _ := strings.Cut(rest, " ")
	return holder, fence
}

// idleOf returns for how long no order was on its way when a row that was given
// back was written, or minus the time for which one may have been.
func idleOf(value []byte) time.Duration { return wordOf(value, 0) }

// stampOf returns what the table's clock showed at most when the row was sent, or 0.
func stampOf(value []byte) time.Duration {
	if holder, _ := decode(value); holder == "" {
		return wordOf(value, 1)
	}
	return wordOf(value, 0)
}

// wordOf returns the milliseconds in the word at n after the holder, or 0.
func wordOf(value []byte, n int) time.Duration {
	const before = 2
	words := strings.Split(string(value), " ")
	if len(words) <= before+n {
		return 0
	}
	ms, err := strconv.ParseInt(words[before+n], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
