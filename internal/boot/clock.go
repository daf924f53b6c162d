package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// originSeconds is added to the clock's seconds, so that no time of this clock is
// taken for the zero time.
const originSeconds = 1 << 30

// Now returns the time of the boot clock, counted from an arbitrary origin. Only
// the difference between two such times is meaningful.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that the Go runtime supports has CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Unix(originSeconds+t.Sec, t.Nsec)
}
