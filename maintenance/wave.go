// SPDX-License-Identifier: MIT

package maintenance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the pace of a wave.
const (
	// emptyTime is the assumed time to empty an instance, a little less than the time that short tasks are given.
	emptyTime = 2 * time.Second
	// lastingEmptyTime is the same for an instance with lasting tasks, which leave one by one as their steps allow.
	// It took 3 to 5 s in logs of a fleet of 1,100 instances, where the last ones made a wave of 550 late by one
	// instance.
	lastingEmptyTime = 5 * time.Second
	// plannedPart is the fraction of a wave's time in which it is planned to be done. The rest is a reserve for
	// failed calls.
	plannedPart = 0.75
)

// Wave is the progress of a wave of instance maintenance.
type Wave struct {
	// MaxAway is the number of instances that may be away at the same time.
	MaxAway int
	// Remaining is the number of instances whose maintenance is not done, Out the number of those that are being emptied
	// or are away, and OutLasting the number of those that still have lasting tasks.
	Remaining, Out, OutLasting int
	// Within is the time allowed for the wave, Elapsed the time since its start, and Each the duration of one
	// maintenance.
	Within, Elapsed, Each time.Duration
}

// Candidate is an instance whose maintenance may begin.
type Candidate struct {
	Name, Pool string
	// Runs is the number of its runs, and Lasting the number of those that belong to lasting tasks.
	Runs, Lasting int
}

// width returns how many of the given number of instances must be out at the same time for the wave to end in time,
// if each takes the given time to be emptied.
func (w Wave) width(instances int, empty time.Duration) int {
	left := time.Duration(plannedPart*float64(w.Within)) - w.Elapsed
	most := 2 * max(w.MaxAway, 1) // as many are being emptied as are away, so that the next one is always ready
	if left <= 0 {
		return most
	}
	need := math.Ceil(float64(instances) * float64(w.Each+empty) / float64(left))
	return max(1, min(int(need), most))
}

// Next returns the instances to be taken out now. Instances that no pool needs are taken at once, up to the number
// that may be away. Others are taken no faster than the wave's time requires, the easiest to empty first. Those with
// lasting tasks have a pace of their own from the start of the wave, because they can't be emptied quickly at its
// end. Surplus is the number of instances that each pool can spare.
func Next(w Wave, all []Candidate, surplus map[string]int) []Candidate {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
	})
	spare := maps.Clone(surplus)
	width := w.width(w.Remaining, emptyTime)
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
		if w.OutLasting+i >= w.width(w.OutLasting+len(lasting), lastingEmptyTime) {
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
