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
	// endsPage is how many ends a worker lists at once; a full page may hide the end of a run that is not listed.
	endsPage = 500
	// sickAfter is how many runs in a row must fail on a worker before it rests, whatever their jobs.
	sickAfter = 3
	// failPause keeps a lasting task that fails from being started over and over; failsSoon is how long a run must have gone on for its
	// failure to be the first again.
	failPause = 50 * time.Millisecond
	failsSoon = 3 * time.Second
	// fullPercent is a lasting task's progress once it is at work.
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
		c.silent(w, m.err, m.failedAt, now)
	case m.report.Refusal == work.OtherLife:
		c.strangerAnswered(w, m.report.Answer)
	case m.report.Refusal == work.Fenced:
		c.tokenRefused(w, m.token)
	case m.report.Refusal != work.Accepted:
		w.asked = m.asked
	default:
		c.answered(w, m, now)
	}
}

// answered takes in an answer to a hold, unless it was asked under a token that has been raised since.
func (c *session) answered(w *worker, m holdEnded, now time.Time) {
	w.asked = m.asked
	c.endLivesBefore(w)
	if m.token < w.needs.Load() {
		return
	}
	w.told = m.told(now)
	c.report(w, m.report, now)
}

func (c *session) silent(w *worker, err error, at, now time.Time) {
	if !w.silentSince.IsZero() {
		return
	}
	w.silentSince = now
	w.brokeAt = at
	if w.hasPendingStarts(now) {
		c.silentPending.Add(1)
		c.raise(w) // so that the next life to answer sees a token above those of pending starts
	}
	c.emit(event.WorkerSilent, event.Subject{Instance: w.Life}, "machine=%s runs=%d leased=%v err=%q", w.Machine, len(w.runs), w.leasedFor(now), err)
}

// report takes in what a worker says of its runs.
func (c *session) report(w *worker, rep work.Report, now time.Time) {
	if !w.silentSince.IsZero() {
		c.emit(event.WorkerSilent, event.Subject{Instance: w.Life}, "answers again after %v runs=%d leased=%v", now.Sub(w.silentSince).Round(time.Millisecond), len(w.runs), w.leasedFor(now))
		w.silentSince = time.Time{}
		c.dirtyPool(w.Pool)
	}
	slices.SortFunc(rep.Ended, func(a, b work.EndedRun) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, e := range rep.Ended {
		if e.Seq <= w.processed {
			continue
		}
		if c.mayBeUnread(e.Task, now) {
			break // it is told again, until it is acknowledged
		}
		ackAfter := c.ackAfter(w, e, now)
		c.endRun(w, e, now)
		w.processed = e.Seq
		w.ends = append(w.ends, c.unkeptEnd(e, ackAfter))
	}
	c.ackKept(w)
	w.unread, w.unknown = 0, 0
	var besides []beside
	listed := make(map[*job.Task]int64, len(rep.Running))
	for _, row := range rep.Running {
		t := c.running(w, row, rep.Clock, now)
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
			c.notListed(w, t, r, rep)
		}
	}
	c.paceFills(w, now)
	if w.heard {
		return
	}
	w.heard = true
	c.heard++
	if stopped, known := c.stoppedBy(); w.before || !known || !w.since.After(stopped) || w.needs.Load() > 0 {
		w.bound(now.Add(work.MaxLocal(c.leasedBefore(w)))) // an earlier leader, or a late call to the life before, may have leased it for as long just before
	}
	c.countRaised(now)
	c.endOtherLives(w)
	c.dirtyPool(w.Pool) // also for earlier jobs that waited for it
	delete(c.unheard, w.Life)
}

// unkeptEnd returns what must be kept before the worker may forget the end.
func (c *session) unkeptEnd(e work.EndedRun, ackAfter time.Time) unkeptEnd {
	t := c.task(e.Task)
	if t == nil {
		return unkeptEnd{n: e.Seq}
	}
	return unkeptEnd{n: e.Seq, job: t.Job, version: t.Job.Version, ackAfter: ackAfter}
}

// task returns the task that a worker names, or nil when no such task is known.
func (c *session) task(name string) *job.Task {
	n, ok := job.ParseName(name)
	if !ok || c.jobs[n.ID] == nil {
		return nil
	}
	return c.jobs[n.ID].Task(n.Time, n.Step, n.Index)
}

// mayBeUnread says whether a task that is not in the tables may belong to a job that was handed in and is still to be read:
// an earlier leader may have read it first. Its ends must not be acknowledged before it is known.
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

// running takes in a run that a worker lists; it returns the task if the run is the task's latest.
func (c *session) running(w *worker, row work.RunStatus, clock work.Clock, now time.Time) *job.Task {
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
		c.outdate(t, row.Run)
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
		t.AtWork, t.DownSince = true, time.Time{}
	}
	if t.Job.State.Ended() && !r.stopSent {
		c.stopTask(w, t, "its job has ended")
	}
	return t
}

// outdate gives up what was kept of a task's run, when a worker lists a later one: the kept one has ended before that.
func (c *session) outdate(t *job.Task, number int64) {
	w := c.workers[t.Worker]
	if w == nil || w.runs[t] == nil || !w.runs[t].earlier || number <= t.Run {
		return
	}
	w.drop(t)
	t.Phase, t.Worker = job.Waiting, ""
}

// adopt takes over a run that an earlier leader started.
func (c *session) adopt(w *worker, t *job.Task, row work.RunStatus, clock work.Clock) bool {
	if t.Phase != job.Waiting || t.Job.State.Ended() {
		return false
	}
	t.Phase, t.Run, t.Worker, t.RunSince = job.Active, row.Run, w.Life, c.now()
	t.Job.Began = true
	t.Job.Version++
	c.dirty.Add(t.Job.Spec.ID, t.Job)
	c.addRun(w, t, &run{number: row.Run, confirmed: clock, pace: fullPercent, sent: true})
	if row.Run>>runBits < c.term.Number {
		c.beCoarse("a worker runs what was not kept")
	}
	c.emit(event.RunAdopted, event.Subject{Job: row.Task, Instance: w.Life}, "run=%d percent=%d", row.Run, row.Percent)
	return true
}

// confirm notes that the worker has the run.
func (c *session) confirm(w *worker, t *job.Task, r *run, clock work.Clock) {
	r.confirmed = max(r.confirmed, clock)
	switch {
	case r.handedOn:
		c.clearLate(t) // the life answered under a token above those of all attempts
		if !r.confirmedBefore {
			c.neverThere(t, r.number) // the life before has ended without it
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

// notListed decides about a run that a worker neither runs nor has told the end of.
func (c *session) notListed(w *worker, t *job.Task, r *run, rep work.Report) {
	switch {
	case r.confirmed > 0 && rep.Clock > r.confirmed && len(rep.Ended) < endsPage:
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

// endRun takes in the end of a run.
func (c *session) endRun(w *worker, e work.EndedRun, now time.Time) {
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
	c.emit(event.RunEnded, event.Subject{Job: e.Task, Instance: w.Life}, "run=%d how=%v n=%d", e.Run, e.Outcome, e.Seq)
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	c.counts.ended(e.Outcome.String())
	if current && e.Outcome != work.Succeeded && !t.Spec().Lasting && t.Saved == "" {
		c.counts.wasted(e.Outcome.String(), now.Sub(t.RunSince).Seconds()*float64(t.Spec().Need.MilliCPU)/1000)
	}
	switch e.Outcome {
	case work.Succeeded:
		w.failures = 0
		if current {
			c.learnRun(t, now)
		}
		c.doneTask(t, now)
	case work.Failed:
		c.failTask(w, t, e, now)
	case work.Other: // nothing says whose fault it was, so nothing else bounds it
		t.Failures++
		t.NotBefore = now.Add(backOff(t.Failures, failPause))
	}
	if current && t.Phase != job.Finished {
		c.requeue(t)
	}
	c.changed(j)
}

// doneTask takes note of success: of the task, and of its whole gang if it is in one.
func (c *session) doneTask(t *job.Task, now time.Time) {
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
				c.finishElsewhere(o, m)
			}
		}
		j.Done(m, now)
	}
	if j.StepUnfinished(t.Time, t.Step) == 0 && !j.State.Ended() {
		c.openTime(j, t.Time, now)
	}
}

// finishElsewhere ends another run of a task that is done: members of a gang end by themselves.
func (c *session) finishElsewhere(w *worker, t *job.Task) {
	if t.Spec().Gang {
		w.drop(t)
		return
	}
	c.stopTask(w, t, "the task is done")
}

// failTask takes note of a failure and learns from it about the worker.
func (c *session) failTask(w *worker, t *job.Task, e work.EndedRun, now time.Time) {
	news := t.Job.Fail(t, e.Run, c.queue(t.Job).Attempts, now)
	t.Avoid = w.Life
	if t.Spec().Lasting {
		if now.Sub(t.RunSince) > failsSoon {
			t.Failures = 0
		}
		t.Failures++
		t.NotBefore = now.Add(backOff(t.Failures, failPause))
	}
	if !news && !t.Spec().Lasting {
		return
	}
	w.failures++
	if w.failures >= sickAfter {
		w.rest(now)
		c.emit(event.WorkerQuarantined, event.Subject{Instance: w.Life}, "failures=%d rests until %v", w.failures, w.restUntil.Sub(now))
	}
	if t.Job.State.Ended() {
		c.stopAll(t.Job, "the job has failed")
	}
}
