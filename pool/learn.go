// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

// Figures of what is learned of a queue.
const (
	// learnRate is the weight of a new observation.
	learnRate = 0.03
	// firstVariance is what the logarithms of run times and of the estimates' errors are taken to vary by at first.
	firstVariance = 0.25
)

// lesson is what the runs of one queue have taught: estimates are far off, and tasks of one queue are alike.
type lesson struct {
	// runs counts the observations.
	runs int
	// mean and spread are of the logarithm of run times in seconds, wrong of the estimates' error.
	mean, spread, wrong float64
	// work is the mean work of a job in core-seconds.
	work float64
}

func (c *session) learned(queue string) *lesson {
	l := c.lessons[queue]
	if l == nil {
		l = &lesson{spread: firstVariance, wrong: firstVariance}
		c.lessons[queue] = l
	}
	return l
}

// learnRun takes note of how long a successful run took.
func (c *session) learnRun(t *job.Task, now time.Time) {
	took := now.Sub(t.RunSince).Seconds()
	if t.Spec().Lasting || took <= 0 || t.Saved != "" {
		return
	}
	l := c.learned(t.Job.Spec.Queue)
	p := c.pool(c.queue(t.Job).Pool)
	p.ran = p.meanRun() + learnRate*(took-p.meanRun())
	x := math.Log(took)
	rate := max(learnRate, 1/float64(l.runs+1))
	l.runs++
	off := x - l.mean
	l.mean += rate * off
	l.spread += rate * (off*off - l.spread)
	if e := t.Spec().Estimate.Duration().Seconds(); e > 0 {
		d := math.Log(e) - x
		l.wrong += rate * (d*d - l.wrong)
	}
}

// learnJob takes note of how much work a job brings.
func (c *session) learnJob(j *job.Job) {
	l := c.learned(j.Spec.Queue)
	w := c.jobWork(j, j.Spec.Queue)
	p := c.pool(c.queue(j).Pool)
	if !j.OverRate {
		p.handed = append(p.handed, handed{at: c.now(), work: c.jobLoad(j)})
	}
	if l.work == 0 {
		l.work = w
	}
	l.work += learnRate * (w - l.work)
}

// runTime guesses how long a task of the step runs: between its estimate and what its queue's tasks took, the nearer to
// the estimate the better estimates have been.
func (c *session) runTime(s *job.Step, queue string) time.Duration {
	l := c.learned(queue)
	e := s.Estimate.Duration().Seconds()
	switch {
	case l.runs == 0:
		return s.Estimate.Duration()
	case e <= 0:
		return time.Duration(math.Exp(l.mean) * float64(time.Second))
	}
	trust := l.spread / (l.spread + l.wrong)
	return time.Duration(math.Exp(trust*math.Log(e)+(1-trust)*l.mean) * float64(time.Second))
}

// chains returns the longest chain of a job's work in one time, what is left of it, and the core-seconds left.
func (c *session) chains(j *job.Job, k int, queue string) (whole, left time.Duration, work float64) {
	var ends, lefts [job.MaxSteps]time.Duration
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		d := c.runTime(s, queue)
		var from, leftFrom time.Duration
		for _, a := range s.After {
			from, leftFrom = max(from, ends[a]), max(leftFrom, lefts[a])
		}
		ends[i], lefts[i] = from+d, leftFrom
		if n := j.StepUnfinished(k, i); n > 0 {
			lefts[i] += d
			work += float64(n) * d.Seconds() * float64(s.Need.MilliCPU) / 1000
		}
		whole, left = max(whole, ends[i]), max(left, lefts[i])
	}
	return whole, left, work
}

// jobWork returns the core-seconds of a whole job, as far as it is known.
func (c *session) jobWork(j *job.Job, queue string) float64 {
	work := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		work += float64(s.Count) * c.runTime(s, queue).Seconds() * float64(s.Need.MilliCPU) / 1000
	}
	return work
}

// jobLoad returns the work of a whole job that does not last, in instance-seconds, as far as it is known.
func (c *session) jobLoad(j *job.Job) float64 {
	sum := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		if !s.Lasting {
			sum += float64(s.Count) * c.runTime(s, j.Spec.Queue).Seconds() * share(place.Charge(s), c.whole)
		}
	}
	return sum
}
