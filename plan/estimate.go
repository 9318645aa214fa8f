// SPDX-License-Identifier: MIT

package plan

import (
	"time"

	"rackstep.dev/fleet"
)

// estimate returns what the plan is expected to cost, beside what no plan can beat.
func estimate(t *fleet.Tables, p fleet.Plan, w *waves, costs Costs) fleet.Estimate {
	e := fleet.Estimate{Buffer: w.largest}
	if len(p.Steps) == 0 {
		return e
	}
	e.RollOut = time.Duration(p.Waves) * costs.MaintenanceTime()
	e.RollOutBound = time.Duration(wavesBound(t, p)) * costs.MaintenanceTime()
	e.BufferBound = (len(p.Steps) + p.Waves - 1) / p.Waves
	for i := range p.Steps {
		turn := time.Duration(p.Steps[i].Wave) * costs.MaintenanceTime()
		stay, bound := movesFrom(t, p.Steps[i].Instance, turn, e.RollOut)
		e.Moves += stay
		e.MovesBound += bound
	}
	return e
}

// movesFrom counts the jobs on the instance that outlast its turn, and those that outlast every turn.
func movesFrom(t *fleet.Tables, instance string, turn, last time.Duration) (expected, bound int) {
	for _, j := range t.Jobs.All {
		if j.Instance != instance || !j.State.Held() {
			continue
		}
		if j.Spec.RunTime.Std() > turn {
			expected++
		}
		if j.Spec.RunTime.Std() > last {
			bound++
		}
	}
	return expected, bound
}

// wavesBound returns the least number of rounds in which the budgets let the plan's instances be out.
func wavesBound(t *fleet.Tables, p fleet.Plan) int {
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
