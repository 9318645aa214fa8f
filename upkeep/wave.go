// SPDX-License-Identifier: MIT

package upkeep

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Figures of a wave's pace.
const (
	// emptyFor is how long an instance is taken to need to be emptied: assumed, a little under what short work is given.
	emptyFor = 2 * time.Second
	// lastingFor is the same for one with lasting tasks, which leave one after the other as their steps may miss them: 3 to 5 s
	// in logs of a fleet of 1,100, where those that came last left a wave of 550 late by one.
	lastingFor = 5 * time.Second
	// useOf is the part of a wave's time in which it is to be done; the rest is for calls that fail.
	useOf = 0.75
)

// Wave is what is known of a wave of upkeep.
type Wave struct {
	// MaxAway may be away at once.
	MaxAway int
	// Remaining counts the instances whose upkeep is not over, Out those of them that are being emptied or away, OutLasting those of
	// these that lasting tasks still hold.
	Remaining, Out, OutLasting int
	// Within is the time that the wave has, Since what has passed of it, Each what one upkeep takes.
	Within, Elapsed, Each time.Duration
}

// Candidate is an instance whose upkeep can begin.
type Candidate struct {
	Name, Pool string
	// Runs counts its runs, Lasting those that last.
	Runs, Lasting int
}

// width returns how many of that many instances must be out at a time for the wave to be done in time, when each takes as long
// to be emptied.
func (w Wave) width(instances int, empty time.Duration) int {
	left := time.Duration(useOf*float64(w.Within)) - w.Elapsed
	most := 2 * max(w.MaxAway, 1) // as many are emptied as are away, so that none waits to begin
	if left <= 0 {
		return most
	}
	need := math.Ceil(float64(instances) * float64(w.Each+empty) / float64(left))
	return max(1, min(int(need), most))
}

// Next returns the instances to be taken out now: those that nobody needs at once, as many as may be away; others no
// faster than the wave's time asks for, what is easily emptied first. Those with lasting tasks have a pace of their own from the
// wave's begin on: they can't be hurried at its end. Surplus is how many instances each pool can spare.
func Next(w Wave, all []Candidate, surplus map[string]int) []Candidate {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
	})
	spare := maps.Clone(surplus)
	width := w.width(w.Remaining, emptyFor)
	var out []Candidate
	var busy, lasting []Candidate
	for _, x := range all {
		if x.Lasting > 0 {
			lasting = append(lasting, x)
			continue
		}
		idle := x.Runs == 0 && spare[x.Pool] > 0
		if !idle || w.Out+len(out) >= max(w.MaxAway, 1) {
			busy = append(busy, x)
			continue
		}
		spare[x.Pool]--
		out = append(out, x)
	}
	for i, x := range lasting {
		if w.OutLasting+i >= w.width(w.OutLasting+len(lasting), lastingFor) {
			break
		}
		out = append(out, x)
	}
	for _, x := range busy {
		if w.Out+len(out) >= width {
			break
		}
		out = append(out, x)
	}
	return out
}
