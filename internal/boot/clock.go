package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch keeps times of this clock apart from the zero time.
const epoch = 1 << 30

// Now returns the time since the machine started, counted from an instant of
// its own. Only differences of two such times mean something.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock is in every kernel that the runtime supports.
		panic(err)
	}
	return time.Unix(epoch+t.Sec, t.Nsec)
}
