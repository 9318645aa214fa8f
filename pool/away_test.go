// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// TestWhatAnEarlierLeaderToldToStopCountsAsAway: its worker lists it as running until it has stopped.
func TestWhatAnEarlierLeaderToldToStopCountsAsAway(t *testing.T) {
	c := quicktest.New(t)
	j := one(2)
	j.Spec.Steps[0].Lasting, j.Spec.Steps[0].MayMiss = true, 1
	j = job.New(j.Spec, time.Now())
	for i, life := range []string{"w1", "w2"} {
		j.Tasks[i].Phase, j.Tasks[i].Run, j.Tasks[i].Worker = job.Active, 5, life
	}
	b := newBench(c, []*job.Job{j}, "w1", "w2")
	for i, life := range []string{"w1", "w2"} {
		b.reports(life, 10, []work.RunStatus{{Task: b.task(i).Name(), Run: 5, Percent: fullPercent}})
	}
	now := time.Now()
	c.Assert(b.mayTakeAway(b.task(0), now), quicktest.IsFalse, quicktest.Commentf("a stop may still go on"))
	settled := b.aloneFrom.Add(b.Bounds().Stop + stopWay)
	c.Assert(b.mayTakeAway(b.task(0), settled.Add(time.Millisecond)), quicktest.IsFalse, quicktest.Commentf("the reports are older"))
	b.workers["w2"].told = settled
	c.Assert(b.mayTakeAway(b.task(0), settled.Add(time.Millisecond)), quicktest.IsTrue)
	b.task(1).Stopping = true
	c.Assert(b.mayTakeAway(b.task(0), settled.Add(time.Millisecond)), quicktest.IsFalse)
}
