// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

// plannedResend is a start that is sent again once the store has the version of its job, with a LateUntil that covers the attempt.
type plannedResend struct {
	plannedStart
	version int64
}

// planResend plans another attempt to start an unanswered run. It is made at once where no other incarnation can bear the worker's ID.
func (c *session) planResend(w *worker, t *job.Task, r *run, now time.Time) {
	if r.resendPlanned || !c.mayResend(w, t, r, now) {
		return
	}
	if w.BootID == 0 && c.maySendStart(now) {
		c.sendStart(w, t, r, now)
		return
	}
	r.resendPlanned = true
	if !lateCovers(w, t, now) {
		c.extendLate(t, now.Add(lateMax))
	}
	c.resends = append(c.resends, plannedResend{plannedStart{worker: w, task: t, run: r}, t.Job.Version})
}

// maySendStart reports whether a start may be sent now.
func (c *session) maySendStart(now time.Time) bool {
	return c.mayOrder(now) && c.canSendStart(now)
}

// lateCovers reports whether the record of the task's LateUntil covers an attempt that is made now.
func lateCovers(w *worker, t *job.Task, now time.Time) bool {
	return w.BootID == 0 || !t.LateUntil.Add(lateMargin).Before(now.Add(lateMax))
}

// mayResend reports whether another attempt may be made to start a run.
func (c *session) mayResend(w *worker, t *job.Task, r *run, now time.Time) bool {
	if w.runs[t] != r || c.workers[w.Incarnation] != w || !r.unanswered || r.inFlight || t.Stopping || t.Job.State.Ended() {
		return false
	}
	attempts := startAttempts
	if w.BootID == 0 {
		attempts = quickAttempts
	}
	return r.orderCount < attempts && w.usable(now) && (!t.Spec().Lasting || c.canStartLasting(w, now))
}

// sendResends sends the planned attempts that the next leader would know of.
func (c *session) sendResends(now time.Time) {
	var waiting []plannedResend
	for _, p := range c.resends {
		switch {
		case !c.mayResend(p.worker, p.task, p.run, now), !lateCovers(p.worker, p.task, now):
			p.run.resendPlanned = false // resolveUnanswered plans it again if it is still due
		case p.task.Job.StoredVersion < p.version && p.worker.BootID != 0, !c.maySendStart(now):
			waiting = append(waiting, p)
		default:
			p.run.resendPlanned = false
			c.sendStart(p.worker, p.task, p.run, now)
		}
	}
	c.resends = waiting
}
