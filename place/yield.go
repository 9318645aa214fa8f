// SPDX-License-Identifier: MIT

package place

import "rackstep.dev/fleet"

// makeRoom returns the ordinary jobs that are to leave one instance so that the urgent job fits there.
//
// Jobs that yield already count as gone, so that a later decision does not ask for more. The instance on which the
// fewest cores must yield is taken.
func (d *decision) makeRoom(j *fleet.Job) []fleet.Yield {
	if d.overQuota(j) {
		return nil
	}
	var best *room
	var jobs []*fleet.Job
	least := 0
	for _, r := range d.pools[j.Spec.Pool] {
		if !j.MayRunIn(r.in.DataCentre) || r.in.Cores < j.Charged().Cores || r.in.MemoryMB < j.Charged().MemoryMB {
			continue
		}
		chosen, cores, ok := d.yielding(r, j)
		if ok && (best == nil || cores < least) {
			best, jobs, least = r, chosen, cores
		}
	}
	if best == nil {
		return nil
	}
	d.charge(j, best) // the room is promised; it is below 0 until the others have left
	var yields []fleet.Yield
	for _, o := range jobs {
		if !o.Yielding {
			yields = append(yields, fleet.Yield{Job: o.ID, Attempt: o.Attempt})
		}
	}
	return yields
}

// yielding returns the jobs that must leave the instance, the cores of those that do not yield yet, and whether that is enough.
func (d *decision) yielding(r *room, j *fleet.Job) (chosen []*fleet.Job, cores int, ok bool) {
	if d.runs == nil {
		d.indexRunning()
	}
	free, memory := r.cores, r.memory
	needs := j.Charged()
	for _, first := range [...]bool{true, false} { // those that yield already come first
		for _, o := range d.runs[r.in.ID] {
			if free >= needs.Cores && memory >= needs.MemoryMB {
				return chosen, cores, true
			}
			if o.Yielding != first {
				continue
			}
			holds := o.Charged()
			free += holds.Cores
			memory += holds.MemoryMB
			chosen = append(chosen, o)
			if !first {
				cores += holds.Cores
			}
		}
	}
	return chosen, cores, free >= needs.Cores && memory >= needs.MemoryMB
}

// indexRunning lists the ordinary running jobs of each instance.
func (d *decision) indexRunning() {
	d.runs = make(map[string][]*fleet.Job)
	for _, j := range d.t.Jobs.All {
		if j.State == fleet.JobRunning && !j.Spec.Urgent {
			d.runs[j.Instance] = append(d.runs[j.Instance], j)
		}
	}
}
