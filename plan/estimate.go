// SPDX-License-Identifier: MIT

package plan

import (
	"time"

	"rackstep.dev/fleet"
)

// estimate returns the plan's expected cost and lower bounds that no plan for the same instances can beat.
func estimate(t *fleet.Tables, p fleet.Plan, w *waves, costs Costs) fleet.Estimate {
	e := fleet.Estimate{Buffer: w.maxOut}
	if len(p.Steps) == 0 {
		return e
	}
	e.RollOut = time.Duration(p.Waves) * costs.MaintenanceTime()
	e.RollOutBound = time.Duration(minWaves(t, p)) * costs.MaintenanceTime()
	e.BufferBound = (len(p.Steps) + p.Waves - 1) / p.Waves
	for i := range p.Steps {
		wait := time.Duration(p.Steps[i].Wave) * costs.MaintenanceTime()
		moves, bound := countMoves(t, p.Steps[i].Instance, wait, e.RollOut)
		e.Moves += moves
		e.MovesBound += bound
	}
	return e
}

// countMoves returns the number of jobs on the instance that are expected to run longer than wait, the time until its wave, and
// the number of those that run longer than the whole roll-out.
func countMoves(t *fleet.Tables, instance string, wait, rollOut time.Duration) (expected, bound int) {
	for _, j := range t.Jobs.All {
		if j.Instance != instance || !j.State.Held() {
			continue
		}
		if j.Spec.RunTime.Std() > wait {
			expected++
		}
		if j.Spec.RunTime.Std() > rollOut {
			bound++
		}
	}
	return expected, bound
}

// minWaves returns the smallest number of waves in which the budgets allow all of the plan's instances to be taken out.
func minWaves(t *fleet.Tables, p fleet.Plan) int {
	bound := 1
	for _, m := range margins(t) {
		steps := 0
		for j := range p.Steps {
			in := t.Instances.Get(p.Steps[j].Instance)
			if in.Available() && m.Covers(p.Steps[j].From, in.DataCentre) {
				steps++
			}
		}
		out := max(1, m.Total)
		bound = max(bound, (steps+out-1)/out)
	}
	return bound
}
