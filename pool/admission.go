// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rackstep.dev/admission"
	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/place"
)

const (
	// noticeInterval is the interval between two computations of the notice, below that of the leader's renewals, which publish it.
	noticeInterval = 300 * time.Millisecond
	// minLearnedRuns is the number of runs from which the run times of a queue count as known.
	minLearnedRuns = 30
	// minOverload is the waiting work, in seconds of the pool's capacity, from which waits are computed.
	minOverload = 0.5
	// maxFreeShare is the free share of a pool's capacity, and maxFittingShare the share of its workers with enough free capacity for a
	// mean waiting task, from which nothing waits for capacity.
	maxFreeShare    = 0.4
	maxFittingShare = 0.1
	// storeSettleTime is how long after a failure of the store nothing is refused, because the store may still append jobs whose
	// clients got no answer.
	storeSettleTime = 3 * time.Second
)

// admissionState holds what a leader publishes about overloaded queues.
type admissionState struct {
	noticedAt, storeFailedAt time.Time
	// overloaded holds the queues of the latest notices.
	overloaded map[string]*overloadPeriod
	// waits holds the waits of each queue when they were last computed.
	waits map[string]computedWaits
	// firstAsked holds when jobs that are not known were first asked about.
	firstAsked map[job.QualifiedID]time.Time
}

// overloadPeriod is a period in which the waits of a queue are published: since when, and until when at least.
type overloadPeriod struct{ since, last time.Time }

// overloadEndDelay is how long a queue's waits must not have been published for its overload to count as over.
const overloadEndDelay = time.Second

// computedWaits are the waits of a queue at a time.
type computedWaits struct {
	at    time.Time
	waits []job.Milli
}

// maxGrowthAge is the age from which earlier waits say nothing about their growth.
const maxGrowthAge = 3 * noticeInterval

// NoticeRecords returns the records about overloaded queues that accompany the next renewal. A leader whose last overload has ended
// publishes that once.
func (s *Scheduler) NoticeRecords() []feed.KeyedRecord {
	n := s.notice.Load()
	if n == nil {
		return nil
	}
	value, err := job.Encode(n)
	if err != nil {
		s.Events.Emit(event.RecordRefused, event.Subject{Entry: s.Entry}, "notice not published: "+err.Error())
		return nil
	}
	if len(n.Queues) == 0 {
		s.notice.CompareAndSwap(n, nil)
	}
	return []feed.KeyedRecord{{Key: admission.Key, Value: value}}
}

// updateNotice recomputes the notice once per noticeInterval.
func (c *session) updateNotice(now time.Time) {
	if c.storeFailing(now) {
		c.storeFailedAt = now
	}
	if now.Sub(c.noticedAt) < noticeInterval {
		return
	}
	c.noticedAt = now
	n := &admission.Notice{Fence: c.term.Fence}
	if c.knowsBacklog(now) {
		n.Queues = c.overloadedQueues(now)
	}
	if len(n.Queues) > 0 || len(c.overloaded) > 0 {
		c.notice.Store(n)
	}
	c.reportOverload(n, now)
}

// knowsBacklog reports whether the waiting work says how long a new job waits. That is not so while the leader may not order runs, or does
// not know which instances a pool may still get.
func (c *session) knowsBacklog(now time.Time) bool {
	return c.config != nil && c.confirmed(now) && now.Sub(c.storeFailedAt) >= storeSettleTime && c.meanCapacity.MilliCPU > 0 && !c.machinesListedAt.IsZero()
}

// overloadedQueues returns the queues of which jobs could be refused, those with the longest waits first.
func (c *session) overloadedQueues(now time.Time) []admission.Queue {
	var out []admission.Queue
	for _, name := range slices.Sorted(maps.Keys(c.config.Pools)) {
		p := c.pools[name]
		if p == nil || c.config.Pools[name].Headroom || c.hasUnansweredWorkers(name) {
			continue
		}
		room, free := c.roomOf(p, now)
		if p.load.waitingWork < minOverload*room.Now || free > maxFreeShare {
			continue
		}
		out = append(out, c.overloadedIn(p, room, now)...)
	}
	slices.SortStableFunc(out, func(a, b admission.Queue) int { return cmp.Compare(slices.Max(b.Waits), slices.Max(a.Waits)) })
	return out[:min(len(out), admission.MaxQueues)]
}

// overloadedIn returns the overloaded queues of a pool.
func (c *session) overloadedIn(p *poolRow, room admission.Room, now time.Time) []admission.Queue {
	groups := c.rankedGroups(p, now)
	if c.fittingShare(p, groups, now) > maxFittingShare {
		return nil
	}
	standing := place.StandingOf(groups, place.Shares{Draft: c.draft(), Total: c.totalCapacity()})
	later := c.laterWork(p, standing, now)
	var out []admission.Queue
	for _, name := range slices.Sorted(maps.Keys(c.config.Queues)) {
		q := c.config.Queues[name]
		l := c.statsByQueue[name]
		if q.Pool != p.name || l == nil || l.runs < minLearnedRuns || l.work <= 0 {
			continue
		}
		x := freshJobs{queue: q, meanWork: l.work, standing: standing, backlog: c.backlog(p, q.Priority, groups, later, now)}
		x.backlog.Room = room
		row, ok := x.published(l.runTimes())
		c.setGrowth(&row, now)
		if ok {
			out = append(out, row)
		}
	}
	return out
}

// setGrowth sets the growth of the queue's waits since they were last computed.
func (c *session) setGrowth(q *admission.Queue, now time.Time) {
	before := c.waits[q.Name]
	elapsed := now.Sub(before.at)
	if elapsed > maxGrowthAge {
		before.waits = nil
	}
	q.SetGrowth(before.waits, elapsed)
	if c.waits == nil {
		c.waits = make(map[string]computedWaits)
	}
	c.waits[q.Name] = computedWaits{at: now, waits: q.Waits}
}

// rankedGroups returns the groups of the pool that compete for any of its capacity.
func (c *session) rankedGroups(p *poolRow, now time.Time) []*place.Group {
	groups := make([]*place.Group, 0, len(p.open))
	for _, g := range p.open {
		step := &g.Job.Spec.Steps[g.Step]
		if g.Lasting || g.OverRate || g.Capped || step.Gang || step.Label != "" || step.PerWorker > 0 || g.Tickets != nil || c.jobIsAside(g.Job) || len(g.Tasks) == 0 {
			continue // it waits for something else than capacity, or gets only what is left
		}
		if now.Sub(g.RankedAt) > outlookTTL {
			g.RankedAt = now
			c.updateOutlook(g, now)
		}
		groups = append(groups, g)
	}
	return groups
}

// fittingShare returns the share of the pool's usable workers on which a task of the mean need of those that wait would fit.
func (c *session) fittingShare(p *poolRow, groups []*place.Group, now time.Time) float64 {
	var sum job.Need
	tasks := 0
	for _, g := range groups {
		sum = sum.Plus(place.Charge(&g.Job.Spec.Steps[g.Step]).Times(len(g.Tasks)))
		tasks += len(g.Tasks)
	}
	fitting, usable := 0.0, 0.0
	for _, w := range c.workers {
		if w.Pool != p.name || !w.usable(now) {
			continue
		}
		usable++
		if free := w.candidate.Free; tasks > 0 && free.MilliCPU*tasks >= sum.MilliCPU && free.MemoryMB*tasks >= sum.MemoryMB {
			fitting++
		}
	}
	return fitting / max(usable, 1)
}

// backlog returns the work that may go before a fresh job with the priority.
func (c *session) backlog(p *poolRow, priority int, groups []*place.Group, later []laterWork, now time.Time) admission.Backlog {
	b := admission.Backlog{Before: c.runningWork(p, now)}
	add := func(of int, w admission.Work) {
		switch {
		case of < priority:
			b.Before += w.Seconds
		case of == priority:
			b.Waiting = append(b.Waiting, w)
		}
	}
	for _, g := range groups {
		if !g.Timely() {
			continue
		}
		step := &g.Job.Spec.Steps[g.Step]
		work := float64(countReady(g.Tasks)) * instanceShare(place.Charge(step), c.meanCapacity) * c.estimateRunTime(step, g.Job.Spec.Queue).Seconds()
		add(g.Priority, admission.Work{Rank: g.Expected * g.ShareFactor(), Seconds: work, Until: g.LatestStart()})
	}
	for _, x := range later {
		add(x.priority, x.Work)
	}
	b.Sort()
	return b
}

func countReady(tasks []*job.Task) int {
	n := 0
	for _, t := range tasks {
		if startable(t) && !t.BackingOff && !t.Suspect {
			n++
		}
	}
	return n
}

// runningWork returns the work, in instance-seconds, that the runs of the pool still have ahead, without lasting tasks.
func (c *session) runningWork(p *poolRow, now time.Time) float64 {
	sum := 0.0
	for _, w := range c.workers {
		if w.Pool != p.name || !w.usable(now) {
			continue
		}
		for t := range w.runs {
			if s := t.Spec(); !s.Lasting {
				left := c.estimateRunTime(s, t.Job.Spec.Queue) - now.Sub(t.RunSince)
				sum += max(left, 0).Seconds() * instanceShare(place.Charge(s), c.meanCapacity)
			}
		}
	}
	return sum
}

// laterWork is the work of the later steps of a job.
type laterWork struct {
	admission.Work
	priority int
}

// laterWork returns the work of the later steps of the jobs that run or wait in the pool and can still be in time.
func (c *session) laterWork(p *poolRow, standing place.Standing, now time.Time) []laterWork {
	jobs := make(map[*job.Job]bool)
	for _, g := range p.open {
		jobs[g.Job] = true
	}
	for _, w := range c.workers {
		if w.Pool != p.name {
			continue
		}
		for t := range w.runs {
			jobs[t.Job] = true
		}
	}
	var out []laterWork
	for j := range jobs {
		if len(j.Spec.Steps) == 1 || j.Spec.Times > 0 || j.OverRate || j.State.Ended() {
			continue
		}
		work := 0.0
		for i := range j.Spec.Steps {
			s := &j.Spec.Steps[i]
			if n := j.StepUnfinished(0, i); n > 0 && !s.Lasting && !j.StepOpen(0, i, wallClock()) {
				work += float64(n) * c.estimateRunTime(s, j.Spec.Queue).Seconds() * instanceShare(place.Charge(s), c.meanCapacity)
			}
		}
		if o := c.estimate(j, 0, now).At(now); work > 0 && o.Timely() {
			f := standing.Factor(j.Spec.Organisation, o.Expected)
			out = append(out, laterWork{Work: admission.Work{Rank: o.Expected * f, Seconds: work, Until: o.LatestStart()}, priority: c.queue(j).Priority})
		}
	}
	return out
}

// roomOf returns the capacity that the pool has and may still get, and the share of it that is free.
//
// Everything that may serve the pool counts: instances that are moving to it, down, or not in contact, those of the headroom, and those
// that other pools have beyond their work.
func (c *session) roomOf(p *poolRow, now time.Time) (room admission.Room, free float64) {
	usable, used := 0.0, 0.0
	for _, w := range c.workers {
		if w.Pool == p.name && w.usable(now) {
			usable += instanceShare(w.Capacity, c.meanCapacity)
			used += instanceShare(w.Capacity.Minus(w.candidate.Free), c.meanCapacity)
		}
	}
	own, others := 0.0, make(map[string]float64)
	for name, m := range c.machines {
		in := m.Pool
		if s := c.moves[name]; s != nil {
			in = s.to
		}
		switch {
		case c.drains[m.DataCentre] != nil:
		case in == p.name:
			own++
		default:
			others[in]++
		}
	}
	room = admission.Room{Now: max(max(own, usable)-p.load.lasting, 0), Delay: c.Bounds().Move + moveOverhead}
	for name, n := range others {
		if x := c.pools[name]; x != nil && !c.config.Pools[name].Headroom {
			n -= x.load.lasting + x.load.running
		}
		room.Later += max(n, 0)
	}
	if usable > 0 {
		free = 1 - used/usable
	}
	return room, free
}

// reportOverload logs the queues of which jobs begin or cease to be refused, and sets the gauges of their waits.
func (c *session) reportOverload(n *admission.Notice, now time.Time) {
	for i := range n.Queues {
		q := &n.Queues[i]
		wait := slices.Max(q.Waits).Duration()
		c.counts.overloadWait(q.Name, wait)
		if o := c.overloaded[q.Name]; o != nil {
			o.last = now
			continue
		}
		if c.overloaded == nil {
			c.overloaded = make(map[string]*overloadPeriod)
		}
		c.overloaded[q.Name] = &overloadPeriod{since: now, last: now}
		p := c.pool(c.config.Queues[q.Name].Pool)
		room, _ := c.roomOf(p, now)
		c.emit(event.OverloadBegun, event.Subject{Entry: c.Entry}, "queue=%s wait=%v waits_ms=%v organisations=%d pool=%s room=%.0f later=%.0f waiting=%.0f", q.Name, wait, q.Waits, len(q.Organisations), p.name, room.Now, room.Later, p.load.waitingWork)
	}
	for name, o := range c.overloaded {
		if now.Sub(o.last) < overloadEndDelay {
			continue
		}
		delete(c.overloaded, name)
		c.counts.overloadWait(name, 0)
		c.emit(event.OverloadEnded, event.Subject{Entry: c.Entry}, "queue=%s after=%v", name, o.last.Sub(o.since).Round(time.Millisecond))
	}
}
