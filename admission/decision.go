// SPDX-License-Identifier: MIT

package admission

import (
	"math"
	"time"

	"rackstep.dev/job"
)

// The errors that are allowed for in favour of the job.
const (
	// pathErrors is the number of standard deviations by which the critical path may differ from its estimate.
	pathErrors = 1
	// waitErrorPart and minWaitError are the error of the published wait, which is a sum of many estimates.
	waitErrorPart = 0.2
	minWaitError  = 100 * time.Millisecond
	// retrySpread is the fraction of the wait over which the returns of refused clients are spread.
	retrySpread = 0.5
	// minRetryAfter is the shortest time after which a refused client is told to come back.
	minRetryAfter = time.Second
)

// Decision is whether a job is refused because of load, and what the decision is based on.
type Decision struct {
	Refused bool
	// Wait is the lower bound of the time until the job's first start, Path its estimated critical path and Target its target time.
	Wait, Path, Target time.Duration
	// Age is the age of the knowledge.
	Age time.Duration
}

// Decide returns the decision for a job. The settings are those of its queue, and age is the age of q. A nil Queue refuses nothing.
//
// A job is refused only if it would end after its target even if the wait is shorter and its critical path more favourable than
// estimated. Lasting and timed jobs, and those of a queue without a target time, are never refused.
func (q *Queue) Decide(s *job.Spec, settings job.Queue, age time.Duration) Decision {
	d := Decision{Age: age}
	if q == nil || s.Times > 0 || hasLasting(s) {
		return d
	}
	r := q.runTimes()
	size := r.SizeOf(s)
	d.Path, d.Target = size.Path, target(settings, size.Path)
	d.Wait = q.wait(s.Organisation, size.Work, age)
	spread := math.Exp(pathErrors * r.LogError)
	shortest, longest := seconds(size.Path.Seconds()/spread), seconds(size.Path.Seconds()*spread)
	slack := max(target(settings, shortest)-shortest, target(settings, longest)-longest, 0)
	d.Refused = d.Target > 0 && d.Wait-errorOf(d.Wait) > slack
	return d
}

// RetryAfter returns when the client of a refused job should come back: when the work before the job is done. The argument, drawn at
// random from 0 to 1, spreads the clients so that they do not all return at once.
func (d Decision) RetryAfter(random float64) time.Duration {
	return max(seconds(d.Wait.Seconds()*(1+retrySpread*random)), minRetryAfter)
}

// errorOf returns by how much a published wait may be too long.
func errorOf(wait time.Duration) time.Duration {
	return seconds(waitErrorPart*wait.Seconds()) + minWaitError
}

func target(settings job.Queue, path time.Duration) time.Duration {
	return seconds(settings.Stretch*path.Seconds()) + settings.Target
}

func hasLasting(s *job.Spec) bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}
