// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/place"
)

// Parameters for telling a task that ends its workers' incarnations by starting from the tasks that ran beside it.
const (
	// similarAge is the maximum difference between the ages of the youngest run and another one for both to be suspected of having ended an incarnation. At 19 of 19
	// ends of incarnations under crashing tasks the youngest run was 3 to 26 ms old, and the starts of one batch are sent within about 20 ms.
	similarAge = 150 * time.Millisecond
	// suspectMaxAge is the age above which a run is not suspected after the first lost incarnation. It may be after the third.
	suspectMaxAge = time.Second
	// immediateCrashAge is the maximum age of a run that proves it to have ended an incarnation by starting: any other cause would have had to coincide with the start.
	immediateCrashAge = 100 * time.Millisecond
	// trialMin is the minimum time for which a suspect runs alone before other tasks start beside it: ten times the age at which crashing tasks were
	// observed to end incarnations. trialMax bounds the time where incarnations ended under older runs.
	trialMin = 300 * time.Millisecond
	trialMax = 3 * time.Second
	// trialFactor is the length of a trial in multiples of the suspect's largest age at the end of an incarnation.
	trialFactor = 2
	// trialShare is the share of a pool's workers, at least one, on which trials run at a time. Trials may put at risk one incarnation at a time on average, or
	// one for every workersPerRisk workers if that is more.
	trialShare     = 1.0 / 3
	workersPerRisk = 8
)

// attributeLostRuns records the end of an incarnation as evidence against the runs that were on it.
//
// Which of them ended the incarnation is unknown. If the youngest one was on trial there and had begun, it is the likely culprit and the only suspect; otherwise all runs about as young as the
// youngest that is known to have begun are suspects, and are started again in trials. A start without an answer may never have begun: it is a suspect beside them and not in their place.
// The other runs record the lost incarnation without becoming suspects. They have to: a task
// that crashes its worker late would otherwise go free whenever a trial runs beside it, and ended seven incarnations in simulated histories. An expired lease is no such
// evidence, and neither is a planned end of an incarnation, or one for a common cause (see commoncause.go).
func (c *session) attributeLostRuns(w *worker, now time.Time) {
	ended := w.endTime(now)
	newest, beside := c.youngestRun(w, ended)
	tried := w.trial != nil && c.trialEndedIncarnation(w, ended)
	sole := tried && w.runs[w.trial].confirmed > 0 // a trial whose start got no answer may never have begun
	oldest := c.oldestSuspectAge(w, ended)
	suspected := func(t *job.Task, r *run) bool {
		return (tried && t == w.trial) || (!sole && r.countsAsLost() && c.ageAt(r, ended) <= oldest)
	}
	suspects := 0
	for t, r := range w.runs {
		if suspected(t, r) {
			suspects++
		}
	}
	planned := w.Leaving // workers that this leader moves or maintains have been emptied before
	common := !planned && len(w.runs) > 0 && c.endedByCommonCause(w)
	for t, r := range w.runs {
		if !r.countsAsLost() {
			continue
		}
		age := c.ageAt(r, ended)
		l := job.LostRun{Run: r.number, Incarnation: w.Incarnation, Age: age, Unsettled: r.unsettled()}
		inTrial := tried && t == w.trial
		if r.orderedAt.IsZero() || (!r.wasConfirmed() && !inTrial) {
			l.Age = job.AgeUnknown // an earlier leader ordered it, or it may never have begun
		}
		if suspected(t, r) {
			l.Suspects = suspects
		}
		if inTrial {
			l.Isolated, l.Conclusive = true, age <= immediateCrashAge && r.confirmed > 0
		}
		c.counts.runsLost.Inc(1)
		c.emit(event.RunLost, event.Subject{Job: t.Name(), Instance: w.Incarnation}, "run=%d age=%v confirmed=%t newest=%v beside=%d suspects=%d tried=%t planned=%t common=%t lives=%d machine=%s",
			r.number, age.Round(time.Millisecond), r.wasConfirmed(), newest.Round(time.Millisecond), beside-1, l.Suspects, l.Isolated, planned, common, len(t.Lost), w.Machine)
		if !planned && !common {
			c.noteLossInFlight(w, t, r)
			c.recordLostRun(t, l)
		}
	}
}

// oldestSuspectAge returns the age up to which the worker's runs are suspected of having ended its incarnation. Only confirmed runs limit it, since the others may never have begun.
func (c *session) oldestSuspectAge(w *worker, ended time.Time) time.Duration {
	oldest := suspectMaxAge
	for _, r := range w.runs {
		if r.countsAsLost() && r.confirmed > 0 {
			oldest = min(oldest, c.ageAt(r, ended)+similarAge)
		}
	}
	return oldest
}

// youngestRun returns the age of the youngest run on a worker at the given time, and the number of runs.
func (c *session) youngestRun(w *worker, at time.Time) (newest time.Duration, count int) {
	newest = -1
	for _, r := range w.runs {
		if !r.countsAsLost() {
			continue
		}
		count++
		if age := c.ageAt(r, at); newest < 0 || age < newest {
			newest = age
		}
	}
	return newest, count
}

// trialEndedIncarnation reports whether the task on trial on the worker most likely ended its incarnation: it had not been cleared, and no other run is about as young.
// Nothing had started on the worker for similarAge when the trial began; half of that is allowed for starts that were still in flight.
func (c *session) trialEndedIncarnation(w *worker, ended time.Time) bool {
	r := w.runs[w.trial]
	if r == nil || r.number != w.trialRun || !r.countsAsLost() {
		return false
	}
	age := c.ageAt(r, ended)
	for t, o := range w.runs {
		if t != w.trial && o.countsAsLost() && c.ageAt(o, ended) <= age+similarAge/2 {
			return false
		}
	}
	return !r.trialOver(w.trial, ended)
}

// earlierLostRun is a run that an earlier leader ordered on an incarnation that has ended since.
type earlierLostRun struct {
	task *job.Task
	run  int64
	// settled is set if the store says that the worker had the run.
	settled bool
}

// recordEarlierLost records as evidence the incarnations that ended while no leader was watching. The ages of their runs are unknown.
func (c *session) recordEarlierLost(ended map[string][]earlierLostRun) {
	for incarnation, runs := range ended {
		for _, r := range runs {
			c.counts.runsLost.Inc(1)
			c.emit(event.RunLost, event.Subject{Job: r.task.Name(), Instance: incarnation}, "run=%d of an earlier leader settled=%t beside=%d lives=%d", r.run, r.settled, len(runs)-1, len(r.task.Lost))
			c.recordLostRun(r.task, job.LostRun{Run: r.run, Incarnation: incarnation, Age: job.AgeUnknown, Suspects: len(runs), Unsettled: !r.settled})
		}
	}
}

// recordLostRun records a run that was lost with its incarnation and gives its job up once too many have been.
func (c *session) recordLostRun(t *job.Task, l job.LostRun) {
	if t.Spec().Lasting && l.Age > trialMax {
		t.Job.ClearLost(t) // a task that ends incarnations by starting would not have run for that long
		c.jobChanged(t.Job)
		return
	}
	if !t.Job.RecordLost(t, l) {
		return
	}
	c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
	c.giveUpCrashing(t)
}

// retractLostRun takes back the record of a lost run whose start reached the worker only after the incarnation had ended.
func (c *session) retractLostRun(t *job.Task, run int64) {
	before := len(t.Lost)
	t.Job.RetractLost(t, run)
	if len(t.Lost) < before {
		c.jobChanged(t.Job)       // of an ended job too: its state is shown once its latest version is stored
		c.openJob(t.Job, c.now()) // a lasting task that was given up is in no open group
	}
}

// giveUpCrashing gives up the job of a task under which too many incarnations have ended. If that ends the job, none of its tasks starts again. It waits for the
// results of starts that were in flight when the runs were lost, and the task is not started meanwhile (see startable).
func (c *session) giveUpCrashing(t *job.Task) {
	j := t.Job
	if !t.ExceedsLossLimit() || j.State.Ended() || t.Phase == job.Finished || len(c.lossesInFlight[t]) > 0 {
		return
	}
	if !t.Spec().Lasting || !c.hasLossInFlight(j) {
		j.GiveUp(t, c.now())
	}
	c.reportGivenUp(t)
}

// giveUpRestored gives up a job that an earlier leader would have given up, had it learned the result of a start that was in flight when it was lost.
func (c *session) giveUpRestored(j *job.Job) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if !t.ExceedsLossLimit() || j.State.Ended() {
			continue
		}
		if j.GiveUp(t, c.now()); j.State.Ended() {
			c.reportGivenUp(t)
		}
	}
}

// reportGivenUp reports that a task has been given up, and stops the runs of its job if that has ended the job.
func (c *session) reportGivenUp(t *job.Task) {
	j := t.Job
	last := t.Lost[len(t.Lost)-1]
	c.counts.givenUp.Inc(1)
	c.emit(event.JobGivenUp, event.Subject{Job: t.Name(), Instance: last.Incarnation}, "lives=%d proved=%t age=%v state=%v", len(t.Lost), last.Conclusive, last.Age.Round(time.Millisecond), j.State)
	c.jobChanged(j)
	if j.State.Ended() {
		c.stopJob(j, "a task of the job crashes its workers")
	}
}

// trialDuration returns how long the trial of a suspect lasts.
func trialDuration(t *job.Task) time.Duration {
	return min(max(trialFactor*t.MaxLostAge(), trialMin), trialMax)
}

// trialOver reports whether the suspect's run has gone on for long enough, as far as the leader knows: an unconfirmed run counts from its order, and may not have begun.
func (r *run) trialOver(t *job.Task, now time.Time) bool {
	began := r.orderedAt
	if r.confirmed > 0 {
		began = r.confirmedAt
	}
	return now.Sub(began) > trialDuration(t)
}

// trialGoesOn reports whether the trial of a suspect's run on the worker is not over: it ends once the run has gone on for long enough, or, without a confirmation, once its start
// has expired and a run that it may have begun has gone on for long enough.
func (w *worker) trialGoesOn(t *job.Task, r *run, now time.Time) bool {
	if r.orderedAt.IsZero() || !w.silentSince.IsZero() {
		return true
	}
	if r.confirmed == 0 {
		now = now.Add(-startValidity)
	}
	return !r.trialOver(t, now)
}

// endTrials clears the suspects whose trials have lasted long enough and releases the workers whose trials are over. A suspect whose run is not confirmed stays one.
func (c *session) endTrials(now time.Time) {
	for w := range c.trials {
		t := w.trial
		r := w.runs[t]
		switch {
		case c.workers[w.Incarnation] != w:
		case r == nil || r.number != w.trialRun:
			c.markPoolDirty(w.Pool)
		case w.trialGoesOn(t, r, now):
			continue
		case r.confirmed == 0:
			c.markPoolDirty(w.Pool)
		default:
			t.Job.ClearSuspicion(t)
			c.markPoolDirty(w.Pool)
		}
		w.trial = nil
		delete(c.trials, w)
	}
}

// startTrial records that a suspect's run is on trial on the worker.
func (c *session) startTrial(w *worker, t *job.Task, run int64) {
	w.trial, w.trialRun = t, run
	c.trials[w] = true
}

// placeSuspects starts suspects in trials and returns the candidates that remain for other tasks.
func (c *session) placeSuspects(p *poolRow, groups []*place.Group, candidates []*place.Candidate, draft *org.Draft, now time.Time) []*place.Candidate {
	if !hasSuspect(groups) {
		return candidates
	}
	most, risk, going := max(int(trialShare*float64(len(candidates))), 1), max(1, float64(len(candidates))/workersPerRisk), false
	most, together := c.planTrials(p, groups, most, int(maxTrialShare*float64(len(candidates)+c.trialWorkers(p))), now)
	for w := range c.trials {
		if w.Pool == p.name {
			most, risk, going = most-1, risk-w.trial.Risk(), true
		}
	}
	for w := range c.groupTrials {
		if w.Pool == p.name {
			most, risk, going = most-1, risk-w.groupRisk(), true
		}
	}
	choices, rest := place.PlaceSuspects(groups, candidates, place.TrialLimits{Max: most, MaxRisk: risk, Ongoing: going, Together: together, Draft: draft})
	for _, x := range choices {
		c.startChoice(x, now)
	}
	p.dirty = true // the remaining suspects are tried again at the next tick
	return rest
}

func hasSuspect(groups []*place.Group) bool {
	for _, g := range groups {
		for _, t := range g.Tasks {
			if t.Suspect && !t.Spec().Gang {
				return true
			}
		}
	}
	return false
}

// mayHaveBegun reports whether the run's start was sent, so that the run may have begun.
func (r *run) mayHaveBegun() bool { return r.sent || r.fromEarlierLeader }

// wasConfirmed reports whether a worker has accepted or listed the run.
func (r *run) wasConfirmed() bool { return r.confirmed > 0 || r.confirmedEarlier }

// unsettled reports whether nothing tells that the run has begun: an earlier leader ordered it or planned to, and neither a worker nor the store says that the worker has
// it.
func (r *run) unsettled() bool { return !r.sent && !r.wasConfirmed() && !r.settledStored }

// countsAsLost reports whether the end of its worker's incarnation counts against the run. For a run that was handed on, the previous incarnation has been counted.
func (r *run) countsAsLost() bool { return r.mayHaveBegun() && !r.carriedOver }

// endTime returns the latest time at which the incarnation can have ended, judging by its connections.
func (w *worker) endTime(now time.Time) time.Time {
	if w.silentSince.IsZero() || w.callFailedAt.IsZero() {
		return now
	}
	return w.callFailedAt
}

// ageAt returns the age of a run at the given time, counted from its order. A run of an earlier leader is at least as old as this lead.
func (c *session) ageAt(r *run, at time.Time) time.Duration {
	began := r.orderedAt
	if began.IsZero() {
		began = c.startedAt
	}
	return max(at.Sub(began), 0)
}
