// SPDX-License-Identifier: MIT

package drive

import (
	"math"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// usageLag is how old the usage is that the decisions see.
const usageLag = 30 * time.Second

// trueCores returns what a job with the declared cores uses; declared sizes are wrong by up to Wrong times either way, and
// right on average.
func (r *run) trueCores(declared int) float64 {
	if r.size.Wrong <= 1 {
		return float64(declared)
	}
	mean := (r.size.Wrong - 1/r.size.Wrong) / (2 * math.Log(r.size.Wrong))
	wrong := math.Pow(r.size.Wrong, 2*r.random.Float64()-1) / mean
	return min(float64(r.size.Cores), float64(declared)*wrong)
}

// takes returns the cores that the job would take now, within its throttle.
func (w *work) takes(j *fleet.Job) float64 {
	if j.Limit > 0 {
		return min(w.uses, float64(j.Limit))
	}
	return w.uses
}

// work lets every running job get on by one tick; where too much is in use all are slowed alike.
func (r *run) work() {
	taken := make(map[string]float64)
	for id, j := range r.t.Jobs.All {
		if w := r.jobs[id]; w != nil && j.State == fleet.JobRunning {
			taken[j.Instance] += w.takes(j)
		}
	}
	for id, j := range r.t.Jobs.All {
		w := r.jobs[id]
		if w == nil || j.State != fleet.JobRunning {
			continue
		}
		rate := min(1, float64(r.size.Cores)/taken[j.Instance])
		r.res.Overload += (1 - rate) * tick.Seconds()
		rate *= w.takes(j) / w.uses
		w.left -= time.Duration(rate * float64(tick))
		w.seen = place.Usage{Cores: rate * w.uses, MemoryMB: j.Spec.MemoryMB, Ran: r.now.Sub(w.since) - usageLag}
		r.res.Lost += (1 - rate) * tick.Seconds()
		r.res.Ran += tick.Seconds()
	}
}

// measure brings charges up to what was seen and relieves instances on which too much is in use.
func (r *run) measure() {
	if r.policy.Declared || r.policy.Baseline {
		return
	}
	for id, j := range r.t.Jobs.All {
		w := r.jobs[id]
		if w == nil || j.State != fleet.JobRunning || w.seen.Ran < 0 {
			continue
		}
		if m, differs := place.Measured(j, w.seen); differs && r.apply(fleet.Record{Measure: &m}) {
			r.res.Measures++
		}
	}
	relief := place.Relieve(r.t)
	for _, s := range relief.Throttles {
		r.apply(fleet.Record{Throttle: &s})
		r.res.Throttles++
	}
	for _, y := range relief.Yields {
		if r.apply(fleet.Record{Yield: &y}) {
			r.jobs[y.Job].leaving = r.now.Add(checkpointTime)
			r.res.Yields++
		}
	}
}
