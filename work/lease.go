// SPDX-License-Identifier: MIT

package work

import "time"

// slowClock is how slow a worker's clock may be, as the users' interface states it: 2%.
const slowClock = 1.02

// Lease follows the clock and the longest lease of one life of a worker; the zero value knows neither.
//
// Its bound holds without comparing clocks: a deadline D sent after the reading C, which arrived at the local time R,
// has passed there at the latest (D-C) on a slow clock after R.
type Lease struct {
	clock Clock
	read  time.Time
	until time.Time
}

// Read takes a reading of the worker's clock that has just arrived; older readings are passed over.
func (l *Lease) Read(c Clock, now time.Time) {
	if c <= 0 || c < l.clock {
		return
	}
	l.clock, l.read = c, now
}

// Known says whether the clock was ever read.
func (l *Lease) Known() bool { return l.clock > 0 }

// Deadline returns the worker's time that is at least the duration ahead by the latest reading, and 0 before any.
func (l *Lease) Deadline(d time.Duration, now time.Time) Clock {
	if l.clock == 0 {
		return 0
	}
	return l.clock + Clock((now.Sub(l.read) + d).Milliseconds())
}

// Sent takes note of a deadline that is on its way; it counts even if the call gets no answer.
func (l *Lease) Sent(d Clock) {
	if d == 0 {
		return
	}
	left := time.Duration(float64(d-l.clock) * slowClock * float64(time.Millisecond))
	if until := l.read.Add(left); until.After(l.until) {
		l.until = until
	}
}

// Until returns when, by the local clock, all that this process leased has surely ended.
func (l *Lease) Until() time.Time { return l.until }
