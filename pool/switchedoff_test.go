// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// switchesOff ends the incarnation w@9 and lists its instance in a headroom pool, without a worker.
func (b *successorFixture) switchesOff() {
	b.config.Pools = map[string]job.Pool{"p": {Name: "p"}, "spare": {Name: "spare", Headroom: true}}
	b.endIncarnation(b.workers["w@9"], "its instance was moved")
	b.listsSwitchedOff()
}

func (b *successorFixture) listsSwitchedOff() {
	machinesListed{list: []Machine{{Name: "m-w", Pool: "spare", State: MachineUp}, {Name: "m-v", ID: "v", Pool: "p", State: MachineUp}}, asked: b.now()}.apply(b.session)
}

// TestATaskIsFreeOnceItsWorkersInstanceIsSwitchedOff guards against a task that waits for up to 17 s for the ID of a worker that its leader has moved into the headroom pool.
func TestATaskIsFreeOnceItsWorkersInstanceIsSwitchedOff(t *testing.T) {
	for _, x := range [...]struct {
		name   string
		before func(b *successorFixture, c *quicktest.C)
	}{
		{"assigned to the worker", func(b *successorFixture, _ *quicktest.C) {
			b.report("v@9", 50, nil)
			b.report("w@9", 50, nil)
		}},
		{"its run has failed there", func(b *successorFixture, c *quicktest.C) { b.failsLate(c) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				x.before(b, c)
				b.switchesOff()
				b.turnsFor(time.Second)
				c.Assert(b.task(0).Worker, quicktest.Equals, "v@9")
				c.Assert(b.immovable("m-w", b.now()), quicktest.IsTrue, quicktest.Commentf("its next worker could have the ID w and carry out the start"))
				c.Assert(b.immovable("m-w", b.earlierStartsEnd(b.now()).Add(time.Second)), quicktest.IsFalse)
			})
		})
	}
}

// TestATaskWaitsForTheWorkerOfAnInstanceThatWasSwitchedOnUnderItsID guards against a task that runs twice: a late list shows the instance as off.
func TestATaskWaitsForTheWorkerOfAnInstanceThatWasSwitchedOnUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.switchesOff()
		b.list("w", 4)
		b.listsSwitchedOff() // a list that was read before
		b.report("v@9", 60, nil)
		b.commitAll()
		b.turn()
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		b.report("w@4", 3, []work.RunStatus{{Task: taskName, Run: unstoredRun}})
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
	})
}

// TestIDsOfSwitchedOffInstancesAreForgotten guards against a table that grows with each instance that is switched off, although nothing waits for its ID.
func TestIDsOfSwitchedOffInstancesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		time.Sleep(b.earlierStartsEnd(b.now()).Sub(b.now()) + time.Second)
		b.switchesOff()
		c.Assert(b.offIDs, quicktest.HasLen, 0)
		c.Assert(b.immovable("m-w", b.now()), quicktest.IsFalse)
	})
}
