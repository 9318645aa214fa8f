// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
)

// checkLeases handles silent workers, whose runs are given up when the incarnation has ended or the lease has expired. It also lists the instances when that is due.
func (c *session) checkLeases(now time.Time) {
	c.updateQuorum(now)
	c.updateRaised(now)
	c.publishEarlier(now)
	silent := false
	workers, runs, pending := 0, 0, int32(0)
	for _, w := range c.workers {
		if w.lostReason != "" && c.confirmed(now) {
			c.endIncarnation(w, w.lostReason)
			continue
		}
		if w.silentSince.IsZero() {
			continue
		}
		silent = silent || now.Sub(w.silentSince) > silentAfter
		workers++
		runs += len(w.runs)
		if w.hasPendingStarts(now) {
			pending++
		}
		if c.confirmed(now) && c.leaseExpired(w, now) {
			c.expireLease(w, now)
		}
	}
	c.counts.unreadableEntries.Update(float64(len(c.unusable.entries)))
	c.silentPending.Store(pending)
	c.counts.silentWorkers.Update(float64(workers))
	c.counts.uncertainRuns.Update(float64(runs))
	c.expireUncertain(now)
	every := listInterval
	if silent || c.waveActive() {
		every = silentListInterval
	}
	if !c.machinesAsking && now.Sub(c.machinesAskedAt) > max(every, pauseAfter(c.machinesListTime, listPauseFactor, maxListInterval)) {
		c.listMachines()
	}
}

// waveActive reports whether any maintenance wave is unfinished.
func (c *session) waveActive() bool {
	for _, row := range c.waveStates {
		if !row.finished {
			return true
		}
	}
	return false
}

// leaseExpired reports whether nothing can be running on the worker any more.
func (c *session) leaseExpired(w *worker, now time.Time) bool {
	if now.Before(w.leasedUntil()) {
		return false
	}
	return w.answered || c.earlierLeasesOverOn(w, now)
}

// expireUncertain removes the incarnations from uncertainIncarnations on which every lease has expired. The leases that this leader has given count too: while it goes on,
// a run that has ended can still be acknowledged.
func (c *session) expireUncertain(now time.Time) {
	ended := 0
	for incarnation, w := range c.uncertainIncarnations {
		if c.leaseExpired(w, now) {
			delete(c.uncertainIncarnations, incarnation)
			ended++
		}
	}
	if ended > 0 {
		c.emit(event.WorkerLost, event.Subject{}, "the last lease is over on %d workers that had not listed what the earlier leader started", ended)
		c.markAllDirty()
	}
}

// expireLease gives up the runs of a worker whose lease has expired. A worker that is not listed either is removed.
//
// Expiry does not settle an unanswered start: the next incarnation under the worker's ID may carry it out, and the start's deadline means nothing on that incarnation's clock.
func (c *session) expireLease(w *worker, now time.Time) {
	late := 0
	for t, r := range w.runs {
		if c.mayStartLate(w, t, r, now) {
			late++
		}
	}
	if !w.listed && late == 0 {
		c.removeIncarnation(w, "its lease is over and it is not listed") // the incarnation may go on and be listed again
		return
	}
	if over := len(w.runs) - late; over > 0 {
		c.emit(event.WorkerLost, event.Subject{Instance: w.Incarnation}, "its lease is over runs=%d late=%d", over, late)
		c.abandonRuns(w, func(t *job.Task, r *run) bool { return !c.mayStartLate(w, t, r, now) })
	}
}
