// Package boottime reads a clock that also runs while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // another beginning, as of another machine
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
