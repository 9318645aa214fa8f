// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/place"
)

// reserveUnplaced determines the idle instances on which tasks could start that have become ready since the latest placement pass over the pool. Until the next
// pass they count as in use, as they would without the pause after a pass. Tasks that the latest pass has left waiting reserve nothing: more idle instances
// don't help them.
func (c *session) reserveUnplaced(p *poolRow, now time.Time) {
	p.load.unplaced = nil
	limits := c.limitsOf(p.name, now)
	var idle []*place.Candidate
	for _, g := range p.open {
		step := &g.Job.Spec.Steps[g.Step]
		if step.Lasting || step.Gang || !g.ReadySince.After(p.lookedAt) || !usesInstances(g, limits) {
			continue // the demand holds lasting tasks as it does running ones
		}
		if p.load.unplaced == nil {
			idle, p.load.unplaced = c.idleCandidates(p, now), make(map[string]bool)
		}
		if len(p.load.unplaced) == len(idle) {
			return
		}
		n, _ := waitingTasks(g, step)
		reserveIdle(g, n, idle, p.load.unplaced)
	}
}

// reserveIdle adds the incarnations of the idle workers that the given number of tasks of the group would use.
func reserveIdle(g *place.Group, tasks int, idle []*place.Candidate, reserved map[string]bool) {
	need := place.Charge(&g.Job.Spec.Steps[g.Step])
	for _, r := range idle {
		k := min(tasks, g.Fits(r))
		if k <= 0 {
			continue
		}
		r.Free = r.Free.Minus(need.Times(k))
		reserved[r.Worker.Incarnation] = true
		if tasks -= k; tasks == 0 {
			return
		}
	}
}

// idleCandidates returns copies of the free capacity of the pool's workers without runs on which tasks may start now, in the order of their instances.
func (c *session) idleCandidates(p *poolRow, now time.Time) []*place.Candidate {
	var idle []*place.Candidate
	confirmed := c.confirmed(now)
	for _, name := range c.instanceNames() {
		w := c.workerOn(name)
		if w != nil && w.Pool == p.name && w.hasNoRuns() && !c.hidesUsage(w) && c.mayBeCandidate(w, confirmed, now) {
			r := w.candidate
			idle = append(idle, &r)
		}
	}
	return idle
}
