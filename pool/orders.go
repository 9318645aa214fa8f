// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"math"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// Limits and timing of orders to workers.
const (
	// orderTimeout bounds a stop, and is the pause between two attempts to start a run after the first ones.
	orderTimeout = 800 * time.Millisecond
	// startValidity is how long a start may take to reach its worker. A worker ignores a start after its deadline, so an unanswered start is
	// settled after this time.
	startValidity = 1500 * time.Millisecond
	// stopRetry is the pause before another stop of a run that goes on.
	stopRetry = 600 * time.Millisecond
	// The starts in flight take at most the link's capacity of startsWindow, at startBytes each. minStartsInFlight are always allowed.
	startsWindow      = 150 * time.Millisecond
	startBytes        = 800
	minStartsInFlight = 8
	// runBits leaves room for 16 million starts in one term below the term's number, so that run numbers increase over terms.
	runBits = 24
)

// nextRunNumber returns a number above that of every earlier run of any leader.
func (c *session) nextRunNumber() int64 {
	c.startCount++
	return c.term.Number<<runBits | c.startCount
}

// planStart plans a run of the task. Its start is sent once the run is stored, so that the next leader knows where the run may be.
func (c *session) planStart(w *worker, t *job.Task, r *run, now time.Time) {
	r.previous = t.Run
	t.Phase, t.Run, t.Worker, t.RunSince = job.Starting, r.number, w.Incarnation, now
	t.Stopping, t.AtWork, t.Percent, t.Gauge = false, false, 0, 0
	if t.EndedOn != w.Incarnation {
		t.EndedOn = ""
	}
	c.addRun(w, t, r)
	w.lastStartAt = now
	t.Job.Version++
	c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
	c.plannedStarts = append(c.plannedStarts, plannedStart{worker: w, task: t, run: r})
}

// plannedStart is a run whose start is to be sent once it is stored.
type plannedStart struct {
	worker *worker
	task   *job.Task
	run    *run
}

// sendStored sends the starts of stored runs, as soon as this leader may give orders. The confirmation from the store can arrive while it may not, such as at
// the end of a network partition.
func (c *session) sendStored(now time.Time) {
	if len(c.storedStarts) == 0 || !c.mayOrder(now) {
		return
	}
	starts := c.storedStarts
	c.storedStarts = nil
	for i, p := range starts {
		if !c.canSendStart(now) {
			c.storedStarts = append(c.storedStarts, starts[i:]...) // sent when earlier starts have been answered, or count no longer
			return
		}
		c.sendIfValid(p, now)
	}
}

// maxStartsInFlight returns how many starts may be in flight. They must not fill the link for longer than startsWindow, or urgent messages such as renewals
// would queue behind them.
func (c *session) maxStartsInFlight() int {
	if c.LinkPerSecond <= 0 {
		return math.MaxInt
	}
	return max(int(c.LinkPerSecond*startsWindow.Seconds()/startBytes), minStartsInFlight)
}

// sendIfValid sends a planned start, unless the run or its worker can no longer be used.
func (c *session) sendIfValid(p plannedStart, now time.Time) {
	w, t, r := p.worker, p.task, p.run
	if w.runs[t] != r || c.workers[w.Incarnation] != w {
		return
	}
	// The worker's capacity may have shrunk or the organisation's cap been lowered since the run was planned.
	if t.Job.State.Ended() || !w.usable(now) || w.candidate.Free.AnyNegative() || c.ledger.OverCap(t.Job.Spec.Organisation, t.Spec().Need) {
		w.dropRun(t)
		if t.Spec().Gang {
			c.stopGang(t, "a member can't start")
		}
		c.requeue(t)
		return
	}
	c.sendStart(w, t, r, now)
}

// sendStart makes one attempt to start a run.
func (c *session) sendStart(w *worker, t *job.Task, r *run, now time.Time) {
	r.orderCount++
	r.sent, r.inFlight, r.sentAt, r.orderedAt = true, true, now, now
	w.lastStartAt = now
	r.deadline = w.deadline(startValidity, now)
	o := work.Start{
		Task: t.Name(), Run: r.number, Text: t.Job.Spec.Text, Deadline: r.deadline,
		Fence: w.token.Load(), Saved: t.Saved, Ticket: r.ticket,
	}
	c.emit(event.RunOrdered, event.Subject{Job: o.Task, Instance: w.Incarnation}, "run=%d waited=%v slack=%v free=%d config=%d%s", r.number, c.now().Sub(t.Job.Received).Round(time.Millisecond), r.slack.Round(time.Millisecond), w.candidate.Free.MilliCPU, c.config.Version, takeLongestWait(t))
	c.counts.ordered.Inc(1)
	c.reportTakeoverStep("first-start", now)
	if !t.Job.Began {
		c.counts.firstStarts.RecordDuration(c.now().Sub(t.Job.Received))
	}
	row := w.Worker
	c.startSlots.sent()
	m := startResult{worker: w, task: t, run: r.number, token: o.Fence, earlier: r.orderCount - 1, copies: r.pending.open(), sentAt: now}
	timeout := startTimeout << min(m.earlier, quickAttempts-1)
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		m.answer, m.err = c.Calls.Start(ctx, &row, o)
		c.post(m)
	})
}

// startResult is the outcome of one attempt to start a run.
type startResult struct {
	worker *worker
	task   *job.Task
	run    int64
	token  int64
	// earlier counts the attempts before this one. copies is set if starts of the run that others have sent may still be carried out.
	earlier int
	copies  bool
	sentAt  time.Time
	answer  work.Answer
	err     error
}

// unanswered reports whether the attempt may have been carried out or may still be.
func (m startResult) unanswered() bool { return m.err != nil && !errors.Is(m.err, work.ErrNotSent) }

// neverBegan reports whether neither this attempt nor one before it can have begun the run.
func (m startResult) neverBegan() bool {
	return m.earlier == 0 && !m.copies && (errors.Is(m.err, work.ErrNotSent) || (m.err == nil && m.answer.Refusal != work.Accepted))
}

func (m startResult) apply(c *session) {
	c.startSlots.ended(!m.unanswered(), m.sentAt)
	defer func() { c.sendStored(c.now()) }()
	w, t := m.worker, m.task
	if m.err == nil {
		w.readClock(m.answer.Clock)
	}
	if m.unanswered() {
		c.recordUnanswered(w, t, m.run, m.sentAt)
	}
	r := w.runs[t]
	if c.workers[w.Incarnation] != w || r == nil || r.number != m.run {
		if !m.unanswered() {
			c.settleHandedOn(t, m.run)
		}
		c.settleLoss(m)
		return // the run or its worker's incarnation has ended
	}
	r.inFlight = false
	now := c.now()
	switch {
	case m.err == nil && m.answer.Refusal == work.Accepted:
		w.startPauses, w.lastUnknownJob = 0, nil
		t.Refused = 0
		r.pending.accepted()
		c.confirmRun(w, t, r, m.answer.Clock)
		if t.Job.State.Ended() {
			c.stopTask(w, t, "its job has ended")
		}
	case m.err == nil && m.answer.Refusal == work.Fenced && m.token >= w.token.Load():
		c.Lost(c.term.Fence)
	case r.confirmed > 0: // an earlier attempt has been carried out
		if m.unanswered() {
			c.startUnanswered(w, t, r, m.err)
		}
		c.clearLateIfClosed(t, r)
		if m.err == nil && m.answer.Refusal == work.OtherIncarnation {
			c.otherIncarnationAnswered(w, m.answer)
		}
	case r.pending.open():
		c.startStillPending(w, t, r, m, now)
	case m.err != nil:
		c.requeueRefused(w, t, "not sent")
		w.pauseStarts(now)
	case m.answer.Refusal == work.Fenced:
		c.requeueRefused(w, t, "its token has been raised since")
	case m.answer.Refusal == work.OtherIncarnation:
		c.requeueRefused(w, t, "its address has another life") // the run was never on this incarnation, so the incarnation's end does not count against it
		c.otherIncarnationAnswered(w, m.answer)
	default:
		c.requeueRefused(w, t, m.answer.Refusal.String())
		c.applyRefusal(w, t, m.answer.Refusal, now)
	}
}

// startStillPending handles the outcome of an attempt that was not accepted while this or an earlier one may still be carried out: the run keeps its worker.
func (c *session) startStillPending(w *worker, t *job.Task, r *run, m startResult, now time.Time) {
	if m.err != nil {
		c.startUnanswered(w, t, r, m.err)
		if m.unanswered() && r.orderCount < quickAttempts {
			c.planResend(w, t, r, now)
		}
		return
	}
	c.startUnanswered(w, t, r, refusedAfterPending(m.answer.Refusal))
	switch m.answer.Refusal {
	case work.OtherIncarnation:
		c.otherIncarnationAnswered(w, m.answer)
	case work.Fenced: // its token has been raised since
	default:
		c.applyRefusal(w, t, m.answer.Refusal, now)
	}
}

// requeueRefused drops a refused run, so that its task can start elsewhere after a back-off.
func (c *session) requeueRefused(w *worker, t *job.Task, why string) {
	c.counts.refused(why)
	c.emit(event.RunRefused, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d why=%q", t.Run, why)
	w.dropRun(t)
	t.Refused++
	t.NotBefore = c.now().Add(backoff(t.Refused-1, refusedBackoff))
	if t.Spec().Gang {
		c.stopGang(t, "a member was refused")
	}
	c.requeue(t)
}

func (c *session) applyRefusal(w *worker, t *job.Task, why work.Refusal, now time.Time) {
	switch why {
	case work.NoRoom, work.Unhealthy:
		w.pauseStarts(now)
	case work.InvalidOrder:
		// A single job that workers reject must not keep its pool from other jobs. A worker that rejects several jobs is at fault itself.
		if w.lastUnknownJob != nil && w.lastUnknownJob != t.Job {
			w.pauseStarts(now)
		}
		w.lastUnknownJob = t.Job
	case work.BadTicket:
		c.forgetTicket(t, w.Incarnation)
	}
}

// stopGang stops the other members of a task's gang.
func (c *session) stopGang(t *job.Task, why string) {
	tasks := t.Job.StepTasks(t.Time, t.Step)
	for i := range tasks {
		m := &tasks[i]
		if w := c.workers[m.Worker]; m != t && w != nil && w.runs[m] != nil {
			c.stopTask(w, m, why)
		}
	}
}

// stopJob stops all runs of a job.
func (c *session) stopJob(j *job.Job, why string) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if w := c.workers[t.Worker]; w != nil && w.runs[t] != nil {
			c.stopTask(w, t, why)
		}
	}
}

// stopTask orders a task's run to stop. The worker's reports tell when it has ended.
func (c *session) stopTask(w *worker, t *job.Task, why string) {
	r := w.runs[t]
	if r != nil && !r.sent && !r.fromEarlierLeader {
		w.dropRun(t) // the start was not sent and will not be
		c.requeue(t)
		return
	}
	if r == nil || (r.stopSent && c.now().Sub(r.sentAt) < stopRetry) {
		return
	}
	r.stopSent, r.sentAt = true, c.now()
	t.Stopping = true
	c.emit(event.StopOrdered, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d why=%q", r.number, why)
	c.sendStop(w, t, r.number)
}

// stopStray orders a run to stop that is not the current run of any task.
func (c *session) stopStray(w *worker, name string, number int64, why string) {
	stray := strayRun{task: name, number: number}
	if c.now().Sub(w.strayRuns[stray]) < stopRetry {
		return
	}
	w.strayRuns[stray] = c.now()
	c.emit(event.StopOrdered, event.Subject{Job: name, Instance: w.Incarnation}, "run=%d why=%q", number, why)
	c.callStop(w, name, number, nil)
}

func (c *session) sendStop(w *worker, t *job.Task, number int64) {
	c.callStop(w, t.Name(), number, t)
}

func (c *session) callStop(w *worker, name string, number int64, t *job.Task) {
	row := w.Worker
	o := work.Stop{Task: name, Run: number, Fence: w.token.Load()}
	if !c.mayOrder(c.now()) {
		return // if the run goes on, the stop is sent at a later check
	}
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		defer cancel()
		a, err := c.Calls.Stop(ctx, &row, o)
		c.post(stopResult{worker: w, task: t, run: number, token: o.Fence, answer: a, err: err})
	})
}

// stopResult is the outcome of a stop.
type stopResult struct {
	worker *worker
	task   *job.Task
	run    int64
	token  int64
	answer work.Answer
	err    error
}

func (m stopResult) apply(c *session) {
	w := m.worker
	if c.workers[w.Incarnation] != w || m.err != nil {
		return // the worker's reports decide
	}
	w.readClock(m.answer.Clock)
	switch m.answer.Refusal {
	case work.Fenced:
		c.tokenRefused(w, m.token)
	case work.OtherIncarnation:
		c.otherIncarnationAnswered(w, m.answer)
	case work.Accepted:
		if r := w.runs[m.task]; r != nil && r.number == m.run {
			r.stopped = m.answer.Clock
		}
	}
}

// resolveUnanswered handles runs whose start got no answer: it resends the start or stops the run. It also repeats unanswered stops.
func (c *session) resolveUnanswered(now time.Time) {
	for _, w := range c.workers {
		if len(w.runs) == 0 {
			continue
		}
		for t, r := range w.runs {
			c.storeSettled(w, t, r, now)
			timedOut := r.unanswered && !r.inFlight && !r.resendPlanned && now.Sub(r.sentAt) > orderTimeout
			switch {
			case timedOut && w.pinned(t, r, now):
				c.planResend(w, t, r, now)
			case r.stopped > 0:
			case t.Stopping, timedOut && !t.Spec().Lasting: // the start of a lasting task is settled by its deadline
				c.stopTask(w, t, "no answer")
			}
		}
	}
	c.sendResends(now)
}
