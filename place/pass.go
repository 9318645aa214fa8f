// SPDX-License-Identifier: MIT

package place

import (
	"slices"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// Tasks chooses workers for the tasks of the groups, in the given order, and subtracts what the tasks need from the
// candidates' free capacity.
//
// A task that does not fit anywhere may reserve a candidate, so that small tasks behind it can't starve it. Apart from
// that, a group that can't start has no effect on the groups behind it.
func Tasks(groups []*Group, candidates []*Candidate, draft *org.Draft) []Choice {
	p := &pass{reservations: newReservations(candidates), candidates: candidates, free: newCapacityIndex(candidates), draft: draft}
	for _, g := range groups {
		if len(p.candidates) == 0 {
			break
		}
		p.placeGroup(g)
	}
	return p.choices
}

// pass is the state of one call of Tasks.
type pass struct {
	reservations
	// candidates are those that are not reserved, and free is their index.
	candidates []*Candidate
	free       *capacityIndex
	draft      *org.Draft
	choices    []Choice
	// shortfalls are what the candidates have no capacity for.
	shortfalls []shortfall
}

// shortfall is a number of tasks with a need, and without other conditions, for which there is no capacity at once.
// It holds to the end of the pass, since capacity only decreases during it.
type shortfall struct {
	need  job.Need
	tasks int
}

// isUnconditional reports whether the tasks may run on any worker with enough capacity.
func (g *Group) isUnconditional() bool {
	step := g.step()
	return step.Label == "" && step.PerWorker == 0 && g.Tickets == nil
}

// atOnce returns how many tasks of the group must start together.
func (g *Group) atOnce() int {
	if g.step().Gang {
		return len(g.Tasks)
	}
	return 1
}

// placeGroup places as many tasks of the group as fit, or all members of a gang or none. It may reserve a candidate for those
// that do not fit.
func (p *pass) placeGroup(g *Group) {
	step := g.step()
	g.Capped = step.Gang && !p.draft.Admits(g.organisation(), step.Need, len(g.Tasks))
	if g.Capped || p.knownNotToFit(g) {
		return
	}
	if step.Gang {
		p.placeGang(g)
		return
	}
	for _, t := range g.Tasks {
		if t.BackingOff || t.ConfinedTo != "" || t.Suspect {
			continue // backing off, or to be placed by Confined or PlaceSuspects
		}
		if !p.draft.Admits(g.organisation(), step.Need, 1) {
			g.Capped = true // it reserves nothing, since capacity would not help it
			return
		}
		if !p.placeTask(g, t) {
			p.addShortfall(g)
			p.reserveFor(g)
			return
		}
	}
}

// placeGang places all tasks of the group or none.
func (p *pass) placeGang(g *Group) {
	if slices.ContainsFunc(g.Tasks, func(t *job.Task) bool { return t.BackingOff || t.ConfinedTo != "" }) {
		return
	}
	if !g.fitsTogether(p.candidates) {
		p.addShortfall(g)
		p.reserveFor(g)
		return
	}
	for _, t := range g.Tasks {
		p.placeTask(g, t)
	}
}

// fitsTogether reports whether the candidates have capacity for all tasks of the group at once.
func (g *Group) fitsTogether(candidates []*Candidate) bool {
	left := len(g.Tasks)
	for _, r := range candidates {
		if left -= g.Fits(r); left <= 0 {
			return true
		}
	}
	return false
}

// placeTask chooses the best candidate for the task and reports whether there is one.
func (p *pass) placeTask(g *Group, t *job.Task) bool {
	step := g.step()
	var r *Candidate
	if g.isUnconditional() && !step.Lasting && step.Rack == "" {
		r = p.free.bestFit(charge(step), t.Avoid)
	} else {
		r = bestCandidate(g, t, p.candidates)
	}
	if r == nil {
		return false
	}
	p.free.remove(r)
	acquire(g, r)
	p.free.insert(r)
	p.draft.Acquire(g.organisation(), step.Need)
	p.choices = append(p.choices, Choice{Task: t, Candidate: r, Ticket: g.Tickets[r.Worker.Incarnation], Slack: g.Slack})
	return true
}

// addShortfall records that the group does not fit, unless that may be due to its other conditions.
func (p *pass) addShortfall(g *Group) {
	if g.isUnconditional() {
		p.shortfalls = append(p.shortfalls, shortfall{charge(g.step()), g.atOnce()})
	}
}

// knownNotToFit reports whether a group that needs no more has not fitted earlier in the pass.
func (p *pass) knownNotToFit(g *Group) bool {
	if !g.isUnconditional() {
		return false
	}
	need, tasks := charge(g.step()), g.atOnce()
	return slices.ContainsFunc(p.shortfalls, func(s shortfall) bool { return tasks >= s.tasks && atLeast(need, s.need) })
}

// reserveFor reserves the emptiest candidate that running tasks may make free for the group.
func (p *pass) reserveFor(g *Group) {
	step := g.step()
	if g.OverRate || !p.mayReserve(g) {
		return
	}
	kept := emptiest(g, step, p.candidates)
	if kept == nil {
		return
	}
	p.candidates = without(p.candidates, kept)
	p.free.remove(kept)
	p.countReservation(step.Lasting)
}
