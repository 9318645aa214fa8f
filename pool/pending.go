// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// An unanswered start may still be carried out seconds later. It is addressed to the worker's ID: the incarnation it was sent to refuses it or already has the
// run, but a later incarnation under the same ID does not know the run and begins it. Nothing can prevent this before that incarnation has answered its first call.
//
// The start is therefore sent again to the same incarnation, where duplicates have no effect. While a copy may still be carried out (see job.Task.LateUntil):
//
//   - the task stays with the ID of its worker: a later incarnation that has answered under a higher token and does not have the run is sent the start again. A
//     task that may have ended its worker's incarnation waits instead, because it has to be tried apart from others;
//   - an end of the task is processed but not acknowledged to its worker, because the users' interface lets a task run again after an unacknowledged end;
//   - a silent worker is polled frequently, so that its next incarnation learns the higher token before a copy arrives.
//
// The next leader must know of the copies as well. A run is stored before its first start is sent, and LateUntil before each further one. So a stored run
// without LateUntil has been ordered once at most, and one with it any number of times. Most runs are stored as settled soon after their start, so that they
// don't have to stay with a worker's ID over a takeover.

// Limits and timing of unanswered starts.
const (
	// lateMax is how long an unanswered order may still be carried out. The users' interface specifies "seconds".
	lateMax = 15 * time.Second
	// lateMargin is added to LateUntil where it is stored, so that the record covers the next attempt too.
	lateMargin = 3 * time.Second
	// startTimeout is the timeout of the first attempt to start a run. It doubles with the second and the third attempt.
	startTimeout = 120 * time.Millisecond
	// quickAttempts is how many attempts are made without a pause. Each further one is made orderTimeout after the one before, up to startAttempts in all.
	quickAttempts = 3
	startAttempts = 8
	// storeSettledAfter is when the store is told that a run is settled, unless its job is stored earlier for another reason.
	storeSettledAfter = time.Second
	// pendingRetry is the pause between two calls to a silent worker whose next incarnation may carry out a copy. It grows by pendingRetryStep for each such worker, up
	// to retryFirst, to limit the call rate of a leader.
	pendingRetry     = 10 * time.Millisecond
	pendingRetryStep = 2 * time.Millisecond
)

// runOf returns the task's run with the given number, even if it has been handed on to the next incarnation, or nil if there is no such run any more.
func (c *session) runOf(t *job.Task, number int64) *run {
	w := c.workers[t.Worker]
	if w == nil || w.runs[t] == nil || w.runs[t].number != number {
		return nil
	}
	return w.runs[t]
}

// setLateUntil sets the task's LateUntil and marks the job dirty, so that the next leader learns of it.
func (c *session) setLateUntil(t *job.Task, until time.Time) {
	t.SetLateUntil(until)
	c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
}

// extendLate sets the task's LateUntil unless it is later already.
func (c *session) extendLate(t *job.Task, until time.Time) {
	if until.After(t.LateUntil) {
		c.setLateUntil(t, until)
	}
}

// clearLate clears the task's LateUntil once no start of it can be carried out late.
func (c *session) clearLate(t *job.Task) {
	if !t.LateUntil.IsZero() {
		c.setLateUntil(t, time.Time{})
	}
}

// clearLateIfClosed clears the task's LateUntil if no attempt to start its run is open or in flight.
func (c *session) clearLateIfClosed(t *job.Task, r *run) {
	if !r.pending.open() && !r.inFlight {
		c.clearLate(t)
	}
}

// recordUnanswered records an attempt that got no answer. Its run may have been handed on to the next incarnation or have ended meanwhile.
func (c *session) recordUnanswered(w *worker, t *job.Task, number int64, sentAt time.Time) {
	r := c.runOf(t, number)
	switch {
	case r == nil:
	case r.handedOnInFlight && c.workers[t.Worker] != w:
		r.handedOnInFlight = false // it was counted when the run was handed on
	default:
		r.pending.add()
		if r.confirmed > 0 {
			r.pending.listed()
		}
	}
	if w.BootID == 0 {
		return // no other incarnation bears its ID
	}
	w.notePending(sentAt)
	if (r != nil && r.pending.open()) || (r == nil && t.MayComeLate(c.now())) {
		c.extendLate(t, sentAt.Add(lateMax))
	}
}

// settleHandedOn records that an attempt to start a run can't be carried out any more, if the run was handed on while the attempt was in flight.
func (c *session) settleHandedOn(t *job.Task, number int64) {
	r := c.runOf(t, number)
	if r == nil || !r.handedOnInFlight {
		return
	}
	r.handedOnInFlight = false
	r.pending.remove()
	c.clearLateIfClosed(t, r)
}

// settleEnded records that the worker lists the end of a run. An attempt that is in flight may be the one that began it.
func (c *session) settleEnded(t *job.Task, r *run) {
	if r.inFlight {
		r.inFlight = false
		r.pending.add()
	}
	r.pending.listed()
	c.clearLateIfClosed(t, r)
}

// startUnanswered handles a run whose start may have been carried out or may still be.
func (c *session) startUnanswered(w *worker, t *job.Task, r *run, err error) {
	r.unanswered = r.confirmed == 0
	c.emit(event.RunUnanswered, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d attempts=%d err=%q", r.number, r.orderCount, err)
}

// refusedAfterPending returns the error for a refusal that follows an unanswered attempt, which may still be carried out.
func refusedAfterPending(why work.Refusal) error {
	return fmt.Errorf("%w; a later attempt was refused: %v", work.ErrNoAnswer, why)
}

// pinned reports whether an unanswered run must stay assigned to its worker regardless of the worker's reports, since its task must not start elsewhere.
func (w *worker) pinned(t *job.Task, r *run, now time.Time) bool {
	return w.BootID != 0 && r.unanswered && !t.Stopping && !t.Job.State.Ended() && t.MayComeLate(now)
}

// mustStay reports whether a run that this incarnation does not have must be sent to it again, because a later incarnation may still carry out a copy of
// its start. The run was handed on to this incarnation or ordered by an earlier leader.
func (c *session) mustStay(w *worker, t *job.Task, r *run, now time.Time) bool {
	if w.BootID == 0 || !r.pending.open() || t.Job.State.Ended() {
		return false
	}
	if r.orderedAt.IsZero() {
		c.extendLate(t, c.earlierOrdersEnd(now).Add(lateMax))
	}
	return t.MayComeLate(now) && !t.Suspect
}

// settled reports whether the worker has the run and no start of it can be carried out any more: no attempt is open, or the time of the open ones has passed.
func (w *worker) settled(t *job.Task, r *run, now time.Time) bool {
	if w.BootID == 0 || r.confirmed == 0 || r.inFlight || r.handedOnInFlight || t.MayComeLate(now) {
		return false
	}
	return !r.pending.open() || !t.LateUntil.IsZero()
}

// storeSettled has the store told of settled runs.
func (c *session) storeSettled(w *worker, t *job.Task, r *run, now time.Time) {
	if !r.settledStored && now.Sub(r.orderedAt) > storeSettledAfter && w.settled(t, r, now) {
		c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
	}
}

// earlierOrdersEnd returns the time by which earlier leaders have given their last order.
func (c *session) earlierOrdersEnd(now time.Time) time.Time {
	if stopped, known := c.earlierStoppedBy(); known {
		return stopped
	}
	return now.Add(quorumValidFor)
}

// markForResend turns a run that was handed on or ordered by an earlier leader into an unanswered run of this incarnation, so that its start is sent again under
// the same number.
func (r *run) markForResend() {
	r.carriedOver, r.fromEarlierLeader, r.sent, r.unanswered = false, false, true, true
	r.deadline, r.orderCount = 0, 0 // the deadline was on the previous incarnation's clock
	r.pending.began = false
}

// ackAfter returns the time before which an end must not be acknowledged, or the zero time if the end only has to be stored first.
func (c *session) ackAfter(w *worker, e work.EndedRun, now time.Time) time.Time {
	t := c.task(e.Task)
	if t == nil || w.BootID == 0 || !t.MayComeLate(now) {
		return time.Time{}
	}
	return t.LateUntil
}

// notePending records an unanswered start that was sent at the given time to a worker whose ID another incarnation may bear later.
func (w *worker) notePending(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.pendingAt) {
		w.pendingAt = at
	}
}

// hasPendingStarts reports whether the next incarnation under the worker's ID may begin a run because of an unanswered start.
func (w *worker) hasPendingStarts(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.pendingAt.IsZero() && now.Sub(w.pendingAt) < lateMax
}

// retryPause returns the pause after a failed hold. It is shorter than usual while the worker's next incarnation may receive a late order. The hold loop calls it,
// so the worker's boot ID is passed in: its row belongs to the control goroutine.
func (c *session) retryPause(w *worker, bootID work.BootID, usual time.Duration, heard time.Time) time.Duration {
	now := c.exactNow()
	switch {
	case bootID == 0:
		return usual
	case w.hasPendingStarts(now):
		return min(pendingRetry+pendingRetryStep*time.Duration(c.silentPending.Load()), retryFirst)
	case now.Sub(heard) < restartWindow:
		return retryFirst // a new incarnation must learn the token before a late order arrives
	}
	return usual
}
