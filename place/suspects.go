// SPDX-License-Identifier: MIT

package place

import (
	"slices"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// TrialLimits limits the trials in a pool: runs of tasks that are suspected of crashing their workers and have not been
// cleared, each of which has a worker of its own or shares it with suspects of the same lost incarnation.
type TrialLimits struct {
	// Max is the number of further workers on which trials may begin.
	Max int
	// MaxRisk is the expected number of worker crashes that further trials may add. If no trial is ongoing, one may
	// begin regardless of it.
	MaxRisk float64
	// Ongoing reports that some trials are ongoing.
	Ongoing bool
	// Together is, by lost incarnation, how many of its suspects may be tried together on one worker.
	Together map[string]int
	// Draft limits what organisations may have running. If it is nil, there are no limits.
	Draft *org.Draft
}

// minGroups is the minimum number of groups in which the suspects of one incarnation are tried.
const minGroups = 3

// PlaceSuspects chooses workers for the tasks that are suspected of crashing their workers: for each the emptiest
// worker, and never one with lasting tasks if another one could hold it. It returns the candidates that remain for
// other tasks. Nothing else starts on a worker with a trial, so that its outcome is evidence about that task alone, or
// about those that are tried together.
func PlaceSuspects(groups []*Group, candidates []*Candidate, trials TrialLimits) ([]Choice, []*Candidate) {
	var out []Choice
	chosen := make(map[*job.Task]bool)
	for _, g := range groups {
		step := g.step()
		for _, t := range g.Tasks {
			if !g.AwaitsTrial(t) || chosen[t] || !trials.Draft.Admits(g.organisation(), step.Need, 1) {
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
			first := len(out)
			out = append(out, trials.choose(g, t, r))
			chosen[t] = true
			out = trials.addCompanions(out, groups, chosen)
			if len(out) == first+1 {
				out[first].Isolated, out[first].Grouped = true, false
			}
		}
	}
	return out, candidates
}

// AwaitsTrial reports whether a task of the group may start in a trial only, and in any worker's.
func (g *Group) AwaitsTrial(t *job.Task) bool {
	// The members of a gang start together, so they can't be tried apart.
	return t.Suspect && !t.BackingOff && t.ConfinedTo == "" && !g.step().Gang
}

// choose charges the candidate for a suspect that is tried there.
func (l *TrialLimits) choose(g *Group, t *job.Task, r *Candidate) Choice {
	acquire(g, r)
	l.Draft.Acquire(g.organisation(), g.step().Need)
	return Choice{Task: t, Candidate: r, Ticket: g.Tickets[r.Worker.Incarnation], Slack: g.Slack, Grouped: true}
}

// addCompanions adds suspects that are tried together with the one that was chosen last: those that lost the same
// incarnation, as far as the worker has capacity.
func (l *TrialLimits) addCompanions(out []Choice, groups []*Group, chosen map[*job.Task]bool) []Choice {
	last := out[len(out)-1]
	incarnation, more := l.companions(last.Task)
	for _, g := range groups {
		step := g.step()
		for _, t := range g.Tasks {
			if more <= 0 {
				return out
			}
			r := last.Candidate
			if o, n := l.companions(t); n <= 0 || o != incarnation || chosen[t] || !g.AwaitsTrial(t) || t.Risk() > l.MaxRisk {
				continue
			}
			if !atLeast(r.Free, charge(step)) || !mayRun(g, step, r) || !l.Draft.Admits(g.organisation(), step.Need, 1) {
				continue
			}
			out = append(out, l.choose(g, t, r))
			chosen[t] = true
			l.MaxRisk -= t.Risk()
			more--
		}
	}
	return out
}

// companions returns the incarnation that a suspect lost, and how many others that lost it may be tried with it.
//
// A task is tried together with others after its first loss only, because another loss counts against all of them. At
// most 1/minGroups of an incarnation's suspects are tried together: the larger the part, the likelier another loss.
func (l *TrialLimits) companions(t *job.Task) (incarnation string, most int) {
	if len(t.Lost) != 1 {
		return "", 0
	}
	lost := t.Lost[0]
	return lost.Incarnation, min(l.Together[lost.Incarnation], lost.Suspects/minGroups) - 1
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
