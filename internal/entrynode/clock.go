package entrynode

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock also counts the time during which the machine is suspended, unlike the clock of package time.
type bootClock struct{}

// Now returns the time since the machine booted.
func (bootClock) Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Every Linux kernel that the toolchain supports has this clock.
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(reading.Nano())
}
