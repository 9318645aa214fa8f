// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

const (
	// endsPageSize is how many ends a worker lists at most. A full page may omit the end of a run that is no longer listed as running.
	endsPageSize = 500
	// quarantineAfter is the number of consecutive failed runs, of any jobs, after which a worker is quarantined.
	quarantineAfter = 3
	// failureBackoff is the first pause before a failed lasting task is restarted. After a run of earlyFailure or longer, a failure counts as the
	// first again.
	failureBackoff = 50 * time.Millisecond
	earlyFailure   = 3 * time.Second
	// fullPercent is the progress of a lasting task that is at work.
	fullPercent = 100
)

func (m holdEnded) apply(c *session) {
	w := m.worker
	if c.workers[w.Life] != w {
		return
	}
	now := c.now()
	switch {
	case m.err != nil:
		c.markSilent(w, m.err, m.failedAt, now)
	case m.report.Refusal == work.OtherLife:
		c.strangerAnswered(w, m.report.Answer)
	case m.report.Refusal == work.Fenced:
		c.tokenRefused(w, m.token)
	case m.report.Refusal != work.Done:
		w.asked = m.asked
	default:
		c.applyHoldAnswer(w, m, now)
	}
}

// applyHoldAnswer applies the answer to a hold. A report is ignored if the worker's token was raised after the hold was sent.
func (c *session) applyHoldAnswer(w *worker, m holdEnded, now time.Time) {
	w.asked = m.asked
	c.endLivesBefore(w)
	if m.token < w.needs.Load() {
		return
	}
	w.told = m.asOf(now)
	c.applyReport(w, m.report, now)
}

func (c *session) markSilent(w *worker, err error, at, now time.Time) {
	if !w.silentSince.IsZero() {
		return
	}
	w.silentSince = now
	w.brokeAt = at
	if w.hasPendingStarts(now) {
		c.silentPending.Add(1)
		c.raise(w) // the next life to answer must see a token above those of pending starts
	}
	c.emit(event.WorkerSilent, event.Subject{Instance: w.Life}, "machine=%s runs=%d leased=%v err=%q", w.Machine, len(w.runs), w.leasedFor(now), err)
}

// applyReport applies a worker's report of running and ended runs.
func (c *session) applyReport(w *worker, rep work.Report, now time.Time) {
	if !w.silentSince.IsZero() {
		c.emit(event.WorkerSilent, event.Subject{Instance: w.Life}, "answers again after %v runs=%d leased=%v", now.Sub(w.silentSince).Round(time.Millisecond), len(w.runs), w.leasedFor(now))
		w.silentSince = time.Time{}
		c.dirtyPool(w.Pool)
	}
	slices.SortFunc(rep.Ended, func(a, b work.End) int { return cmp.Compare(a.N, b.N) })
	for _, e := range rep.Ended {
		if e.N <= w.processed {
			continue
		}
		if c.mayBeUnread(e.Task, now) {
			break // the worker repeats the end until it is acknowledged
		}
		ackAfter := c.ackAfter(w, e, now)
		c.endRun(w, e, now)
		w.processed = e.N
		w.ends = append(w.ends, c.unkeptEnd(e, ackAfter))
	}
	c.ackStored(w)
	w.unread, w.unknown = 0, 0
	var besides []beside
	listed := make(map[*job.Task]int64, len(rep.Running))
	for _, row := range rep.Running {
		t := c.applyRunning(w, row, rep.Clock, now)
		switch known := c.task(row.Task); {
		case t != nil:
			listed[t] = row.Run
		case known == nil:
			w.unknown++
		case w.runs[known] == nil || w.runs[known].number != row.Run:
			besides = append(besides, beside{organisation: known.Job.Spec.Organisation, step: known.Spec()})
		}
	}
	w.setBesides(besides)
	for t, r := range w.runs {
		if listed[t] != r.number {
			c.resolveMissing(w, t, r, rep)
		}
	}
	c.paceFills(w, now)
	if w.heard {
		return
	}
	w.heard = true
	c.heard++
	if stopped, known := c.stoppedBy(); w.before || !known || !w.since.After(stopped) || w.needs.Load() > 0 {
		w.bound(now.Add(work.Longest(c.leasedBefore(w)))) // an earlier leader, or a late call to the previous life, may have extended a lease for that long just before
	}
	c.countRaised(now)
	c.endPreviousLives(w)
	c.dirtyPool(w.Pool) // also for jobs of an earlier leader that waited for this worker
	delete(c.unheard, w.Life)
}

// unstoredEnd returns what must be stored before the worker may forget the end.
func (c *session) unkeptEnd(e work.End, ackAfter time.Time) unkeptEnd {
	t := c.task(e.Task)
	if t == nil {
		return unkeptEnd{n: e.N}
	}
	return unkeptEnd{n: e.N, job: t.Job, version: t.Job.Version, ackAfter: ackAfter}
}

// task returns the task with the given name, or nil if it is unknown.
func (c *session) task(name string) *job.Task {
	n, ok := job.ParseName(name)
	if !ok || c.jobs[n.ID] == nil {
		return nil
	}
	return c.jobs[n.ID].Task(n.Time, n.Step, n.Index)
}

// mayBeUnread reports whether an unknown task may belong to a submitted job that this leader has not read yet, but an earlier leader may have. Ends
// of such a task must not be acknowledged.
func (c *session) mayBeUnread(name string, now time.Time) bool {
	if c.task(name) != nil {
		delete(c.unread, name)
		return false
	}
	if c.unread[name].IsZero() {
		c.unread[name] = now
	}
	for _, read := range c.fresh {
		if !read.After(c.unread[name]) {
			return true
		}
	}
	return false
}

// applyRunning applies a run that a worker lists as running. It returns the task if this is the task's latest run.
func (c *session) applyRunning(w *worker, row work.Row, clock work.Clock, now time.Time) *job.Task {
	t := c.task(row.Task)
	switch {
	case t == nil && c.mayBeUnread(row.Task, now):
		w.unread++
		return nil
	case t == nil:
		c.stopRun(w, row.Task, row.Run, "no such job")
		return nil
	}
	r := w.runs[t]
	if r == nil || r.number != row.Run {
		c.dropSuperseded(t, row.Run)
		if w.runs[t] != nil || !c.adopt(w, t, row, clock) {
			c.stopRun(w, row.Task, row.Run, "not the task's run")
			return nil
		}
		r = w.runs[t]
	}
	c.confirm(w, t, r, clock)
	if row.Saved != "" {
		t.Saved = row.Saved
	}
	t.Percent, t.Gauge = row.Percent, row.Gauge
	if t.Spec().Lasting && row.Percent >= fullPercent && !t.AtWork {
		t.AtWork, t.Gone = true, time.Time{}
	}
	if t.Job.State.Ended() && !r.stopSent {
		c.stopTask(w, t, "its job has ended")
	}
	return t
}

// dropSuperseded drops the stored run of a task when a worker lists a run with a higher number: the stored one must have ended before that.
func (c *session) dropSuperseded(t *job.Task, number int64) {
	w := c.workers[t.Worker]
	if w == nil || w.runs[t] == nil || !w.runs[t].earlier || number <= t.Run {
		return
	}
	w.drop(t)
	t.Phase, t.Worker = job.Waiting, ""
}

// adopt records a run that an earlier leader started.
func (c *session) adopt(w *worker, t *job.Task, row work.Row, clock work.Clock) bool {
	if t.Phase != job.Waiting || t.Job.State.Ended() {
		return false
	}
	t.Phase, t.Run, t.Worker, t.Since = job.Active, row.Run, w.Life, c.now()
	t.Job.Began = true
	t.Job.Version++
	c.dirty.Add(t.Job.Spec.ID, t.Job)
	c.addRun(w, t, &run{number: row.Run, confirmed: clock, pace: fullPercent, sent: true})
	if row.Run>>runBits < c.term.Number {
		c.assumeUnstored("a worker runs what was not kept")
	}
	c.emit(event.RunAdopted, event.Subject{Job: row.Task, Instance: w.Life}, "run=%d percent=%d", row.Run, row.Percent)
	return true
}

// confirmRun records that the worker has the run.
func (c *session) confirm(w *worker, t *job.Task, r *run, clock work.Clock) {
	r.confirmed = max(r.confirmed, clock)
	switch {
	case r.handedOn:
		c.clearLate(t) // the life has answered under a token above those of all attempts
		if !r.confirmedBefore {
			c.retractLostRun(t, r.number) // the previous life has ended without having the run
		}
	case r.unanswered:
		c.attemptCarriedOut(t, r)
	}
	r.unanswered, r.earlier, r.handedOn, r.sent = false, false, false, true
	if t.Phase == job.Starting {
		t.Phase = job.Active
	}
	t.Job.Began = true
}

// resolveMissing handles a run that the worker's report names neither as running nor as ended. The run is given up once it is certain that it has ended or can
// never begin.
func (c *session) resolveMissing(w *worker, t *job.Task, r *run, rep work.Report) {
	switch {
	case r.confirmed > 0 && rep.Clock > r.confirmed && len(rep.Ended) < endsPageSize:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d confirmed=%d clock=%d", r.number, r.confirmed, rep.Clock)
	case w.mustResendHandedOn(t, r, c.now()):
		r.markForResend()
		return
	case r.handedOn:
		c.clearLate(t)
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d of the life before is not there", r.number)
	case r.earlier:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d of an earlier leader is not there", r.number)
	case w.pinned(t, r, c.now()):
		return
	case r.unanswered && rep.Clock > r.deadline:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d never began: its deadline has passed", r.number)
	case r.unanswered && r.stopped > 0 && rep.Clock > r.stopped+work.Clock(c.Bounds().Stop.Milliseconds()):
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d never began: it was stopped before", r.number)
	default:
		return
	}
	w.drop(t)
	if t.Run == r.number {
		c.requeue(t)
	}
}

// endRun applies the end of a run.
func (c *session) endRun(w *worker, e work.End, now time.Time) {
	t := c.task(e.Task)
	if t == nil {
		return
	}
	j := t.Job
	current := false
	if r := w.runs[t]; r != nil && r.number == e.Run {
		w.drop(t)
		current = t.Run == e.Run && t.Phase != job.Finished
	}
	c.dirtyPool(w.Pool)
	c.emit(event.RunEnded, event.Subject{Job: e.Task, Instance: w.Life}, "run=%d how=%v n=%d", e.Run, e.How, e.N)
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	c.counts.ended(e.How.String())
	if current && e.How != work.Succeeded && !t.Spec().Lasting && t.Saved == "" {
		c.counts.wasted(e.How.String(), now.Sub(t.Since).Seconds()*float64(t.Spec().Need.MilliCPU)/1000)
	}
	switch e.How {
	case work.Succeeded:
		w.failures = 0
		if current {
			c.recordRunTime(t, now)
		}
		c.completeTask(t, now)
	case work.Failed:
		c.failTask(w, t, e, now)
	case work.Other: // neither the task nor the worker is at fault, so only the back-off limits restarts
		t.Failures++
		t.NotBefore = now.Add(backOff(t.Failures, failureBackoff))
	}
	if current && t.Phase != job.Finished {
		c.requeue(t)
	}
	c.changed(j)
}

// completeTask records the success of a task. A gang succeeds as a whole.
func (c *session) completeTask(t *job.Task, now time.Time) {
	j := t.Job
	members := []*job.Task{t}
	if t.Spec().Gang {
		members = members[:0]
		tasks := j.StepTasks(t.Time, t.Step)
		for i := range tasks {
			members = append(members, &tasks[i])
		}
	}
	for _, m := range members {
		if m.Phase != job.Waiting && m.Phase != job.Finished {
			if o := c.workers[m.Worker]; o != nil && o.runs[m] != nil {
				c.endOtherRun(o, m)
			}
		}
		j.Done(m, now)
	}
	if j.StepLeft(t.Time, t.Step) == 0 && !j.State.Ended() {
		c.openTime(j, t.Time, now)
	}
}

// endOtherRun ends another run of a completed task. The members of a gang end by themselves.
func (c *session) endOtherRun(w *worker, t *job.Task) {
	if t.Spec().Gang {
		w.drop(t)
		return
	}
	c.stopTask(w, t, "the task is done")
}

// failTask records the failure of a run, for its task and for its worker.
func (c *session) failTask(w *worker, t *job.Task, e work.End, now time.Time) {
	news := t.Job.Fail(t, e.Run, c.queue(t.Job).Attempts, now)
	t.Avoid = w.Life
	if t.Spec().Lasting {
		if now.Sub(t.Since) > earlyFailure {
			t.Failures = 0
		}
		t.Failures++
		t.NotBefore = now.Add(backOff(t.Failures, failureBackoff))
	}
	if !news && !t.Spec().Lasting {
		return
	}
	w.failures++
	if w.failures >= quarantineAfter {
		w.rest(now)
		c.emit(event.WorkerQuarantined, event.Subject{Instance: w.Life}, "failures=%d rests until %v", w.failures, w.restUntil.Sub(now))
	}
	if t.Job.State.Ended() {
		c.stopAll(t.Job, "the job has failed")
	}
}
