// SPDX-License-Identifier: MIT

package route

import "time"

// Result is what became of a dispatched request, as far as the target is concerned.
type Result int

// Results of a lease.
const (
	ResultOK      Result = iota // the target answered
	ResultFailed                // the target failed, reset, or did not answer in time
	ResultRefused               // the target refused in the agreed way, it did not run
	ResultNeutral               // nothing can be said of the target, as when the caller went away
)

// Times and counts of a target's health.
const (
	failuresToSick = 3
	firstPause     = 500 * time.Millisecond
	longestPause   = 8 * time.Second
	refusedPause   = 20 * time.Millisecond
)

// health is what a Gate has learned of one target.
type health struct {
	failures int // in a row
	sick     bool
	pause    time.Duration // of the next trial
	openAt   time.Time     // no request before this
	limit    int           // slots allowed now; 0 means all
	streak   int           // successes since the limit changed
}

// allowed returns the slots that the target may use now.
func (h *health) allowed(slots int, now time.Time) int {
	if now.Before(h.openAt) {
		return 0
	}
	if h.limit == 0 || h.limit > slots {
		return slots
	}
	return h.limit
}

func (h *health) ok(slots int) (recovered bool) {
	recovered = h.sick
	h.sick, h.failures, h.pause, h.openAt = false, 0, 0, time.Time{}
	if h.limit == 0 {
		return recovered
	}
	h.streak++
	if h.streak >= h.limit {
		h.streak = 0
		h.limit *= 2
	}
	if h.limit >= slots {
		h.limit = 0
	}
	return recovered
}

// failed counts a failure; when others succeed, a target that goes on failing is paused.
func (h *health) failed(now time.Time, othersWell bool) (fell bool) {
	h.failures++
	h.streak = 0
	if h.failures < failuresToSick && !h.sick {
		return false
	}
	fell = !h.sick
	h.sick = true
	if !othersWell {
		return fell
	}
	h.limit = 1
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.openAt = now.Add(h.pause)
	return fell
}

// refused pauses the target shortly: it is at its limit by its own count.
func (h *health) refused(now time.Time) {
	if at := now.Add(refusedPause); at.After(h.openAt) {
		h.openAt = at
	}
}

// forgive lifts the pause, because no target is well.
func (h *health) forgive() {
	h.openAt, h.limit, h.streak = time.Time{}, 0, 0
}
