// SPDX-License-Identifier: MIT

package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Class is a part of the work of a pool whose jobs can still be in time.
type Class struct {
	// Instances is how many instances the work occupies at once so that it is in time, and For is for how long.
	Instances float64
	For       time.Duration
	// Value is the value of a core-second of it, as a multiple of that of a mean job.
	Value float64
}

// total returns the value of the work of one of the instances.
func (c Class) total() float64 { return c.Value * float64(c.For) }

// Claim describes what instances yield in a pool during a shortage.
type Claim struct {
	// Lasting is the number of instances that its lasting tasks need, which come before everything else.
	Lasting float64
	// Timely is its work that can still be in time. LateValue is the value of a core-second of work that can't.
	Timely    []Class
	LateValue float64
	// Movable is the number of its instances that may move.
	Movable int
	// Emptying is the mean time until the runs of one of its instances have ended.
	Emptying time.Duration
}

// TimelyInstances returns the number of instances that the pool's timely work needs.
func (c *Claim) TimelyInstances() float64 {
	n := 0.0
	for _, x := range c.Timely {
		n += x.Instances
	}
	return n
}

// ShiftTerms are the terms on which instances move between pools during a shortage.
type ShiftTerms struct {
	// Delay is the time from the beginning of a move until the instance serves its new pool.
	Delay time.Duration
	// PayOff is the time within which a move must have yielded more than it cost.
	PayOff time.Duration
}

// Shift is a number of instances that move from one pool to another during a shortage. Gain is what the last of them
// yields in the new pool within ShiftTerms.PayOff, and Loss what it would yield in the old one, in seconds of an
// instance at work on mean jobs.
type Shift struct {
	From, To   string
	Instances  int
	Gain, Loss float64
}

const (
	// moveCost is the price of a move, in seconds of an instance at work. Instances that yield nothing where they are
	// go wherever they yield something, as they do without a shortage.
	moveCost = 0.1
	// minGainRatio is how many times its loss a move must yield. Both are made from estimates of run times and rates,
	// which may be wrong by this factor.
	minGainRatio = 2
	// maxScarcity bounds the weight of a pool that has a small part of the instances that its timely work needs.
	maxScarcity = 8
	// lastingYield is the yield of an instance that lasting tasks need. It exceeds that of all other work.
	lastingYield = 1e6
)

// Short reports whether what the pools want or keep is together more than there is, by more than the given fraction.
func Short(pools []Pool, margin float64) bool {
	want, have := 0.0, 0
	for i := range pools {
		want += math.Ceil(max(pools[i].Want, pools[i].Min))
		have += pools[i].Have
	}
	return want > float64(have)*(1+margin)
}

// Allot limits the targets of the pools to what each is to have during a shortage, and returns the shifts that lead
// there. An instance moves if it yields more in its new pool than in its old one, net of its move. Its delay, moveCost
// and minGainRatio count against a move in either direction, so that a change of the load has to outweigh two moves
// before an instance returns.
//
// The weight of a pool's timely work is the ratio of the instances that it needs to those that it has. Pools that are
// all short therefore get like parts of what their timely work needs, instead of one getting everything. Work that
// is late keeps instances only where no other pool has timely work for them.
//
// Its run time is linear in the number of instances.
func Allot(pools []Pool, claims map[string]*Claim, terms ShiftTerms) []Shift {
	rows := make([]*allotment, 0, len(pools))
	for i := range pools {
		rows = append(rows, newAllotment(&pools[i], claims[pools[i].Name]))
	}
	slices.SortFunc(rows, func(a, b *allotment) int { return cmp.Compare(a.Name, b.Name) })
	shifts := shiftInstances(rows, terms)
	for _, a := range rows {
		a.limitTargets()
	}
	return shifts
}

// allotment is the number of instances that a pool is to have.
type allotment struct {
	*Pool
	Claim
	granted int
	// needed is the number of instances that its timely work needs.
	needed float64
}

func newAllotment(p *Pool, c *Claim) *allotment {
	a := &allotment{Pool: p, granted: p.Have}
	if c != nil {
		a.Claim = *c
	}
	a.Timely = slices.Clone(a.Timely)
	slices.SortStableFunc(a.Timely, func(x, y Class) int { return cmp.Compare(y.total(), x.total()) })
	a.needed = a.TimelyInstances()
	return a
}

// limitTargets limits the targets of the pool to the granted number. Targets of the headroom have no meaning.
func (a *allotment) limitTargets() {
	if a.Headroom {
		return
	}
	n := float64(a.granted)
	a.Want, a.Min = min(a.Want, n), min(a.Min, n)
	a.LongTermNeed, a.SoonNeed = min(a.LongTermNeed, n), min(a.SoonNeed, n)
}

// yield returns what the pool's n-th instance yields within the given period if it serves from the given delay on.
func (a *allotment) yield(n int, delay, period time.Duration) float64 {
	before := float64(n - 1)
	switch {
	case a.Headroom || before >= max(a.Want, a.Min):
		return 0
	case before < a.Lasting:
		return lastingYield
	}
	before -= a.Lasting
	scarcity := min(max(a.needed/(before+1), 1), maxScarcity)
	for _, c := range a.Timely {
		if before < c.Instances {
			until := min(c.For, period)
			timely := c.Value * scarcity * max(until-delay, 0).Seconds()
			return timely + a.LateValue*(period-max(until, delay)).Seconds()
		}
		before -= c.Instances
	}
	return a.LateValue * (period - delay).Seconds()
}

// gain returns what one more instance would yield in the pool after a move.
func (a *allotment) gain(t ShiftTerms) float64 {
	if a.Headroom || float64(a.granted) >= math.Ceil(a.Want) {
		return 0
	}
	return a.yield(a.granted+1, t.Delay, t.PayOff)
}

// lack returns the part of its want that the pool lacks. It decides between pools that gain the same.
func (a *allotment) lack() float64 { return 1 - float64(a.granted)/a.Want }

// loss returns what the pool would lose with one of its instances, including the time in which it is emptied.
func (a *allotment) loss(t ShiftTerms) float64 {
	if a.Movable == 0 {
		return math.Inf(1)
	}
	return a.yield(a.granted, 0, t.PayOff) * (1 + a.Emptying.Seconds()/t.PayOff.Seconds())
}

// pays reports whether a move is worth its cost.
func pays(gain, loss float64) bool {
	if loss == 0 {
		return gain > 0
	}
	return gain > minGainRatio*loss+moveCost
}

// shiftInstances grants instances of the headroom and of the pools that lose least to the pools that gain most, while
// that pays. What an instance yields never rises with the number in its pool, so that no other pair pays once the
// best one does not.
func shiftInstances(rows []*allotment, t ShiftTerms) []Shift {
	var shifts []Shift
	for {
		to, gain := mostGaining(rows, t)
		from, loss := leastLosing(rows, t)
		if to == nil || from == nil || from == to || !pays(gain, loss) {
			return shifts
		}
		to.granted++
		from.granted--
		from.Movable--
		i := slices.IndexFunc(shifts, func(x Shift) bool { return x.From == from.Name && x.To == to.Name })
		if i < 0 {
			i = len(shifts)
			shifts = append(shifts, Shift{From: from.Name, To: to.Name})
		}
		shifts[i].Instances++
		shifts[i].Gain, shifts[i].Loss = gain, loss
	}
}

// mostGaining returns the pool that gains most from one more instance, and its gain. It returns nil if none gains. Of
// equal gains it takes that of the pool that lacks the larger part of its want.
func mostGaining(rows []*allotment, t ShiftTerms) (*allotment, float64) {
	var to *allotment
	gain := 0.0
	for _, a := range rows {
		if g := a.gain(t); g > gain || (g > 0 && g == gain && a.lack() > to.lack()) {
			to, gain = a, g
		}
	}
	return to, gain
}

// leastLosing returns the pool that loses least with one of its instances, and its loss. It returns nil if no instance
// may move. Of equal losses it takes that of the headroom.
func leastLosing(rows []*allotment, t ShiftTerms) (*allotment, float64) {
	var from *allotment
	loss := math.Inf(1)
	for _, a := range rows {
		if l := a.loss(t); l < loss || (l == loss && a.Headroom && a.Movable > 0) {
			from, loss = a, l
		}
	}
	return from, loss
}
