// SPDX-License-Identifier: MIT

package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// round simulates bursts that pass from pool to pool, and returns what was expected shortly before each burst.
func round(t *Bursts, now time.Time, pools []string, count int, each time.Duration) (expected []string) {
	const tick = 100 * time.Millisecond
	for i := range count {
		for at := time.Duration(0); at < each; at += tick {
			for k, p := range pools {
				load := 0.0
				if k == i%len(pools) {
					load = 12
				}
				if k == (i+len(pools)-1)%len(pools) && i > 0 && at < time.Second {
					load = 4 // the end of the previous burst
				}
				t.Observe(p, Load{Need: load, Used: load, Have: 20}, now)
			}
			now = now.Add(tick)
		}
		e := ""
		for _, x := range t.Next(2*time.Second, now) {
			e += fmt.Sprintf("%s:%.0f", x.Pool, x.Need)
		}
		expected = append(expected, e)
	}
	return expected
}

var start = time.Unix(1000, 0)

func TestBurstsAreExpectedInTheirOrder(t *testing.T) {
	got := round(new(Bursts), start, []string{"a", "b", "c"}, 8, 4*time.Second)
	// After the first burst no interval is known; after the second only c has had none; then the order repeats.
	quicktest.Assert(t, got, quicktest.DeepEquals, []string{"", "c:12", "a:12", "b:12", "c:12", "a:12", "b:12", "c:12"})
}

func TestAPoolWithoutBurstsIsExpectedInTheFirstRoundOnly(t *testing.T) {
	c := quicktest.New(t)
	bursts := new(Bursts)
	bursts.Observe("idle", Load{Have: 20}, start)
	c.Assert(bursts.DemandUnknown("idle"), quicktest.IsTrue)
	got := round(bursts, start, []string{"a", "b"}, 6, 4*time.Second)
	c.Assert(got[1], quicktest.Equals, "idle:12")
	c.Assert(got[2:], quicktest.DeepEquals, []string{"b:12", "a:12", "b:12", "a:12"})
	c.Assert(bursts.DemandUnknown("idle"), quicktest.IsFalse)
}

func TestAPoolThatMissesItsBurstIsNotExpectedAgain(t *testing.T) {
	c := quicktest.New(t)
	bursts := new(Bursts)
	round(bursts, start, []string{"a", "b", "c"}, 6, 4*time.Second)
	got := round(bursts, start.Add(24*time.Second), []string{"a", "b"}, 6, 4*time.Second) // c has no more load
	c.Assert(got[2:], quicktest.DeepEquals, []string{"b:12", "a:12", "b:12", "a:12"})
}

func TestNothingIsExpectedOnceLoadHasStopped(t *testing.T) {
	bursts := new(Bursts)
	round(bursts, start, []string{"a", "b", "c"}, 6, 4*time.Second)
	quicktest.Assert(t, bursts.Next(2*time.Second, start.Add(time.Minute)), quicktest.HasLen, 0)
}

// A pool of a thousand instances always has some at work. This base load was once taken for the pool's first burst,
// so that bursts seemed to need hardly anything and the pool was moved to the headroom in the first second of its
// real burst.
func TestBaseLoadIsNoBurst(t *testing.T) {
	c := quicktest.New(t)
	bursts := new(Bursts)
	now := start
	for range 50 {
		bursts.Observe("a", Load{Need: 12, Used: 12, Have: 1000}, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(bursts.DemandUnknown("a"), quicktest.IsTrue)
	c.Assert(bursts.Last, quicktest.Equals, "")
	for range 20 {
		bursts.Observe("a", Load{Need: 250, Used: 200, Have: 1000}, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(bursts.Last, quicktest.Equals, "a")
	c.Assert(bursts.DemandUnknown("a"), quicktest.IsTrue, quicktest.Commentf("the demand of a burst is known once it is over"))
	for range 40 {
		bursts.Observe("a", Load{Need: 12, Used: 12, Have: 1000}, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(bursts.DemandUnknown("a"), quicktest.IsFalse)
	need, used, known := bursts.FullDemand("a", now)
	c.Assert(known && need > 200 && used == 200, quicktest.IsTrue, quicktest.Commentf("%.0f %.0f", need, used))
}

// Checks that the usage of the very first burst becomes the estimate for other pools once it has lasted for
// settledAfter.
func TestALongBurstIsAnEstimateForOthers(t *testing.T) {
	c := quicktest.New(t)
	bursts := new(Bursts)
	now := start
	at := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			bursts.Observe("a", Load{Need: 250, Used: 200, Have: 1000}, now)
			bursts.Observe("b", Load{Need: 5, Used: 5, Have: 1000}, now)
			now = now.Add(100 * time.Millisecond)
		}
	}
	at(2 * time.Second)
	_, used, known := bursts.FullDemand("b", now)
	c.Assert(used == 0 && !known, quicktest.IsTrue)
	at(3 * time.Second)
	_, used, known = bursts.FullDemand("b", now)
	c.Assert(used == 200 && !known, quicktest.IsTrue, quicktest.Commentf("%.0f", used))
	_, used, _ = bursts.FullDemand("a", now)
	c.Assert(used, quicktest.Equals, 0.0, quicktest.Commentf("an ongoing burst is no estimate for its own pool"))
}
