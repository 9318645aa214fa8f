// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// failsLate has the task start on w under the number of an unstored start, of which a copy may be left, and fail there.
func (b *successorFixture) failsLate(c *quicktest.C) {
	c.Helper()
	b.report("v@9", 50, nil)
	b.report("w@9", 50, nil)
	b.commitAll()
	b.turn()
	c.Assert(b.startedOn(), quicktest.DeepEquals, []string{"w@9"})
	b.report("w@9", 1000, nil, work.EndedRun{Seq: 1, Task: taskName, Run: unstoredRun, Outcome: work.Failed})
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsTrue)
}

// turnsFor does what the control goroutine does for that long, with v answering.
func (b *successorFixture) turnsFor(span time.Duration) {
	for end := b.now().Add(span); b.now().Before(end); time.Sleep(tickInterval) {
		b.report("v@9", work.Clock(50+b.now().UnixMilli()%100_000), nil)
		b.commitAll()
		b.turn()
	}
}

// TestATaskThatFailedStartsAgainOnItsWorkerWhileAnEarlierStartMayComeLate guards against a job with nothing running for 15 s after a takeover.
func TestATaskThatFailedStartsAgainOnItsWorkerWhileAnEarlierStartMayComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.failsLate(c)
		b.turnsFor(stillLimit)
		c.Assert(b.startedOn(), quicktest.DeepEquals, []string{"w@9", "w@9"})
		c.Assert(b.task(0).Run > unstoredRun, quicktest.IsTrue)
		b.report("w@9", 9000, nil, work.EndedRun{Seq: 1, Task: taskName, Run: unstoredRun, Outcome: work.Failed}, work.EndedRun{Seq: 2, Task: taskName, Run: b.task(0).Run, Outcome: work.Failed})
		c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsTrue, quicktest.Commentf("the copy of the first start"))
		b.turnsFor(stillLimit)
		c.Assert(b.startedOn(), quicktest.DeepEquals, []string{"w@9", "w@9", "w@9"})
	})
}

// TestACopyOfAnEarlierStartRunsAlone guards against a task that runs twice: its second run is lost with its worker, and a copy of the first start comes.
func TestACopyOfAnEarlierStartRunsAlone(t *testing.T) {
	for _, x := range [...]struct {
		name       string
		unanswered bool
	}{{"the second start was answered", false}, {"the second start was not answered", true}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				b.failsLate(c)
				if x.unanswered {
					b.Calls.Start = func(_ context.Context, w *work.Worker, _ work.Start) (work.Answer, error) {
						b.mu.Lock()
						defer b.mu.Unlock()
						b.started = append(b.started, w.Incarnation)
						return work.Answer{}, work.ErrNoAnswer
					}
				}
				b.commitAll()
				b.turn()
				b.commitAll()
				b.settles()
				c.Assert(b.startedOn(), quicktest.HasLen, 2)
				b.answerAsOtherIncarnation("w@9", 4)
				b.list("w", 4)
				for end := b.now().Add(stillLimit); b.now().Before(end); time.Sleep(tickInterval) {
					b.report("w@4", work.Clock(3+b.now().UnixMilli()%100_000), []work.RunStatus{{Task: taskName, Run: unstoredRun}})
					b.commitAll()
					b.turn()
				}
				c.Assert(b.startedOn(), quicktest.HasLen, 2, quicktest.Commentf("the task is started beside its copy"))
			})
		})
	}
}

// TestATaskThatFailedWaitsWhereItsWorkerCantTakeItAgain guards against a start beside a late copy, and against attempts used up on a faulty worker.
func TestATaskThatFailedWaitsWhereItsWorkerCantTakeItAgain(t *testing.T) {
	for _, x := range [...]struct {
		name  string
		event func(b *successorFixture)
	}{
		{"another incarnation answers", func(b *successorFixture) { b.answerAsOtherIncarnation("w@9", 4) }},
		{"the worker is silent", func(b *successorFixture) { b.workers["w@9"].silentSince = b.now() }},
		{"a start to the worker got no answer", func(b *successorFixture) { b.workers["w@9"].notePending(b.now()) }},
		{"the worker fails other tasks too", func(b *successorFixture) { b.workers["w@9"].failures = 2 }},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				b.failsLate(c)
				x.event(b)
				b.turnsFor(time.Second)
				c.Assert(b.startedOn(), quicktest.HasLen, 1)
			})
		})
	}
}

// TestAStoredRunIsNotSentAgainBesideACopyOfAnEarlierStart guards against the same under the next leader, which looks for the second run.
func TestAStoredRunIsNotSentAgainBesideACopyOfAnEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		j := jobWithTasks(1)
		j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Active, 1<<runBits|1, "w@9"
		b := newSuccessorFixture(c, j, 9)
		b.report("v@9", 50, nil)
		b.answerAsOtherIncarnation("w@9", 4)
		b.list("w", 4)
		b.task(0).Job.ClearLost(b.task(0)) // the loss makes a trial necessary, which is not what is tested
		for end := b.now().Add(stillLimit); b.now().Before(end); time.Sleep(tickInterval) {
			b.report("w@4", work.Clock(3+b.now().UnixMilli()%100_000), []work.RunStatus{{Task: taskName, Run: unstoredRun}})
			b.commitAll()
			b.turn()
		}
		c.Assert(b.startedOn(), quicktest.HasLen, 0, quicktest.Commentf("the task is started beside its copy"))
	})
}
