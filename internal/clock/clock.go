// SPDX-License-Identifier: MIT

package clock

import (
	"sync/atomic"
	"time"
)

// maxDrift is the difference between the two clocks that is put down to their rates instead of to a suspension. The order in which ExactNow
// reads them keeps the time between the two readings out of the difference. Every bound that a proof relies on has a margin larger than
// maxDrift.
const maxDrift = 5 * time.Millisecond

// Clock is the monotonic clock plus the time for which the machine was suspended. A nil Clock and the zero value detect no suspension.
//
// The fields must be set before the first use.
type Clock struct {
	// Monotonic returns the monotonic time; time.Now when nil.
	Monotonic func() time.Time
	// BootTime returns the time since a fixed moment on a clock that also advances while the machine is suspended; no suspension is
	// detected when nil.
	BootTime func() time.Duration
	// OnResume is called with the length of a suspension, on the goroutine that detects it; may be nil.
	OnResume func(suspended time.Duration)

	baseline  atomic.Pointer[baseline]
	suspended atomic.Int64
}

// baseline is the first reading of both clocks.
type baseline struct {
	monotonic time.Time
	bootTime  time.Duration
}

// New returns the clock of this machine. It counts suspensions from the call on.
func New() *Clock {
	c := &Clock{BootTime: bootTime}
	c.ExactNow() // takes the baseline
	return c
}

// Now returns the time including the suspensions that were detected so far.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.monotonicNow().Add(time.Duration(c.suspended.Load()))
}

// Since returns the time elapsed since t, which must be a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// ExactNow returns the time including all suspensions that ended before the call.
func (c *Clock) ExactNow() time.Time {
	if c == nil || c.BootTime == nil {
		return c.Now()
	}
	b := c.BootTime()
	now := c.monotonicNow() // read second, so that a pause between the two readings doesn't count as a suspension (one within the baseline does)
	first := c.baseline.Load()
	if first == nil {
		c.baseline.CompareAndSwap(nil, &baseline{monotonic: now, bootTime: b})
		return c.Now()
	}
	c.addSuspension((b - first.bootTime) - now.Sub(first.monotonic))
	return now.Add(time.Duration(c.suspended.Load()))
}

// addSuspension counts a suspension if the boot clock has moved ahead of the monotonic one by more than maxDrift beyond what was counted before.
func (c *Clock) addSuspension(ahead time.Duration) {
	for {
		counted := c.suspended.Load()
		added := ahead - time.Duration(counted)
		if added <= maxDrift {
			return
		}
		if c.suspended.CompareAndSwap(counted, int64(ahead)) {
			if c.OnResume != nil {
				c.OnResume(added)
			}
			return
		}
	}
}

func (c *Clock) monotonicNow() time.Time {
	if c.Monotonic == nil {
		return time.Now()
	}
	return c.Monotonic()
}
