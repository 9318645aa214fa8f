// SPDX-License-Identifier: MIT

package place

import (
	"slices"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// TrialLimits bounds how many tasks that may end their worker's life are at work in a pool and not cleared yet.
type TrialLimits struct {
	// Max is how many more may begin.
	Max int
	// MaxRisk is how many lives more may be lost at once, on the average; one trial may always begin where none goes on.
	MaxRisk float64
	// Ongoing says that some go on already.
	Ongoing bool
	// Draft is what organisations may have running; nothing bounds them when nil.
	Draft *org.Draft
}

// PlaceSuspects chooses workers for the tasks that may end their worker's life: the emptiest each, never one with lasting tasks while another
// could hold it. It returns the rooms that are left for others; nothing else starts where such a task is tried, so that what happens
// there tells of it alone.
func PlaceSuspects(groups []*Group, rooms []*Candidate, trials TrialLimits) ([]Choice, []*Candidate) {
	var out []Choice
	for _, g := range groups {
		step := &g.Job.Spec.Steps[g.Step]
		if step.Gang {
			continue // its members start together or not at all
		}
		for _, t := range g.Tasks {
			if !t.Suspect || t.BackingOff || !trials.Draft.Admits(g.organisation(), step.Need, 1) {
				continue
			}
			if trials.Max <= 0 || (trials.Ongoing && t.Risk() > trials.MaxRisk) {
				return out, rooms
			}
			r, fits := quietest(g, step, rooms)
			if r == nil {
				continue
			}
			rooms = without(rooms, r)
			trials.Max--
			trials.MaxRisk -= t.Risk()
			trials.Ongoing = true
			if !fits || r.RecentStart {
				continue // kept for it until it has space, and what began there last is not in question
			}
			take(g, r)
			trials.Draft.Acquire(g.organisation(), step.Need)
			out = append(out, Choice{Task: t, Candidate: r, Ticket: g.Tickets[r.Worker.Life], Slack: g.Slack, Isolated: true})
		}
	}
	return out, rooms
}

// quietest returns the room in which least is lost with the task, and whether it has space now; nil when no room could ever hold it.
func quietest(g *Group, step *job.Step, rooms []*Candidate) (*Candidate, bool) {
	need := charge(step)
	var best *Candidate
	for _, r := range rooms {
		if atLeast(r.Worker.Capacity, need) && allowed(g, step, r) && (best == nil || quieter(r, best, need)) {
			best = r
		}
	}
	return best, best != nil && atLeast(best.Free, need)
}

// quieter says whether less is lost with a than with b: nothing that lasts, then fewer others, which is more space.
func quieter(a, b *Candidate, need job.Need) bool {
	if x, y := a.Serving+a.Filling > 0, b.Serving+b.Filling > 0; x != y {
		return y
	}
	if x, y := atLeast(a.Free, need), atLeast(b.Free, need); x != y {
		return x
	}
	if a.RecentStart != b.RecentStart {
		return b.RecentStart
	}
	return a.freePart() > b.freePart()
}

func without(rooms []*Candidate, r *Candidate) []*Candidate {
	return slices.DeleteFunc(slices.Clone(rooms), func(o *Candidate) bool { return o == r })
}
