// SPDX-License-Identifier: MIT

package place

import (
	"rackstep.dev/job"
	"rackstep.dev/org"
)

// Confined chooses the tasks that may start now on the only worker that they may run on, in the order of the groups, and subtracts what the tasks
// need from the candidates' free capacity.
func Confined(groups []*Group, candidates []*Candidate, draft *org.Draft) []Choice {
	var out []Choice
	var byID map[string]*Candidate
	for _, g := range groups {
		for _, t := range g.Tasks {
			if t.ConfinedTo == "" || t.BackingOff {
				continue
			}
			if byID == nil {
				byID = indexByID(candidates)
			}
			if r := byID[t.ConfinedTo]; r != nil && fitsConfined(g, t, r, draft) {
				acquire(g, r)
				draft.Acquire(g.organisation(), t.Spec().Need)
				out = append(out, Choice{Task: t, Candidate: r, Ticket: g.Tickets[r.Worker.Incarnation], Slack: g.Slack})
			}
		}
	}
	return out
}

// indexByID returns the candidates by the ID of their worker.
func indexByID(candidates []*Candidate) map[string]*Candidate {
	byID := make(map[string]*Candidate, len(candidates))
	for _, r := range candidates {
		byID[r.Worker.ID] = r
	}
	return byID
}

// fitsConfined reports whether the task may start on the candidate now.
func fitsConfined(g *Group, t *job.Task, r *Candidate, draft *org.Draft) bool {
	step := t.Spec()
	return draft.Admits(g.organisation(), step.Need, 1) && atLeast(r.Free, charge(step)) && mayRun(g, step, r)
}
