// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

func (c *session) dirtyPool(name string) { c.pool(name).dirty = true }

// dirtyAll has every pool looked at, after what held some jobs back is gone: what waits is in their open groups already.
// Opening every job anew with each worker's first report took a leader 5.2 s of a core with 1,100 workers and 5,000 jobs.
func (c *session) dirtyAll() {
	for _, p := range c.pools {
		p.dirty = true
	}
}

// openJob makes the tasks of a job whose turn has come ready to be placed.
func (c *session) openJob(j *job.Job, now time.Time) {
	if j.State.Ended() {
		return
	}
	for k := range max(j.Spec.Times, 1) {
		c.openTime(j, k, now)
	}
}

// openTime opens the steps of one time of a job.
func (c *session) openTime(j *job.Job, k int, now time.Time) {
	if j.Spec.Times > 0 && timeOfDay().Before(j.Due(k)) {
		c.later[j.Spec.ID] = j
		return
	}
	for step := range j.Spec.Steps {
		if j.StepUnfinished(k, step) > 0 && j.StepOpen(k, step, timeOfDay()) {
			c.openStep(j, k, step)
		}
	}
}

// timeOfDay is what due times and other entries' times are compared with; a Clock of its own adds suspensions, which the time of day has counted.
func timeOfDay() time.Time { return time.Now() }

// openDue opens the times that have become due.
func (c *session) openDue(now time.Time) {
	for id, j := range c.later {
		delete(c.later, id)
		c.openJob(j, now)
	}
}

// openStep puts the waiting tasks of a step into its pool's open groups.
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

// rank works out how urgent and how worthwhile a group is now.
func (c *session) rank(g *place.Group, now time.Time) {
	j := g.Job
	q := c.queue(j)
	from := j.From
	if j.Spec.Times > 0 {
		from = now.Add(j.Due(g.Time).Sub(timeOfDay()))
	}
	whole, left, work := c.chains(j, g.Time, q.Name)
	e := place.Estimate{
		From: from, Target: time.Duration(q.Stretch*float64(whole)) + q.Target, Total: whole, Remaining: left,
		Density: earns(c.jobWork(j, q.Name)/max(c.learned(q.Name).work, minWork)) / max(work, minWork),
	}
	g.Outlook = e.At(now)
}

// rankFor is how long a group's rank is good for.
const rankFor = 150 * time.Millisecond

// minWork bounds what a job is taken to need, in core-seconds, so that nothing is divided by nothing.
const minWork = 0.01

// earns is what a job earns by its work relative to the mean of its queue, as the users weigh it.
func earns(work float64) float64 { return min(0.3+0.7*work, 4) }

// closeJob takes an ended job out of the open groups.
func (c *session) closeJob(j *job.Job) {
	p := c.pool(c.queue(j).Pool)
	for k := range max(j.Spec.Times, 1) {
		for step := range j.Spec.Steps {
			delete(p.open, groupKey{job: j.Spec.ID, time: k, step: step})
		}
	}
}

// requeue makes a task wait for another run; one that is done by another run stays done.
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
	if t.Job.StepOpen(t.Time, t.Step, timeOfDay()) {
		c.openStep(t.Job, t.Time, t.Step)
	}
}

// placeAll places what is open in the pools in which something has changed.
//
// A leader that another one may have followed starts nothing.
func (c *session) placeAll(now time.Time) {
	if !c.mayOrder(now) {
		return
	}
	for _, p := range c.pools {
		if !p.dirty || now.Before(p.next) {
			continue
		}
		p.dirty = false
		c.placePool(p, now)
		ended := c.now()
		p.next = ended.Add(placeRest * ended.Sub(now))
		now = ended
	}
}

// placeRest bounds placement to a fifth of the processor: a large backlog is looked at less often.
const placeRest = 4

func (c *session) placePool(p *poolRow, now time.Time) {
	if len(p.open) == 0 {
		return
	}
	rooms := c.rooms(p, now)
	if len(rooms) == 0 {
		return
	}
	groups := c.groups(p, now)
	draft := c.draft()
	place.OrderShared(groups, place.Shares{Draft: draft, Total: c.room()})
	rooms = c.placeApart(p, groups, rooms, draft, now)
	for _, x := range place.Tasks(groups, rooms, draft) {
		c.startChoice(x, now)
	}
	for key, g := range p.open {
		g.Tasks = waiting(g.Tasks)
		if len(g.Tasks) == 0 {
			delete(p.open, key)
		}
	}
	c.tellCapped(groups)
}

// rooms returns copies of the rooms of the pool's usable workers.
func (c *session) rooms(p *poolRow, now time.Time) []*place.Candidate {
	copies := make([]place.Candidate, 0, len(c.workers))
	sure := c.confirmed(now)
	guards := c.config != nil && c.config.Pools[p.name].AdmissionCheck
	for _, w := range c.workers {
		if w.Pool != p.name {
			continue
		}
		if w.unknown > 0 && !guards {
			continue // nobody knows what they hold, and the worker would take whatever it is told; its next report tells when they have ended
		}
		if now.Before(w.restUntil) {
			p.dirty = true // looked at again with the next tick
		}
		if w.usable(now) && w.trial == nil && c.workersKept[w.Life] && (w.sure || sure) {
			r := w.room
			r.RecentStart = now.Sub(w.newestAt) <= alikeWithin
			r.Cold = now.Before(w.coldUntil)
			copies = append(copies, r)
		}
	}
	rooms := make([]*place.Candidate, len(copies))
	for i := range copies {
		rooms[i] = &copies[i]
	}
	return rooms
}

// groups returns the open groups of which something may start now.
func (c *session) groups(p *poolRow, now time.Time) []*place.Group {
	blocked := c.blocked(p.name)
	sure := c.confirmed(now)
	groups := make([]*place.Group, 0, len(p.open))
	for _, g := range p.open {
		if (blocked && c.restored[g.Job.Spec.ID]) || c.jobIsAside(g.Job) {
			continue
		}
		if !sure && c.readUnsure[g.Job.Spec.ID] {
			p.dirty = true
			continue
		}
		step := &g.Job.Spec.Steps[g.Step]
		g.Tasks = waiting(g.Tasks) // a worker may have listed some of them meanwhile
		if len(g.Tasks) == 0 {
			continue
		}
		if step.Gang && len(g.Tasks) < step.Count {
			continue // the others of its gang are still to end
		}
		if held := holdBack(g.Tasks, now); held > 0 {
			p.dirty = true
			if held == len(g.Tasks) || step.Gang {
				continue
			}
		}
		if !c.withTickets(g, now) {
			p.dirty = true
			continue
		}
		c.countGroup(g, step)
		if now.Sub(g.RankedAt) > rankFor {
			g.RankedAt = now
			c.rank(g, now)
		}
		groups = append(groups, g)
	}
	return groups
}

// mayBeUnkept says whether an earlier leader may have started, or may still start, what is not kept: one that went on without the store, or that
// may do so until half of the instances have this leader's token.
func (c *session) mayBeUnkept() bool {
	return c.coarse || (!c.term.CleanHandover && c.raised.IsZero())
}

// blocked says whether a worker of the pool that has not answered may still run what an earlier leader started.
func (c *session) blocked(pool string) bool {
	if !c.mayBeUnkept() {
		return false
	}
	for _, w := range c.unheard {
		if w.Pool == pool {
			return true
		}
	}
	return false
}

// countGroup counts where the step's tasks are, if its placement depends on that.
func (c *session) countGroup(g *place.Group, step *job.Step) {
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
		g.OnWorker[w.Life]++
		if g.Racks != nil {
			g.Racks[w.Rack]++
		}
	}
}

// holdBack marks the tasks that are not to be started yet, and returns how many there are.
func holdBack(tasks []*job.Task, now time.Time) int {
	held := 0
	for _, t := range tasks {
		t.BackingOff = now.Before(t.NotBefore) || t.MayComeLate(now)
		if t.BackingOff {
			held++
		}
	}
	return held
}

// startable says whether a task waits for a run and may have one.
func startable(t *job.Task) bool { return t.Phase == job.Waiting && !t.GivenUp() }

func waiting(tasks []*job.Task) []*job.Task {
	kept := tasks[:0]
	for _, t := range tasks {
		if startable(t) {
			kept = append(kept, t)
		}
	}
	return kept
}

// startChoice orders what placement chose; the members of a gang share one run number and what was saved.
func (c *session) startChoice(x place.Choice, now time.Time) {
	t := x.Task
	w := c.workers[x.Candidate.Worker.Life]
	if t.Spec().Lasting && !c.mayLast(w, now) {
		return // it waits on
	}
	number := int64(0)
	if t.Spec().Gang {
		number = c.gangRun(t)
	} else {
		number = c.nextRun()
	}
	if x.Isolated {
		c.try(w, t, number)
	}
	c.start(w, t, &run{number: number, sentAt: now, pace: fullPercent, ticket: x.Ticket, slack: x.Slack}, now)
}

// gangRun returns the number that the members of the gang started now share, and gives them the same saved progress.
func (c *session) gangRun(t *job.Task) int64 {
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
	return c.nextRun()
}

func stepName(t *job.Task) string {
	n := t.Name()
	for i := len(n) - 1; i >= 0; i-- {
		if n[i] == '.' {
			return n[:i]
		}
	}
	return n
}
