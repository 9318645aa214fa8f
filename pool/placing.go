// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

func (c *session) markPoolDirty(name string) { c.pool(name).dirty = true }

// markAllDirty schedules a placement pass for every pool after a condition that held jobs back is gone. The waiting tasks are already in their open
// groups, so the jobs are not opened again: opening every job with the first report of each worker took a leader 5.2 s of a core with 1,100 workers
// and 5,000 jobs.
func (c *session) markAllDirty() {
	for _, p := range c.pools {
		p.dirty = true
	}
}

// openJob makes the tasks of a job that are due available for placement.
func (c *session) openJob(j *job.Job, now time.Time) {
	if j.State.Ended() {
		return
	}
	for k := range max(j.Spec.Times, 1) {
		c.openOccurrence(j, k, now)
	}
}

// openOccurrence opens the steps of one scheduled occurrence of a job, or defers them until the occurrence is due.
func (c *session) openOccurrence(j *job.Job, k int, now time.Time) {
	if j.Spec.Times > 0 && wallClock().Before(j.Due(k)) {
		c.notDue[j.Spec.ID] = j
		return
	}
	for step := range j.Spec.Steps {
		if j.StepUnfinished(k, step) > 0 && j.StepOpen(k, step, wallClock()) {
			c.openStep(j, k, step)
		}
	}
}

// wallClock returns the wall clock time, which is compared with due times and with times reported by other entries. The scheduler's Clock is not
// suitable for this: it adds the duration of suspensions, which the wall clock already includes.
func wallClock() time.Time { return time.Now() }

// openDue opens the occurrences that have become due.
func (c *session) openDue(now time.Time) {
	for id, j := range c.notDue {
		delete(c.notDue, id)
		c.openJob(j, now)
	}
}

// openStep adds the startable tasks of a step to the open groups of its pool, or removes the group if there are none.
func (c *session) openStep(j *job.Job, k, step int) {
	q := c.queue(j)
	p := c.pool(q.Pool)
	key := groupKey{job: j.Spec.ID, time: k, step: step}
	g := &place.Group{Job: j, Time: k, Step: step, Priority: q.Priority, Lasting: j.Spec.Steps[step].Lasting, OverRate: j.OverRate, Since: j.From, ReadySince: c.now()}
	tasks := j.StepTasks(k, step)
	for i := range tasks {
		if startable(&tasks[i]) {
			g.Tasks = append(g.Tasks, &tasks[i])
		}
	}
	if len(g.Tasks) == 0 {
		delete(p.open, key)
		return
	}
	if before := p.open[key]; before != nil {
		g.Capped, g.CappedLogged = before.Capped, before.CappedLogged
	}
	p.open[key] = g
	p.dirty = true
}

// updateOutlook recomputes the slack and the expected value of a group.
func (c *session) updateOutlook(g *place.Group, now time.Time) {
	g.Outlook = c.estimate(g.Job, g.Time, now).At(now)
}

// estimate returns the estimated run time and value of a job at one of its times.
func (c *session) estimate(j *job.Job, k int, now time.Time) place.Estimate {
	q := c.queue(j)
	from := j.From
	if j.Spec.Times > 0 {
		from = now.Add(j.Due(k).Sub(wallClock()))
	}
	whole, left, work := c.criticalPath(j, k, q.Name)
	return place.Estimate{
		From: from, Target: time.Duration(q.Stretch*float64(whole)) + q.Target, Total: whole, Remaining: left,
		Density: relativeValue(c.jobWork(j, q.Name)/max(c.statsOf(q.Name).work, minWork)) / max(work, minWork),
	}
}

// outlookTTL is the time for which a group's outlook is reused before it is recomputed.
const outlookTTL = 150 * time.Millisecond

// minWork is the minimum work assumed for a job, in core-seconds. It avoids divisions by zero.
const minWork = 0.01

// relativeValue returns the value of a job in relation to the mean job of its queue, by the users' rules. The argument is its work divided by the
// mean work.
func relativeValue(work float64) float64 { return min(0.3+0.7*work, 4) }

// closeJob removes an ended job from the open groups.
func (c *session) closeJob(j *job.Job) {
	p := c.pool(c.queue(j).Pool)
	for k := range max(j.Spec.Times, 1) {
		for step := range j.Spec.Steps {
			delete(p.open, groupKey{job: j.Spec.ID, time: k, step: step})
		}
	}
}

// requeue returns a task to the waiting state after a run that did not complete it. A task that another run has finished stays finished.
func (c *session) requeue(t *job.Task) {
	if t.Phase == job.Finished {
		return
	}
	now := c.now()
	t.Phase, t.Worker, t.Stopping = job.Waiting, "", false
	if t.Spec().Lasting && (t.AtWork || t.DownSince.IsZero()) {
		t.DownSince = now
	}
	t.AtWork = false
	if len(t.Lost) > 0 {
		c.dirtyJobs.Add(t.Job.Spec.ID, t.Job) // the next leader must not look for the run, which would make a suspect wait for lateMax again
	}
	switch {
	case t.Job.StepOpen(t.Time, t.Step, wallClock()):
		c.openStep(t.Job, t.Time, t.Step)
	case t.Job.Spec.Times > 0:
		c.notDue[t.Job.Spec.ID] = t.Job // the wall clock may have been set back
	}
}

// placeAll places the open groups of every pool that has changed, and of those that have not been looked at for maxPassInterval, in one pass.
//
// A leader that may have been superseded or is handing over starts nothing.
func (c *session) placeAll(now time.Time) {
	if !c.mayOrder(now) || c.handingOver(now) {
		return
	}
	due := make(map[string]*poolRow)
	for _, p := range c.pools {
		if now.Before(p.nextLookAt) || (!p.dirty && now.Sub(p.lookedAt) < maxPassInterval) {
			continue
		}
		p.dirty, p.lookedAt = false, now
		if len(p.open) > 0 {
			due[p.name] = p
		}
	}
	if len(due) == 0 {
		return
	}
	capacity := c.capacitySnapshot(due, now)
	ended := c.now()
	snapshot := ended.Sub(now)
	for _, p := range due {
		from := ended
		c.placePool(p, capacity[p.name], now)
		ended = c.now()
		p.nextLookAt = ended.Add(pauseAfter(snapshot+ended.Sub(from), placementPauseFactor, maxPlacementPause))
	}
	if ended.Sub(now) < longPass {
		return
	}
	for _, p := range c.pools {
		p.nextLookAt = ended.Add(maxPlacementPause)
	}
}

const (
	// placementPauseFactor is the pause of a pool after a placement pass as a multiple of the time that the pass took for it. It limits placement to a fifth of the
	// processor: a large backlog is processed less often.
	placementPauseFactor = 4
	// maxPlacementPause bounds that pause, because a task that could run must not wait for three seconds.
	maxPlacementPause = 500 * time.Millisecond
	// longPass is the duration from which a pass delays the next one over any pool by maxPlacementPause. The next one then covers all pools with tasks that have
	// become ready meanwhile, so that a task waits for two long passes at most.
	longPass = 500 * time.Millisecond
	// maxPassInterval is the longest time between two passes over a pool with waiting tasks. What a task waits for may change without marking its
	// pool: usage of its organisation in another pool, reservations of a job that ends, or what a worker lists.
	maxPassInterval = time.Second
)

// placePool places the open groups of a pool on the given capacity.
func (c *session) placePool(p *poolRow, capacity []*place.Candidate, now time.Time) {
	if len(capacity) == 0 {
		return
	}
	open := c.placeableGroups(p, now)
	draft := c.draft()
	place.OrderShared(open, place.Shares{Draft: draft, Total: c.totalCapacity()})
	capacity = c.placeSuspects(p, open, capacity, draft, now)
	for _, x := range place.Confined(open, capacity, draft) {
		c.startChoice(x, now)
	}
	for _, x := range place.Tasks(open, capacity, draft) {
		c.startChoice(x, now)
	}
	for key, g := range p.open {
		g.Tasks = startableTasks(g.Tasks)
		if len(g.Tasks) == 0 {
			delete(p.open, key)
		}
	}
	c.logCapped(open)
}

// capacitySnapshot returns copies of the free capacity of the usable workers of the pools, by pool.
func (c *session) capacitySnapshot(pools map[string]*poolRow, now time.Time) map[string][]*place.Candidate {
	copies := make([]place.Candidate, 0, len(c.workers))
	confirmed := c.confirmed(now)
	for _, w := range c.workers {
		p := pools[w.Pool]
		if p == nil {
			continue
		}
		if c.hidesUsage(w) {
			continue
		}
		if now.Before(w.startsPausedUntil) {
			p.dirty = true // retried with the next tick
		}
		if c.mayBeCandidate(w, confirmed, now) {
			r := w.candidate
			r.RecentStart = now.Sub(w.lastStartAt) <= similarAge
			r.Cold = now.Before(w.coldUntil)
			copies = append(copies, r)
		}
	}
	candidates := make(map[string][]*place.Candidate, len(pools))
	for i := range copies {
		pool := copies[i].Worker.Pool
		candidates[pool] = append(candidates[pool], &copies[i])
	}
	return candidates
}

// hidesUsage reports whether the worker runs something of unknown need and accepts whatever it is sent. A later report shows when those runs have ended.
func (c *session) hidesUsage(w *worker) bool {
	return w.unknownRuns > 0 && (c.config == nil || !c.config.Pools[w.Pool].AdmissionCheck)
}

// mayBeCandidate reports whether tasks may start on the worker now, unless it hides what it uses.
func (c *session) mayBeCandidate(w *worker, confirmed bool, now time.Time) bool {
	return w.usable(now) && !w.hasTrial() && c.storedIncarnations[w.Incarnation] && (w.listedAtConfirmation || confirmed)
}

// placeableGroups returns the open groups of which at least one task may start now.
func (c *session) placeableGroups(p *poolRow, now time.Time) []*place.Group {
	limits := c.limitsOf(p.name, now)
	confirmed := c.confirmed(now)
	groups := make([]*place.Group, 0, len(p.open))
	for _, g := range p.open {
		if c.jobIsAside(g.Job) {
			continue
		}
		if !confirmed && c.readUnconfirmed[g.Job.Spec.ID] {
			p.dirty = true
			continue
		}
		step := &g.Job.Spec.Steps[g.Step]
		g.Tasks = startableTasks(g.Tasks) // a worker may have reported some of them as running in the meantime
		if len(g.Tasks) == 0 {
			continue
		}
		if step.Gang && len(g.Tasks) < step.Count {
			continue // the remaining members of the gang have not ended yet
		}
		if held := markHeld(g.Tasks, limits, now); held > 0 {
			p.dirty = true
			if held == len(g.Tasks) || step.Gang {
				continue
			}
		}
		c.countPlacedTasks(g, step)
		if !c.attachTickets(g, now) {
			p.dirty = true
			continue
		}
		if now.Sub(g.RankedAt) > outlookTTL {
			g.RankedAt = now
			c.updateOutlook(g, now)
		}
		groups = append(groups, g)
	}
	return groups
}

// mayHaveUnstoredRuns reports whether an earlier leader may have started, or may still start, runs that are not stored: one that continued without
// the store, or one that may do so until half of the instances have this leader's token.
func (c *session) mayHaveUnstoredRuns() bool {
	return c.earlierUnstored || (!c.term.CleanHandover && c.majorityFencedAt.IsZero())
}

// countPlacedTasks counts the running tasks of the step by worker, and by rack if they are lasting. It does nothing for steps whose placement
// does not depend on these counts.
func (c *session) countPlacedTasks(g *place.Group, step *job.Step) {
	if step.PerWorker == 0 && !step.Lasting {
		return
	}
	g.OnWorker, g.Racks = make(map[string]int), nil
	if step.Lasting {
		g.Racks = make(map[string]int)
	}
	tasks := g.Job.StepTasks(g.Time, g.Step)
	for i := range tasks {
		t := &tasks[i]
		w := c.workers[t.Worker]
		if w == nil || w.runs[t] == nil {
			continue
		}
		g.OnWorker[w.Incarnation]++
		if g.Racks != nil {
			g.Racks[w.Rack]++
		}
	}
}

// markHeld marks the tasks that must not be started yet, and returns their number.
func markHeld(tasks []*job.Task, limits startLimits, now time.Time) int {
	held := 0
	for _, t := range tasks {
		worker, wait := limits.limit(t)
		t.ConfinedTo = worker
		t.ReusesNumber = worker != "" && !limits.startsAgain(t, worker)
		if worker != "" && limits.inherited(t) {
			limits.session.noteOnlyPlace(worker, now)
		}
		t.BackingOff = wait || now.Before(t.NotBefore) || limits.held(t, worker)
		if t.BackingOff {
			held++
		}
	}
	return held
}

// startable reports whether a task waits for a run and has not too many losses. A task that is not lasting has so many only until the results of its starts in flight
// are known.
func startable(t *job.Task) bool { return t.Phase == job.Waiting && !t.ExceedsLossLimit() }

func startableTasks(tasks []*job.Task) []*job.Task {
	kept := tasks[:0]
	for _, t := range tasks {
		if startable(t) {
			kept = append(kept, t)
		}
	}
	return kept
}

// startChoice plans the start that placement has chosen. The members of a gang share a run number and the saved progress.
func (c *session) startChoice(choice place.Choice, now time.Time) {
	t := choice.Task
	w := c.workers[choice.Candidate.Worker.Incarnation]
	if t.Spec().Lasting && !c.canStartLasting(w, now) {
		return // the task keeps waiting
	}
	r := &run{number: c.runNumber(t), sentAt: now, pace: fullPercent, ticket: choice.Ticket, slack: choice.Slack}
	if choice.Isolated {
		c.startTrial(w, t, r.number)
	}
	if choice.Grouped {
		c.startGroupTrial(w, t, r.number)
	}
	r.restatesSettled = t.ReusesNumber && c.sideKeys[settledKey+t.Job.Spec.ID]
	c.planStart(w, t, r, now)
	switch {
	case t.ReusesNumber && c.startPossible(t, now):
		c.notePossibleStart(t, r, now)
	case t.ConfinedTo != "" && !t.ReusesNumber:
		r.pending.unknown = true // starts of earlier runs count like starts of this one, so that the task stays with the worker's ID
	}
}

// runNumber returns the number of a new run of the task.
func (c *session) runNumber(t *job.Task) int64 {
	switch {
	case t.Spec().Gang:
		return c.gangRunNumber(t)
	case t.ReusesNumber:
		return unstoredRunNumber(t)
	}
	return c.nextRunNumber()
}

// gangRunNumber returns the run number shared by the members of the gang that are started together, and copies the saved progress of the gang to the
// task.
func (c *session) gangRunNumber(t *job.Task) int64 {
	tasks := t.Job.StepTasks(t.Time, t.Step)
	for i := range tasks {
		if tasks[i].Phase == job.Starting {
			t.Saved = tasks[i].Saved
			return tasks[i].Run
		}
	}
	for i := range tasks {
		if tasks[i].Saved != "" {
			t.Saved = tasks[i].Saved
			break
		}
	}
	return c.nextRunNumber()
}

func stepName(t *job.Task) string {
	name := t.Name()
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '.' {
			return name[:i]
		}
	}
	return name
}
