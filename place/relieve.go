// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"slices"

	"rackstep.dev/fleet"
)

// Relief lists the actions for instances whose jobs use more than they have, and for throttled jobs whose instances
// have enough again.
type Relief struct {
	// Throttles limit jobs to fewer cores, or lift the limit.
	Throttles []fleet.Throttle
	// Yields are jobs to be checkpointed and placed elsewhere because throttling is not enough.
	Yields []fleet.Yield
}

// Relieve returns the actions that bring the usage of every instance back within its capacity.
//
// Jobs that are not urgent and use more cores than they declared are first throttled to what they declared, then the
// largest to half of that. Only if this is not enough do jobs leave, with their progress saved. Urgent jobs are not
// touched.
func Relieve(t *fleet.Tables) Relief {
	var out Relief
	over := make(map[string]*overload)
	for id, in := range t.Instances.All {
		cores, memory := t.Held(id)
		if cores > in.Cores || memory > in.MemoryMB {
			over[id] = &overload{cores: cores - in.Cores, memory: memory - in.MemoryMB}
		}
	}
	for _, j := range t.Jobs.All {
		if j.State != fleet.JobRunning || j.Spec.Urgent {
			continue
		}
		if r := over[j.Instance]; r != nil {
			r.add(j)
		} else if j.Limit > 0 && fitsUnthrottled(t, j) {
			out.Throttles = append(out.Throttles, fleet.Throttle{Job: j.ID, Attempt: j.Attempt})
		}
	}
	for id := range t.Instances.All {
		if r := over[id]; r != nil {
			r.relieve(&out)
		}
	}
	return out
}

// fitsUnthrottled reports whether the instance has enough free cores for all that the throttled job used before it
// was throttled.
func fitsUnthrottled(t *fleet.Tables, j *fleet.Job) bool {
	in := t.Instances.Get(j.Instance)
	if in == nil {
		return false
	}
	free := *j
	free.Limit = 0
	cores, _ := t.Held(in.ID)
	return cores-j.Charged().Cores+free.Charged().Cores <= in.Cores
}

// overload is an instance on which more is in use than it has.
type overload struct {
	cores, memory int // the amounts to free
	jobs          []*charged
}

// charged is a job and the cores that it may keep.
type charged struct {
	job   *fleet.Job
	cores int
}

// add adds a running job. A job that is already yielding counts as gone.
func (r *overload) add(j *fleet.Job) {
	u := j.Charged()
	if j.Yielding {
		r.cores -= u.Cores
		r.memory -= u.MemoryMB
		return
	}
	r.jobs = append(r.jobs, &charged{j, u.Cores})
}

func (r *overload) relieve(out *Relief) {
	for r.memory > 0 && len(r.jobs) > 0 {
		r.evict(out, func(c *charged) int { return c.job.Charged().MemoryMB }, r.memory)
	}
	r.throttle(func(j *fleet.Job) int { return j.Spec.Cores })
	r.throttle(func(j *fleet.Job) int { return max(1, j.Spec.Cores/2) })
	for r.cores > 0 && len(r.jobs) > 0 {
		r.evict(out, func(c *charged) int { return c.cores }, r.cores)
	}
	for _, c := range r.jobs {
		if c.cores < c.job.Charged().Cores {
			out.Throttles = append(out.Throttles, fleet.Throttle{Job: c.job.ID, Attempt: c.job.Attempt, Cores: c.cores})
		}
	}
}

// throttle takes cores from the jobs that are furthest above their floor until enough is free.
func (r *overload) throttle(floor func(*fleet.Job) int) {
	above := func(c *charged) int { return c.cores - floor(c.job) }
	slices.SortStableFunc(r.jobs, func(a, b *charged) int { return cmp.Compare(above(b), above(a)) })
	for _, c := range r.jobs {
		cut := min(above(c), r.cores)
		if cut <= 0 {
			return
		}
		c.cores -= cut
		r.cores -= cut
	}
}

// evict removes the smallest job that is large enough, or the largest job if none is.
func (r *overload) evict(out *Relief, size func(*charged) int, needed int) {
	best := 0
	for i, c := range r.jobs {
		if closerFit(size(c), size(r.jobs[best]), needed) {
			best = i
		}
	}
	c := r.jobs[best]
	r.jobs = slices.Delete(r.jobs, best, best+1)
	r.cores -= c.cores
	r.memory -= c.job.Charged().MemoryMB
	out.Yields = append(out.Yields, fleet.Yield{Job: c.job.ID, Attempt: c.job.Attempt})
}

// closerFit reports whether size a fits the needed size better than b: a size that is large enough is better than
// one that is not, then the smaller of two that are, or the larger of two that are not.
func closerFit(a, b, needed int) bool {
	if (a >= needed) != (b >= needed) {
		return a >= needed
	}
	return (a < b) == (a >= needed) && a != b
}
