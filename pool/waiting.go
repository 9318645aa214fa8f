// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/place"
)

// The leader looks now and then through all tasks whose turn has come and that have no run that has begun, and tells why each of them waits. A task that waits although its
// pool has at least twice the room that it needs, and less than half of the pool is in use, could run, unless its
// organisation's cap is reached or it is parked. A lasting task could run however much is in use. The check changes nothing that decides about starts.

const (
	// waitCheckInterval is the minimum interval between two checks. It is a quarter of overdueAfter, so that a task is reported in time.
	waitCheckInterval = 500 * time.Millisecond
	// spareRoom is how many times the room that a task needs must be free for it to count as one that could run.
	spareRoom = 2
)

// waitTable is what the checks of the waiting tasks remember from one to the next.
type waitTable struct {
	pacer     scanPacer
	checkedAt time.Time
	// check is the number of the latest check.
	check  uint32
	events waitEventLimit
}

// queueWaits counts the tasks of a queue whose turn has come.
type queueWaits struct {
	waiting [waitReasonCount]int
	running int
	// overdue is, for each reason, the task that has waited longest and is to be logged.
	overdue [waitReasonCount]overdueTask
}

// checkWaits tells why tasks wait, by metrics and events.
func (c *session) checkWaits(now time.Time) {
	began := c.now()
	if !c.waits.pacer.due(began) || began.Sub(c.waits.checkedAt) < waitCheckInterval {
		return
	}
	c.waits.checkedAt = began
	s := c.newWaitCheck(now)
	for _, j := range c.jobs {
		s.job(j)
	}
	s.publish()
	c.waits.pacer.end(began, c.now())
}

// waitCheck is one check of the waiting tasks.
type waitCheck struct {
	*session
	now time.Time
	// wall is the wall clock time up to which steps are due. It is one tick ago, since a step that has become due is opened with the next tick.
	wall                time.Time
	mayStart, confirmed bool
	rooms               map[string]*poolRoom
	limits              map[string]*startLimits
	// planned holds the runs whose start has not been sent, with what it waits for.
	planned map[*run]waitReason
	queues  map[string]*queueWaits
	caps    *org.Draft
	waiting [waitReasonCount]int
	// oldest is the longest time that a task has waited while it could run.
	oldest  time.Duration
	scratch waitGroup
}

func (c *session) newWaitCheck(now time.Time) *waitCheck {
	c.waits.check++
	s := &waitCheck{
		session: c, now: now, wall: wallClock().Add(-tickInterval), mayStart: c.mayOrder(now), confirmed: c.confirmed(now),
		rooms: c.poolRooms(now), limits: make(map[string]*startLimits), queues: make(map[string]*queueWaits), caps: c.draft(),
		planned: make(map[*run]waitReason, len(c.plannedStarts)+len(c.storedStarts)),
	}
	s.addPlanned(c.plannedStarts, waitUnstored)
	if c.inFlight != nil {
		s.addPlanned(c.inFlight.starts, waitUnstored)
	}
	s.addPlanned(c.storedStarts, waitUnsent)
	return s
}

func (s *waitCheck) addPlanned(starts []plannedStart, reason waitReason) {
	for _, p := range starts {
		s.planned[p.run] = reason
	}
}

// job looks at the tasks of a job whose turn has come.
func (s *waitCheck) job(j *job.Job) {
	if j.State.Ended() {
		return
	}
	q := s.queue(j)
	for k := range max(j.Spec.Times, 1) {
		for step := range j.Spec.Steps {
			if j.StepUnfinished(k, step) > 0 && j.StepOpen(k, step, s.wall) {
				s.step(j, k, step, q)
			}
		}
	}
}

// waitGroup is the tasks of one step during a check.
type waitGroup struct {
	*place.Group
	queue  *queueWaits
	pool   *poolRow
	room   *poolRoom
	limits *startLimits
	// common is a reason that holds for all tasks of the group that wait in its list, or waitNone.
	common waitReason
	// next is the index in Tasks of the first task that has not been looked at.
	next int
	// could reports whether the tasks could run.
	could bool
}

// step looks at the tasks of a step.
func (s *waitCheck) step(j *job.Job, k, step int, q job.Queue) {
	g := s.group(j, k, step, q)
	tasks := j.StepTasks(k, step)
	for i := range tasks {
		t := &tasks[i]
		switch reason := s.reason(g, t); {
		case t.Phase == job.Finished:
		case reason == waitNone:
			g.queue.running++
		default:
			s.waiting[reason]++
			g.queue.waiting[reason]++
			if g.could && reason != waitParked && reason != waitCap {
				s.remember(g, t, reason)
			}
		}
	}
}

// group returns the row of a step. It is valid until the next call.
func (s *waitCheck) group(j *job.Job, k, step int, q job.Queue) *waitGroup {
	s.scratch = waitGroup{queue: s.queues[q.Name], pool: s.pool(q.Pool), room: s.rooms[q.Pool], limits: s.limits[q.Pool]}
	g := &s.scratch
	if g.Group = g.pool.open[groupKey{job: j.Spec.ID, time: k, step: step}]; g.Group == nil {
		g.Group = &place.Group{Job: j, Time: k, Step: step}
	}
	if g.queue == nil {
		g.queue = &queueWaits{}
		s.queues[q.Name] = g.queue
	}
	if g.room == nil {
		g.room = newPoolRoom()
		s.rooms[q.Pool] = g.room
	}
	if g.limits == nil {
		limits := s.limitsOf(q.Pool, s.now)
		g.limits = &limits
		s.limits[q.Pool] = g.limits
	}
	g.common = s.commonReason(g, q)
	spec := &j.Spec.Steps[step]
	most := spareRoom * g.atOnce(spec)
	g.could = (spec.Lasting || !g.room.halfUsed()) && g.room.listed.count(g.Group, most) >= most
	return g
}

// atOnce returns how many tasks of the group must start together.
func (g *waitGroup) atOnce(step *job.Step) int {
	if step.Gang {
		return step.Count
	}
	return 1
}

// lists reports whether the task is in the group's list. It must be asked for the tasks in the order of their indexes, which is that of the list.
func (g *waitGroup) lists(t *job.Task) bool {
	for g.next < len(g.Tasks) && g.Tasks[g.next].Index < t.Index {
		g.next++
	}
	return g.next < len(g.Tasks) && g.Tasks[g.next] == t
}

// commonReason returns a reason for which all tasks in the group's list wait, or waitNone.
func (s *waitCheck) commonReason(g *waitGroup, q job.Queue) waitReason {
	step := &g.Job.Spec.Steps[g.Step]
	switch {
	case s.jobIsAside(g.Job):
		return waitAside
	case !s.mayStart:
		return waitUnproved
	case !s.confirmed && s.readUnconfirmed[g.Job.Spec.ID]:
		return waitUnconfirmed
	case step.Gang && countStartable(g.Tasks) < step.Count:
		return waitGangMembers
	case q.Advice != nil && s.Advise != nil && !s.hasTicket(g.Group):
		return waitTicket
	}
	return waitNone
}

func countStartable(tasks []*job.Task) int {
	n := 0
	for _, t := range tasks {
		if startable(t) {
			n++
		}
	}
	return n
}

// hasTicket reports whether a worker with capacity for a task of the group has a ticket for its step.
func (s *waitCheck) hasTicket(g *place.Group) bool {
	if len(g.Tasks) == 0 || s.tickets[stepName(g.Tasks[0])] == nil {
		return false
	}
	for incarnation, x := range s.tickets[stepName(g.Tasks[0])].tickets {
		if w := s.workers[incarnation]; w != nil && !x.Until.Before(s.now.Add(minTicketValidity)) && w.usable(s.now) && w.fits(&g.Job.Spec.Steps[g.Step]) {
			return true
		}
	}
	return false
}

// reason returns why a task of the group waits, or waitNone if its run has begun or it is finished.
func (s *waitCheck) reason(g *waitGroup, t *job.Task) waitReason {
	switch t.Phase {
	case job.Finished:
		return waitNone
	case job.Waiting:
		return s.waitingReason(g, t)
	}
	w := s.workers[t.Worker]
	if w == nil || w.runs[t] == nil {
		return waitUnlisted
	}
	r := w.runs[t]
	switch {
	case t.Phase == job.Active:
		return waitNone
	case r.mayHaveBegun():
		return waitUnanswered
	case s.planned[r] != waitNone:
		return s.planned[r]
	}
	return waitUnlisted
}

// waitingReason returns why a task without a run waits.
func (s *waitCheck) waitingReason(g *waitGroup, t *job.Task) waitReason {
	switch {
	case t.GivenUp():
		return waitParked
	case t.ExceedsLossLimit() && len(s.lossesInFlight[t]) > 0:
		return waitUnanswered
	case !g.lists(t):
		return waitUnlisted
	case g.common != waitNone && g.common != waitTicket:
		return g.common
	}
	worker, wait := g.limits.limit(t)
	switch {
	case wait && worker != "" && g.limits.usable(worker) == nil:
		return waitConfinedUnusable
	case wait:
		return waitEarlier
	case s.now.Before(t.NotBefore):
		return waitBackoff
	case g.limits.held(t, worker):
		return waitLateStart
	case g.common != waitNone:
		return g.common
	case worker != "":
		if r := s.confinedReason(g, worker); r != waitNone {
			return r
		}
	}
	return s.placementReason(g, t)
}

// confinedReason returns what keeps a task from the only worker on which it may start, or waitNone.
func (s *waitCheck) confinedReason(g *waitGroup, id string) waitReason {
	for _, w := range s.incarnationsWithID(id) {
		if w.Pool != g.pool.name || s.hidesUsage(w) || !s.mayBeCandidate(w, s.confirmed, s.now) {
			continue
		}
		if g.Fits(&w.candidate) == 0 {
			return waitConfinedFull
		}
		return waitNone
	}
	return waitConfinedUnusable
}

// placementReason returns why placement has not chosen a worker for a task that may start.
func (s *waitCheck) placementReason(g *waitGroup, t *job.Task) waitReason {
	step := t.Spec()
	once := g.atOnce(step)
	fits := func(room *workerRoom) bool { return room.count(g.Group, spareRoom*once) >= once }
	switch {
	case !s.caps.Admits(t.Job.Spec.Organisation, step.Need, once):
		return waitCap
	case !fits(&g.room.listed) && step.Gang:
		return waitGangFit
	case !fits(&g.room.listed):
		return waitCapacity
	case !fits(&g.room.usable):
		return waitUnusable
	case g.pool.dirty && s.now.Before(g.pool.nextLookAt):
		return waitPassPause
	case t.Suspect && !step.Gang:
		return waitTrial
	case step.Lasting && len(s.fencing) > 0:
		return waitFencing
	case !g.pool.dirty:
		return waitNoPass
	}
	return waitNotPlaced
}

// remember records that a task waits although it could run.
func (s *waitCheck) remember(g *waitGroup, t *job.Task, reason waitReason) {
	x, now := &t.Wait, s.now.Sub(s.startedAt)
	if x.Check == 0 || x.Check != s.waits.check-1 {
		*x = job.WaitNote{Since: now, Longest: x.Longest, LongestReason: x.LongestReason}
	}
	x.Check = s.waits.check
	if waitReason(x.Reason) != reason {
		x.Reason, x.ReasonSince = uint8(reason), now
	}
	if held := now - x.ReasonSince; held > x.Longest {
		x.Longest, x.LongestReason = held, uint8(reason)
	}
	waited := now - x.Since
	s.oldest = max(s.oldest, waited)
	if waited > overdueAfter && x.Logged&(1<<reason) == 0 {
		g.queue.noteOverdue(g, t, reason)
	}
}

// publish updates the gauges and logs tasks that have waited for too long.
func (s *waitCheck) publish() {
	s.counts.waits.update(s.waiting, s.oldest)
	s.logOverdue()
}
