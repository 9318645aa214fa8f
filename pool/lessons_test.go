// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/upkeep"
)

// TestANewLeaderKnowsWhatTheEarlierOneLearned: run times, and whose turn of load comes next.
func TestANewLeaderKnowsWhatTheEarlierOneLearned(t *testing.T) {
	c := quicktest.New(t)
	earlier := newBench(c, nil)
	now := time.Now()
	earlier.lessons["q"] = &lesson{runs: 40, mean: 0.7, spread: 0.1, wrong: 0.4, work: 12}
	earlier.pool("p").ran = 1.7
	for at := time.Duration(0); at < 14*time.Second; at += 100 * time.Millisecond {
		for i, name := range []string{"a", "b", "c"} {
			load := 0.0
			if int(at/(4*time.Second))%3 == i {
				load = 9
			}
			earlier.turns.Observe(name, upkeep.Load{Need: load, Used: load, Have: 10}, now.Add(at))
		}
	}
	now = now.Add(14 * time.Second)
	records := earlier.keepLessons(now, nil)
	c.Assert(records, quicktest.HasLen, 1)
	c.Assert(earlier.keepLessons(now.Add(time.Second), nil), quicktest.HasLen, 0)

	later := newBench(c, nil)
	later.restoreLessons(records[0], now.Add(lessonsLate))
	c.Assert(*later.lessons["q"], quicktest.Equals, *earlier.lessons["q"])
	c.Assert(later.pool("p").meanRun(), quicktest.Equals, 1.7)
	next := earlier.turns.Next(2*time.Second, now.Add(lessonsLate))
	c.Assert(next, quicktest.HasLen, 1)
	c.Assert(next[0].Pool, quicktest.Equals, "b")
	c.Assert(later.turns.Next(2*time.Second, now.Add(lessonsLate))[0].Pool, quicktest.Equals, "b")
}
