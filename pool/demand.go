// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/maintenance"
	"rackstep.dev/place"
)

// Parameters of pool sizing. The trials behind the values are recorded in docs/design/pools.md.
const (
	// recentNeedWindow is the period whose peak need a pool may keep even if other pools need instances.
	recentNeedWindow = 500 * time.Millisecond
	// parkAfter is how long an instance must have been unneeded before it is parked: the next pool may need it soon.
	parkAfter = 2 * time.Second
	// unknownLoadGrace is the time after a leader's start during which pools whose load is not known yet keep their instances.
	unknownLoadGrace = 30 * time.Second
	// unknownMargin and burstMargin size the reserve of a pool for its next burst. A pool whose bursts are not known keeps
	// unknownMargin times the mean usage of the other pools; burstMargin is added to the usage of the last burst.
	unknownMargin = 1.5
	burstMargin   = 0.15
	// spareShare is added to the need of a pool, because tasks do not fill instances completely.
	spareShare = 0.08
	// spareInstances is the minimum number of instances a pool keeps idle for work to come.
	spareInstances = 1
	// rateWindow is the period over which the rate of submitted work is measured: a pool has to grow before its backlog does.
	rateWindow = time.Second
	// minRateWindow is the minimum period used to compute the rate of a few jobs in a row.
	minRateWindow = 250 * time.Millisecond
	// moveOverhead is the time from the end of a move, as stated by the platform, until the first start on the instance.
	moveOverhead = 150 * time.Millisecond
	// backlogClearTime is the time within which a backlog should be processed once the instances have arrived.
	backlogClearTime = time.Second
	// suspectTrialTime is the time within which waiting suspects should have been tried.
	suspectTrialTime = 2 * time.Second
	// meanRemainingShare is the mean share of its run time that an active run still has ahead.
	meanRemainingShare = 0.5
	// defaultRunSeconds is the run time assumed before any run has ended.
	defaultRunSeconds = 1.0
	// preparedShare is the share of the need of an expected burst that is prepared in advance. The rest arrives in time without preparation.
	preparedShare = 0.75
)

// needSample is the number of instances that a pool needed at a point in time.
type needSample struct {
	at        time.Time
	instances float64
}

// submission is work that was submitted at a point in time, in instance-seconds.
type submission struct {
	at   time.Time
	work float64
}

// load describes the work of a pool, in units of instances.
type load struct {
	// lasting is the capacity used by lasting tasks, running the capacity used by all other tasks.
	lasting, running float64
	// waitingWork is the work of the waiting tasks in instance-seconds. waitingCapacity is the capacity that they would use if all of them ran at
	// once.
	waitingWork, waitingCapacity float64
	// suspects is the number of waiting tasks that may have crashed their worker and are therefore tried in isolation.
	suspects int
	// unplaced holds the incarnations of the idle workers on which tasks could start that placement has not looked at yet.
	unplaced map[string]bool
	// availableSeconds is the total time for which the pool's instances will serve it during the duration of a move, in instance-seconds.
	availableSeconds float64
}

// instanceShare returns the share of an instance that a task uses.
func instanceShare(need, instance job.Need) float64 {
	if instance.MilliCPU == 0 || instance.MemoryMB == 0 {
		return 0
	}
	return max(float64(need.MilliCPU)/float64(instance.MilliCPU), float64(need.MemoryMB)/float64(instance.MemoryMB))
}

// meanInstance returns the mean capacity of an instance.
func (c *session) meanInstance() job.Need {
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

// countLoads recomputes the load of each pool from its workers and its waiting tasks.
func (c *session) countLoads() {
	instance := c.meanInstance()
	c.meanCapacity = instance
	for _, p := range c.pools {
		p.load = load{}
	}
	for _, w := range c.workers {
		p := c.pool(w.Pool)
		used := job.Need{MilliCPU: w.Capacity.MilliCPU - w.candidate.Free.MilliCPU, MemoryMB: w.Capacity.MemoryMB - w.candidate.Free.MemoryMB}
		lasting := w.candidate.HeldByLasting
		p.load.lasting += instanceShare(lasting, instance)
		used.MilliCPU -= lasting.MilliCPU
		used.MemoryMB -= lasting.MemoryMB
		p.load.running += instanceShare(used, instance)
	}
	for _, p := range c.pools {
		c.countWaiting(p, instance)
	}
}

func (c *session) countWaiting(p *poolRow, instance job.Need) {
	limits := c.limitsOf(p.name, c.now())
	for _, g := range p.open {
		if !usesInstances(g, limits) {
			continue
		}
		step := &g.Job.Spec.Steps[g.Step]
		each := instanceShare(place.Charge(step), instance)
		n, suspects := waitingTasks(g, step)
		p.load.suspects += suspects
		if step.Lasting {
			p.load.lasting += float64(n) * each
			continue
		}
		p.load.waitingCapacity += float64(n) * each
		p.load.waitingWork += float64(n) * each * c.estimateRunTime(step, g.Job.Spec.Queue).Seconds()
	}
}

// usesInstances reports whether more instances would let tasks of the group start.
func usesInstances(g *place.Group, limits startLimits) bool {
	if limits.allWait(g) {
		return false // its tasks can't start yet, so that instances for them would be idle
	}
	return !g.Capped && !g.OverRate // more instances don't help a capped group, and a group over its rate limit is entitled to none
}

// waitingTasks returns the number of tasks of the group that may start, and the number of suspects among them, which are tried in isolation.
func waitingTasks(g *place.Group, step *job.Step) (waiting, suspects int) {
	for _, t := range g.Tasks {
		switch {
		case !startable(t):
		case t.Suspect && !step.Gang:
			suspects++
		default:
			waiting++
		}
	}
	return waiting, suspects
}

// rate returns the work recently submitted to the pool, in instance-seconds per second.
//
// It is the mean over rateWindow, or the mean over a shorter period if that is significantly higher. Job sizes vary, so a few large jobs that arrive
// together are weak evidence of a higher rate.
func (p *poolRow) rate(now time.Time) float64 {
	for len(p.recentWork) > 0 && now.Sub(p.recentWork[0].at) > rateWindow {
		p.recentWork = p.recentWork[1:]
	}
	sum, squares, highest := 0.0, 0.0, 0.0
	for i := len(p.recentWork) - 1; i >= 0; i-- {
		w := p.recentWork[i].work
		sum += w
		squares += w * w
		if sum == 0 {
			continue
		}
		span := max(now.Sub(p.recentWork[i].at), minRateWindow)
		relativeError := math.Sqrt(squares) / sum // relative standard error of the sum
		highest = max(highest, sum/span.Seconds()*(1-relativeError))
	}
	return max(highest, sum/rateWindow.Seconds())
}

// demand returns the number of instances the pool needs at the time when a move started now would deliver one.
//
// Until then, the existing instances process active and waiting work as far as their capacity allows. Additional instances are needed for the
// remaining work and for new work at the current rate. The result never exceeds the capacity that the active, waiting and expected tasks can use,
// because a task can't be split over instances.
func (c *session) demand(p *poolRow, now time.Time) float64 {
	l := &p.load
	horizon := (c.Bounds().Move + moveOverhead).Seconds()
	rate := p.rate(now)
	expectedWork := l.running*p.expectedRunSeconds()*meanRemainingShare + l.waitingWork + rate*horizon
	remaining := expectedWork - max(l.availableSeconds-l.lasting*horizon, 0)
	usableInstances := l.running + l.waitingCapacity + rate*max(1, horizon/p.expectedRunSeconds())
	return l.lasting + l.trialInstances() + min(rate+max(remaining, 0)/backlogClearTime.Seconds(), usableInstances)
}

// trialInstances returns the number of instances needed to try the suspects: one for each trial, and the workers beside it on which no other suspect
// may be tried at the same time. The suspects' own work is negligible, so a pool sized by their work alone would try them one by one.
func (l *load) trialInstances() float64 {
	trials := float64(l.suspects) * trialMin.Seconds() / suspectTrialTime.Seconds()
	return min(trials, float64(l.suspects)) / trialShare
}

// availableSeconds returns for how long an instance serves its pool within the duration of a move: all of it, the time since its own move ended, or
// none while its move has not completed.
func (c *session) availableSeconds(machine string, now time.Time) float64 {
	horizon := c.Bounds().Move + moveOverhead
	move := c.moves[machine]
	switch {
	case move == nil:
		return horizon.Seconds()
	case move.moved:
		return min(now.Sub(move.since), horizon).Seconds()
	}
	return 0
}

// setTargets sets the number of instances that the pool wants now, and the numbers that it keeps because of its recent need.
func (c *session) setTargets(row *maintenance.Pool, now time.Time) {
	p := c.pool(row.Name)
	instances := c.demand(p, now)
	c.bursts.Observe(p.name, maintenance.Load{Need: instances - p.load.lasting, Used: p.load.running, Have: row.Have}, now)
	p.recentNeeds = append(p.recentNeeds, needSample{at: now, instances: max(instances, p.load.lasting+p.load.running+float64(len(p.load.unplaced)))})
	for len(p.recentNeeds) > 0 && now.Sub(p.recentNeeds[0].at) > parkAfter {
		p.recentNeeds = p.recentNeeds[1:]
	}
	recent, peak := 0.0, 0.0
	for _, n := range p.recentNeeds {
		peak = max(peak, n.instances)
		if now.Sub(n.at) <= recentNeedWindow {
			recent = max(recent, n.instances)
		}
	}
	row.Want = instances*(1+spareShare) + spareInstances
	row.Min = recent*(1+spareShare) + spareInstances
	row.LongTermNeed = peak*(1+spareShare) + spareInstances
	if c.bursts.DemandUnknown(p.name) && now.Sub(c.startedAt) < unknownLoadGrace {
		row.LongTermNeed = float64(row.Have)
	}
}

// retainForBursts lets each pool keep the instances that its last burst used, if there are enough instances for the bursts of all
// pools at once. Then no pool has to wait for instances of another one, and instances need not move with the load. A pool whose bursts are not
// known yet keeps unknownMargin times the mean usage of the others.
//
// With fewer instances this function changes nothing, and setTargets and setExpected move the instances with the load.
func (c *session) retainForBursts(rows map[string]*maintenance.Pool, now time.Time) {
	keep := make(map[string]float64, len(rows))
	needed, have := 0.0, 0
	for name, row := range rows {
		have += row.Have
		if row.Headroom {
			continue
		}
		need, used, known := c.bursts.FullDemand(name, now)
		if need == 0 && !known {
			if !c.bursts.Active(name) {
				return
			}
			needed += max(float64(row.Have), row.Want) // no pool has completed a burst yet, so the pool keeps what it has
			continue
		}
		if !known {
			used *= unknownMargin
		}
		lasting := c.pool(name).load.lasting
		needed += (lasting+need)*(1+spareShare) + spareInstances
		keep[name] = (lasting+used*(1+burstMargin))*(1+spareShare) + spareInstances
	}
	if needed > float64(have) {
		return
	}
	for name, n := range keep {
		row := rows[name]
		if c.bursts.DemandUnknown(name) {
			row.LongTermNeed = 0 // replaces the default of keeping all its instances
		}
		row.LongTermNeed = max(row.LongTermNeed, n)
	}
}

// setExpected sets the future need of the pools that are expected to become busy next.
func (c *session) setExpected(rows map[string]*maintenance.Pool, now time.Time) {
	for _, e := range c.bursts.Next(c.Bounds().Move+2*moveOverhead, now) {
		if row := rows[e.Pool]; row != nil {
			row.SoonNeed = c.pool(e.Pool).load.lasting + preparedShare*e.Need
		}
	}
}

// expectedRunSeconds returns the mean run time of the pool's tasks, in seconds.
func (p *poolRow) expectedRunSeconds() float64 {
	if p.meanRunSeconds == 0 {
		return defaultRunSeconds
	}
	return p.meanRunSeconds
}

// stuckAfter is how long tasks of a step wait before the pool asks for more of the instances that may run them.
const stuckAfter = 250 * time.Millisecond

// setShortages sets how many instances each pool lacks for steps that can't use just any free capacity: steps that require a label, and steps with a
// limit on tasks per worker.
func (c *session) setShortages(rows map[string]*maintenance.Pool, instances []maintenance.Instance, now time.Time) {
	for name, row := range rows {
		lacks := c.shortages(c.pool(name), now)
		if len(lacks) == 0 {
			continue
		}
		for _, x := range instances {
			if x.Pool != name || c.moves[x.Name] == nil {
				continue
			}
			lacks[maintenance.AnyLabel]-- // counts as available: it is moving to the pool
			for _, l := range x.Labels {
				lacks[l]--
			}
		}
		row.Missing = lacks
	}
}

// shortages returns by label how many more instances the pool needs for waiting steps that can't use just any free capacity.
func (c *session) shortages(p *poolRow, now time.Time) map[string]int {
	lacks := make(map[string]int)
	limits := c.limitsOf(p.name, c.now())
	for _, g := range p.open {
		step := &g.Job.Spec.Steps[g.Step]
		if !needsCertainInstances(step) || now.Sub(g.ReadySince) < stuckAfter || !usesInstances(g, limits) {
			continue
		}
		c.countPlacedTasks(g, step)
		unplaced := len(g.Tasks)
		for _, w := range c.workers {
			if w.Pool == p.name && w.usable(now) {
				unplaced -= g.Fits(&w.candidate)
			}
		}
		if unplaced <= 0 {
			continue
		}
		lacks[step.Label] = max(lacks[step.Label], g.Instances(unplaced, c.meanCapacity))
	}
	c.countStranded(p, lacks, now)
	return lacks
}

// countStranded requests at least one instance with the required label if a worker that must be emptied, for maintenance, a move or a drain, has a
// lasting task that fits on no other worker.
func (c *session) countStranded(p *poolRow, lacks map[string]int, now time.Time) {
	for _, w := range c.workers {
		if w.Pool != p.name || !w.hasLasting() || !(w.beingEmptied || w.drained || c.hasStalled(w.Machine)) {
			continue
		}
		for t := range w.runs {
			if t.Spec().Lasting && !t.Stopping && !c.fitsElsewhere(t, now) {
				lacks[t.Spec().Label] = max(lacks[t.Spec().Label], 1)
				break
			}
		}
	}
}
