// SPDX-License-Identifier: MIT

package upkeep

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// round plays load that goes round the pools, and returns what was expected shortly before each turn.
func round(t *Bursts, now time.Time, pools []string, turns int, each time.Duration) (expected []string) {
	const tick = 100 * time.Millisecond
	for i := range turns {
		for at := time.Duration(0); at < each; at += tick {
			for k, p := range pools {
				load := 0.0
				if k == i%len(pools) {
					load = 12
				}
				if k == (i+len(pools)-1)%len(pools) && i > 0 && at < time.Second {
					load = 4 // the end of the turn before
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

func TestTurnsAreExpectedInTheirOrder(t *testing.T) {
	got := round(new(Bursts), start, []string{"a", "b", "c"}, 8, 4*time.Second)
	// After the first turn nothing is known of gaps; after the second only c is left; then the order repeats.
	quicktest.Assert(t, got, quicktest.DeepEquals, []string{"", "c:12", "a:12", "b:12", "c:12", "a:12", "b:12", "c:12"})
}

func TestAPoolWithoutTurnsIsExpectedInTheFirstRoundOnly(t *testing.T) {
	c := quicktest.New(t)
	turns := new(Bursts)
	turns.Observe("idle", Load{Have: 20}, start)
	c.Assert(turns.DemandUnknown("idle"), quicktest.IsTrue)
	got := round(turns, start, []string{"a", "b"}, 6, 4*time.Second)
	c.Assert(got[1], quicktest.Equals, "idle:12")
	c.Assert(got[2:], quicktest.DeepEquals, []string{"b:12", "a:12", "b:12", "a:12"})
	c.Assert(turns.DemandUnknown("idle"), quicktest.IsFalse)
}

func TestAPoolThatMissesItsTurnIsNotExpectedAgain(t *testing.T) {
	c := quicktest.New(t)
	turns := new(Bursts)
	round(turns, start, []string{"a", "b", "c"}, 6, 4*time.Second)
	got := round(turns, start.Add(24*time.Second), []string{"a", "b"}, 6, 4*time.Second) // c has no load any more
	c.Assert(got[2:], quicktest.DeepEquals, []string{"b:12", "a:12", "b:12", "a:12"})
}

func TestNothingIsExpectedOnceLoadHasStopped(t *testing.T) {
	turns := new(Bursts)
	round(turns, start, []string{"a", "b", "c"}, 6, 4*time.Second)
	quicktest.Assert(t, turns.Next(2*time.Second, start.Add(time.Minute)), quicktest.HasLen, 0)
}

// TestWhatIsAlwaysThereIsNoTurn: a pool of a thousand instances has some at work at any time. Taken for its first turn that taught that turns need
// hardly anything: a fleet parked a pool in the first second of its real one.
func TestWhatIsAlwaysThereIsNoTurn(t *testing.T) {
	c := quicktest.New(t)
	turns := new(Bursts)
	now := start
	for range 50 {
		turns.Observe("a", Load{Need: 12, Used: 12, Have: 1000}, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(turns.DemandUnknown("a"), quicktest.IsTrue)
	c.Assert(turns.Last, quicktest.Equals, "")
	for range 20 {
		turns.Observe("a", Load{Need: 250, Used: 200, Have: 1000}, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(turns.Last, quicktest.Equals, "a")
	c.Assert(turns.DemandUnknown("a"), quicktest.IsTrue, quicktest.Commentf("what its turn needs is known once that is over"))
	for range 40 {
		turns.Observe("a", Load{Need: 12, Used: 12, Have: 1000}, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(turns.DemandUnknown("a"), quicktest.IsFalse)
	need, used, known := turns.FullDemand("a", now)
	c.Assert(known && need > 200 && used == 200, quicktest.IsTrue, quicktest.Commentf("%.0f %.0f", need, used))
}

// TestATurnThatHasGoneOnForLongTellsOfOthers has the first turn of all go on: what it has at work after a while is what others are taken to need.
func TestATurnThatHasGoneOnForLongTellsOfOthers(t *testing.T) {
	c := quicktest.New(t)
	turns := new(Bursts)
	now := start
	at := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			turns.Observe("a", Load{Need: 250, Used: 200, Have: 1000}, now)
			turns.Observe("b", Load{Need: 5, Used: 5, Have: 1000}, now)
			now = now.Add(100 * time.Millisecond)
		}
	}
	at(2 * time.Second)
	_, used, known := turns.FullDemand("b", now)
	c.Assert(used == 0 && !known, quicktest.IsTrue)
	at(3 * time.Second)
	_, used, known = turns.FullDemand("b", now)
	c.Assert(used == 200 && !known, quicktest.IsTrue, quicktest.Commentf("%.0f", used))
	_, used, _ = turns.FullDemand("a", now)
	c.Assert(used, quicktest.Equals, 0.0, quicktest.Commentf("it does not tell of itself"))
}
