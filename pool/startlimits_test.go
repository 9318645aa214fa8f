// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// outageAt has the store fail until unstored starts may leave, and places the waiting tasks meanwhile. The first batch that it does not answer has at least the record
// of the given incarnation.
func (b *fixture) outageAt(incarnation string) {
	b.c.Helper()
	b.loseStoreAt(incarnation)
	for range 3 {
		b.askAll()
		b.placeAndCount()
		b.allowUnstored(b.now())
	}
	synctest.Wait()
	b.c.Assert(b.inMode(modeUnkeptOrders), quicktest.IsTrue)
}

// startedOn returns the incarnations that were sent a start.
func (b *successorFixture) startedOn() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}

// TestASecondCopyOfAnUnstoredStartIsStoredFirst guards against a task that runs twice: two leaders in a row send its unstored start, the next one takes the run that
// its worker lists as the only attempt, and a later incarnation carries out the other one.
func TestASecondCopyOfAnUnstoredStartIsStoredFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		second := newSuccessorFixture(c, jobWithTasks(1), 9)
		second.report("v@9", 50, nil)
		second.report("w@9", 50, nil)
		second.commitAll()
		second.outageAt("w@9")
		copies := len(second.startedOn())

		third := newSuccessorFixture(c, jobWithTasks(1), 9) // the store has not changed
		third.report("v@9", 50, nil)
		third.report("w@9", 50, []work.RunStatus{{Task: taskName, Run: unstoredRun}})
		third.commitAll()
		third.answerAsOtherIncarnation("w@9", 4) // the first copy is still on its way
		for range 5 {
			third.turn()
		}
		elsewhere := third.task(0).Worker == "v@9"
		c.Check(copies > 0 && elsewhere, quicktest.IsFalse, quicktest.Commentf("the second leader sent %d copies without storing them, and the third starts the task on v while the first leader's copy may come", copies))
	})
}

// TestAnUnstoredStartWaitsForLateStartsOfStoredRuns guards against a task that runs twice: it waits since a start of an earlier run may be carried out late, and in an
// outage of the store it starts on its assigned worker nevertheless.
func TestAnUnstoredStartWaitsForLateStartsOfStoredRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		j := jobWithTasks(1)
		b := newSuccessorFixture(c, j, 9)
		b.earlierUnstored, b.term.PredecessorsUnstored = false, false
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.commitAll()
		t0 := b.task(0)
		j2 := t0.Job
		j2.RestoreLate([]job.StoredLate{{Ordinal: 0, Until: job.UnixMilli(wallClock().Add(10 * time.Second).UnixMilli())}}, b.now(), wallClock(), lateMax)
		b.placeAndCount()
		c.Assert(t0.Phase, quicktest.Equals, job.Waiting)
		b.outageAt("w@9")
		c.Check(t0.MayComeLate(b.now()), quicktest.IsTrue)
		c.Check(b.startedOn(), quicktest.HasLen, 0, quicktest.Commentf("a start of the earlier run may still be carried out elsewhere"))
	})
}

// TestLateStartsOfStoredRunsStayKnownIfUnstoredOnesBecomeKnownLater guards against a task that runs twice: what the store said of late starts is forgotten when half of the workers
// are fenced, and a run that is adopted later makes the leader take the task for one whose only start is at its assigned worker.
func TestLateStartsOfStoredRunsStayKnownIfUnstoredOnesBecomeKnownLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.earlierUnstored, b.term.PredecessorsUnstored = false, false
		b.task(0).Job.RestoreLate([]job.StoredLate{{Ordinal: 0, Until: job.UnixMilli(wallClock().Add(15 * time.Second).UnixMilli())}}, b.now(), wallClock(), lateMax)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.commitAll()
		b.endStartLimits(b.now())
		b.assumeUnstored("a worker runs what was not kept")
		b.placeAndCount()
		b.settles()
		c.Check(b.task(0).MayComeLate(b.now()), quicktest.IsTrue)
		c.Check(b.startedOn(), quicktest.HasLen, 0, quicktest.Commentf("a start of the stored run may still be carried out elsewhere"))
	})
}

// TestARecordOfALateStartDoesNotSettleAnUnstoredOne guards against a task that runs twice: the store still has the record of a late start of an earlier run, whose time was
// over for the leader that sent an unstored start.
func TestARecordOfALateStartDoesNotSettleAnUnstoredOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.task(0).Job.RestoreLate([]job.StoredLate{{Ordinal: 0, Until: job.UnixMilli(wallClock().Add(2 * time.Second).UnixMilli())}}, b.now(), wallClock(), lateMax)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.commitAll()
		b.workers["w@9"].startsPausedUntil = b.now().Add(time.Minute)
		time.Sleep(3 * time.Second)
		b.turn()
		b.answerAsOtherIncarnation("w@9", 4)
		b.beginsLate()
	})
}

// TestATaskIsFreeOnceTheStoreIsBack guards against a task that waits without end: in an outage it was confined to its worker, which has no room, and no event afterwards has it placed.
func TestATaskIsFreeOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.earlierUnstored, b.term.PredecessorsUnstored = false, false
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.commitAll()
		b.workers["w@9"].candidate.Free.MilliCPU = 0
		b.State.Append = func(ctx context.Context, _ feed.Batch) (int64, error) {
			<-ctx.Done()
			return 0, feed.ErrUncertain
		}
		b.UnstoredOrdersAnnounced = func() bool { return true }
		b.dirtyJobs.Add(b.task(0).Job.Spec.ID, b.task(0).Job)
		b.commit()
		time.Sleep(storeSlowAfter)
		b.askAll()
		b.allowUnstored(b.now())
		c.Assert(b.inMode(modeUnkeptOrders), quicktest.IsTrue)
		for range 3 {
			b.askAll()
			for _, p := range b.pools {
				p.nextLookAt = time.Time{}
			}
			b.placeAll(b.now())
			b.allowUnstored(b.now())
		}
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		b.State.Append = func(context.Context, feed.Batch) (int64, error) { return 1, nil }
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			for _, w := range b.workers {
				w.askedAt = b.now()
				w.silentSince = time.Time{}
			}
			for _, m := range b.inbox.takeAll() {
				m.apply(b.session)
			}
			b.runTimers(b.now())
			b.placeAll(b.now())
			b.commit()
		}
		c.Assert(b.inMode(modeUnkeptOrders), quicktest.IsFalse)
		c.Check(b.task(0).Worker, quicktest.Equals, "v@9")
	})
}

// TestAChangedQueueDoesNotFreeAnInheritedTask guards against a task that runs twice: the configuration of its queue changes after an unstored start.
func TestAChangedQueueDoesNotFreeAnInheritedTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.commitAll()
		b.turn()
		c.Assert(b.startedOn(), quicktest.HasLen, 0)
		limits := b.limitsOf("q2", b.now()) // the queue's pool is another one now, whose workers have all answered
		b.assignment.stored["q2"], b.assignment.atTakeover["q2"] = poolAssignment{Workers: [][]string{{"x"}}, MilliCPU: 1}, true
		worker, wait := limits.limit(b.task(0))
		c.Check(worker != "" || wait, quicktest.IsTrue)
	})
}

// TestARejectedAssignmentDoesNotKeepTheOthersFromChanging guards against pools whose assignment stays as it was for a whole term, because the store has rejected that of another pool.
func TestARejectedAssignmentDoesNotKeepTheOthersFromChanging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newAssignmentFixture(c)
		b.writer.MaxRecordBytes = 20
		b.updateAssignment(time.Now())
		b.commitAll()
		c.Assert(b.assignment.stored, quicktest.HasLen, 0)
		b.writer.MaxRecordBytes = 0
		time.Sleep(2 * assignmentInterval)
		b.updateAssignment(time.Now())
		b.commitAll()
		c.Check(b.assignment.stored, quicktest.HasLen, 1)
		c.Check(b.aside, quicktest.HasLen, 0)
	})
}

// BenchmarkAssignable measures the comparison of the assignment with the workers, which is made each second.
func BenchmarkAssignable(b *testing.B) {
	for _, centres := range [...]int{1, 6} {
		b.Run(fmt.Sprint(centres), func(b *testing.B) {
			c := quicktest.New(b)
			f := newFixture(c, nil)
			for i := range 6000 {
				w := &worker{Worker: work.Worker{Incarnation: fmt.Sprintf("import-svc-%05d@1764787942123", i), ID: fmt.Sprintf("import-svc-%05d", i), Pool: "p", DataCentre: fmt.Sprint(i % centres)}, listed: true}
				f.workers[w.Incarnation] = w
			}
			for b.Loop() {
				changedPools(f.assignment.stored, f.assignable())
			}
		})
	}
}
