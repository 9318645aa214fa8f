// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// startsElsewhere asserts that the task starts on v within stillLimit, while the instance of w serves as x.
func (b *successorFixture) startsElsewhere(c *quicktest.C) {
	c.Helper()
	for end := b.now().Add(stillLimit); b.now().Before(end) && b.task(0).Phase == job.Waiting; {
		b.report("v@9", work.Clock(50+b.now().UnixMilli()%100_000), nil)
		b.listsMovedInstanceAs("x")
		b.checkLeases(b.now())
		b.endStartLimits(b.now())
		b.turn()
	}
	c.Assert(b.task(0).Worker, quicktest.Equals, "v@9", quicktest.Commentf("the task waits for the ID w, which no incarnation will have any more"))
}

// TestAnInheritedTaskIsFreeOnceAMovedWorkerWasDroppedForItsLease guards against the wait of TestAnInheritedTaskIsFreeOnceItsWorkersInstanceHasMoved where the incarnation left the
// tables because its lease was over and it was not listed.
func TestAnInheritedTaskIsFreeOnceAMovedWorkerWasDroppedForItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.removeIncarnation(b.workers["w@9"], "its lease is over and it is not listed") // as expireLease does
		b.movesInstanceOf("w@9")
		b.commitAll()
		b.startsElsewhere(c)
	})
}

// TestAnInheritedTaskIsFreeOnceItsWorkersInstanceHasMovedBeforeATakeover guards against the same where the leader that saw the end is lost before the instance answers as x.
func TestAnInheritedTaskIsFreeOnceItsWorkersInstanceHasMovedBeforeATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.removeIncarnation(b.workers["w@9"], "it was not in the list of workers")
		delete(b.orderableIDs, "w")
		b.restoreIncarnations(map[string]keptIncarnation{"w@9": {}}) // the record that the leader before left
		b.report("v@9", 50, nil)
		b.movesInstanceOf("")
		b.commitAll()
		b.startsElsewhere(c)
	})
}

// TestAnInheritedTaskIsFreeOnceItsWorkersInstanceIsBackAfterATakeover guards against a wait for an ID whose instance only a lost leader knew.
func TestAnInheritedTaskIsFreeOnceItsWorkersInstanceIsBackAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		earlier := newSuccessorFixture(c, jobWithTasks(1), 9)
		earlier.report("w@9", 50, nil)
		earlier.report("v@9", 50, nil)
		earlier.endIncarnation(earlier.workers["w@9"], "its upkeep has begun")
		stored := earlier.storedRecord(incarnationKey + "w@9")
		c.Assert(stored.Value, quicktest.Not(quicktest.HasLen), 0)
		b := newSuccessorFixtureWith(c, jobWithTasks(1), 0, stored)
		b.report("v@9", 50, nil)
		b.commitAll()
		b.turn()
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		b.movesInstanceOf("")
		b.startsElsewhere(c)
	})
}

// TestAnEndedIncarnationsInstanceIsRememberedOverTwoTakeovers guards against the same where the next leader is lost too.
func TestAnEndedIncarnationsInstanceIsRememberedOverTwoTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ended := record(c, incarnationKey+"w@9", keptIncarnation{LastMachine: "m-w", LastPool: "p"})
		second := newSuccessorFixtureWith(c, jobWithTasks(1), 0, ended)
		second.markIncarnationDirty("w@9")
		c.Assert(second.storedRecord(ended.Key), quicktest.DeepEquals, ended)
	})
}

// storedRecord commits what has changed and returns the record with the key that is stored by it.
func (b *successorFixture) storedRecord(key string) (stored feed.KeyedRecord) {
	b.State.Append = func(_ context.Context, x feed.Batch) (int64, error) {
		for _, r := range x.Records {
			if r.Key == key {
				stored = r
			}
		}
		return 1, nil
	}
	b.commit()
	synctest.Wait()
	for _, m := range b.inbox.takeAll() {
		m.apply(b.session)
	}
	return stored
}

// TestATaskWithAnUnansweredStartIsFreeOnceItsWorkersInstanceHasMoved guards against a task that waits for lateMax beside free capacity: its start got no answer, its worker's incarnation has
// ended and left the tables, and the instance now serves under another ID.
func TestATaskWithAnUnansweredStartIsFreeOnceItsWorkersInstanceHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.earlierUnstored = false
		b.term.CleanHandover, b.term.Exclusive, b.term.PredecessorsUnstored = true, true, false
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		w, task := b.workers["w@9"], b.task(0)
		task.Phase, task.Run, task.Worker = job.Starting, 100, "w@9"
		b.addRun(w, task, &run{number: 100, sent: true, orderedAt: b.now()})
		startResult{worker: w, task: task, run: 100, sentAt: b.now(), err: work.ErrNoAnswer}.apply(b.session)
		b.movesInstanceOf("w@9")
		task.Job.ClearLost(task) // the loss makes a trial necessary, which is not what is tested
		b.commitAll()
		b.startsElsewhere(c)
	})
}

// TestATaskThatFailedIsFreeOnceItsWorkersInstanceHasMoved guards against a wait for a worker ID that no incarnation will have any more.
func TestATaskThatFailedIsFreeOnceItsWorkersInstanceHasMoved(t *testing.T) {
	for _, x := range [...]struct {
		name string
		ends func(b *successorFixture)
	}{
		{"the move is recorded", func(b *successorFixture) { b.movesInstanceOf("w@9") }},
		{"its address has another life", func(b *successorFixture) {
			b.otherIncarnationAnswered(b.workers["w@9"], work.Answer{})
			b.listsMovedInstanceAs("x")
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				b.failsLate(c)
				b.workers["w@9"].beingEmptied = true // the task can't start there again
				b.turnsFor(time.Second)
				c.Assert(b.startedOn(), quicktest.HasLen, 1)
				x.ends(b)
				b.commitAll()
				b.startsElsewhere(c)
			})
		})
	}
}

// TestAnIDThatIsListedAgainIsNotRetired guards against a task that runs twice: the instance of w has served as x and has the ID w again when the first answer of x is applied. It needs a platform that gives an
// instance an earlier ID again.
func TestAnIDThatIsListedAgainIsNotRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("w@9", 50, nil)
		b.endIncarnation(b.workers["w@9"], "the machine interface knows its instance no longer")
		b.listsMovedInstanceAs("x")
		b.listsMovedWorker()
		time.Sleep(time.Millisecond)
		asked := time.Now()
		time.Sleep(time.Millisecond)
		b.list("w", 4) // the instance is back under its earlier ID
		x := b.workers["x@9"]
		holdResult{worker: x, token: x.token.Load(), asked: asked, report: work.Report{Answer: work.Answer{Clock: 50}}}.apply(b.session)
		b.report("v@9", 50, nil)
		b.commitAll()
		b.turn()
		b.beginsLate()
	})
}
