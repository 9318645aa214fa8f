// SPDX-License-Identifier: MIT

package maintenance

import (
	"cmp"
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
	// pacedRounds is the number of maintenances that follow each other for which time is kept when instances wait for
	// a burst to end: the last ones are then taken out in two parts instead of all at once.
	pacedRounds = 2
	// returnTime is the assumed time from the end of a maintenance until the instance has its first tasks.
	returnTime = 500 * time.Millisecond
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
	// Drained reports that its data centre is drained, so that no pool can use it.
	Drained bool
}

// Selection is a decision about the next instances of a wave.
type Selection struct {
	// Take holds the instances to be taken out now.
	Take []Candidate
	// Held is, by pool, the number of instances that wait for a burst, and HeldFor how long they can wait at most.
	Held    map[string]int
	HeldFor time.Duration
}

// left returns the time that is left of the part of the wave's time in which it is planned to be done.
func (w Wave) left() time.Duration {
	return time.Duration(plannedPart*float64(w.Within)) - w.Elapsed
}

// holdable returns for how much longer the wave can take out nothing and still be done as planned. The rest of its
// instances must then fit into the time left with no more than MaxAway of them out at the same time, although twice as
// many may be, so that the wave isn't late if emptying takes longer or calls fail.
func (w Wave) holdable() time.Duration {
	each := w.Each + emptyTime
	rounds := float64(w.Remaining) / float64(max(w.MaxAway, 1))
	return w.left() - time.Duration(max(rounds, pacedRounds)*float64(each))
}

// back returns how long the instance will be out if it is taken now.
func (w Wave) back(x Candidate) time.Duration {
	if x.Runs == 0 {
		return w.Each + returnTime
	}
	return w.Each + emptyTime + returnTime
}

// width returns how many of the given number of instances must be out at the same time for the wave to end in time,
// if each takes the given time to be emptied.
func (w Wave) width(instances int, empty time.Duration) int {
	left := w.left()
	most := 2 * max(w.MaxAway, 1) // as many are being emptied as are away, so that the next one is always ready
	if left <= 0 {
		return most
	}
	need := math.Ceil(float64(instances) * float64(w.Each+empty) / float64(left))
	return max(1, min(int(need), most))
}

// Next selects the instances to be taken out now.
//
// Idle instances that no pool needs are taken at once, up to the number that may be away. Others are taken no faster
// than the wave's time requires, the easiest to empty first. Those that are needed for a burst of load wait for its end
// as long as the wave can hold them; then they follow the others at that pace. Instances with lasting tasks have a pace
// of their own from the start of the wave, because they can't be emptied quickly at its end.
func Next(w Wave, all []Candidate, loads map[string]PoolLoad) Selection {
	var s selector
	s.Wave = w
	s.sort(all, loads)
	s.takeUpTo(max(w.MaxAway, 1), s.idle)
	lastingWidth := w.width(w.OutLasting+len(s.lasting), lastingEmptyTime)
	for i := range min(len(s.lasting), max(lastingWidth-w.OutLasting, 0)) {
		s.Take = append(s.Take, s.lasting[i])
	}
	width := w.width(w.Remaining, emptyTime)
	s.takeUpTo(width, s.busy)
	if s.HeldFor = max(w.holdable(), 0); s.HeldFor == 0 {
		s.takeUpTo(width, s.held)
		return s.Selection
	}
	for _, x := range s.held {
		if s.Held == nil {
			s.Held = make(map[string]int)
		}
		s.Held[x.Pool]++
	}
	return s.Selection
}

// selector selects instances from its candidates by class, each in the order in which they are taken.
type selector struct {
	Selection
	Wave                      Wave
	idle, lasting, busy, held []Candidate
}

// sort divides the candidates into classes. Candidates that nobody needs, but of which there are more than may be away,
// belong to the class that they would have if they were needed.
func (s *selector) sort(all []Candidate, loads map[string]PoolLoad) {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Lasting, b.Lasting), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
	})
	spare := make(map[string]int, len(loads))
	for name, l := range loads {
		spare[name] = l.surplusWithin(s.Wave.back(Candidate{}))
	}
	var heldLasting []Candidate
	for _, x := range all {
		needed := !x.Drained && loads[x.Pool].neededWithin(s.Wave.back(x))
		idle := x.Runs == 0 && (x.Drained || spare[x.Pool] > 0) && s.Wave.Out+len(s.idle) < max(s.Wave.MaxAway, 1)
		switch {
		case x.Lasting > 0 && needed:
			heldLasting = append(heldLasting, x)
		case x.Lasting > 0:
			s.lasting = append(s.lasting, x)
		case idle:
			if !x.Drained {
				spare[x.Pool]--
			}
			s.idle = append(s.idle, x)
		case needed:
			s.held = append(s.held, x)
		default:
			s.busy = append(s.busy, x)
		}
	}
	s.lasting = append(s.lasting, heldLasting...)
}

// takeUpTo takes candidates until the given number of instances is out.
func (s *selector) takeUpTo(width int, from []Candidate) {
	n := min(len(from), max(width-s.Wave.Out-len(s.Take), 0))
	s.Take = append(s.Take, from[:n]...)
}
