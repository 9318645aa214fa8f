// SPDX-License-Identifier: MIT

package place

import (
	"slices"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// Sharing is a way in which organisations share rooms when all of them want more than there is.
type Sharing uint8

// Ways of sharing.
const (
	// ByWorth starts what is expected to earn most for the work it still needs, whoever's it is.
	ByWorth Sharing = iota
	// ByWeight starts what belongs to the organisation that holds the least for its weight (weighted dominant resource fairness), and of one
	// organisation's what is expected to earn most.
	ByWeight
	// WithFloor starts first, by what they are expected to earn, what belongs to organisations that hold less than floorPart of their share,
	// then the rest.
	WithFloor
	// Discounted starts what is expected to earn most, where what belongs to an organisation that holds more than its share counts for less, the more
	// so the more it holds.
	Discounted
)

// floorPart is the part of an organisation's share that WithFloor gives it before others get more than theirs.
const floorPart = 0.5

// Shares is what sharing goes by.
type Shares struct {
	Way Sharing
	// Draft counts what organisations hold; nobody is told apart when nil.
	Draft *org.Draft
	// Whole is all that there is to share.
	Whole job.Need
}

// rank sets each group's place among those of other organisations, lower first; the groups are in the order within each organisation.
func (s Shares) rank(groups []*Group) {
	if s.Way == ByWorth || s.Draft == nil {
		return
	}
	weights := 0.0
	ahead := make(map[string]float64)
	for _, g := range groups {
		name := g.organisation()
		if _, seen := ahead[name]; !seen && name != "" {
			weights += s.Draft.Weight(name)
			ahead[name] = s.Draft.Share(name, s.Whole)
		}
	}
	for _, g := range groups {
		name := g.organisation()
		if name == "" {
			g.share = 0 // it belongs to nobody who could hold too much
			if s.Way == Discounted {
				g.share = -g.Expected
			}
			continue
		}
		switch s.Way {
		case WithFloor:
			g.share = 0
			if ahead[name] > floorPart/weights {
				g.share = 1
			}
		case Discounted:
			g.share = -g.Expected * min(1, 1/(ahead[name]*weights))
		default:
			g.share = ahead[name]
		}
		step := &g.Job.Spec.Steps[g.Step]
		ahead[name] += float64(len(g.Tasks)) * org.Dominant(step.Need, s.Whole) / s.Draft.Weight(name)
	}
}

// OrderShared sorts groups by what comes first when organisations share rooms: like Order, but that within a priority shares go before what is
// expected.
func OrderShared(groups []*Group, s Shares) {
	Order(groups)
	s.rank(groups)
	if s.Way != ByWorth {
		slices.SortStableFunc(groups, compareShared)
	}
}
