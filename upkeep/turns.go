// SPDX-License-Identifier: MIT

package upkeep

import (
	"math"
	"time"
)

// Figures of how turns are told from noise.
const (
	// onsetLeast is the load, in instances, from which a pool may be at its turn; onsetShare is the same as a share of its instances, since what
	// is always there goes with the size of the pool; onsetPart the part of what its turns usually bring.
	onsetLeast = 1.5
	onsetShare = 0.02
	onsetPart  = 0.25
	// calmFor is how long a pool must be under half of that before its turn is over.
	calmFor = time.Second
	// gapRate is the weight of a new gap between two turns; a gap of more than gapMost times the mean begins anew.
	gapRate = 0.5
	gapMost = 3
	// lateMost is how long beyond its time a turn is still expected, as a part of the gap.
	lateMost = 0.3
	// settledAfter is how long a turn has gone on when what it has at work by then tells about others.
	settledAfter = 3 * time.Second
	// smoothOver is the time over which load is smoothed: single large jobs are no turn.
	smoothOver = 500 * time.Millisecond
)

// Burst is what is known of a pool's turns of load.
type Burst struct {
	// Began is when its latest turn began; zero when it had none.
	Began time.Time
	// Need is the most that its latest turn brought, in instances, smoothed over smoothOver.
	Need float64
	// Used is the most that it had at work of what its latest turn brought.
	Used float64
	// load is its smoothed load, seen when it was last looked at.
	load float64
	seen time.Time
	// Active says that the turn goes on; calm since when it has been nearly without load.
	Active bool
	calm   time.Time
	// Missed says that its turn did not come when it was expected.
	Missed bool
	// Ended says that a turn of its is over, so that Need is what a whole turn brought.
	Ended bool
}

// Bursts learns how load goes round the pools: one after the other is at its turn, for about as long each time. The zero
// value knows nothing.
type Bursts struct {
	Pools map[string]*Burst
	// Interval is the time between the onsets of two turns, 0 while unknown.
	Interval time.Duration
	// Last is the pool whose turn began last.
	Last string
	// SecondRound says that some pool had a second turn, so that pools without one have none.
	SecondRound bool
}

// ExpectedBurst is a turn that is to come, and what it will bring in instances.
type ExpectedBurst struct {
	Pool string
	Need float64
}

// Load is a pool's load beyond what lasts, in instances.
type Load struct {
	// Need is how many would serve it, Used how many are at work, Have how many the pool has.
	Need, Used float64
	Have       int
}

// Observe takes note of a pool's load.
func (t *Bursts) Observe(pool string, l Load, now time.Time) {
	if t.Pools == nil {
		t.Pools = make(map[string]*Burst)
	}
	p := t.Pools[pool]
	if p == nil {
		p = new(Burst)
		t.Pools[pool] = p
	}
	if !p.seen.IsZero() {
		part := 1 - math.Exp(-now.Sub(p.seen).Seconds()/smoothOver.Seconds())
		p.load += part * (l.Need - p.load)
	}
	p.seen = now
	load := p.load
	from := max(onsetLeast, onsetShare*float64(l.Have), onsetPart*t.need(p))
	switch {
	case load >= from && !p.Active:
		t.begin(pool, p, now)
		p.Need, p.Used = load, 0
	case load < from/2 && p.Active:
		if p.calm.IsZero() {
			p.calm = now
		}
		if now.Sub(p.calm) >= calmFor {
			p.Active, p.Ended = false, true
		}
	default:
		p.calm = time.Time{}
	}
	if p.Active {
		p.Need = max(p.Need, load)
		p.Used = max(p.Used, l.Used)
	}
}

func (t *Bursts) begin(pool string, p *Burst, now time.Time) {
	if last := t.Pools[t.Last]; last != nil {
		gap := now.Sub(last.Began)
		switch {
		case t.Interval == 0 || gap > gapMost*t.Interval:
			t.Interval = gap
		default:
			t.Interval += time.Duration(gapRate * float64(gap-t.Interval))
		}
	}
	if e := t.due(); len(e) == 1 && e[0] != pool {
		t.Pools[e[0]].Missed = true
	}
	t.SecondRound = t.SecondRound || !p.Began.IsZero()
	p.Began, p.Active, p.calm, p.Missed = now, true, time.Time{}, false
	t.Last = pool
}

// need returns what a turn of the pool brings: what its latest one did, else the mean of the others.
func (t *Bursts) need(p *Burst) float64 {
	if p.Need > 0 {
		return p.Need
	}
	sum, n := 0.0, 0
	for _, o := range t.Pools {
		if o.Need > 0 {
			sum += o.Need
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// FullDemand returns what a whole turn of the pool needs and what it has at work, in instances: what its latest one did that is over, else the mean of the
// others' that are over or have gone on for settledAfter; known says that it is its own, or that it has none. Nothing and not known means that there is
// no such turn yet.
func (t *Bursts) FullDemand(pool string, now time.Time) (need, used float64, known bool) {
	p := t.Pools[pool]
	switch {
	case p != nil && p.Ended:
		return p.Need, p.Used, true
	case t.SecondRound && (p == nil || p.Began.IsZero()):
		return 0, 0, true
	}
	n := 0
	for _, o := range t.Pools {
		if o.Ended || (o.Active && o != p && now.Sub(o.Began) >= settledAfter) {
			need += o.Need
			used += o.Used
			n++
		}
	}
	if n == 0 {
		return 0, 0, false
	}
	return need / float64(n), used / float64(n), false
}

// due returns the pools whose turn may be next: those that had none yet, else the one whose turn is longest ago.
func (t *Bursts) due() []string {
	var fresh []string
	oldest := ""
	for name, p := range t.Pools {
		switch {
		case p.Active || p.Missed || name == t.Last:
		case p.Began.IsZero():
			fresh = append(fresh, name)
		case oldest == "" || p.Began.Before(t.Pools[oldest].Began):
			oldest = name
		}
	}
	switch {
	case len(fresh) > 0 && !t.SecondRound:
		return fresh
	case oldest != "":
		return []string{oldest}
	}
	return nil
}

// Next returns the turns to be expected within the time given; each of several that are equally likely gets its part.
func (t *Bursts) Next(within time.Duration, now time.Time) []ExpectedBurst {
	last := t.Pools[t.Last]
	if last == nil || t.Interval == 0 {
		return nil
	}
	at := last.Began.Add(t.Interval)
	if now.Before(at.Add(-within)) || now.After(at.Add(time.Duration(lateMost*float64(t.Interval)))) {
		return nil
	}
	due := t.due()
	out := make([]ExpectedBurst, 0, len(due))
	for _, name := range due {
		out = append(out, ExpectedBurst{Pool: name, Need: t.need(t.Pools[name]) / float64(len(due))})
	}
	return out
}

// Active says whether the pool is at a turn.
func (t *Bursts) Active(pool string) bool {
	p := t.Pools[pool]
	return p != nil && p.Active
}

// DemandUnknown says whether a pool may still come to its first turn, or is at it: its load is not known yet.
func (t *Bursts) DemandUnknown(pool string) bool {
	p := t.Pools[pool]
	return !t.SecondRound && (p == nil || !p.Ended)
}
