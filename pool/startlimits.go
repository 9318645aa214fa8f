// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

// A leader whose store does not answer starts tasks before their runs are stored. Such a start may get no answer, and the leader may be lost before the run is
// stored. The worker's next incarnation can still carry the start out (see pending.go), and no record tells the next leader about it.
//
// Both leaders therefore know where such a start can be: only first starts of tasks without conditions on their worker leave before they are stored, each to the worker to
// which its task is assigned, and under a number that follows from the task. While such starts may be carried out, the next leader sends an inherited task to the same
// worker under the same number, where a copy changes nothing, and treats it as a run with one unanswered attempt.

// assignedWorker returns the ID of the only worker to which any leader may have sent, or may send, a start of the task before it is stored, or an empty string if all
// starts wait for the store. It depends on nothing but the task and the stored assignment.
//
// Conditions on the worker may exclude the one to which the task is assigned. A task whose earlier runs failed or were lost waits for the store: the next leader must know of
// those before the task starts again.
func (c *session) assignedWorker(t *job.Task) string {
	if isConditional(t.Spec()) || len(t.Lost) > 0 || len(t.FailedRuns) > 0 {
		return ""
	}
	return c.assignment.workerOf(t)
}

// isConditional reports whether the step itself excludes that its tasks start before they are stored.
func isConditional(s *job.Step) bool { return s.Label != "" || s.PerWorker > 0 || s.Lasting || s.Gang }

// unstoredWorker returns the ID of the only worker to which this leader may send a first start of the task before it is stored, or an empty string if the start has to
// wait for the store.
func (c *session) unstoredWorker(t *job.Task) string {
	if q := c.queue(t.Job); q.Pool != t.Job.Spec.Pool || q.Advice != nil {
		return "" // the next leader may not have the same configuration, and looks in the pool that the job was submitted for
	}
	if _, unexpected := c.unexpectedRuns[t.Job]; unexpected {
		return ""
	}
	return c.assignedWorker(t)
}

// unstoredRunNumber returns the number of a run whose start may leave before it is stored. It is unique within the job, and below the numbers of all other runs.
func unstoredRunNumber(t *job.Task) int64 { return int64(t.Ordinal()) + 1 }

// earlierStartsPossible reports whether an unstored start of an earlier leader may still be carried out, or a run that began by one may be on a worker that has not listed
// all that it has.
func (c *session) earlierStartsPossible(now time.Time) bool {
	return c.mayHaveUnstoredRuns() && (!c.earlierStartsOver(now) || len(c.uncertainIncarnations) > 0)
}

// earlierStartsOver reports whether no unstored start of an earlier leader can be carried out any more, and every lease that such a leader gave has expired.
func (c *session) earlierStartsOver(now time.Time) bool {
	stopped, known := c.earlierStoppedBy()
	if !known || !c.earlierLeasesOver(now) {
		return false
	}
	return !c.bootIDsKnown || now.After(stopped.Add(lateMax))
}

// earlierStartsEnd returns the time after which no unstored start of an earlier leader is carried out any more.
func (c *session) earlierStartsEnd(now time.Time) time.Time {
	return c.earlierOrdersEnd(now).Add(lateMax)
}

// startLimits tells which waiting tasks of a pool may start only at a certain worker, or not yet.
type startLimits struct {
	session *session
	pool    string
	now     time.Time
	// earlierPossible is set while unstored starts of an earlier leader may be carried out, and earlierCertain if it is certain that it may have sent some.
	earlierPossible, earlierCertain bool
	// unassigned is set if the pool had no assignment at the takeover and some of its workers have not listed all that they have. Inherited tasks wait for them.
	unassigned bool
	// startsOver is set once none can be carried out any more, so that only workers that have not listed all that has ended limit tasks.
	startsOver bool
	// ownUnstored is set while this leader's starts leave before they are stored, and storeFailing while a start that waits for the store would wait for long.
	ownUnstored, storeFailing bool
}

// limitsOf returns the limits for the tasks of a pool.
func (c *session) limitsOf(pool string, now time.Time) startLimits {
	l := startLimits{
		session: c, pool: pool, now: now,
		earlierPossible: c.earlierStartsPossible(now), earlierCertain: c.earlierUnstored, startsOver: c.earlierStartsOver(now), ownUnstored: c.inMode(modeUnkeptOrders),
		storeFailing: c.storeFailing(now),
	}
	l.unassigned = l.earlierPossible && !c.assignment.atTakeover[pool] && c.hasUncertain(pool)
	return l
}

// usable returns the usable incarnation with the worker ID in the pool, or nil.
func (l *startLimits) usable(id string) *worker {
	for _, w := range l.session.incarnationsWithID(id) {
		if w.Pool == l.pool && w.usable(l.now) {
			return w
		}
	}
	return nil
}

// hasUncertain reports whether a worker of the pool may have runs of an earlier leader that this one does not know.
func (c *session) hasUncertain(pool string) bool {
	for _, w := range c.uncertainIncarnations {
		if w.Pool == pool {
			return true
		}
	}
	return false
}

// inherited reports whether an earlier leader may have sent an unstored start of the task that may still be carried out.
func (l *startLimits) inherited(t *job.Task) bool {
	return l.earlierPossible && l.session.inheritedUnsettled(t)
}

// limit returns the ID of the only worker on which a waiting task may start, or an empty string if any may, and whether the task must wait.
func (l *startLimits) limit(t *job.Task) (worker string, wait bool) {
	switch {
	case l.inherited(t):
		return l.limitInherited(t)
	case l.ownUnstored && t.Run == 0:
		return l.limitOwn(t), false
	case t.MayComeLate(l.now):
		return l.limitEnded(t), false
	}
	return "", false
}

// limitInherited is limit for an inherited task.
func (l *startLimits) limitInherited(t *job.Task) (worker string, wait bool) {
	if l.unassigned {
		return "", true
	}
	worker = l.session.assignedWorker(t)
	switch {
	case worker == "", l.session.retiredIDs[worker], l.session.offIDs[worker], l.startsOver && !l.uncertain(worker):
		return "", false
	case !l.session.bootIDsKnown: // no other incarnation will have its ID, and this one refuses the start once it has answered
		return "", l.uncertain(worker)
	case !l.session.orderableIDs[worker]:
		return "", false
	}
	return worker, l.usable(worker) == nil || !l.earlierCertain
}

// limitOwn returns the ID of the worker on which a task may start before its run is stored. If that worker can't be used, or is full while the store is only slow, any worker
// may start the task once the run is stored. A full worker is waited for while the store fails: a run that waits for the store would take the capacity of another task's worker.
func (l *startLimits) limitOwn(t *job.Task) string {
	worker := l.session.unstoredWorker(t)
	w := l.usable(worker)
	if w == nil || (!l.storeFailing && !w.fits(t.Spec())) {
		return ""
	}
	return worker
}

// limitEnded returns the ID of the worker on which a task may start again under a new number although a start of an earlier run may still be carried out, or an empty string
// if it must wait.
//
// The incarnation that has listed the end of a run refuses that run's starts. A later one under the ID can carry them out, but only once this incarnation, and the new run with
// it, has ended. The new start could then be carried out beside them if it was held up as well, so the worker must have answered all starts lately.
func (l *startLimits) limitEnded(t *job.Task) string {
	w := l.session.workers[t.EndedOn]
	switch {
	case w == nil, w.Pool != l.pool, w.successor != nil, len(l.session.incarnationsWithID(w.ID)) > 1, !w.usable(l.now), w.hasPendingStarts(l.now):
		return ""
	case t.Suspect, t.Spec().Gang, l.session.queue(t.Job).Advice != nil:
		return ""
	case w.failures > len(t.FailedRuns):
		return "" // it fails other tasks too
	}
	return w.ID
}

// startsAgain reports whether a waiting task that is limited to the given worker is limited by limitEnded.
func (l *startLimits) startsAgain(t *job.Task, worker string) bool {
	return worker != "" && !l.inherited(t) && (!l.ownUnstored || t.Run != 0)
}

// held reports whether a waiting task that is limited to the given worker must not start yet, because a start of another run of it may be carried out late. A start
// under the number of an unstored one does no harm at the same worker.
func (l *startLimits) held(t *job.Task, worker string) bool {
	switch {
	case !t.MayComeLate(l.now):
		return false
	case worker == "":
		return true
	case l.startsAgain(t, worker):
		return false
	}
	return t.Run == 0 || !l.inherited(t)
}

// uncertain reports whether an incarnation with the worker ID may have runs of an earlier leader that this one does not know.
func (l *startLimits) uncertain(id string) bool {
	for _, w := range l.session.incarnationsWithID(id) {
		if l.session.uncertainIncarnations[w.Incarnation] != nil {
			return true
		}
	}
	return false
}

// allWait reports whether none of the group's tasks may start yet.
func (l *startLimits) allWait(g *place.Group) bool {
	if !l.earlierPossible {
		return false
	}
	for _, t := range g.Tasks {
		if !startable(t) {
			continue
		}
		if _, wait := l.limit(t); !wait {
			return false
		}
	}
	return true
}

// inheritedUnsettled reports whether an earlier leader may have sent a start of the task of which nothing is known.
func (c *session) inheritedUnsettled(t *job.Task) bool {
	return c.inheritedJobs[t.Job.Spec.ID] && !c.startsSettled[t]
}

// startPossible reports whether an earlier leader may have sent an unstored start of the task that may still be carried out.
func (c *session) startPossible(t *job.Task, now time.Time) bool {
	return c.inheritedUnsettled(t) && c.earlierStartsPossible(now)
}

// settleStart records that no unstored start of an earlier leader is left of the task.
func (c *session) settleStart(t *job.Task) { c.startsSettled[t] = true }

// settleStartOf records that a worker has carried out the unstored start of the task, if the run began by it. Other runs are no evidence about that start.
func (c *session) settleStartOf(t *job.Task, number int64) {
	if number == unstoredRunNumber(t) && c.earlierStartsPossible(c.now()) {
		c.settleStart(t)
	}
}

// endStartLimits has all tasks placed anew once no unstored start of an earlier leader can be carried out any more, and forgets which starts were settled once none can be,
// whatever becomes known of that leader.
func (c *session) endStartLimits(now time.Time) {
	if c.inMode(modeOrphans) && !c.earlierStartsPossible(now) {
		c.markAllDirty()
	}
	c.forgetNeeded(now)
	if _, known := c.earlierStoppedBy(); known && now.After(c.earlierStartsEnd(now)) && len(c.uncertainIncarnations) == 0 {
		clear(c.startsSettled)
	}
}

// notePossibleStart counts the start that an earlier leader may have sent without storing it as an unanswered attempt of the task's new run.
func (c *session) notePossibleStart(t *job.Task, r *run, now time.Time) {
	r.pending.add()
	c.extendLate(t, c.earlierStartsEnd(now))
}
