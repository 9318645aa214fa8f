// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

// Timing of workers that leave.
const (
	// saveMargin is how long before the end of a leaving worker its tasks are stopped to save their progress.
	saveMargin = 700 * time.Millisecond
	// unlistedGrace is how long an incarnation must be missing from the list before it counts as leaving. Entries that expired
	// while the store was unavailable are back about two seconds after the store is.
	unlistedGrace = 2500 * time.Millisecond
)

// markLeaving records that a worker has begun to leave or is no longer listed.
func (c *session) markLeaving(w *worker) {
	if w.leftAt.IsZero() {
		w.leftAt = c.now()
	}
}

// evacuateLeaving stops the lasting tasks on leaving workers, and stops tasks with progress to save that would not
// end in time.
func (c *session) evacuateLeaving(now time.Time) {
	for _, w := range c.workers {
		if w.leftAt.IsZero() {
			continue
		}
		if w.listed && !w.Leaving {
			w.leftAt = time.Time{}
			continue
		}
		for t := range w.runs {
			c.evacuateRun(w, t, now)
		}
	}
}

func (c *session) evacuateRun(w *worker, t *job.Task, now time.Time) {
	switch {
	case t.Stopping:
	case t.Spec().Lasting && w.Leaving:
		c.stopTask(w, t, "its worker leaves")
	case t.Spec().Lasting:
		if now.Sub(w.leftAt) > unlistedGrace && c.canDisrupt(t, now) {
			c.stopTask(w, t, "its worker is no longer listed")
		}
	case w.Leaving && t.Spec().Saves && w.Remaining > 0:
		if left := w.Remaining - now.Sub(w.leftAt); left < saveMargin && remainingTime(t, w.runs[t], now) > left {
			c.stopTask(w, t, "its worker leaves before its end")
		}
	}
}

// remainingTime estimates how long a task's run will go on, from its progress if known and otherwise from its
// estimate. For a run whose start is unknown, its progress since this leader knows it gives a lower bound.
func remainingTime(t *job.Task, r *run, now time.Time) time.Duration {
	ran, estimate := now.Sub(t.RunSince), t.Spec().Estimate.Duration()
	if t.Percent == 0 {
		return max(estimate-ran, 0)
	}
	left := time.Duration(fullPercent - t.Percent)
	remaining := ran * left / time.Duration(t.Percent)
	if r.startUnknown {
		return max(remaining, estimate*left/fullPercent)
	}
	return remaining
}
