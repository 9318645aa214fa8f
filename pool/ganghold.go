// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"slices"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/maintenance"
	"rackstep.dev/place"
)

// A gang starts only once there is room for all its tasks. If its step limits the tasks on a worker, or requires a label, it may need more instances than its tasks use of
// them. Those that have arrived for it are then idle until the last one is there, and must not be moved away meanwhile.

// holdForGang lets the pool of the gang that has waited longest give away no instance. Only one pool holds its instances, so that two pools don't wait for each other's. A gang
// that needs more instances than there are holds none.
func (c *session) holdForGang(rows map[string]*maintenance.Pool, instances []maintenance.Instance, now time.Time) {
	var holder *maintenance.Pool
	var oldest *place.Group
	for name, row := range rows {
		if row.Headroom {
			continue
		}
		for _, g := range c.waitingGangs(name, now) {
			if (oldest == nil || waitsLonger(g, oldest)) && c.canBePlaced(g, instances) {
				holder, oldest = row, g
			}
		}
	}
	if holder != nil {
		holder.Min = max(holder.Min, float64(holder.Have))
	}
}

// waitingGangs returns the gangs of a pool that have waited for stuckAfter and can't use just any free capacity.
func (c *session) waitingGangs(pool string, now time.Time) []*place.Group {
	var gangs []*place.Group
	limits := c.limitsOf(pool, now)
	for _, g := range c.pool(pool).open {
		step := &g.Job.Spec.Steps[g.Step]
		if step.Gang && needsCertainInstances(step) && now.Sub(g.ReadySince) >= stuckAfter && usesInstances(g, limits) {
			gangs = append(gangs, g)
		}
	}
	return gangs
}

// needsCertainInstances reports whether the tasks of a step can't use just any free capacity.
func needsCertainInstances(step *job.Step) bool { return step.Label != "" || step.PerWorker > 0 }

// waitsLonger reports whether a gang has waited longer than another one.
func waitsLonger(g, other *place.Group) bool {
	return cmp.Or(g.ReadySince.Compare(other.ReadySince), cmp.Compare(g.Job.Spec.ID, other.Job.Spec.ID), cmp.Compare(g.Step, other.Step)) < 0
}

// canBePlaced reports whether there are as many instances as a gang needs, in whatever pools.
func (c *session) canBePlaced(g *place.Group, instances []maintenance.Instance) bool {
	step := &g.Job.Spec.Steps[g.Step]
	usable := 0
	for _, x := range instances {
		if !x.Drained && x.Lasting == 0 && (step.Label == "" || slices.Contains(x.Labels, step.Label)) {
			usable++
		}
	}
	return usable >= g.Instances(step.Count, c.meanCapacity)
}
