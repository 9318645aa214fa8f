// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"slices"

	"rackstep.dev/fleet"
)

// Relief is what is to be done where jobs use more than their instance has, or no longer do.
type Relief struct {
	// Throttles hold jobs to fewer cores, or let them use all again.
	Throttles []fleet.Throttle
	// Yields are jobs that are checkpointed and placed elsewhere, because to hold them back is not enough.
	Yields []fleet.Yield
}

// Relieve returns what brings every instance back to what it has.
//
// Ordinary jobs that use more than they declared are held to that first, then the largest to half of what they declared;
// only what is still too much leaves, with its progress kept. Urgent jobs are left alone.
func Relieve(t *fleet.Tables) Relief {
	var out Relief
	over := make(map[string]*relief)
	for id, in := range t.Instances.All {
		cores, memory := t.Held(id)
		if cores > in.Cores || memory > in.MemoryMB {
			over[id] = &relief{cores: cores - in.Cores, memory: memory - in.MemoryMB}
		}
	}
	for _, j := range t.Jobs.All {
		if j.State != fleet.JobRunning || j.Spec.Urgent {
			continue
		}
		if r := over[j.Instance]; r != nil {
			r.add(j)
		} else if j.Limit > 0 && fitsWhole(t, j) {
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

// fitsWhole says whether the instance has room for all that the held job used before it was held.
func fitsWhole(t *fleet.Tables, j *fleet.Job) bool {
	in := t.Instances.Get(j.Instance)
	if in == nil {
		return false
	}
	free := *j
	free.Limit = 0
	cores, _ := t.Held(in.ID)
	return cores-j.Charged().Cores+free.Charged().Cores <= in.Cores
}

// relief is one instance on which too much is in use.
type relief struct {
	cores, memory int // that are to be freed
	jobs          []*charged
}

// charged is a job and the cores that it keeps.
type charged struct {
	job   *fleet.Job
	cores int
}

// add counts a running job; one that yields already is on its way.
func (r *relief) add(j *fleet.Job) {
	u := j.Charged()
	if j.Yielding {
		r.cores -= u.Cores
		r.memory -= u.MemoryMB
		return
	}
	r.jobs = append(r.jobs, &charged{j, u.Cores})
}

func (r *relief) relieve(out *Relief) {
	for r.memory > 0 && len(r.jobs) > 0 {
		r.leave(out, func(c *charged) int { return c.job.Charged().MemoryMB }, r.memory)
	}
	r.hold(func(j *fleet.Job) int { return j.Spec.Cores })
	r.hold(func(j *fleet.Job) int { return max(1, j.Spec.Cores/2) })
	for r.cores > 0 && len(r.jobs) > 0 {
		r.leave(out, func(c *charged) int { return c.cores }, r.cores)
	}
	for _, c := range r.jobs {
		if c.cores < c.job.Charged().Cores {
			out.Throttles = append(out.Throttles, fleet.Throttle{Job: c.job.ID, Attempt: c.job.Attempt, Cores: c.cores})
		}
	}
}

// hold takes cores from the jobs that are furthest above their floor, until enough is free.
func (r *relief) hold(floor func(*fleet.Job) int) {
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

// leave has the smallest job go whose size is enough, or the largest when none is.
func (r *relief) leave(out *Relief, size func(*charged) int, needed int) {
	best := 0
	for i, c := range r.jobs {
		if better(size(c), size(r.jobs[best]), needed) {
			best = i
		}
	}
	c := r.jobs[best]
	r.jobs = slices.Delete(r.jobs, best, best+1)
	r.cores -= c.cores
	r.memory -= c.job.Charged().MemoryMB
	out.Yields = append(out.Yields, fleet.Yield{Job: c.job.ID, Attempt: c.job.Attempt})
}

// better says whether a size is nearer to what is needed than another: enough and small, else large.
func better(a, b, needed int) bool {
	if (a >= needed) != (b >= needed) {
		return a >= needed
	}
	return (a < b) == (a >= needed) && a != b
}
