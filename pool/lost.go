// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/place"
)

// Figures of telling a task that ends its workers' lives from those that were beside it.
const (
	// alikeWithin is by how much the ages of two runs may differ for either to have ended a life, the younger first. The newest run was
	// 3 to 26 ms old at 19 of 19 ends of lives under such tasks; starts of one batch leave within some 20 ms.
	alikeWithin = 150 * time.Millisecond
	// suspectMost is the age beyond which a run is no suspect after one life: it may be after the third.
	suspectMost = time.Second
	// atOnce is how young a run was that has ended a life by starting: what else might have ended it would have had to choose that moment.
	atOnce = 100 * time.Millisecond
	// trialLeast is how long a suspect goes on alone before others start beside it: ten times the age at which culprits were seen to
	// end lives. trialMost bounds it where lives ended under older runs.
	trialLeast = 300 * time.Millisecond
	trialMost  = 3 * time.Second
	// trialTimes is how much longer than at a life's end a run must go on to be cleared.
	trialTimes = 2
	// trialShare is the part of a pool's workers, one at least, on which suspects are tried at a time. One life may be lost at once by
	// trials, on the average, or one for each trialEach workers.
	trialShare = 1.0 / 3
	trialEach  = 8
)

// endedUnder takes the end of a life as evidence about all that ran there.
//
// Nobody says which run ended it. What was tried apart there most likely has; else all that are as young as the newest are suspects, and start
// again apart. The others count the life too, without suspicion: a culprit that takes its time would go free beside each trial, as it did
// in histories, seven lives long. A lease that is over is no such evidence, and neither is a planned end.
func (c *session) endedUnder(w *worker, now time.Time) {
	ended := w.endedBy(now)
	newest, beside := c.newestOn(w, ended)
	tried := w.trial != nil && c.triedAlone(w, newest, ended)
	youngest := min(newest+alikeWithin, suspectMost)
	suspects := 0
	for _, r := range w.runs {
		if r.lostWith() && c.ageAt(r, ended) <= youngest {
			suspects++
		}
	}
	planned := w.Leaving // what this leader moves or maintains has been emptied
	for t, r := range w.runs {
		if !r.lostWith() {
			continue
		}
		age := c.ageAt(r, ended)
		l := job.LostRun{Run: r.number, Life: w.Life, Age: age}
		if r.began.IsZero() {
			l.Age = job.AgeUnknown // it is at least as old as this lead
		}
		switch {
		case tried && t == w.trial:
			l.Suspects, l.Isolated, l.Conclusive = 1, true, age <= atOnce && r.confirmed > 0
		case !tried && age <= youngest:
			l.Suspects = suspects
		}
		c.counts.runsLost.Inc(1)
		c.emit(event.RunLost, event.Subject{Job: t.Name(), Instance: w.Life}, "run=%d age=%v newest=%v beside=%d suspects=%d tried=%t planned=%t lives=%d machine=%s",
			r.number, age.Round(time.Millisecond), newest.Round(time.Millisecond), beside-1, l.Suspects, l.Isolated, planned, len(t.Lost), w.Machine)
		if !planned {
			c.loseRun(t, l, age)
		}
	}
}

// newestOn returns the age of the newest run on a worker at the time, and how many there are.
func (c *session) newestOn(w *worker, at time.Time) (newest time.Duration, count int) {
	newest = -1
	for _, r := range w.runs {
		if !r.lostWith() {
			continue
		}
		count++
		if age := c.ageAt(r, at); newest < 0 || age < newest {
			newest = age
		}
	}
	return newest, count
}

// triedAlone says whether the task that is tried on a worker most likely has ended its life: it was not cleared yet, and nothing else is as young. Nothing
// had begun there for alikeWithin when it was decided; half of that is left for orders that were on their way.
func (c *session) triedAlone(w *worker, newest time.Duration, ended time.Time) bool {
	r := w.runs[w.trial]
	if r == nil || r.number != w.trialRun || !r.lostWith() {
		return false
	}
	age := c.ageAt(r, ended)
	for t, o := range w.runs {
		if t != w.trial && o.lostWith() && c.ageAt(o, ended) <= age+alikeWithin/2 {
			return false
		}
	}
	return age == newest && age <= trialFor(w.trial)
}

// endedRun is a run that an earlier leader ordered on a life that has ended since.
type endedRun struct {
	task *job.Task
	run  int64
}

// endedBefore takes lives that ended while no leader looked as evidence about what was kept of them; nobody knows how old the runs were.
func (c *session) endedBefore(ended map[string][]endedRun) {
	for life, runs := range ended {
		for _, r := range runs {
			c.counts.runsLost.Inc(1)
			c.emit(event.RunLost, event.Subject{Job: r.task.Name(), Instance: life}, "run=%d of an earlier leader beside=%d lives=%d", r.run, len(runs)-1, len(r.task.Lost))
			c.loseRun(r.task, job.LostRun{Run: r.run, Life: life, Age: job.AgeUnknown, Suspects: len(runs)}, 0)
		}
	}
}

// loseRun takes note of a run that was lost with a life, and gives its job up once that is enough.
//
// The run was as old as age at the least.
func (c *session) loseRun(t *job.Task, l job.LostRun, age time.Duration) {
	if t.Spec().Lasting && age > trialMost {
		t.Job.ClearLost(t) // it has run far longer than what ends a life by starting
		c.changed(t.Job)
		return
	}
	if !t.Job.RecordLost(t, l) {
		return
	}
	c.dirty.Add(t.Job.Spec.ID, t.Job)
	c.giveUpHopeless(t)
}

// neverThere takes back that a run was lost with a life which had ended before its order came there.
func (c *session) neverThere(t *job.Task, run int64) {
	before := len(t.Lost)
	t.Job.RetractLost(t, run)
	if len(t.Lost) < before && !t.Job.State.Ended() {
		c.dirty.Add(t.Job.Spec.ID, t.Job)
		c.dirtyPool(c.queue(t.Job).Pool)
	}
}

// giveUpHopeless ends the job of a task under which too many lives have ended; nothing of the job starts again.
func (c *session) giveUpHopeless(t *job.Task) {
	j := t.Job
	if !t.ExceedsLossLimit() || j.State.Ended() {
		return
	}
	j.GiveUp(t, c.now())
	last := t.Lost[len(t.Lost)-1]
	c.counts.givenUp.Inc(1)
	c.emit(event.JobGivenUp, event.Subject{Job: t.Name(), Instance: last.Life}, "lives=%d proved=%t age=%v state=%v", len(t.Lost), last.Conclusive, last.Age.Round(time.Millisecond), j.State)
	c.changed(j)
	if j.State.Ended() {
		c.stopAll(j, "a task of the job crashes its workers")
	}
}

// trialFor returns how long a suspect is tried for.
func trialFor(t *job.Task) time.Duration {
	return min(max(trialTimes*t.MaxLostAge(), trialLeast), trialMost)
}

// endTrials clears the suspects that have gone on for long enough, and frees the workers of those that have ended.
func (c *session) endTrials(now time.Time) {
	for w := range c.trials {
		t := w.trial
		r := w.runs[t]
		switch {
		case c.workers[w.Life] != w:
		case r == nil || r.number != w.trialRun:
			c.dirtyPool(w.Pool)
		case r.began.IsZero() || !w.silentSince.IsZero() || now.Sub(r.began) <= trialFor(t):
			continue
		default:
			t.Job.ClearSuspicion(t)
			c.dirtyPool(w.Pool)
		}
		w.trial = nil
		delete(c.trials, w)
	}
}

// try begins the trial of a suspect.
func (c *session) try(w *worker, t *job.Task, run int64) {
	w.trial, w.trialRun = t, run
	c.trials[w] = true
}

// placeApart starts suspects, and returns the rooms that are left for others.
func (c *session) placeApart(p *poolRow, groups []*place.Group, rooms []*place.Candidate, draft *org.Draft, now time.Time) []*place.Candidate {
	if !anySuspect(groups) {
		return rooms
	}
	most, risk, going := max(int(trialShare*float64(len(rooms))), 1), max(1, float64(len(rooms))/trialEach), false
	for w := range c.trials {
		if w.Pool == p.name {
			most, risk, going = most-1, risk-w.trial.Risk(), true
		}
	}
	choices, rest := place.PlaceSuspects(groups, rooms, place.TrialLimits{Max: most, MaxRisk: risk, Ongoing: going, Draft: draft})
	for _, x := range choices {
		c.startChoice(x, now)
	}
	p.dirty = true // the others are looked at again with the next tick
	return rest
}

func anySuspect(groups []*place.Group) bool {
	for _, g := range groups {
		for _, t := range g.Tasks {
			if t.Suspect && !t.Spec().Gang {
				return true
			}
		}
	}
	return false
}

// mayRun says whether the run's order has left, so that it may have begun.
func (r *run) mayRun() bool { return r.sent || r.earlier }

// lostWith says whether the end of its worker's life counts against the run: the life before has counted for one that was handed on.
func (r *run) lostWith() bool { return r.mayRun() && !r.handedOn }

// endedBy returns by when a life had ended, as far as its connections told.
func (w *worker) endedBy(now time.Time) time.Time {
	if w.silentSince.IsZero() || w.brokeAt.IsZero() {
		return now
	}
	return w.brokeAt
}

// ageAt returns how long before the time a run was ordered; a run of an earlier leader is at least as old as this lead.
func (c *session) ageAt(r *run, at time.Time) time.Duration {
	began := r.began
	if began.IsZero() {
		began = c.began
	}
	return max(at.Sub(began), 0)
}
