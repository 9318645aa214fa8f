// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/maintenance"
)

// TestATaskThatCanStartNowhereElseGetsItsWorkerBack guards against a task that waits until its only worker has been moved or maintained.
func TestATaskThatCanStartNowhereElseGetsItsWorkerBack(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		empties func(b *successorFixture)
	}{
		{"by a wave", func(b *successorFixture) {
			b.PutWave = func(context.Context, int64, bool) error { return nil }
			waveRequested{wave: Wave{Number: 1, Machines: []string{"m-w"}, MaxAway: 1, Within: time.Minute}}.apply(b.session)
			b.startEmptying(b.wave(1), "m-w", b.now())
		}},
		{"by a move", func(b *successorFixture) {
			b.Machines.PerSecond = 1
			b.startMove(maintenance.Move{Instance: "m-w", To: "other"}, b.now())
			b.workers["w@9"].beingEmptied = true
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				b.report("v@9", 50, nil)
				b.report("w@9", 50, nil)
				b.commitAll()
				x.empties(b)
				c.Assert(b.workers["w@9"].beingEmptied, quicktest.IsTrue)
				b.turnsFor(stillLimit)
				c.Assert(b.startedOn(), quicktest.DeepEquals, []string{"w@9"})
			})
		})
	}
}

// TestAWaveTakesAWorkerThatIsNotNeededAnyMore guards against a wave that leaves an instance out for good.
func TestAWaveTakesAWorkerThatIsNotNeededAnyMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		row := b.wave(1)
		row.Wave, row.since = Wave{Number: 1, Machines: []string{"m-w"}, MaxAway: 1, Within: time.Minute}, b.now()
		b.report("w@9", 50, nil)
		b.noteOnlyPlace("w", b.now())
		c.Assert(b.nextInWave(row, false, b.now()).Take, quicktest.HasLen, 0)
		c.Assert(b.nextInWave(row, true, b.now()).Take, quicktest.HasLen, 1, quicktest.Commentf("the wave has no time left"))
		b.forgetNeeded(b.now())
		c.Assert(b.neededUntil, quicktest.HasLen, 1)
		time.Sleep(neededFor)
		c.Assert(b.nextInWave(row, false, b.now()).Take, quicktest.HasLen, 1)
		b.forgetNeeded(b.now())
		c.Assert(b.neededUntil, quicktest.HasLen, 0)
	})
}
