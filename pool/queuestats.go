// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

// Parameters of the statistics of a queue.
const (
	// statsWeight is the weight of a new observation in the moving averages.
	statsWeight = 0.03
	// initialVariance is the initial variance of the logarithms of run times and of the errors of estimates.
	initialVariance = 0.25
)

// queueStats holds statistics of one queue's runs. They correct the submitted estimates, which are far off, and are useful because tasks of one queue are alike.
type queueStats struct {
	// runs is the number of observations.
	runs int
	// mean and spread are the mean and variance of the logarithm of run times in seconds; wrong is the mean squared error of the estimates' logarithms.
	mean, variance, estimateError float64
	// work is the mean work of a job in core-seconds.
	work float64
}

func (c *session) statsOf(queue string) *queueStats {
	l := c.statsByQueue[queue]
	if l == nil {
		l = &queueStats{variance: initialVariance, estimateError: initialVariance}
		c.statsByQueue[queue] = l
	}
	return l
}

// recordRunTime adds the duration of a successful run, which this leader has started, to the statistics.
func (c *session) recordRunTime(t *job.Task, now time.Time) {
	took := now.Sub(t.RunSince).Seconds()
	if t.Spec().Lasting || took <= 0 || t.Saved != "" {
		return
	}
	l := c.statsOf(t.Job.Spec.Queue)
	p := c.pool(c.queue(t.Job).Pool)
	p.meanRunSeconds = p.expectedRunSeconds() + statsWeight*(took-p.expectedRunSeconds())
	x := math.Log(took)
	rate := max(statsWeight, 1/float64(l.runs+1))
	l.runs++
	off := x - l.mean
	l.mean += rate * off
	l.variance += rate * (off*off - l.variance)
	if e := t.Spec().Estimate.Duration().Seconds(); e > 0 {
		d := math.Log(e) - x
		l.estimateError += rate * (d*d - l.estimateError)
	}
}

// recordJobWork adds the work of a submitted job to the statistics.
func (c *session) recordJobWork(j *job.Job) {
	l := c.statsOf(j.Spec.Queue)
	w := c.jobWork(j, j.Spec.Queue)
	p := c.pool(c.queue(j).Pool)
	if !j.OverRate {
		p.recentWork = append(p.recentWork, submission{at: c.now(), work: c.jobLoad(j)})
	}
	if l.work == 0 {
		l.work = w
	}
	l.work += statsWeight * (w - l.work)
}

// estimateRunTime estimates the run time of a task of the step: a weighted geometric mean of the submitted estimate and the queue's mean run time. The more accurate
// the queue's estimates have been, the more weight the submitted one has.
func (c *session) estimateRunTime(s *job.Step, queue string) time.Duration {
	l := c.statsOf(queue)
	e := s.Estimate.Duration().Seconds()
	switch {
	case l.runs == 0:
		return s.Estimate.Duration()
	case e <= 0:
		return time.Duration(math.Exp(l.mean) * float64(time.Second))
	}
	trust := l.variance / (l.variance + l.estimateError)
	return time.Duration(math.Exp(trust*math.Log(e)+(1-trust)*l.mean) * float64(time.Second))
}

// criticalPath returns the length of the critical path of a job's steps at one of its times, the part of it that is left, and the core-seconds of work left.
func (c *session) criticalPath(j *job.Job, k int, queue string) (whole, left time.Duration, work float64) {
	var ends, lefts [job.MaxSteps]time.Duration
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		d := c.estimateRunTime(s, queue)
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

// jobWork returns the estimated work of a whole job in core-seconds.
func (c *session) jobWork(j *job.Job, queue string) float64 {
	work := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		work += float64(s.Count) * c.estimateRunTime(s, queue).Seconds() * float64(s.Need.MilliCPU) / 1000
	}
	return work
}

// jobLoad returns the estimated work of a whole job in instance-seconds, without lasting tasks.
func (c *session) jobLoad(j *job.Job) float64 {
	sum := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		if !s.Lasting {
			sum += float64(s.Count) * c.estimateRunTime(s, j.Spec.Queue).Seconds() * instanceShare(place.Charge(s), c.meanCapacity)
		}
	}
	return sum
}
