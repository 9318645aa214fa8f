// SPDX-License-Identifier: MIT

package place

import (
	"maps"
	"slices"

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
	// uses holds what each organisation uses, in multiples of its share, after each of its groups in their order.
	uses map[string][]standingUse
	// first is what it uses before its first group.
	first map[string]float64
}

type standingUse struct{ expected, over float64 }

// StandingOf returns the standing after OrderShared has sorted the groups with the same shares. Without organisations it is empty.
func StandingOf(groups []*Group, s Shares) Standing {
	x := Standing{uses: make(map[string][]standingUse), first: make(map[string]float64)}
	if s.Draft == nil {
		return x
	}
	weights := 0.0
	for _, g := range groups {
		name := g.organisation()
		if _, seen := x.first[name]; !seen && name != "" {
			weights += s.Draft.Weight(name)
			x.first[name] = s.Draft.Share(name, s.Total)
		}
	}
	after := make(map[string]float64, len(x.first))
	for name := range x.first {
		x.first[name] *= weights
		after[name] = x.first[name]
	}
	for _, g := range groups {
		name := g.organisation()
		if name == "" {
			continue
		}
		step := &g.Job.Spec.Steps[g.Step]
		after[name] += float64(len(g.Tasks)) * org.Dominant(step.Need, s.Total) / s.Draft.Weight(name) * weights
		x.uses[name] = append(x.uses[name], standingUse{expected: g.Expected, over: after[name]})
	}
	return x
}

// Factor returns the factor for a group of the organisation with the expected value. It is 1 for an organisation without groups.
func (x Standing) Factor(organisation string, expected float64) float64 {
	over := x.first[organisation]
	for _, u := range x.uses[organisation] {
		if u.expected >= expected {
			over = max(over, u.over)
		}
	}
	return overFactor(over)
}

// Organisations returns the sorted names of the organisations that have groups.
func (x Standing) Organisations() []string { return slices.Sorted(maps.Keys(x.first)) }
