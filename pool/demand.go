// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
	"rackstep.dev/upkeep"
)

// Figures of the pools' sizes; the rounds that chose them are in docs/design/pools.md.
const (
	// keepFor is how long a pool keeps what it lately needed from other pools that need it.
	keepFor = 500 * time.Millisecond
	// idleFor is how long an instance is not needed before it is parked: the next pool may need it soon.
	idleFor = 2 * time.Second
	// unknownFor is how long instances of a pool that had no load yet are not parked.
	unknownFor = 30 * time.Second
	// unknownMargin is how many times what the other pools' turns used a pool keeps whose turn is not known, turnsDiffer what a pool keeps beyond
	// what its last turn used.
	unknownMargin = 1.5
	turnsDiffer   = 0.15
	// spareShare is what a pool keeps beyond its need, since tasks do not pack without gaps.
	spareShare = 0.08
	// spareInstances is the least that a pool keeps idle for what comes next.
	spareInstances = 1
	// rateOver is the time over which the work handed in is summed up: a pool must grow before its backlog has.
	rateOver = time.Second
	// rateLeast bounds the time to which a few jobs in a row are related.
	rateLeast = 250 * time.Millisecond
	// arrives is how long a move takes beyond the platform's time for it, until the first start.
	arrives = 150 * time.Millisecond
	// clearIn is the time in which a backlog is to be worked off once the instances have arrived.
	clearIn = time.Second
	// suspectsIn is the time in which waiting suspects are to be tried.
	suspectsIn = 2 * time.Second
	// leftOfRuns is the part of their time that runs still have before them, on the average.
	leftOfRuns = 0.5
	// firstRun is how long runs are taken to be before any has ended, in seconds.
	firstRun = 1.0
	// soonShare is the part of an expected turn's need that is got ready before it: the rest comes in time by itself.
	soonShare = 0.75
)

// need is a pool's need at one time, in instances.
type need struct {
	at        time.Time
	instances float64
}

// handed is work that was handed in at one time, in instance-seconds.
type handed struct {
	at   time.Time
	work float64
}

// load is what a pool's workers do, in instances.
type load struct {
	// lasting is held by tasks that last, running by others.
	lasting, running float64
	// waitingWork is what tasks bring that wait, in instance-seconds, waitingRoom what they take if all of them run at once.
	waitingWork, waitingRoom float64
	// suspects are the waiting tasks that may end their worker's life, which are tried apart.
	suspects int
	// able is for how long its instances will serve it, together, in the time that a move takes, in instance-seconds.
	able float64
}

// share returns which part of an instance a task takes.
func share(n, whole job.Need) float64 {
	if whole.MilliCPU == 0 || whole.MemoryMB == 0 {
		return 0
	}
	return max(float64(n.MilliCPU)/float64(whole.MilliCPU), float64(n.MemoryMB)/float64(whole.MemoryMB))
}

// wholeInstance returns the mean room of an instance.
func (c *session) wholeInstance() job.Need {
	var sum job.Need
	n := 0
	for _, w := range c.workers {
		if w.Capacity.MilliCPU > 0 {
			sum.MilliCPU += w.Capacity.MilliCPU
			sum.MemoryMB += w.Capacity.MemoryMB
			n++
		}
	}
	if n == 0 {
		return sum
	}
	return job.Need{MilliCPU: sum.MilliCPU / n, MemoryMB: sum.MemoryMB / n}
}

// countLoads works out what each pool's workers do and what waits for them.
func (c *session) countLoads() {
	whole := c.wholeInstance()
	c.whole = whole
	for _, p := range c.pools {
		p.load = load{}
	}
	for _, w := range c.workers {
		p := c.pool(w.Pool)
		used := job.Need{MilliCPU: w.Capacity.MilliCPU - w.room.Free.MilliCPU, MemoryMB: w.Capacity.MemoryMB - w.room.Free.MemoryMB}
		var lasting job.Need
		if w.room.Serving+w.room.Filling > 0 {
			lasting = lastingOn(w)
		}
		p.load.lasting += share(lasting, whole)
		used.MilliCPU -= lasting.MilliCPU
		used.MemoryMB -= lasting.MemoryMB
		p.load.running += share(used, whole)
	}
	for _, p := range c.pools {
		c.countWaiting(p, whole)
	}
}

func lastingOn(w *worker) job.Need {
	var sum job.Need
	for t := range w.runs {
		if t.Spec().Lasting {
			n := place.Charge(t.Spec())
			sum.MilliCPU += n.MilliCPU
			sum.MemoryMB += n.MemoryMB
		}
	}
	return sum
}

func (c *session) countWaiting(p *poolRow, whole job.Need) {
	blocked := c.blocked(p.name)
	for _, g := range p.open {
		if blocked && c.restored[g.Job.Spec.ID] {
			continue // its instances would stand idle
		}
		if g.Capped || g.OverRate {
			continue // no instance would help the one, and nobody owes the other one
		}
		step := &g.Job.Spec.Steps[g.Step]
		each := share(place.Charge(step), whole)
		n := 0
		for _, t := range g.Tasks {
			switch {
			case !startable(t):
			case t.Suspect && !step.Gang:
				p.load.suspects++
			default:
				n++
			}
		}
		if step.Lasting {
			p.load.lasting += float64(n) * each
			continue
		}
		p.load.waitingRoom += float64(n) * each
		p.load.waitingWork += float64(n) * each * c.runTime(step, g.Job.Spec.Queue).Seconds()
	}
}

// rate returns the instance-seconds handed in to the pool in a second, of late.
//
// It is the mean over rateOver, or the mean over a shorter time if that is surely more: jobs differ, so that a few large
// ones that come together mean little.
func (p *poolRow) rate(now time.Time) float64 {
	for len(p.handed) > 0 && now.Sub(p.handed[0].at) > rateOver {
		p.handed = p.handed[1:]
	}
	sum, squares, most := 0.0, 0.0, 0.0
	for i := len(p.handed) - 1; i >= 0; i-- {
		w := p.handed[i].work
		sum += w
		squares += w * w
		if sum == 0 {
			continue
		}
		span := max(now.Sub(p.handed[i].at), rateLeast)
		spread := math.Sqrt(squares) / sum // of the sum, relative to it
		most = max(most, sum/span.Seconds()*(1-spread))
	}
	return max(most, sum/rateOver.Seconds())
}

// demand returns how many instances the pool needs by the time that a move begun now has brought one.
//
// What runs and waits now is worked off meanwhile as far as the pool's instances reach; what is left then, and what
// comes in as it does now, is what more instances are for. It is never more than the tasks could use that run, wait and come
// until then: no instance runs a part of a task.
func (c *session) demand(p *poolRow, now time.Time) float64 {
	l := &p.load
	ahead := (c.Bounds().Move + arrives).Seconds()
	rate := p.rate(now)
	work := l.running*p.meanRun()*leftOfRuns + l.waitingWork + rate*ahead
	left := work - max(l.able-l.lasting*ahead, 0)
	usable := l.running + l.waitingRoom + rate*max(1, ahead/p.meanRun())
	return l.lasting + l.apart() + min(rate+max(left, 0)/clearIn.Seconds(), usable)
}

// apart returns how many instances the suspects need: one for each trial, and those beside it on which no other may be tried at the same time. Their own work asks
// for next to nothing, and a pool that is sized by it alone tries them one by one.
func (l *load) apart() float64 {
	trials := float64(l.suspects) * trialLeast.Seconds() / suspectsIn.Seconds()
	return min(trials, float64(l.suspects)) / trialShare
}

// able returns how long of the time that a move takes an instance serves its pool.
func (c *session) able(machine string, now time.Time) float64 {
	ahead := c.Bounds().Move + arrives
	s := c.moves[machine]
	switch {
	case s == nil:
		return ahead.Seconds()
	case s.moved:
		return min(now.Sub(s.since), ahead).Seconds()
	}
	return 0
}

// wants sets what the pool wants now, and what it keeps because it lately needed it.
func (c *session) wants(row *upkeep.Pool, now time.Time) {
	p := c.pool(row.Name)
	instances := c.demand(p, now)
	c.turns.Observe(p.name, upkeep.Load{Need: instances - p.load.lasting, Used: p.load.running, Have: row.Have}, now)
	p.needs = append(p.needs, need{at: now, instances: max(instances, p.load.lasting+p.load.running)})
	for len(p.needs) > 0 && now.Sub(p.needs[0].at) > idleFor {
		p.needs = p.needs[1:]
	}
	lately, most := 0.0, 0.0
	for _, n := range p.needs {
		most = max(most, n.instances)
		if now.Sub(n.at) <= keepFor {
			lately = max(lately, n.instances)
		}
	}
	row.Want = instances*(1+spareShare) + spareInstances
	row.Min = lately*(1+spareShare) + spareInstances
	row.LongTermNeed = most*(1+spareShare) + spareInstances
	if c.turns.DemandUnknown(p.name) && now.Sub(c.began) < unknownFor {
		row.LongTermNeed = float64(row.Have)
	}
}

// keepTurns has each pool keep what its turn has at work, and no more, if there are instances for the turns of all pools at once: then no turn has to
// wait for instances of another pool, and they need not go round. A pool whose turn is not known yet keeps unknownMargin times what others used. With
// fewer instances they go round as the turns do, which wants and expect decide.
func (c *session) keepTurns(rows map[string]*upkeep.Pool, now time.Time) {
	keep := make(map[string]float64, len(rows))
	needed, have := 0.0, 0
	for name, row := range rows {
		have += row.Have
		if row.Headroom {
			continue
		}
		need, used, known := c.turns.FullDemand(name, now)
		if need == 0 && !known {
			if !c.turns.Active(name) {
				return
			}
			needed += max(float64(row.Have), row.Want) // it is at the first turn of all, and keeps what it has
			continue
		}
		if !known {
			used *= unknownMargin
		}
		lasting := c.pool(name).load.lasting
		needed += (lasting+need)*(1+spareShare) + spareInstances
		keep[name] = (lasting+used*(1+turnsDiffer))*(1+spareShare) + spareInstances
	}
	if needed > float64(have) {
		return
	}
	for name, n := range keep {
		row := rows[name]
		if c.turns.DemandUnknown(name) {
			row.LongTermNeed = 0 // not all that it has
		}
		row.LongTermNeed = max(row.LongTermNeed, n)
	}
}

// expect sets what pools will want whose turn is about to come.
func (c *session) expect(rows map[string]*upkeep.Pool, now time.Time) {
	for _, e := range c.turns.Next(c.Bounds().Move+2*arrives, now) {
		if row := rows[e.Pool]; row != nil {
			row.SoonNeed = c.pool(e.Pool).load.lasting + soonShare*e.Need
		}
	}
}

// meanRun returns how long the pool's tasks run, in seconds.
func (p *poolRow) meanRun() float64 {
	if p.ran == 0 {
		return firstRun
	}
	return p.ran
}

// stuckAfter is how long a step's tasks wait before more of the instances that it may use are asked for.
const stuckAfter = 250 * time.Millisecond

// lack sets how many instances each pool lacks for steps that may not use any instance with room: those that need a
// label, and those of whose tasks a worker may run a few only.
func (c *session) lack(rows map[string]*upkeep.Pool, instances []upkeep.Instance, now time.Time) {
	for name, row := range rows {
		lacks := c.lacks(c.pool(name), now)
		if len(lacks) == 0 {
			continue
		}
		for _, x := range instances {
			if x.Pool != name || c.moves[x.Name] == nil {
				continue
			}
			lacks[upkeep.AnyLabel]-- // it is on its way
			for _, l := range x.Labels {
				lacks[l]--
			}
		}
		row.Missing = lacks
	}
}

// lacks returns, by label, how many more instances the pool's steps wait for that may not use any with room.
func (c *session) lacks(p *poolRow, now time.Time) map[string]int {
	lacks := make(map[string]int)
	blocked := c.blocked(p.name)
	for _, g := range p.open {
		step := &g.Job.Spec.Steps[g.Step]
		if (step.Label == "" && step.PerWorker == 0) || now.Sub(g.ReadySince) < stuckAfter || g.Capped || g.OverRate || (blocked && c.restored[g.Job.Spec.ID]) {
			continue
		}
		c.countGroup(g, step)
		n := len(g.Tasks)
		for _, w := range c.workers {
			if w.Pool == p.name && w.usable(now) {
				n -= g.Fits(&w.room)
			}
		}
		if n <= 0 {
			continue
		}
		lacks[step.Label] = max(lacks[step.Label], g.Instances(n, c.whole))
	}
	c.countCaptive(p, lacks, now)
	return lacks
}

// countCaptive adds an instance for each worker whose lasting tasks can't leave for its upkeep, or a drained data centre, for want of a place.
func (c *session) countCaptive(p *poolRow, lacks map[string]int, now time.Time) {
	for _, w := range c.workers {
		if w.Pool != p.name || !(w.out || w.drained) || w.room.Serving+w.room.Filling == 0 {
			continue
		}
		for t := range w.runs {
			if t.Spec().Lasting && !t.Stopping && !c.hasPlace(t, now) {
				lacks[t.Spec().Label] = max(lacks[t.Spec().Label], 1)
				break
			}
		}
	}
}
