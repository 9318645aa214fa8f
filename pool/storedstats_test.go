// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/maintenance"
)

// TestANewLeaderKnowsWhatTheEarlierOneLearned guards against a new leader that starts without the earlier one's run-time statistics and without knowing which
// pool's turn of load comes next.
func TestANewLeaderKnowsWhatTheEarlierOneLearned(t *testing.T) {
	c := quicktest.New(t)
	earlier := newFixture(c, nil)
	now := time.Now()
	earlier.statsByQueue["q"] = &queueStats{runs: 40, mean: 0.7, variance: 0.1, estimateError: 0.4, work: 12}
	earlier.pool("p").meanRunSeconds = 1.7
	for at := time.Duration(0); at < 14*time.Second; at += 100 * time.Millisecond {
		for i, name := range []string{"a", "b", "c"} {
			load := 0.0
			if int(at/(4*time.Second))%3 == i {
				load = 9
			}
			earlier.bursts.Observe(name, maintenance.Load{Need: load, Used: load, Have: 10}, now.Add(at))
		}
	}
	now = now.Add(14 * time.Second)
	records := earlier.appendStats(now, nil)
	c.Assert(records, quicktest.HasLen, 1)
	c.Assert(earlier.appendStats(now.Add(time.Second), nil), quicktest.HasLen, 0)

	later := newFixture(c, nil)
	later.restoreStats(records[0], now.Add(statsAge))
	c.Assert(*later.statsByQueue["q"], quicktest.Equals, *earlier.statsByQueue["q"])
	c.Assert(later.pool("p").expectedRunSeconds(), quicktest.Equals, 1.7)
	next := earlier.bursts.Next(2*time.Second, now.Add(statsAge))
	c.Assert(next, quicktest.HasLen, 1)
	c.Assert(next[0].Pool, quicktest.Equals, "b")
	c.Assert(later.bursts.Next(2*time.Second, now.Add(statsAge))[0].Pool, quicktest.Equals, "b")
}
