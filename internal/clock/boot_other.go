// SPDX-License-Identifier: MIT

//go:build !linux

package clock

import "time"

// bootTime is constant: this package has no clock on this system that advances during a suspension, so suspensions go unnoticed.
func bootTime() time.Duration { return 0 }
