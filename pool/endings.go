// SPDX-License-Identifier: MIT

package pool

import (
	"rackstep.dev/event"
	"rackstep.dev/job"
)

// endIncarnation removes an incarnation that has ended from the tables.
//
// While the store does not confirm the lead, this is put off: the runs would be started elsewhere although another leader may have received their ends, or may
// have ended the incarnation itself.
func (c *session) endIncarnation(w *worker, why string) {
	if !c.confirmed(c.now()) {
		w.lostReason = why
		return
	}
	c.endedIncarnations[w.Incarnation] = true
	c.removeIncarnation(w, why)
}

// removeIncarnation removes an incarnation from the tables, whether it has ended or only its lease has expired.
func (c *session) removeIncarnation(w *worker, why string) {
	c.emit(event.WorkerLost, event.Subject{Instance: w.Incarnation}, "%s runs=%d", why, len(w.runs))
	c.counts.lost.Inc(1)
	if c.endedIncarnations[w.Incarnation] && (w.successor == nil || w.BootID != 0) { // a successor of an incarnation without a boot ID may be the same incarnation
		c.attributeLostRuns(w, c.now())
	}
	c.recordEnd(w, c.now())
	c.noteDeparted(w)
	c.abandonRuns(w, func(*job.Task, *run) bool { return true })
	if w.cancel != nil {
		w.cancel()
	}
	c.removeWorker(w)
	c.markIncarnationDirty(w.Incarnation)
	delete(c.storedIncarnations, w.Incarnation)
	delete(c.aside, incarnationKey+w.Incarnation)
	c.markPoolDirty(w.Pool) // also for jobs of an earlier leader that waited for this worker
	delete(c.uncertainIncarnations, w.Incarnation)
	go c.Calls.Forget(&w.Worker)
}

// abandonRuns lets the tasks of the selected runs start elsewhere without counting an attempt. If the incarnation has ended, attributeLostRuns has recorded
// the lost runs before; the expiry of a lease is no evidence against them.
//
// A run that the incarnation never confirmed may be on the incarnation that now bears its ID, because the start was addressed to the ID and may be carried out late. Such a
// run is handed on to that incarnation.
func (c *session) abandonRuns(w *worker, which func(t *job.Task, r *run) bool) {
	heir, now := c.successorOf(w), c.now()
	for t, r := range w.runs {
		if !which(t, r) {
			continue
		}
		if w.idRetired {
			c.clearLate(t)
		}
		w.dropRun(t)
		switch {
		case t.Run != r.number:
		case heir != nil && (w.mayBeAtSuccessor(r) || t.MayComeLate(now)) && t.Phase != job.Finished && !t.Job.State.Ended():
			c.carryOver(heir, t, r)
		default:
			c.requeue(t)
		}
	}
	w.setSupersededRuns(nil)
}
