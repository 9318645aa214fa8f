// SPDX-License-Identifier: MIT

package maintenance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of what is taken for a burst whose end is worth waiting for.
const (
	// lastingLoadAfter and lastingLoadIntervals are the time, and the number of intervals between bursts, after which
	// a load is no longer expected to end soon: that of a pool with a steady load never does.
	lastingLoadAfter     = 10 * time.Second
	lastingLoadIntervals = 2
)

// PoolLoad is what a wave has to know of the load of a pool.
type PoolLoad struct {
	// Surplus is the number of instances that the pool can spare, also in the bursts that are under way or expected.
	Surplus int
	// Burst reports that the other instances are needed for a burst that begins in BurstIn. It has begun if that is 0.
	Burst   bool
	BurstIn time.Duration
}

// neededWithin reports whether the pool's instances are needed for a burst within the given time.
func (l PoolLoad) neededWithin(d time.Duration) bool { return l.Burst && l.BurstIn <= d }

// PoolLoads returns the load of each pool. A burst is taken into account if it is under way or expected within the
// given time. Lasting is the number of instances that the lasting tasks of each pool use.
//
// A pool in a burst needs what its tasks want now or what its bursts usually need, whichever is more. What it lacks is
// reserved first in the headroom, then in the surplus of other pools.
func PoolLoads(pools []Pool, b *Bursts, lasting map[string]float64, within time.Duration, now time.Time) map[string]PoolLoad {
	pools = slices.Clone(pools)
	loads := make(map[string]PoolLoad, len(pools))
	lack, lackIn, headroom := 0, within, 0
	for i := range pools {
		p := &pools[i]
		if p.Headroom {
			headroom += p.Have
			continue
		}
		in, burst := b.needsSoon(p.Name, within, now)
		if burst {
			need, _, _ := b.FullDemand(p.Name, now)
			p.Want = max(p.Want, need+lasting[p.Name])
		}
		if n := int(math.Ceil(p.Want)) - p.Have; burst && n > 0 {
			lack += n
			lackIn = min(lackIn, in)
		}
		loads[p.Name] = PoolLoad{Burst: burst, BurstIn: in}
	}
	surplus := Surplus(pools)
	for _, p := range pools {
		l := loads[p.Name]
		l.Surplus = surplus[p.Name]
		if p.Headroom && lack > 0 {
			l.Burst, l.BurstIn = true, lackIn
		}
		loads[p.Name] = l
	}
	reserve(loads, pools, lack-headroom)
	return loads
}

// reserve takes what bursts lack beyond the headroom from the surplus of the pools. It sorts the pools by name.
func reserve(loads map[string]PoolLoad, pools []Pool, lack int) {
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range pools {
		l := loads[p.Name]
		n := min(l.Surplus, max(lack, 0))
		l.Surplus -= n
		lack -= n
		loads[p.Name] = l
	}
}

// needsSoon reports whether the pool has a burst that is expected to end, or is the only one that may have the next
// burst, within the given time, and how long that is away.
func (t *Bursts) needsSoon(pool string, within time.Duration, now time.Time) (time.Duration, bool) {
	if p := t.Pools[pool]; p != nil && p.Active {
		return 0, now.Sub(p.Began) < max(lastingLoadAfter, lastingLoadIntervals*t.Interval)
	}
	next := t.Next(within, now)
	if len(next) != 1 || next[0].Pool != pool {
		return 0, false
	}
	return max(t.Pools[t.Last].Began.Add(t.Interval).Sub(now), 0), true
}
