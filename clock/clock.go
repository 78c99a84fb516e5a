package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time spent suspended.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every Linux version that Go supports has this clock.
		panic(err)
	}
	return time.Duration(at.Nano())
}
