package entrynode

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock counts the time in which the machine is suspended, unlike Go's own clock.
type bootClock struct{}

// Now returns the time since the machine's start.
func (bootClock) Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Linux has had this clock for longer than the toolchain supports.
		panic("no boot clock: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
