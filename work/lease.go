// SPDX-License-Identifier: MIT

package work

import "time"

// slowest is the rate of the slowest clock that a worker may have, as the users' interface states it: 2% slow.
const slowest = 0.98

// MaxLocal returns how long a lease of the duration can last by the local clock.
func MaxLocal(d time.Duration) time.Duration { return time.Duration(float64(d) / slowest) }

// Lease follows the clock and the longest lease of one life of a worker; the zero value knows neither.
//
// Its bound holds without comparing clocks: a deadline D sent after the reading C, which arrived at the local time R,
// has passed there at the latest (D-C) on a slow clock after R.
type Lease struct {
	clock Clock
	read  time.Time
	until time.Time
}

// Observe takes a reading of the worker's clock that has just arrived; older readings are passed over.
func (l *Lease) Observe(c Clock, now time.Time) {
	if c <= 0 || c < l.clock {
		return
	}
	l.clock, l.read = c, now
}

// ClockKnown says whether the clock was ever read.
func (l *Lease) ClockKnown() bool { return l.clock > 0 }

// Deadline returns a worker's time that is at the most the duration ahead of its clock, and 0 before any reading. The time
// since the reading counts as a slow clock counts it, so that an old reading makes no lease longer.
func (l *Lease) Deadline(d time.Duration, now time.Time) Clock {
	if l.clock == 0 {
		return 0
	}
	since := time.Duration(float64(now.Sub(l.read)) * slowest)
	return l.clock + Clock((since + d).Milliseconds())
}

// Sent takes note of a deadline that is on its way; it counts even if the call gets no answer.
func (l *Lease) Sent(d Clock) {
	if d == 0 {
		return
	}
	l.ExtendTo(l.read.Add(MaxLocal(time.Duration(d-l.clock) * time.Millisecond)))
}

// ExtendTo takes note that something may be leased there until the time, whoever leased it.
func (l *Lease) ExtendTo(until time.Time) {
	if until.After(l.until) {
		l.until = until
	}
}

// Until returns when, by the local clock, all leases that were taken note of have surely ended.
func (l *Lease) Until() time.Time { return l.until }
