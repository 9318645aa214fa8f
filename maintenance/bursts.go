// SPDX-License-Identifier: MIT

package maintenance

import (
	"math"
	"time"
)

// Parameters for telling bursts of load from noise.
const (
	// A burst of a pool begins when its load reaches the largest of onsetMin instances, onsetShare of the pool's
	// instances (since the base load grows with the size of the pool) and onsetPart of the demand of its usual
	// bursts.
	onsetMin   = 1.5
	onsetShare = 0.02
	onsetPart  = 0.25
	// calmPeriod is how long the load must stay below half of that for the burst to be over.
	calmPeriod = time.Second
	// intervalWeight is the weight of a new interval between two bursts in the moving average. An interval of more
	// than maxIntervalRatio times the average restarts the average.
	intervalWeight   = 0.5
	maxIntervalRatio = 3
	// maxLateness is for how long an overdue burst is still expected, as a fraction of the interval.
	maxLateness = 0.3
	// settledAfter is the time after which the usage of an ongoing burst is taken as an estimate for other pools.
	settledAfter = 3 * time.Second
	// smoothingTime is the time constant for smoothing the load, so that a single large job is not taken for a
	// burst.
	smoothingTime = 500 * time.Millisecond
)

// Burst describes the bursts of load of one pool.
type Burst struct {
	// Began is when its latest burst began, or zero if it had none.
	Began time.Time
	// Need is the maximum smoothed demand of its latest burst, in instances.
	Need float64
	// Used is the maximum number of instances that were at work in its latest burst.
	Used float64
	// load is its smoothed load and seen the time of the latest observation.
	load float64
	seen time.Time
	// Active reports that the burst continues. calm is since when its load has been low.
	Active bool
	calm   time.Time
	// Missed reports that its burst did not come when it was expected.
	Missed bool
	// Ended reports that it has had a complete burst, so that Need is the demand of a complete one.
	Ended bool
}

// Bursts learns the pattern in which bursts of load pass from pool to pool: one pool after the other has a burst, at
// regular intervals. The zero value is ready to use.
type Bursts struct {
	Pools map[string]*Burst
	// Interval is the average time between the beginnings of successive bursts, or 0 while it is unknown.
	Interval time.Duration
	// Last is the pool with the latest burst.
	Last string
	// SecondRound reports that some pool has had a second burst, so that pools without a burst are taken to have
	// none.
	SecondRound bool
}

// ExpectedBurst is a burst that is expected, with its demand in instances.
type ExpectedBurst struct {
	Pool string
	Need float64
}

// Load is the load of a pool without its lasting tasks, in instances.
type Load struct {
	// Need is the number of instances that the load needs, Used the number that are at work, and Have the size of
	// the pool.
	Need, Used float64
	Have       int
}

// Observe records the current load of a pool.
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
		part := 1 - math.Exp(-now.Sub(p.seen).Seconds()/smoothingTime.Seconds())
		p.load += part * (l.Need - p.load)
	}
	p.seen = now
	load := p.load
	from := max(onsetMin, onsetShare*float64(l.Have), onsetPart*t.need(p))
	switch {
	case load >= from && !p.Active:
		t.begin(pool, p, now)
		p.Need, p.Used = load, 0
	case load < from/2 && p.Active:
		if p.calm.IsZero() {
			p.calm = now
		}
		if now.Sub(p.calm) >= calmPeriod {
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
		interval := now.Sub(last.Began)
		switch {
		case t.Interval == 0 || interval > maxIntervalRatio*t.Interval:
			t.Interval = interval
		default:
			t.Interval += time.Duration(intervalWeight * float64(interval-t.Interval))
		}
	}
	if e := t.due(); len(e) == 1 && e[0] != pool {
		t.Pools[e[0]].Missed = true
	}
	t.SecondRound = t.SecondRound || !p.Began.IsZero()
	p.Began, p.Active, p.calm, p.Missed = now, true, time.Time{}, false
	t.Last = pool
}

// need returns the demand of a burst of the pool: that of its latest burst, or the mean of the other pools.
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

// FullDemand returns the demand and the usage of a complete burst of the pool, in instances. If the pool has had a
// complete burst, it returns those of its latest one, with known set. If the pool is taken to have no bursts, it
// returns 0, with known set. Otherwise it returns the mean of the other pools' bursts that are complete or have
// lasted for settledAfter, or 0 if there are none, with known not set.
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

// due returns the pools that may have the next burst: in the first round those that have had none, otherwise the
// pool whose last burst is the longest ago.
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

// Next returns the bursts that are expected to begin within the given time. If several pools are equally likely, the
// demand is divided among them.
func (t *Bursts) Next(within time.Duration, now time.Time) []ExpectedBurst {
	last := t.Pools[t.Last]
	if last == nil || t.Interval == 0 {
		return nil
	}
	at := last.Began.Add(t.Interval)
	if now.Before(at.Add(-within)) || now.After(at.Add(time.Duration(maxLateness*float64(t.Interval)))) {
		return nil
	}
	due := t.due()
	out := make([]ExpectedBurst, 0, len(due))
	for _, name := range due {
		out = append(out, ExpectedBurst{Pool: name, Need: t.need(t.Pools[name]) / float64(len(due))})
	}
	return out
}

// Active reports whether the pool has a burst now.
func (t *Bursts) Active(pool string) bool {
	p := t.Pools[pool]
	return p != nil && p.Active
}

// DemandUnknown reports whether the pool may still have its first burst, or has not completed it, so that the demand
// of its bursts is unknown.
func (t *Bursts) DemandUnknown(pool string) bool {
	p := t.Pools[pool]
	return !t.SecondRound && (p == nil || !p.Ended)
}
