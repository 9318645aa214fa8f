// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// ShareFactor returns the factor by which OrderShared last lowered the value of the group, or 1 if it has not.
func (g *Group) ShareFactor() float64 {
	if g.sharedValue == 0 || g.Expected == 0 {
		return 1
	}
	return g.sharedValue / g.Expected
}

// Standing tells by how much OrderShared would lower the value of a further group of an organisation.
type Standing struct {
	// first is what each organisation uses, in multiples of its share, before its first group.
	first map[string]float64
	// uses holds what it uses after each of its groups, by descending expected value.
	uses map[string][]standingUse
}

type standingUse struct{ expected, over float64 }

// StandingOf returns the standing of organisations whose groups wait. Without organisations it is empty.
func StandingOf(groups []*Group, s Shares) Standing {
	x := Standing{uses: make(map[string][]standingUse), first: make(map[string]float64)}
	if s.Draft == nil || s.Total == (job.Need{}) {
		return x
	}
	weights := 0.0
	for _, g := range groups {
		name := g.organisation()
		if name == "" {
			continue
		}
		if _, seen := x.first[name]; !seen {
			weights += s.Draft.Weight(name)
			x.first[name] = s.Draft.Share(name, s.Total)
		}
		need := org.Dominant(g.Job.Spec.Steps[g.Step].Need, s.Total)
		x.uses[name] = append(x.uses[name], standingUse{expected: g.Expected, over: float64(len(g.Tasks)) * need / s.Draft.Weight(name)})
	}
	for name, uses := range x.uses {
		x.first[name] *= weights
		slices.SortFunc(uses, func(a, b standingUse) int { return cmp.Compare(b.expected, a.expected) })
		sum := x.first[name]
		for i := range uses {
			sum += uses[i].over * weights
			uses[i].over = sum
		}
	}
	return x
}

// Factor returns the factor for a group of the organisation with the expected value. It is 1 for an organisation without groups.
func (x Standing) Factor(organisation string, expected float64) float64 {
	uses := x.uses[organisation]
	n := sort.Search(len(uses), func(i int) bool { return uses[i].expected < expected })
	if n == 0 {
		return overFactor(x.first[organisation])
	}
	return overFactor(uses[n-1].over)
}

// Organisations returns the names of at most the given number of organisations, those whose further group with the expected value would
// be lowered most.
func (x Standing) Organisations(expected float64, most int) []string {
	names := slices.SortedFunc(maps.Keys(x.first), func(a, b string) int {
		return cmp.Or(cmp.Compare(x.Factor(a, expected), x.Factor(b, expected)), cmp.Compare(a, b))
	})
	return names[:min(len(names), most)]
}
