// SPDX-License-Identifier: MIT

package maintenance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// lastingLoadAfter is the time after which a burst is taken for a steady load, which is not expected to end.
const lastingLoadAfter = 30 * time.Second

// PoolLoad is what a wave has to know of the load of a pool.
type PoolLoad struct {
	// Surplus is the number of instances that the pool can spare now.
	Surplus int
	// Burst reports that there is a burst that needs its instances. It begins in BurstIn, or has begun if that is 0, and
	// leaves the pool BurstSurplus instances to spare.
	Burst        bool
	BurstIn      time.Duration
	BurstSurplus int
}

// surplusWithin returns the number of instances that the pool can spare during the given time.
func (l PoolLoad) surplusWithin(d time.Duration) int {
	if l.neededWithin(d) {
		return l.BurstSurplus
	}
	return l.Surplus
}

// neededWithin reports whether the pool's instances are needed for a burst within the given time.
func (l PoolLoad) neededWithin(d time.Duration) bool { return l.Burst && l.BurstIn <= d }

// PoolLoads returns the load of each pool. A burst is taken into account if it is under way or expected within the
// given time. Lasting is the number of instances that the lasting tasks of each pool use.
//
// A pool whose burst is expected, or has just begun, needs what its bursts usually need, if that is more than its tasks
// want now. What it lacks is reserved first in the headroom, then in the surplus of other pools. A burst that is
// expected needs its instances after those that are under way, so that the same ones can serve both.
func PoolLoads(pools []Pool, b *Bursts, lasting map[string]float64, within time.Duration, now time.Time) map[string]PoolLoad {
	loads := make(map[string]PoolLoad, len(pools))
	lacks := poolLacks{in: within}
	headroom := 0
	for _, p := range pools {
		if p.Headroom {
			headroom += p.Have
			continue
		}
		l, lack := loadOf(p, b, lasting[p.Name], within, now)
		loads[p.Name] = l
		lacks.add(l, lack)
	}
	for _, p := range pools {
		if p.Headroom {
			loads[p.Name] = lacks.headroomLoad(p.Have)
		}
	}
	reserve(loads, pools, lacks.ongoing-headroom)
	return loads
}

// loadOf returns the load of a pool that is not headroom, and how many instances it lacks.
func loadOf(p Pool, b *Bursts, lasting float64, within time.Duration, now time.Time) (l PoolLoad, lack int) {
	l.BurstIn, l.Burst = b.needsSoon(p.Name, within, now)
	over := p.Have - int(math.Ceil(p.Want))
	l.Surplus = max(over, 0)
	if l.Burst {
		over = p.Have - int(math.Ceil(max(p.Want, b.usualNeed(p.Name, now)+lasting)))
		l.BurstSurplus = max(over, 0)
	}
	return l, max(-over, 0)
}

// poolLacks sums up the instances that pools lack for bursts under way, for bursts that are expected, and without a
// burst. The first burst that lacks some begins after in.
type poolLacks struct {
	ongoing, expected, other int
	in                       time.Duration
}

// add adds what a pool with the load lacks.
func (s *poolLacks) add(l PoolLoad, lack int) {
	if l.Burst && lack > 0 {
		s.in = min(s.in, l.BurstIn)
	}
	switch {
	case !l.Burst:
		s.other += lack
	case l.BurstIn > 0:
		s.expected += lack
	default:
		s.ongoing += lack
	}
}

// headroomLoad returns the load of a headroom pool with the given number of instances.
func (s *poolLacks) headroomLoad(have int) PoolLoad {
	l := PoolLoad{Surplus: max(have-s.ongoing-s.other, 0)}
	if lack := max(s.ongoing, s.expected); lack > 0 {
		l.Burst, l.BurstIn, l.BurstSurplus = true, s.in, max(have-lack-s.other, 0)
	}
	return l
}

// reserve takes what bursts under way lack beyond the headroom from the surplus of the other pools.
func reserve(loads map[string]PoolLoad, pools []Pool, lack int) {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range pools {
		l := loads[p.Name]
		if l.neededWithin(0) {
			continue
		}
		n := min(l.Surplus, max(lack, 0))
		l.Surplus -= n
		lack -= n
		loads[p.Name] = l
	}
}

// usualNeed returns what the pool's bursts usually need, or 0 if one has lasted long enough to show its own need.
func (t *Bursts) usualNeed(pool string, now time.Time) float64 {
	if p := t.Pools[pool]; p != nil && p.Active && now.Sub(p.Began) >= settledAfter {
		return 0
	}
	need, _, _ := t.FullDemand(pool, now)
	return need
}

// needsSoon reports whether the pool has a burst that is expected to end, or is the only one that may have the next
// burst, within the given time, and how long that is away.
func (t *Bursts) needsSoon(pool string, within time.Duration, now time.Time) (time.Duration, bool) {
	if p := t.Pools[pool]; p != nil && p.Active {
		return 0, now.Sub(p.Began) < lastingLoadAfter
	}
	next := t.Next(within, now)
	if len(next) != 1 || next[0].Pool != pool {
		return 0, false
	}
	return max(t.Pools[t.Last].Began.Add(t.Interval).Sub(now), 0), true
}
