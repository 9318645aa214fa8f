// SPDX-License-Identifier: MIT

package place

import "rackstep.dev/fleet"

// preempt selects the jobs that must leave one instance so that the urgent job fits there, and returns those that
// have not been told to.
//
// Jobs that are already yielding are counted as gone, so that later decisions do not preempt more. It selects the
// instance on which the fewest further cores must be freed.
func (d *decision) preempt(j *fleet.Job) []fleet.Yield {
	if d.overQuota(j) {
		return nil
	}
	var best *freeCapacity
	var jobs []*fleet.Job
	fewest := 0
	for _, r := range d.pools[j.Spec.Pool] {
		if !j.MayRunIn(r.in.DataCentre) || r.in.Cores < j.Charged().Cores || r.in.MemoryMB < j.Charged().MemoryMB {
			continue
		}
		chosen, cores, ok := d.victims(r, j)
		if ok && (best == nil || cores < fewest) {
			best, jobs, fewest = r, chosen, cores
		}
	}
	if best == nil {
		return nil
	}
	d.reserve(j, best) // its free capacity is negative until the other jobs have left
	var yields []fleet.Yield
	for _, o := range jobs {
		if !o.Yielding {
			yields = append(yields, fleet.Yield{Job: o.ID, Attempt: o.Attempt})
		}
	}
	return yields
}

// victims returns the jobs that must leave the instance, the cores of those among them that are not yielding yet,
// and whether this is enough.
func (d *decision) victims(r *freeCapacity, j *fleet.Job) (chosen []*fleet.Job, cores int, ok bool) {
	if d.running == nil {
		d.indexRunning()
	}
	free, memory := r.cores, r.memory
	needs := j.Charged()
	for _, alreadyYielding := range [...]bool{true, false} { // those that are already yielding come first
		for _, o := range d.running[r.in.ID] {
			if free >= needs.Cores && memory >= needs.MemoryMB {
				return chosen, cores, true
			}
			if o.Yielding != alreadyYielding {
				continue
			}
			holds := o.Charged()
			free += holds.Cores
			memory += holds.MemoryMB
			chosen = append(chosen, o)
			if !alreadyYielding {
				cores += holds.Cores
			}
		}
	}
	return chosen, cores, free >= needs.Cores && memory >= needs.MemoryMB
}

// indexRunning collects the running jobs that are not urgent, by instance.
func (d *decision) indexRunning() {
	d.running = make(map[string][]*fleet.Job)
	for _, j := range d.t.Jobs.All {
		if j.State == fleet.JobRunning && !j.Spec.Urgent {
			d.running[j.Instance] = append(d.running[j.Instance], j)
		}
	}
}
