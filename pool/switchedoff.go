// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

// An instance in a headroom pool is switched off: it has no worker that could carry out a start. Only the leader switches it on again. So tasks that wait for the ID of its
// last worker, because a start may still be carried out there, are free as soon as it is off, and it stays off until no such start is left. The platform could give its next
// worker the same ID.

// freeSwitchedOff frees the tasks that wait for IDs of ended incarnations whose instances are switched off.
func (c *session) freeSwitchedOff(now time.Time) {
	for machine, departed := range c.departed {
		if !c.isSwitchedOff(machine) {
			continue
		}
		for i := range departed {
			c.freeTasksOf(machine, &departed[i], now)
		}
	}
}

// isSwitchedOff reports whether an instance has been moved into a headroom pool and is in no move.
func (c *session) isSwitchedOff(machine string) bool {
	m, known := c.machines[machine]
	return known && m.ID == "" && m.State == MachineUp && c.config != nil && c.config.Pools[m.Pool].Headroom && (c.moves[machine] == nil || c.moves[machine].moved)
}

// freeTasksOf frees the tasks that wait for the ID of an incarnation that was on a switched-off instance, and keeps the instance off while a start may be carried out under the ID.
func (c *session) freeTasksOf(machine string, d *departedWorker, now time.Time) {
	if c.offIDs[d.id] || len(c.incarnationsWithID(d.id)) > 0 {
		return
	}
	until := now
	if c.earlierStartsPossible(now) {
		until = c.earlierStartsEnd(now)
	}
	for _, t := range d.late {
		if t.Phase == job.Waiting && t.LateUntil.After(until) {
			until = t.LateUntil
		}
	}
	if !until.After(now) {
		return // nothing waits for the ID
	}
	c.offIDs[d.id] = true
	c.clearLateOf(d.late)
	if until.After(c.unmovable[machine]) {
		c.unmovable[machine] = until
	}
	c.markPoolDirty(d.pool)
}
