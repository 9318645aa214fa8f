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

// Times of the orders to workers.
const (
	// orderTimeout bounds an order.
	orderTimeout = 800 * time.Millisecond
	// startValid is how long a start may take to reach its worker: one that comes later does nothing there, so that a
	// start without an answer is settled after this time.
	startValid = 1500 * time.Millisecond
	// stopAgain is the pause between two stops of a run that goes on.
	stopAgain = 600 * time.Millisecond
	// startsAhead is for how long starts that are under way may fill the link, startBytes about what one takes, startsLeast how many may always go.
	startsAhead = 150 * time.Millisecond
	startBytes  = 800
	startsLeast = 8
	// runBits leave room for 16 million starts in one term, so that a run's number rises over terms.
	runBits = 24
)

// nextRun returns a number above that of every earlier run of any leader.
func (c *session) nextRun() int64 {
	c.starts++
	return c.term.Number<<runBits | c.starts
}

// start plans a run of the task. Its order leaves once the run is kept, so that the next leader knows where it may be.
func (c *session) start(w *worker, t *job.Task, r *run, now time.Time) {
	t.Phase, t.Run, t.Worker, t.RunSince = job.Starting, r.number, w.Life, now
	t.Stopping, t.AtWork, t.Percent, t.Gauge = false, false, 0, 0
	c.addRun(w, t, r)
	w.newestAt = now
	t.Job.Version++
	c.dirty.Add(t.Job.Spec.ID, t.Job)
	c.planned = append(c.planned, plannedStart{worker: w, task: t, run: r})
}

// plannedStart is a run that is to be ordered once it is kept.
type plannedStart struct {
	worker *worker
	task   *job.Task
	run    *run
}

// sendHeld orders the runs that are kept, once this leader may: the answer that they are kept can come when a cut ends.
func (c *session) sendHeld(now time.Time) {
	if len(c.held) == 0 || !c.mayOrder(now) {
		return
	}
	starts := c.held
	c.held = nil
	for i, p := range starts {
		if c.startsUnderWay >= c.startsMost() {
			c.held = append(c.held, starts[i:]...) // until others have been answered
			return
		}
		c.send(p, now)
	}
}

// startsMost returns how many starts may be under way: no more than the link carries in startsAhead, so that what is urgent, renewals first, does not wait
// behind them.
func (c *session) startsMost() int {
	if c.LinkPerSecond <= 0 {
		return math.MaxInt
	}
	return max(int(c.LinkPerSecond*startsAhead.Seconds()/startBytes), startsLeast)
}

// send orders a planned run, unless something has come between.
func (c *session) send(p plannedStart, now time.Time) {
	w, t, r := p.worker, p.task, p.run
	if w.runs[t] != r || c.workers[w.Life] != w {
		return
	}
	// The room may have shrunk since it was decided, and the cap been lowered.
	if t.Job.State.Ended() || !w.usable(now) || w.room.Free.AnyNegative() || c.ledger.OverCap(t.Job.Spec.Organisation, t.Spec().Need) {
		w.drop(t)
		c.requeue(t)
		return
	}
	c.sendStart(w, t, r, now)
}

// sendStart sends the start of a run to its worker and counts the round.
func (c *session) sendStart(w *worker, t *job.Task, r *run, now time.Time) {
	r.rounds++
	r.sent, r.sentAt, r.began = true, now, now
	w.newestAt = now
	r.deadline = w.deadline(startValid, now)
	o := work.Start{
		Task: t.Name(), Run: r.number, Text: t.Job.Spec.Text, Deadline: r.deadline,
		Fence: w.token.Load(), Saved: t.Saved, Ticket: r.ticket,
	}
	c.emit(event.RunOrdered, event.Subject{Job: o.Task, Instance: w.Life}, "run=%d waited=%v slack=%v free=%d config=%d", r.number, c.now().Sub(t.Job.Received).Round(time.Millisecond), r.slack.Round(time.Millisecond), w.room.Free.MilliCPU, c.config.Version)
	c.counts.ordered.Inc(1)
	c.takeoverStep("first-start", now)
	if !t.Job.Began {
		c.counts.firstStarts.RecordDuration(c.now().Sub(t.Job.Received))
	}
	row := w.Worker
	c.startsUnderWay++
	c.work.Go(func() {
		m := startEnded{worker: w, task: t, run: r.number, token: o.Fence}
		m.answer, m.pending, m.err = c.callStart(&row, o, now, func(sentAt time.Time) {
			c.post(attemptUnanswered{worker: w, task: t, run: r.number, sentAt: sentAt})
		})
		c.post(m)
	})
}

// startEnded is the answer to a start, or the lack of one.
type startEnded struct {
	worker *worker
	task   *job.Task
	run    int64
	token  int64
	answer work.Answer
	// pending counts the attempts that got no answer.
	pending int
	err     error
}

func (m startEnded) apply(c *session) {
	c.startsUnderWay--
	defer func() { c.sendHeld(c.now()) }()
	w, t := m.worker, m.task
	if m.err == nil {
		w.read(m.answer.Clock)
	}
	r := w.runs[t]
	if c.workers[w.Life] != w || r == nil || r.number != m.run {
		if errors.Is(m.err, work.ErrNotSent) || (m.err == nil && m.answer.Refusal == work.OtherLife && m.pending == 0) {
			c.neverThere(t, m.run)
		}
		return // it has ended, or its worker has
	}
	now := c.now()
	switch {
	case errors.Is(m.err, work.ErrNotSent):
		c.refused(w, t, "not sent")
		w.rest(now)
	case m.err != nil:
		c.startUnanswered(w, t, r, m.err)
	case m.answer.Refusal == work.Accepted:
		w.rests, w.unknownJob = 0, nil
		t.Refused = 0
		c.confirm(w, t, r, m.answer.Clock)
		if t.Job.State.Ended() {
			c.stopTask(w, t, "its job has ended")
		}
	case m.answer.Refusal == work.Fenced && m.token < w.token.Load() && m.pending == 0:
		c.refused(w, t, "its token has been raised since")
	case m.answer.Refusal == work.Fenced && m.token >= w.token.Load():
		c.Lost(c.term.Fence)
	case m.pending > 0:
		c.startUnanswered(w, t, r, refusedAfterPending(m.answer.Refusal))
		if m.answer.Refusal == work.OtherLife {
			c.strangerAnswered(w, m.answer)
		}
	case m.answer.Refusal == work.OtherLife:
		c.refused(w, t, "its address has another life") // it never was there, so that the life has not ended under it
		c.strangerAnswered(w, m.answer)
	default:
		c.refused(w, t, m.answer.Refusal.String())
		c.learnRefusal(w, t, m.answer.Refusal, now)
	}
}

// refused lets the task start elsewhere.
func (c *session) refused(w *worker, t *job.Task, why string) {
	c.counts.refused(why)
	c.emit(event.RunRefused, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d why=%q", t.Run, why)
	w.drop(t)
	t.Refused++
	t.NotBefore = c.now().Add(backOff(t.Refused-1, refusedPause))
	if t.Spec().Gang {
		c.stopGang(t, "a member was refused")
	}
	c.requeue(t)
}

func (c *session) learnRefusal(w *worker, t *job.Task, why work.Refusal, now time.Time) {
	switch why {
	case work.NoRoom, work.Unhealthy:
		w.rest(now)
	case work.InvalidOrder:
		// One job that workers take for a mistake must not keep its pool from others; a worker that takes several for mistakes is at fault.
		if w.unknownJob != nil && w.unknownJob != t.Job {
			w.rest(now)
		}
		w.unknownJob = t.Job
	case work.BadTicket:
		c.forgetTicket(t, w.Life)
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

// stopAll stops whatever runs of a job.
func (c *session) stopAll(j *job.Job, why string) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if w := c.workers[t.Worker]; w != nil && w.runs[t] != nil {
			c.stopTask(w, t, why)
		}
	}
}

// stopTask orders the end of a task's run; the worker's list tells when it has ended.
func (c *session) stopTask(w *worker, t *job.Task, why string) {
	r := w.runs[t]
	if r != nil && !r.sent && !r.earlier {
		w.drop(t) // its order has not left, and will not
		c.requeue(t)
		return
	}
	if r == nil || (r.stopSent && c.now().Sub(r.sentAt) < stopAgain) {
		return
	}
	r.stopSent, r.sentAt = true, c.now()
	t.Stopping = true
	c.emit(event.StopOrdered, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d why=%q", r.number, why)
	c.sendStop(w, t, r.number)
}

// stopRun orders the end of a run that belongs to no task.
func (c *session) stopRun(w *worker, name string, number int64, why string) {
	if c.now().Sub(w.strays[number]) < stopAgain {
		return
	}
	w.strays[number] = c.now()
	c.emit(event.StopOrdered, event.Subject{Job: name, Instance: w.Life}, "run=%d why=%q", number, why)
	c.callStop(w, name, number, nil)
}

func (c *session) sendStop(w *worker, t *job.Task, number int64) {
	c.callStop(w, t.Name(), number, t)
}

func (c *session) callStop(w *worker, name string, number int64, t *job.Task) {
	row := w.Worker
	o := work.Stop{Task: name, Run: number, Fence: w.token.Load()}
	if !c.mayOrder(c.now()) {
		return // stopped again with a later look, if it goes on
	}
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		defer cancel()
		a, err := c.Calls.Stop(ctx, &row, o)
		c.post(stopEnded{worker: w, task: t, run: number, token: o.Fence, answer: a, err: err})
	})
}

// stopEnded is the answer to a stop, or the lack of one.
type stopEnded struct {
	worker *worker
	task   *job.Task
	run    int64
	token  int64
	answer work.Answer
	err    error
}

func (m stopEnded) apply(c *session) {
	w := m.worker
	if c.workers[w.Life] != w || m.err != nil {
		return // what the worker lists decides
	}
	w.read(m.answer.Clock)
	switch m.answer.Refusal {
	case work.Fenced:
		c.tokenRefused(w, m.token)
	case work.OtherLife:
		c.strangerAnswered(w, m.answer)
	case work.Accepted:
		if r := w.runs[m.task]; r != nil && r.number == m.run {
			r.stopped = m.answer.Clock
		}
	}
}

// settleUnanswered stops runs whose start got no answer, and stops again what goes on after a stop.
func (c *session) settleUnanswered(now time.Time) {
	for _, w := range c.workers {
		if len(w.runs) == 0 {
			continue
		}
		for t, r := range w.runs {
			lost := r.unanswered && now.Sub(r.sentAt) > orderTimeout
			switch {
			case lost && w.pinned(t, r, now):
				c.resendStart(w, t, r, now)
			case r.stopped > 0:
			case t.Stopping, lost && !t.Spec().Lasting: // its deadline settles what lasts
				c.stopTask(w, t, "no answer")
			}
		}
	}
}
