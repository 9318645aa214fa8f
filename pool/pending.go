// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// An unanswered start may still be carried out seconds later. It is addressed to the worker's ID: the life it was sent to refuses it or already has the
// run, but a later life under the same ID does not know the run and begins it. Nothing can prevent this before that life has answered its first call.
//
// The start is therefore sent again to the same life, where duplicates have no effect. While a copy may still be carried out (see job.Task.LateUntil):
//
//   - the task stays with the ID of its worker: a later life that has answered under a higher token and does not have the run is sent the start again. Only a
//     task that may have ended its worker's life is started elsewhere then;
//   - an end of the task is processed but not acknowledged to its worker, because the users' interface lets a task run again after an unacknowledged end;
//   - a silent worker is polled frequently, so that its next life learns the higher token before a copy arrives.

// Limits and timing of unanswered starts.
const (
	// lateMost is how long an unanswered order may still be carried out; the users' interface says seconds.
	lateMost = 15 * time.Second
	// startAttempts is the maximum number of attempts per order. The first attempt times out after startTimeout, the second after twice that, and the last
	// one at the end of orderTimeout.
	startAttempts = 3
	startTimeout  = 120 * time.Millisecond
	// startRounds is the maximum number of orders per start, including the first, for a worker that does not answer within orderTimeout.
	startRounds = 4
	// pendingRetry is the pause between two calls to a silent worker whose next life may carry out a copy. It grows by pendingRetryStep for each such worker, up
	// to retryFirst, to limit the call rate of a leader.
	pendingRetry     = 10 * time.Millisecond
	pendingRetryStep = 2 * time.Millisecond
)

// pendingStarts records the unanswered attempts to start a run, each of which may still be carried out.
type pendingStarts struct {
	count int
	// newest is the send time of the latest one.
	newest time.Time
}

// add records an attempt that was sent at the given time.
func (p *pendingStarts) add(at time.Time) { p.count, p.newest = p.count+1, at }

// removeOne removes one attempt, which is known to have been carried out.
func (p *pendingStarts) removeOne() { p.count = max(p.count-1, 0) }

// callStart sends a start repeatedly until the worker answers, startAttempts is reached or orderTimeout has passed. A duplicate has no effect on a life that
// has or had the run. It calls onUnanswered for each attempt that got no answer, before sending the next one, and returns their number as pending.
func (c *session) callStart(row *work.Worker, o work.Start, now time.Time, onUnanswered func(sentAt time.Time)) (a work.Answer, pending int, err error) {
	end := now.Add(orderTimeout)
	for attempt := 1; ; attempt++ {
		timeout := end.Sub(now)
		if attempt < startAttempts {
			timeout = min(timeout, startTimeout<<(attempt-1))
		}
		a, err = c.startOnce(row, o, timeout)
		switch {
		case err == nil, errors.Is(err, work.ErrNotSent) && pending == 0:
			return a, pending, err
		case errors.Is(err, work.ErrNotSent):
			return a, pending, work.ErrNoAnswer // an earlier attempt was sent
		}
		pending++
		onUnanswered(now)
		if now = c.exactNow(); attempt == startAttempts || !now.Before(end) || !c.mayOrder(now) {
			return a, pending, err
		}
	}
}

// startOnce makes a single attempt with the given timeout.
func (c *session) startOnce(row *work.Worker, o work.Start, timeout time.Duration) (work.Answer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return c.Calls.Start(ctx, row, o)
}

// attemptUnanswered reports an attempt to start a run that got no answer. It is posted before the next attempt is sent, so that the remaining attempts do not
// delay recording it: the run may end, or this leader may be lost, in the meantime.
type attemptUnanswered struct {
	worker *worker
	task   *job.Task
	run    int64
	sentAt time.Time
}

func (m attemptUnanswered) apply(c *session) {
	if r := c.runOf(m.task, m.run); r != nil {
		r.pending.add(m.sentAt)
	}
	if m.worker.Birth == 0 {
		return // no other life bears its ID
	}
	m.worker.notePending(m.sentAt)
	if until := m.sentAt.Add(lateMost); until.After(m.task.LateUntil) {
		c.setLateUntil(m.task, until)
	}
}

// runOf returns the task's run with the given number, even if it has been handed on to the next life, or nil if there is no such run any more.
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
	c.dirty.Add(t.Job.Spec.ID, t.Job)
}

// clearLate clears the task's LateUntil once no start of it can be carried out late.
func (c *session) clearLate(t *job.Task) {
	if !t.LateUntil.IsZero() {
		c.setLateUntil(t, time.Time{})
	}
}

// startUnanswered handles a start that may have been carried out or may still be.
func (c *session) startUnanswered(w *worker, t *job.Task, r *run, err error) {
	r.unanswered = r.confirmed == 0
	c.emit(event.RunUnanswered, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d attempts=%d err=%q", r.number, r.pending.count, err)
	if !r.unanswered {
		c.attemptCarriedOut(t, r)
	}
}

// attemptCarriedOut handles the discovery of a run whose start was not answered: one of its attempts has been carried out.
func (c *session) attemptCarriedOut(t *job.Task, r *run) {
	r.pending.removeOne()
	if r.pending.count == 0 {
		c.clearLate(t)
	}
}

// refusedAfterPending returns the error for a refusal that follows an unanswered attempt, which may still be carried out.
func refusedAfterPending(why work.Refusal) error {
	return fmt.Errorf("%w; a later attempt was refused: %v", work.ErrNoAnswer, why)
}

// pinned reports whether an unanswered run must stay assigned to its worker regardless of the worker's reports, since its task must not start elsewhere.
func (w *worker) pinned(t *job.Task, r *run, now time.Time) bool {
	return w.Birth != 0 && r.unanswered && !t.Stopping && !t.Job.State.Ended() && t.MayComeLate(now)
}

// mustResendHandedOn reports whether the start of a run that was handed on to this life, which does not have the run, must be sent to this life too: a later
// life may still carry out a copy of the start, so the task must not run elsewhere. A task suspected of having ended its worker's life is tried apart instead.
func (w *worker) mustResendHandedOn(t *job.Task, r *run, now time.Time) bool {
	return r.handedOn && r.pending.count > 0 && w.Birth != 0 && t.MayComeLate(now) && !t.Suspect && !t.Job.State.Ended()
}

// markForResend turns a run that was handed on into an unanswered run of this life, so that resendStart sends its start under the same number.
func (r *run) markForResend() {
	r.handedOn, r.earlier, r.unanswered = false, false, true
	r.deadline, r.rounds = 0, 0 // the deadline was on the previous life's clock
}

// resendStart sends an unanswered start again, up to startRounds.
func (c *session) resendStart(w *worker, t *job.Task, r *run, now time.Time) {
	if r.rounds < startRounds && w.usable(now) && c.mayOrder(now) {
		c.sendStart(w, t, r, now)
	}
}

// ackAfter returns the time before which an end must not be acknowledged, or the zero time if the end only has to be stored first.
func (c *session) ackAfter(w *worker, e work.EndedRun, now time.Time) time.Time {
	t := c.task(e.Task)
	if t == nil || w.Birth == 0 || !t.MayComeLate(now) {
		return time.Time{}
	}
	return t.LateUntil
}

// notePending records an unanswered start that was sent at the given time to a worker whose ID another life may bear later.
func (w *worker) notePending(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.pendingAt) {
		w.pendingAt = at
	}
}

// hasPendingStarts reports whether the next life under the worker's ID may begin a run because of an unanswered start.
func (w *worker) hasPendingStarts(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.pendingAt.IsZero() && now.Sub(w.pendingAt) < lateMost
}

// retryPause returns the pause after a failed hold. It is shorter than usual while the worker's next life may receive a late order. The hold loop calls it,
// so the worker's birth is passed in: its row belongs to the control goroutine.
func (c *session) retryPause(w *worker, birth work.Birth, usual time.Duration, heard time.Time) time.Duration {
	now := c.exactNow()
	switch {
	case birth == 0:
		return usual
	case w.hasPendingStarts(now):
		return min(pendingRetry+pendingRetryStep*time.Duration(c.silentPending.Load()), retryFirst)
	case now.Sub(heard) < bornWithin:
		return retryFirst // a new life must learn the token before a late order arrives
	}
	return usual
}
