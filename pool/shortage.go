// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/maintenance"
	"rackstep.dev/place"
)

// Parameters of the allocation during a shortage.
const (
	// shortageMargin is the fraction by which the wants must exceed the number of instances. Wants are estimates that vary from one pass to the next.
	shortageMargin = 0.05
	// shortageGrace is how long they must do so before instances are shifted: most excesses are over when the first instances arrive.
	shortageGrace = 300 * time.Millisecond
	// payOffFactor is the time within which a shift must pay, as a multiple of the duration of a move. Load is not predictable for much longer.
	payOffFactor = 2
	// newLeaderTime is how long a leader is new, so that a shortage needs no grace: pools with an old backlog may ask for instances before those with new
	// jobs. A new leader knows little of the rate at which work is submitted.
	newLeaderTime = 2 * rateWindow
	// maxDensity bounds the value of a core-second of a job that is almost done.
	maxDensity = 4
)

// poolPair is the pools that instances leave and enter in a shift.
type poolPair struct{ from, to string }

// shortage is the state of the allocation while the pools together want more instances than there are.
type shortage struct {
	// since is when the shortage began, or zero if there is none. allotted is set once targets are limited.
	since    time.Time
	allotted bool
	// shifts holds the shifts since loggedAt. Their Instances counts only those that have moved.
	shifts   map[poolPair]maintenance.Shift
	loggedAt time.Time
}

// allotShortage limits the targets of the pools to what each is to have, if they have wanted more than there is for longer than shortageGrace.
func (c *session) allotShortage(pools []maintenance.Pool, instances []maintenance.Instance, now time.Time) {
	if !maintenance.Short(pools, shortageMargin) {
		c.endShortage(now)
		return
	}
	if c.shortage.since.IsZero() {
		c.shortage.since = now
	}
	if now.Sub(c.shortage.since) < shortageGrace && now.Sub(c.tablesReadAt) >= newLeaderTime {
		return
	}
	terms := c.shiftTerms()
	claims := c.claims(pools, instances, terms, now)
	wanted := slices.Clone(pools)
	c.shortage.allotted = true
	c.noteShifts(maintenance.Allot(pools, claims, terms))
	c.logShortage(wanted, pools, claims, now)
}

// shiftTerms returns the terms on which instances move during a shortage.
func (c *session) shiftTerms() maintenance.ShiftTerms {
	delay := c.Bounds().Move + moveOverhead
	return maintenance.ShiftTerms{Delay: delay, PayOff: payOffFactor * delay}
}

// endShortage logs the end of a shortage.
func (c *session) endShortage(now time.Time) {
	if c.shortage.allotted {
		c.logShifts()
		c.emit(event.PoolShort, event.Subject{Entry: c.Entry}, "state=ended lasted=%v", now.Sub(c.shortage.since).Round(time.Millisecond))
	}
	c.shortage = shortage{}
}

// logShortage logs the pools' wants, and the shifts since the previous time, at most once per sizeLogInterval.
func (c *session) logShortage(wanted, granted []maintenance.Pool, claims map[string]*maintenance.Claim, now time.Time) {
	if now.Sub(c.shortage.loggedAt) < sizeLogInterval {
		return
	}
	c.shortage.loggedAt = now
	c.logShifts()
	for i := range wanted {
		w, g := &wanted[i], &granted[i]
		if w.Headroom {
			continue
		}
		claim := claims[w.Name]
		c.emit(event.PoolShort, event.Subject{Entry: c.Entry}, "state=short pool=%s wanted=%.0f granted=%.0f have=%d lasting=%.0f timely=%.0f movable=%d",
			w.Name, math.Ceil(max(w.Want, w.Min)), math.Ceil(max(g.Want, g.Min)), w.Have, claim.Lasting, claim.TimelyInstances(), claim.Movable)
	}
}

// logShifts logs and forgets the shifts since the previous time.
func (c *session) logShifts() {
	for _, x := range c.shortage.shifts {
		if x.Instances == 0 {
			continue
		}
		c.emit(event.InstancesShifted, event.Subject{Entry: c.Entry}, "from=%s to=%s instances=%d gain=%.2f loss=%.2f", x.From, x.To, x.Instances, x.Gain, x.Loss)
	}
	clear(c.shortage.shifts)
}

// noteShifts keeps what the latest allocation expects of each shift.
func (c *session) noteShifts(shifts []maintenance.Shift) {
	if c.shortage.shifts == nil && len(shifts) > 0 {
		c.shortage.shifts = make(map[poolPair]maintenance.Shift)
	}
	for _, x := range shifts {
		key := poolPair{x.From, x.To}
		x.Instances = c.shortage.shifts[key].Instances
		c.shortage.shifts[key] = x
	}
}

// countShift counts a move that the machine interface has carried out during a shortage.
func (c *session) countShift(from, to string) {
	if !c.shortage.allotted {
		return
	}
	c.counts.shifts.Inc(1)
	key := poolPair{from, to}
	if x, ok := c.shortage.shifts[key]; ok {
		x.Instances++
		c.shortage.shifts[key] = x
	}
}

// updatePoolGauges publishes what each pool wants, is granted and has, once per sizeLogInterval.
func (c *session) updatePoolGauges(wanted map[string]float64, pools []maintenance.Pool, now time.Time) {
	if now.Sub(c.poolGaugesAt) < sizeLogInterval {
		return
	}
	c.poolGaugesAt = now
	for i := range pools {
		p := &pools[i]
		c.counts.poolSize(p.Name, wanted[p.Name], math.Ceil(p.Want), p.Have)
	}
}

// claims returns what instances yield in each pool, and sets Fixed for the instances whose last move has not paid yet.
func (c *session) claims(pools []maintenance.Pool, instances []maintenance.Instance, terms maintenance.ShiftTerms, now time.Time) map[string]*maintenance.Claim {
	claims := make(map[string]*maintenance.Claim, len(pools))
	for i := range pools {
		claims[pools[i].Name] = new(maintenance.Claim)
		if !pools[i].Headroom {
			*claims[pools[i].Name] = c.claim(c.pool(pools[i].Name), terms, now)
		}
	}
	c.fixRecentlyMoved(pools, instances, terms.PayOff, now)
	for i := range instances {
		x := &instances[i]
		if claim := claims[x.Pool]; claim != nil && !x.Fixed && !x.Drained && x.Lasting == 0 {
			claim.Movable++
		}
	}
	return claims
}

// fixRecentlyMoved sets Fixed for the instances that have moved within payOff, except for idle ones that their pool does not need: their move can't pay any more.
func (c *session) fixRecentlyMoved(pools []maintenance.Pool, instances []maintenance.Instance, payOff time.Duration, now time.Time) {
	excess := excessInstances(pools)
	for i := range instances {
		x := &instances[i]
		switch {
		case now.Sub(c.movedAt[x.Name]) >= payOff || c.config.Pools[x.Pool].Headroom:
		case x.Runs == 0 && excess[x.Pool] > 0:
			excess[x.Pool]--
		default:
			x.Fixed = true
		}
	}
}

// excessInstances returns, by pool, the number of instances beyond what it wants and keeps.
func excessInstances(pools []maintenance.Pool) map[string]int {
	excess := make(map[string]int, len(pools))
	for i := range pools {
		p := &pools[i]
		excess[p.Name] = max(p.Have-int(math.Ceil(max(p.Want, p.Min))), 0)
	}
	return excess
}

// claim returns what instances yield in a pool.
func (c *session) claim(p *poolRow, terms maintenance.ShiftTerms, now time.Time) maintenance.Claim {
	claim := maintenance.Claim{
		Lasting: p.load.lasting + spareInstances, LateValue: place.LatePart,
		Emptying: time.Duration(meanRemainingShare * p.expectedRunSeconds() * float64(time.Second)),
	}
	split := splitWork{delay: terms.Delay}
	fresh := c.addWaiting(p, now, &split)
	c.addRunning(p, now, &split)
	steady := maintenance.Class{Instances: c.steadyInstances(p, fresh, now), For: terms.PayOff, Value: 1}
	for _, x := range [...]maintenance.Class{steady, split.urgent.class(), split.patient.class()} {
		if x.Instances > 0 {
			x.Instances *= 1 + spareShare
			claim.Timely = append(claim.Timely, x)
		}
	}
	return claim
}

// steadyInstances returns how many instances the work that is submitted to the pool occupies. fresh is the waiting work of jobs that came under this leader: a
// new leader measures too low a rate, because work that is submitted before the capacity of an instance is known does not count.
func (c *session) steadyInstances(p *poolRow, fresh float64, now time.Time) float64 {
	rate := p.rate(now)
	if led := now.Sub(c.tablesReadAt); led < newLeaderTime {
		rate = max(rate, fresh/max(led, minRateWindow).Seconds())
	}
	return rate + p.load.trialInstances()
}

// addWaiting adds the work of the tasks that wait, and returns the part of it that belongs to jobs that came under this leader, in instance-seconds.
func (c *session) addWaiting(p *poolRow, now time.Time, split *splitWork) (fresh float64) {
	limits := c.limitsOf(p.name, c.now())
	for _, g := range p.open {
		step := &g.Job.Spec.Steps[g.Step]
		if step.Lasting || !usesInstances(g, limits) {
			continue
		}
		n, _ := waitingTasks(g, step)
		took := c.estimateRunTime(step, g.Job.Spec.Queue)
		e := c.claimEstimate(g.Job, g.Time, now)
		inTime, wait := e.InTime(now)
		work := float64(n) * instanceShare(place.Charge(step), c.meanCapacity) * took.Seconds() * inTime
		if !c.inheritedJobs[g.Job.Spec.ID] {
			fresh += work
		}
		split.add(work, c.relativeDensity(e, g.Job.Spec.Queue), wait+took)
	}
	return fresh
}

// relativeDensity returns the value of a core-second of a job as a multiple of that of the queue's mean job.
func (c *session) relativeDensity(e place.Estimate, queue string) float64 {
	mean := c.statsOf(queue).work
	if mean == 0 {
		return 1 // not known yet
	}
	return min(e.Density*mean, maxDensity)
}

// claimEstimate returns the estimate of a job as claims use it. It counts inherited jobs from the time at which they were taken. estimate takes them for
// younger, because clocks differ, so that an old backlog would hold instances that new jobs of other pools need.
func (c *session) claimEstimate(j *job.Job, k int, now time.Time) place.Estimate {
	e := c.estimate(j, k, now)
	if c.inheritedJobs[j.Spec.ID] && j.Spec.Times == 0 && j.Spec.Taken != 0 {
		e.From = now.Add(-max(wallClock().Sub(j.Spec.Taken.Time()), 0))
	}
	return e
}

// startedInTime reports whether the job of a run could probably be in time when the run was started. The slack that runs of an earlier leader
// had then is not known, and the present one is used.
func (c *session) startedInTime(t *job.Task, r *run, now time.Time) bool {
	if !c.inheritedJobs[t.Job.Spec.ID] {
		return place.MayBeInTime(r.slack)
	}
	return place.MayBeInTime(c.claimEstimate(t.Job, t.Time, now).At(now).Slack)
}

// addRunning adds the work of the runs whose jobs could be in time when they were started. A run is counted in full although a part of it is done, because
// the later steps of its job follow.
func (c *session) addRunning(p *poolRow, now time.Time, split *splitWork) {
	for _, w := range c.workers {
		if w.Pool != p.name || w.drained {
			continue // what runs in a drained data centre ends there and needs no other instance
		}
		for t, r := range w.runs {
			step := t.Spec()
			if step.Lasting || t.Job.OverRate || !c.startedInTime(t, r, now) {
				continue
			}
			took := c.estimateRunTime(step, t.Job.Spec.Queue)
			split.add(instanceShare(place.Charge(step), c.meanCapacity)*took.Seconds(), 1, max(r.slack, 0)+took)
		}
	}
}

// splitWork is work that can be in time, split by whether it can still be so on an instance whose move begins now and takes the delay.
type splitWork struct {
	delay           time.Duration
	urgent, patient timelyWork
}

// add adds work, in instance-seconds, that has to end within the given time. value is that of a core-second as a multiple of that of a mean job.
func (s *splitWork) add(work, value float64, within time.Duration) {
	if within > s.delay {
		s.patient.add(work, value, within)
		return
	}
	s.urgent.add(work, value, within)
}

// timelyWork sums up work that can be in time, in instance-seconds. value and within are sums weighted by the work.
type timelyWork struct{ work, value, within float64 }

func (s *timelyWork) add(work, value float64, within time.Duration) {
	s.work += work
	s.value += work * value
	s.within += work * within.Seconds()
}

// class returns the work as a class, with its mean value and the mean time that it leaves.
func (s *timelyWork) class() maintenance.Class {
	if s.work <= 0 || s.within <= 0 {
		return maintenance.Class{}
	}
	within := s.within / s.work
	return maintenance.Class{Instances: s.work / within, For: time.Duration(within * float64(time.Second)), Value: s.value / s.work}
}
