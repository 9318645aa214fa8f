// SPDX-License-Identifier: MIT

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime reads CLOCK_BOOTTIME. It returns zero where the system lacks that clock or refuses the call, and suspensions then go unnoticed.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
