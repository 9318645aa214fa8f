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
	// quarantineAfter is the number of consecutive failed runs, of any jobs, after which a worker is quarantined.
	quarantineAfter = 3
	// failureBackoff is the first pause before a failed lasting task is restarted. After a run of earlyFailure or longer, a failure counts as the
	// first again.
	failureBackoff = 50 * time.Millisecond
	earlyFailure   = 3 * time.Second
	// fullPercent is the progress of a lasting task that is at work.
	fullPercent = 100
)

func (m holdResult) apply(c *session) {
	w := m.worker
	if c.workers[w.Incarnation] != w {
		return
	}
	now := c.now()
	switch {
	case m.err != nil:
		c.markSilent(w, m.err, m.failedAt, now)
	case m.report.Refusal == work.OtherIncarnation:
		c.otherIncarnationAnswered(w, m.report.Answer)
	case m.report.Refusal == work.Fenced:
		c.tokenRefused(w, m.token)
	case m.report.Refusal != work.Accepted:
		w.askedAt = m.asked
	default:
		c.applyHoldAnswer(w, m, now)
	}
}

// applyHoldAnswer applies the answer to a hold. A report is ignored if the worker's token was raised after the hold was sent.
func (c *session) applyHoldAnswer(w *worker, m holdResult, now time.Time) {
	w.askedAt = m.asked
	c.endEarlierIncarnations(w)
	if m.token < w.requiredToken.Load() {
		return
	}
	w.reportedAt = m.asOf(now)
	c.applyReport(w, m.report, now)
}

func (c *session) markSilent(w *worker, err error, at, now time.Time) {
	if !w.silentSince.IsZero() {
		return
	}
	w.silentSince = now
	w.callFailedAt = at
	if w.hasPendingStarts(now) {
		c.silentPending.Add(1)
		c.raiseToken(w) // the next incarnation to answer must see a token above those of pending starts
	}
	c.emit(event.WorkerSilent, event.Subject{Instance: w.Incarnation}, "machine=%s runs=%d leased=%v err=%q", w.Machine, len(w.runs), w.remainingLease(now), err)
}

// applyReport applies a worker's report of running and ended runs.
func (c *session) applyReport(w *worker, rep work.Report, now time.Time) {
	if !w.silentSince.IsZero() {
		c.emit(event.WorkerSilent, event.Subject{Instance: w.Incarnation}, "answers again after %v runs=%d leased=%v", now.Sub(w.silentSince).Round(time.Millisecond), len(w.runs), w.remainingLease(now))
		w.silentSince = time.Time{}
		c.markPoolDirty(w.Pool)
	}
	complete := c.applyEnds(w, rep.Ended, now) && !rep.MoreEnds
	c.ackStored(w)
	listed := c.applyRunningRuns(w, rep, now)
	if complete {
		c.resolveMissingRuns(w, listed, rep)
	}
	c.paceFills(w, now)
	c.recordAnswer(w, now)
	c.recordListing(w, complete, now)
}

// applyEnds applies the ends that are new, oldest first, and reports whether all of them could be applied.
func (c *session) applyEnds(w *worker, ends []work.EndedRun, now time.Time) bool {
	slices.SortFunc(ends, func(a, b work.EndedRun) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, e := range ends {
		if e.Seq <= w.lastProcessedEnd {
			continue
		}
		if c.mayBeUnread(e.Task, now) {
			return false // the worker repeats the end until it is acknowledged
		}
		c.endRun(w, e, now)
		ackAfter := c.ackAfter(w, e, now)
		w.lastProcessedEnd = e.Seq
		w.unackedEnds = append(w.unackedEnds, c.unstoredEnd(e, ackAfter))
	}
	return true
}

// applyRunningRuns applies the runs that go on and returns the numbers of those that are the latest of their tasks.
func (c *session) applyRunningRuns(w *worker, rep work.Report, now time.Time) map[*job.Task]int64 {
	w.unreadRuns, w.unknownRuns = 0, 0
	var besides []supersededRun
	listed := make(map[*job.Task]int64, len(rep.Running))
	for _, row := range rep.Running {
		t := c.applyRunning(w, row, rep.Clock, now)
		switch known := c.task(row.Task); {
		case t != nil:
			listed[t] = row.Run
		case known == nil:
			w.unknownRuns++
		case w.runs[known] == nil || w.runs[known].number != row.Run:
			besides = append(besides, supersededRun{task: known, organisation: known.Job.Spec.Organisation, step: known.Spec()})
		}
	}
	w.setSupersededRuns(besides)
	return listed
}

// unstoredEnd returns what must be stored before the worker may forget the end.
func (c *session) unstoredEnd(e work.EndedRun, ackAfter time.Time) unstoredEnd {
	t := c.task(e.Task)
	if t == nil {
		return unstoredEnd{n: e.Seq}
	}
	return unstoredEnd{n: e.Seq, job: t.Job, version: t.Job.Version, ackAfter: ackAfter}
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
		delete(c.unknownTasks, name)
		return false
	}
	if c.unknownTasks[name].IsZero() {
		c.unknownTasks[name] = now
	}
	for _, read := range c.intakeReadUntil {
		if !read.After(c.unknownTasks[name]) {
			return true
		}
	}
	return false
}

// applyRunning applies a run that a worker lists as running. It returns the task if this is the task's latest run.
func (c *session) applyRunning(w *worker, row work.RunStatus, clock work.Clock, now time.Time) *job.Task {
	t := c.task(row.Task)
	switch {
	case t == nil && c.mayBeUnread(row.Task, now):
		w.unreadRuns++
		return nil
	case t == nil:
		c.stopStray(w, row.Task, row.Run, "no such job")
		return nil
	}
	r := w.runs[t]
	if r == nil || r.number != row.Run {
		c.dropSuperseded(t, row.Run)
		c.takeBackUnsent(t)
		if w.runs[t] != nil || !c.adopt(w, t, row, clock) {
			c.stopStray(w, row.Task, row.Run, "not the task's run")
			return nil
		}
		r = w.runs[t]
	}
	if !r.inFlight { // the attempt in flight may have begun the run; its outcome, or the next list after it, tells
		r.pending.listed()
	}
	c.confirmRun(w, t, r, clock)
	if r.inherited {
		c.settleStepsAfter(w, t, r)
	}
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

// dropSuperseded drops the stored run of a task when a worker lists a run with a higher number: the stored one must have ended before that.
func (c *session) dropSuperseded(t *job.Task, number int64) {
	w := c.workers[t.Worker]
	if w == nil || w.runs[t] == nil || !w.runs[t].fromEarlierLeader || number <= t.Run {
		return
	}
	w.dropRun(t)
	t.Phase, t.Worker = job.Waiting, ""
}

// takeBackUnsent takes back the planned run of a task whose start has not been sent, since a worker lists another run of the task. If the store has the planned
// run already, the record of the listed one replaces it. A member of a gang keeps its plan: the listed run belongs to an earlier start of the gang.
func (c *session) takeBackUnsent(t *job.Task) {
	w := c.workers[t.Worker]
	if w == nil || w.runs[t] == nil || w.runs[t].mayHaveBegun() || t.Spec().Gang || t.Job.State.Ended() {
		return
	}
	w.dropRun(t)
	c.requeue(t)
}

// adopt records a run that an earlier leader started.
func (c *session) adopt(w *worker, t *job.Task, row work.RunStatus, clock work.Clock) bool {
	if t.Phase != job.Waiting || t.Job.State.Ended() {
		return false
	}
	// The number of an unstored run tells no term. A task with lost runs starts under other numbers once they are stored, and its record may not name the run any more.
	ownRun := row.Run == t.Run || (len(t.Lost) > 0 && row.Run != unstoredRunNumber(t))
	unstoredStart := t.Run == 0 && row.Run == unstoredRunNumber(t)
	t.Phase, t.Run, t.Worker, t.RunSince = job.Active, row.Run, w.Incarnation, c.now()
	t.Job.Began = true
	t.Job.Version++
	c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
	c.noteUnexpected(t.Job)
	c.settleStartOf(t, row.Run)
	c.addRun(w, t, &run{number: row.Run, confirmed: clock, startUnknown: true, inherited: unstoredStart, pace: fullPercent, sent: true, pending: pendingStarts{unknown: t.MayComeLate(c.now())}})
	if row.Run>>runBits < c.term.Number && !ownRun {
		c.assumeUnstored("a worker runs what was not kept")
		c.adoptedUnstored[t.Job] = t.Job.Version
	}
	c.emit(event.RunAdopted, event.Subject{Job: row.Task, Instance: w.Incarnation}, "run=%d percent=%d", row.Run, row.Percent)
	return true
}

// confirmRun records that the worker has the run.
func (c *session) confirmRun(w *worker, t *job.Task, r *run, clock work.Clock) {
	if r.confirmed == 0 {
		r.confirmedAt = c.now()
	}
	r.confirmed = max(r.confirmed, clock)
	if r.carriedOver && !r.confirmedEarlier {
		c.retractLostRun(t, r.number) // the previous incarnation has ended without having the run
	}
	c.clearLateIfClosed(t, r)
	r.unanswered, r.fromEarlierLeader, r.carriedOver, r.sent = false, false, false, true
	if t.Phase == job.Starting {
		t.Phase = job.Active
	}
	t.Job.Began = true
}

// resolveMissingRuns handles the runs that a complete report of their worker does not name.
func (c *session) resolveMissingRuns(w *worker, listed map[*job.Task]int64, rep work.Report) {
	for t, r := range w.runs {
		if listed[t] != r.number {
			c.resolveMissing(w, t, r, rep)
		}
	}
}

// resolveMissing handles a run that the worker's report names neither as running nor as ended. The run is given up once it is certain that it has ended or can
// never begin.
func (c *session) resolveMissing(w *worker, t *job.Task, r *run, rep work.Report) {
	switch {
	case r.confirmed > 0 && rep.Clock > r.confirmed:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d confirmed=%d clock=%d", r.number, r.confirmed, rep.Clock)
	case (r.carriedOver || r.fromEarlierLeader) && c.mustStay(w, t, r, c.now()) && !w.listsSuperseded(t):
		r.markForResend()
		c.planResend(w, t, r, c.now())
		return
	case r.carriedOver:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d of the life before is not there", r.number)
	case r.fromEarlierLeader:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d of an earlier leader is not there", r.number)
	case w.pinned(t, r, c.now()):
		return
	case r.unanswered && rep.Clock > r.deadline:
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d never began: its deadline has passed", r.number)
	case r.unanswered && r.stopped > 0 && rep.Clock > r.stopped+work.Clock(c.Bounds().Stop.Milliseconds()):
		c.emit(event.RunMissing, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d never began: it was stopped before", r.number)
	default:
		return
	}
	w.dropRun(t)
	if t.Run == r.number {
		c.requeue(t)
	}
}

// endRun applies the end of a run.
func (c *session) endRun(w *worker, e work.EndedRun, now time.Time) {
	t := c.task(e.Task)
	if t == nil {
		return
	}
	j := t.Job
	c.settleStartOf(t, e.Run)
	if t.Phase == job.Waiting {
		t.Run = max(t.Run, e.Run) // a task that has run has no unstored start
	}
	current, startKnown := false, false
	if r := w.runs[t]; r != nil && r.number == e.Run {
		c.settleEnded(t, r)
		w.dropRun(t)
		current, startKnown = t.Run == e.Run && t.Phase != job.Finished, !r.startUnknown
	}
	c.markPoolDirty(w.Pool)
	c.emit(event.RunEnded, event.Subject{Job: e.Task, Instance: w.Incarnation}, "run=%d how=%v n=%d", e.Run, e.Outcome, e.Seq)
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
		if current && startKnown {
			c.recordRunTime(t, now)
		}
		expected := current || t.Phase == job.Finished
		c.completeTask(t, now)
		if !expected {
			c.noteUnexpected(j)
		}
	case work.Failed:
		c.failTask(w, t, e, now)
	case work.Other: // neither the task nor the worker is at fault, so only the back-off limits restarts
		t.Failures++
		t.NotBefore = now.Add(backoff(t.Failures, failureBackoff))
	}
	if current && t.Phase != job.Finished {
		c.requeue(t)
		t.EndedOn = w.Incarnation
		if t.MayComeLate(now) {
			w.noteLateEnd(t, now)
		}
	}
	c.jobChanged(j)
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
	if j.StepUnfinished(t.Time, t.Step) == 0 && !j.State.Ended() {
		c.openOccurrence(j, t.Time, now)
	}
}

// endOtherRun ends another run of a completed task. The members of a gang end by themselves.
func (c *session) endOtherRun(w *worker, t *job.Task) {
	if t.Spec().Gang {
		w.dropRun(t)
		return
	}
	c.stopTask(w, t, "the task is done")
}

// failTask records the failure of a run, for its task and for its worker.
func (c *session) failTask(w *worker, t *job.Task, e work.EndedRun, now time.Time) {
	news := t.Job.Fail(t, e.Run, c.queue(t.Job).Attempts, now)
	t.Avoid = w.Incarnation
	if t.Spec().Lasting {
		if now.Sub(t.RunSince) > earlyFailure {
			t.Failures = 0
		}
		t.Failures++
		t.NotBefore = now.Add(backoff(t.Failures, failureBackoff))
	}
	if !news && !t.Spec().Lasting {
		return
	}
	w.failures++
	if w.failures >= quarantineAfter {
		w.pauseStarts(now)
		c.emit(event.WorkerQuarantined, event.Subject{Instance: w.Incarnation}, "failures=%d rests until %v", w.failures, w.startsPausedUntil.Sub(now))
	}
	if t.Job.State.Ended() {
		c.stopJob(t.Job, "the job has failed")
	}
}
