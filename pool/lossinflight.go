// SPDX-License-Identifier: MIT

package pool

import (
	"slices"

	"rackstep.dev/job"
)

// lossInFlight identifies a run that was lost during the first attempt to start it. The result of the attempt may tell that the run never began.
type lossInFlight struct {
	worker *worker
	run    int64
}

// noteLossInFlight records a run of a worker that has ended if the run is lost during the first attempt to start it.
func (c *session) noteLossInFlight(w *worker, t *job.Task, r *run) {
	if r.inFlight && r.orderCount <= 1 && !r.pending.open() && !r.wasConfirmed() {
		c.lossesInFlight[t] = append(c.lossesInFlight[t], lossInFlight{worker: w, run: r.number})
	}
}

// hasLossInFlight reports whether the result of a start decides about a loss of one of the job's tasks.
func (c *session) hasLossInFlight(j *job.Job) bool {
	for t := range c.lossesInFlight {
		if t.Job == j {
			return true
		}
	}
	return false
}

// settleLoss handles the result of a start whose run may have been lost meanwhile: a run that never began is no loss. Once the results of all such starts of the task
// are known, they decide whether it is given up.
func (c *session) settleLoss(m startResult) {
	t := m.task
	lostThere := func(l job.LostRun) bool { return l.Run == m.run && l.Incarnation == m.worker.Incarnation }
	if m.neverBegan() && slices.ContainsFunc(t.Lost, lostThere) {
		c.retractLostRun(t, m.run)
	}
	losses := c.lossesInFlight[t]
	i := slices.Index(losses, lossInFlight{worker: m.worker, run: m.run})
	if i < 0 {
		return
	}
	c.lossesInFlight[t] = slices.Delete(losses, i, i+1)
	if len(c.lossesInFlight[t]) > 0 {
		return
	}
	delete(c.lossesInFlight, t)
	c.giveUpCrashing(t)
}
