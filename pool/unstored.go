// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

// Timing of operation without the store.
const (
	// storeSlowAfter is how long a batch must be in flight before orders may be sent without being stored, provided that the next leader will
	// know of that.
	storeSlowAfter = 250 * time.Millisecond
	// unstoredAfter is how long no renewal must have been confirmed before orders may be sent without being stored where the next leader would not know. By
	// then another leader, if there were one, would have raised the workers' fencing tokens. Each instance above unstoredBase adds unstoredPerInstance: with
	// 1,100 instances on 0.8 of a core, half had answered 1.05 s after the tables were read.
	unstoredAfter       = 2200 * time.Millisecond
	unstoredPerInstance = time.Millisecond
	unstoredBase        = 100
)

// Parameters for telling a failing store from a slow one.
const (
	// storeFailFactor times the usual duration of a batch is how long a batch may be in flight before the store counts as failing, but no longer than
	// storeFailMax.
	storeFailFactor = 2.5
	storeFailMax    = 2 * time.Second
	// batchTimeWeight is the weight of a new batch in the moving average of batch durations.
	batchTimeWeight = 0.4
)

// unstoredDelay returns how long no renewal must have been confirmed before orders may be sent without the store.
func unstoredDelay(instances int) time.Duration {
	return unstoredAfter + unstoredPerInstance*time.Duration(max(0, instances-unstoredBase))
}

// allowUnstored lets orders be sent before they are stored while the store does not accept batches.
//
// It requires proof that this entry is not the isolated one: a majority of the workers must have answered calls sent since then.
func (c *session) allowUnstored(now time.Time) {
	if !c.batchOverdue(now) {
		if !c.committing {
			c.endUnstored(now, "nothing is left to be kept")
		}
		return
	}
	c.setMode(modeStoreSlow, true, now, "a batch is not answered")
	c.AnnounceUnstoredOrders(true)
	since := c.commitStartedAt
	switch confirmed := c.ConfirmedAt(); {
	case confirmed.IsZero():
		return // the term has ended
	case c.UnstoredOrdersAnnounced():
	case now.Sub(confirmed) > unstoredDelay(c.confirmedInstances):
		since = confirmed.Add(unstoredDelay(c.confirmedInstances))
	default:
		return
	}
	if !c.mayOrder(now) || !c.quorumAskedSince(since, now) {
		return
	}
	c.setMode(modeUnkeptOrders, true, now, "most workers answer without the store")
	c.sendUnstored()
}

// batchOverdue reports whether the batch in flight has not been answered for storeSlowAfter. The calling goroutine records when the answer arrives, since a busy
// control goroutine may process it late.
func (c *session) batchOverdue(now time.Time) bool {
	return c.committing && c.inFlight.answeredAt.Load() == nil && now.Sub(c.commitStartedAt) >= storeSlowAfter
}

// endUnstored ends the period in which orders may be sent before they are stored, unless such orders are still not stored. It is called when the store
// has accepted a batch in time, and when nothing is left to store.
func (c *session) endUnstored(now time.Time, why string) {
	if !c.inMode(modeStoreSlow) || len(c.unstoredJobs) > 0 {
		return
	}
	c.AnnounceUnstoredOrders(false)
	if c.inMode(modeUnkeptOrders) {
		c.markAllDirty() // tasks may start on any worker again
	}
	c.setMode(modeUnkeptOrders, false, now, why)
	c.setMode(modeStoreSlow, false, now, why)
}

// noteUnstored records that a run was ordered that is not in any batch accepted by the store.
func (c *session) noteUnstored(j *job.Job) {
	if j.Version > j.StoredVersion {
		c.unstoredJobs[j] = j.Version
	}
}

// noteUnexpected records that a worker has listed a run of the job, or the success of one, that the tables did not have. Nothing of the job starts unstored before that
// is stored, so that the next leader can tell from the stored runs which tasks this one may have taken for finished.
func (c *session) noteUnexpected(j *job.Job) {
	if j.Version > j.StoredVersion {
		c.unexpectedRuns[j] = j.Version
	}
}

// noteStored forgets the unstored orders of a job once they are stored.
func (c *session) noteStored(j *job.Job) {
	if v, ok := c.unstoredJobs[j]; ok && j.StoredVersion >= v {
		delete(c.unstoredJobs, j)
	}
	if v, ok := c.adoptedUnstored[j]; ok && j.StoredVersion >= v {
		delete(c.adoptedUnstored, j)
	}
	if v, ok := c.unexpectedRuns[j]; ok && j.StoredVersion >= v {
		delete(c.unexpectedRuns, j)
	}
}

// storeFailing reports whether the store has left a batch unanswered for much longer than usual. What becomes of an instance
// after a move or maintenance is known only from the store, so none is begun while the store fails. A store that is merely slow delivers this late but reliably, so it delays moves only during its first
// slow batches.
func (c *session) storeFailing(now time.Time) bool {
	limit := min(max(storeSlowAfter, time.Duration(storeFailFactor*float64(c.typicalBatchTime))), storeFailMax)
	return c.committing && c.inFlight.answeredAt.Load() == nil && now.Sub(c.commitStartedAt) >= limit
}

// recordBatchTime updates the moving average of batch durations.
func (c *session) recordBatchTime(took time.Duration) {
	c.typicalBatchTime += time.Duration(batchTimeWeight * float64(took-c.typicalBatchTime))
}

// quorumAskedSince reports whether a majority of the listed workers has answered calls sent after the given time.
func (c *session) quorumAskedSince(t, now time.Time) bool {
	c.updateQuorum(now)
	c.computeQuorumTime()
	asked := c.majorityAskedAt.Load()
	return asked != nil && asked.After(t)
}

// sendUnstored sends the starts that wait to be stored.
func (c *session) sendUnstored() {
	starts, waiting := c.splitUnstored(c.plannedStarts)
	c.plannedStarts = c.dropReplaceable(waiting)
	if c.inFlight != nil {
		// The store may have these runs already, so that the next leader may send their starts. They are not dropped.
		var first []plannedStart
		first, c.inFlight.starts = c.splitUnstored(c.inFlight.starts)
		starts = append(first, starts...)
	}
	for _, p := range starts {
		c.noteUnstored(p.task.Job)
	}
	c.counts.unstoredStarts.Inc(int64(len(starts)))
	c.storedStarts = append(c.storedStarts, starts...)
	c.sendStored(c.now())
}

// splitUnstored splits planned runs into those that may be ordered before they are stored and those that wait for the store.
func (c *session) splitUnstored(planned []plannedStart) (allowed, waiting []plannedStart) {
	for _, p := range planned {
		if c.obeysAssignment(p) {
			allowed = append(allowed, p)
			continue
		}
		waiting = append(waiting, p)
	}
	return allowed, waiting
}

// obeysAssignment reports whether a planned start may leave before it is stored: the next leader can derive its worker and its number, and counts one such start. A task of
// which an earlier leader may have sent one waits for the store.
func (c *session) obeysAssignment(p plannedStart) bool {
	return p.run.number == unstoredRunNumber(p.task) && c.unstoredWorker(p.task) == p.worker.ID && !c.startPossible(p.task, c.now())
}

// dropReplaceable takes back the planned runs whose tasks can be placed on the workers to which they are assigned, and returns the others. None of the runs may be in
// a batch.
func (c *session) dropReplaceable(planned []plannedStart) (rest []plannedStart) {
	now := c.now()
	for _, p := range planned {
		l := c.limitsOf(p.worker.Pool, now)
		if p.run.previous == 0 && !l.inherited(p.task) && l.limitOwn(p.task) != "" {
			c.dropPlanned(p)
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// dropPlanned takes back a run that was planned and is in no batch, so that its task can be placed again as if the run had never been planned.
func (c *session) dropPlanned(p plannedStart) {
	if p.worker.runs[p.task] != p.run {
		return
	}
	p.worker.dropRun(p.task)
	p.task.Run = p.run.previous
	c.requeue(p.task)
}
