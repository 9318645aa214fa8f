// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/maintenance"
	"rackstep.dev/place"
)

// Parameters of the allocation during a shortage.
const (
	// shortageMargin is the part by which the wants must exceed what there is. Wants are estimates that vary by more than this from one pass to the next.
	shortageMargin = 0.05
	// shortageGrace is how long they must do so before instances are shifted: most excesses are over when the first instances arrive.
	shortageGrace = 300 * time.Millisecond
	// payOffFactor is the time within which a shift must pay, as a multiple of the duration of a move. Load is not predictable for much longer.
	payOffFactor = 2.5
	// maxDensity bounds the value of a core-second of a job that is almost done.
	maxDensity = 4
)

// shortage is the state of the allocation while the pools together want more instances than there are.
type shortage struct {
	// since is when the shortage began, or zero if there is none.
	since time.Time
}

// allotShortage limits the targets of the pools to what each is to have, if they have wanted more than there is for longer than shortageGrace. A new leader
// waits until it knows the rates of submissions: without them it would reverse the shifts of its predecessor.
func (c *session) allotShortage(pools []maintenance.Pool, instances []maintenance.Instance, now time.Time) {
	if !maintenance.Short(pools, shortageMargin) {
		c.shortage = shortage{}
		return
	}
	if c.shortage.since.IsZero() {
		c.shortage.since = now
	}
	if now.Sub(c.shortage.since) < shortageGrace || now.Sub(c.startedAt) < rateWindow {
		return
	}
	delay := c.Bounds().Move + moveOverhead
	terms := maintenance.ShiftTerms{Delay: delay, PayOff: time.Duration(payOffFactor * float64(delay))}
	maintenance.Allot(pools, c.claims(pools, instances, terms, now), terms)
}

// claims returns what instances yield in each pool. An instance that has moved lately does not count as movable until its move has paid.
func (c *session) claims(pools []maintenance.Pool, instances []maintenance.Instance, terms maintenance.ShiftTerms, now time.Time) map[string]*maintenance.Claim {
	claims := make(map[string]*maintenance.Claim, len(pools))
	for i := range pools {
		claims[pools[i].Name] = new(maintenance.Claim)
		if !pools[i].Headroom {
			*claims[pools[i].Name] = c.claim(c.pool(pools[i].Name), terms, now)
		}
	}
	for i := range instances {
		x := &instances[i]
		if now.Sub(c.movedAt[x.Name]) < terms.PayOff && !c.config.Pools[x.Pool].Headroom {
			x.Fixed = true
		}
		if claim := claims[x.Pool]; claim != nil && !x.Fixed && !x.Drained && x.Lasting == 0 {
			claim.Movable++
		}
	}
	return claims
}

// claim returns what instances yield in a pool. Work that can still be in time is split by whether it can be so on an instance whose move begins now.
func (c *session) claim(p *poolRow, terms maintenance.ShiftTerms, now time.Time) maintenance.Claim {
	var urgent, patient timelyWork
	add := func(work, value float64, within time.Duration) {
		if within > terms.Delay {
			patient.add(work, value, within)
			return
		}
		urgent.add(work, value, within)
	}
	blocked := c.hasUnansweredWorkers(p.name)
	for _, g := range p.open {
		step := &g.Job.Spec.Steps[g.Step]
		if step.Lasting || !c.usesInstances(g, blocked) {
			continue
		}
		n, _ := waitingTasks(g, step)
		took := c.estimateRunTime(step, g.Job.Spec.Queue)
		e := c.estimate(g, now)
		inTime, wait := e.InTime(now)
		work := float64(n) * instanceShare(place.Charge(step), c.meanCapacity) * took.Seconds()
		add(work*inTime, min(e.Density*max(c.statsOf(g.Job.Spec.Queue).work, minWork), maxDensity), wait+took)
	}
	c.addRunning(p, add)
	claim := maintenance.Claim{
		Lasting: p.load.lasting + spareInstances, LateValue: place.LatePart,
		Emptying: time.Duration(meanRemainingShare * p.expectedRunSeconds() * float64(time.Second)),
	}
	steady := p.rate(now) + p.load.trialInstances()
	for _, x := range [...]maintenance.Class{{Instances: steady, For: terms.PayOff, Value: 1}, urgent.class(), patient.class()} {
		if x.Instances > 0 {
			x.Instances *= 1 + spareShare
			claim.Timely = append(claim.Timely, x)
		}
	}
	return claim
}

// addRunning adds the work of the runs whose jobs could be in time when they were started. A run is counted in full although a part of it is done, because
// the later steps of its job follow.
func (c *session) addRunning(p *poolRow, add func(work, value float64, within time.Duration)) {
	for _, w := range c.workers {
		if w.Pool != p.name || w.drained {
			continue // what runs in a drained data centre ends there and needs no other instance
		}
		for t, r := range w.runs {
			step := t.Spec()
			if step.Lasting || t.Job.OverRate || !place.MayBeInTime(r.slack) {
				continue
			}
			took := c.estimateRunTime(step, t.Job.Spec.Queue)
			add(instanceShare(place.Charge(step), c.meanCapacity)*took.Seconds(), 1, max(r.slack, 0)+took)
		}
	}
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
