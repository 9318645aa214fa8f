// SPDX-License-Identifier: MIT

package drive

import (
	"math"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// usageLag is the age of the usage reports that decisions are based on.
const usageLag = 30 * time.Second

// trueCores returns the cores that a job with the declared cores uses. The ratio lies within a factor of EstimateError in
// either direction, scaled so that declared sizes are right on average.
func (r *simulation) trueCores(declared int) float64 {
	if r.size.EstimateError <= 1 {
		return float64(declared)
	}
	mean := (r.size.EstimateError - 1/r.size.EstimateError) / (2 * math.Log(r.size.EstimateError))
	ratio := math.Pow(r.size.EstimateError, 2*r.random.Float64()-1) / mean
	return min(float64(r.size.Cores), float64(declared)*ratio)
}

// throttledCores returns the cores that the job demands now, capped by its throttle.
func (w *simJob) throttledCores(j *fleet.Job) float64 {
	if j.Limit > 0 {
		return min(w.cores, float64(j.Limit))
	}
	return w.cores
}

// runJobs advances every running job by one tick. If the demand on an instance exceeds its cores, all its jobs slow down by
// the same factor.
func (r *simulation) runJobs() {
	demand := make(map[string]float64)
	for id, j := range r.tables.Jobs.All {
		if w := r.jobs[id]; w != nil && j.State == fleet.JobRunning {
			demand[j.Instance] += w.throttledCores(j)
		}
	}
	for id, j := range r.tables.Jobs.All {
		w := r.jobs[id]
		if w == nil || j.State != fleet.JobRunning {
			continue
		}
		rate := min(1, float64(r.size.Cores)/demand[j.Instance])
		r.result.OverloadSeconds += (1 - rate) * tick.Seconds()
		rate *= w.throttledCores(j) / w.cores
		w.remaining -= time.Duration(rate * float64(tick))
		w.usage = place.Usage{Cores: rate * w.cores, MemoryMB: j.Spec.MemoryMB, Ran: r.now.Sub(w.startedAt) - usageLag}
		r.result.SlowedSeconds += (1 - rate) * tick.Seconds()
		r.result.RunSeconds += tick.Seconds()
	}
}

// applyUsage updates the resources charged to jobs from reported usage, and relieves overloaded instances by throttles and
// yields.
func (r *simulation) applyUsage() {
	if r.policy.Declared || r.policy.Baseline {
		return
	}
	for id, j := range r.tables.Jobs.All {
		w := r.jobs[id]
		if w == nil || j.State != fleet.JobRunning || w.usage.Ran < 0 {
			continue
		}
		if m, differs := place.Measured(j, w.usage); differs && r.apply(fleet.Record{Measure: &m}) {
			r.result.Measures++
		}
	}
	relief := place.Relieve(r.tables)
	for _, s := range relief.Throttles {
		r.apply(fleet.Record{Throttle: &s})
		r.result.Throttles++
	}
	for _, y := range relief.Yields {
		if r.apply(fleet.Record{Yield: &y}) {
			r.jobs[y.Job].checkpointAt = r.now.Add(checkpointTime)
			r.result.Yields++
		}
	}
}
