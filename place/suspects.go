// SPDX-License-Identifier: MIT

package place

import (
	"slices"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// TrialLimits limits the isolated trials in a pool: runs of tasks that are suspected of crashing their workers and
// have not been cleared.
type TrialLimits struct {
	// Max is the number of further trials that may begin.
	Max int
	// MaxRisk is the expected number of worker crashes that further trials may add. If no trial is ongoing, one may
	// begin regardless of it.
	MaxRisk float64
	// Ongoing reports that some trials are ongoing.
	Ongoing bool
	// Draft limits what organisations may have running. If it is nil, there are no limits.
	Draft *org.Draft
}

// PlaceSuspects chooses workers for the tasks that are suspected of crashing their workers: for each the emptiest
// worker, and never one with lasting tasks if another one could hold it. It returns the candidates that remain for
// other tasks. Nothing else starts on a worker with a trial, so that its outcome is evidence about that task alone.
func PlaceSuspects(groups []*Group, candidates []*Candidate, trials TrialLimits) ([]Choice, []*Candidate) {
	var out []Choice
	for _, g := range groups {
		step := g.step()
		if step.Gang {
			continue // its members start together, so they can't be tried one by one
		}
		for _, t := range g.Tasks {
			if !t.Suspect || t.BackingOff || t.ConfinedTo != "" || !trials.Draft.Admits(g.organisation(), step.Need, 1) {
				continue
			}
			if trials.Max <= 0 || (trials.Ongoing && t.Risk() > trials.MaxRisk) {
				return out, candidates
			}
			r, fits := leastDisruptive(g, step, candidates)
			if r == nil {
				continue
			}
			candidates = without(candidates, r)
			trials.Max--
			trials.MaxRisk -= t.Risk()
			trials.Ongoing = true
			if !fits || r.RecentStart {
				continue // reserved until it has the capacity and no recently started run that could cause the next crash
			}
			acquire(g, r)
			trials.Draft.Acquire(g.organisation(), step.Need)
			out = append(out, Choice{Task: t, Candidate: r, Ticket: g.Tickets[r.Worker.Incarnation], Slack: g.Slack, Isolated: true})
		}
	}
	return out, candidates
}

// leastDisruptive returns the candidate on which a crash would do the least damage, and whether it has enough free
// capacity now. It returns nil if waiting makes no candidate large enough.
func leastDisruptive(g *Group, step *job.Step, candidates []*Candidate) (*Candidate, bool) {
	need := charge(step)
	var best *Candidate
	for _, r := range candidates {
		if atLeast(r.withoutFinite(), need) && mayRun(g, step, r) && (best == nil || lessDisruptive(r, best, need)) {
			best = r
		}
	}
	return best, best != nil && atLeast(best.Free, need)
}

// lessDisruptive reports whether a crash on a would do less damage than one on b: a worker without lasting tasks is
// preferred, then one with fewer other tasks, which is one with more free capacity.
func lessDisruptive(a, b *Candidate, need job.Need) bool {
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

func without(candidates []*Candidate, r *Candidate) []*Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(o *Candidate) bool { return o == r })
}
