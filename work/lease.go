// SPDX-License-Identifier: MIT

package work

import "time"

// minClockRate is the rate of the minClockRate worker clock that the platform allows: 2% slow, as stated in the users'
// interface.
const minClockRate = 0.98

// MaxLocal returns the longest time, by the local clock, that a lease of duration d by a worker's clock can last.
func MaxLocal(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }

// Lease tracks the clock of one incarnation of a worker and an upper bound on the end of its leases. In the zero value both
// are unknown.
//
// The bound does not require synchronized clocks. Suppose that the worker's clock read C in a message that arrived
// at local time R, and a deadline D was sent later. The lease then expires no later than R plus (D-C) stretched by
// the slowest allowed clock rate.
type Lease struct {
	clock Clock
	read  time.Time
	until time.Time
}

// Observe records a reading of the worker's clock that has just arrived. Readings that are older than the latest one
// are ignored.
func (l *Lease) Observe(c Clock, now time.Time) {
	if c <= 0 || c < l.clock {
		return
	}
	l.clock, l.read = c, now
}

// ClockKnown reports whether the clock has been read at least once.
func (l *Lease) ClockKnown() bool { return l.clock > 0 }

// Deadline returns a time on the worker's clock that is at most d ahead of it, or 0 if the clock is unknown. The
// time since the last reading is converted at the slowest clock rate, so that an old reading never makes a lease
// longer than d.
func (l *Lease) Deadline(d time.Duration, now time.Time) Clock {
	if l.clock == 0 {
		return 0
	}
	since := time.Duration(float64(now.Sub(l.read)) * minClockRate)
	return l.clock + Clock((since + d).Milliseconds())
}

// Sent records a deadline that is being sent. It counts even if the call gets no answer, since the worker may have
// received it.
func (l *Lease) Sent(d Clock) {
	if d == 0 {
		return
	}
	l.ExtendTo(l.read.Add(MaxLocal(time.Duration(d-l.clock) * time.Millisecond)))
}

// ExtendTo records that a lease, possibly granted by another leader, may last until the given local time.
func (l *Lease) ExtendTo(until time.Time) {
	if until.After(l.until) {
		l.until = until
	}
}

// Until returns the local time after which all recorded leases have expired.
func (l *Lease) Until() time.Time { return l.until }
