// SPDX-License-Identifier: MIT

package route

import "time"

// Result is the outcome of a dispatched request as it concerns the health of the target.
type Result int

// Results of a lease.
const (
	ResultOK      Result = iota // the target answered
	ResultFailed                // the target failed, reset the connection, or did not answer in time
	ResultRefused               // the target refused by the protocol; the request did not run
	ResultNeutral               // says nothing about the target, for example because the caller cancelled
)

// Parameters of the health tracking.
const (
	unhealthyAfterFailures = 3
	minPause               = 500 * time.Millisecond
	maxPause               = 8 * time.Second
	pauseAfterRefusal      = 20 * time.Millisecond
)

// health is the state that a Gate tracks for one target.
type health struct {
	failures    int // consecutive
	unhealthy   bool
	pause       time.Duration // the latest pause after a failure; doubles with each further one
	pausedUntil time.Time     // no request is sent before this time
	slotLimit   int           // slots that may be used; 0 means all
	successes   int           // since the limit changed
}

// allowed returns the number of the target's slots that may be used now.
func (h *health) allowed(slots int, now time.Time) int {
	if now.Before(h.pausedUntil) {
		return 0
	}
	if h.slotLimit == 0 || h.slotLimit > slots {
		return slots
	}
	return h.slotLimit
}

// recordSuccess ends the pause and doubles the slot limit after as many successes as the limit allows slots.
func (h *health) recordSuccess(slots int) (recovered bool) {
	recovered = h.unhealthy
	h.unhealthy, h.failures, h.pause, h.pausedUntil = false, 0, 0, time.Time{}
	if h.slotLimit == 0 {
		return recovered
	}
	h.successes++
	if h.successes >= h.slotLimit {
		h.successes = 0
		h.slotLimit *= 2
	}
	if h.slotLimit >= slots {
		h.slotLimit = 0
	}
	return recovered
}

// recordFailure counts a failure. A target that keeps failing is paused, unless no other target is healthy.
func (h *health) recordFailure(now time.Time, othersHealthy bool) (becameUnhealthy bool) {
	h.failures++
	h.successes = 0
	if h.failures < unhealthyAfterFailures && !h.unhealthy {
		return false
	}
	becameUnhealthy = !h.unhealthy
	h.unhealthy = true
	if !othersHealthy {
		return becameUnhealthy
	}
	h.slotLimit = 1
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.pausedUntil = now.Add(h.pause)
	return becameUnhealthy
}

// recordRefusal pauses the target briefly, because it has reached its limit by its own count.
func (h *health) recordRefusal(now time.Time) {
	if at := now.Add(pauseAfterRefusal); at.After(h.pausedUntil) {
		h.pausedUntil = at
	}
}

// clearPause ends the pause and lifts the slot limit; it is used when no target is healthy.
func (h *health) clearPause() {
	h.pausedUntil, h.slotLimit, h.successes = time.Time{}, 0, 0
}
