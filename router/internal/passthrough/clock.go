package passthrough

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME. Go's monotonic clock stops while the machine is suspended,
// so a configuration from before the suspension would still count as fresh.
type bootClock struct{}

// NewClock returns the machine's boot-time clock.
func NewClock() Clock { return bootClock{} }

// Now implements Clock. It returns the time since boot; the date has no meaning.
func (bootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
