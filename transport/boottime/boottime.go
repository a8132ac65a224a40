// Package boottime reads the clock that also counts the time while the instance is
// suspended. What a process has learned ages by this clock: the monotonic clock stands
// still during a suspension, and the time of day may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the origin of the clock where the system has no such clock.
var processStart = time.Now()
