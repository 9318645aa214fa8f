// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"slices"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// Shares is what organisations share rooms by when all of them want more than there is.
type Shares struct {
	// Draft counts what organisations hold; nobody is told apart when nil.
	Draft *org.Draft
	// Total is all that there is to share.
	Total job.Need
}

// leastPart is the least part of what it would earn that a group of an organisation that holds more than its share is taken to earn: more than
// the 0.07 that a late job earns, so that what can be in time still goes before what is late of others. Without such a least backlogs stayed
// so long that waves were late in 5 of 6 plays of days with hot organisations, and in none of 4 with it or without shares.
const leastPart = 0.12

// OrderShared sorts groups by what comes first when organisations share rooms: like Order, but that what belongs to an organisation that holds
// more than its share is taken to earn less, the less the more it holds, what comes before it in the order included.
//
// It answers an organisation that sends many times its usual: the others go first as far as it holds more than its weight's part, and nobody
// waits for a share that is not wanted. In the load of TestAHotOrganisationDoesNotHurtTheOthers the others get 0.951 of what they are owed
// instead of 0.726, of 0.992 without a hot one. Sharing by weight alone, and half of each share first, cost whole days 0.007 to 0.015 of their worth.
func OrderShared(groups []*Group, s Shares) {
	Order(groups)
	if s.Draft == nil || s.Total == (job.Need{}) {
		return
	}
	s.rank(groups)
	slices.SortStableFunc(groups, func(a, b *Group) int { return cmp.Or(compareClass(a, b), cmp.Compare(b.shared, a.shared)) })
}

// rank sets what each group is taken to earn; the groups are in the order within each organisation.
func (s Shares) rank(groups []*Group) {
	weights := 0.0
	holds := make(map[string]float64) // for its weight, with what stands before in the order
	for _, g := range groups {
		name := g.organisation()
		if _, seen := holds[name]; !seen && name != "" {
			weights += s.Draft.Weight(name)
			holds[name] = s.Draft.Share(name, s.Total)
		}
	}
	for _, g := range groups {
		name := g.organisation()
		g.shared = g.Expected
		if name == "" {
			continue // it belongs to nobody who could hold too much
		}
		if over := holds[name] * weights; over > 1 {
			g.shared *= max(1/(over*over*over), leastPart)
		}
		step := &g.Job.Spec.Steps[g.Step]
		holds[name] += float64(len(g.Tasks)) * org.Dominant(step.Need, s.Total) / s.Draft.Weight(name)
	}
}
