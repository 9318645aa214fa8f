// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// reportPart applies a report that leaves out ends.
func (b *fixture) reportPart(incarnation string, clock work.Clock, ended ...work.EndedRun) {
	b.c.Helper()
	w := b.workers[incarnation]
	report := work.Report{Answer: work.Answer{Clock: clock}, Ended: ended, MoreEnds: true}
	holdResult{worker: w, token: w.token.Load(), asked: time.Now(), report: report}.apply(b.session)
}

// TestARunThatAReportLeavesOutIsNotGivenUp guards against a task that starts again although it has succeeded: a report leaves out the end of its run, because the worker
// has ended more runs than it lists at once, or this leader does not process the end, because it comes after that of a task whose job may not have been read.
func TestARunThatAReportLeavesOutIsNotGivenUp(t *testing.T) {
	const other = "00000000000000a1.0.0.1"
	cases := [...]struct {
		name string
		// prepare returns the worker's clock at which its next report proves, if it is complete, that the run is gone.
		prepare func(b *fixture, w *worker, r *run) work.Clock
	}{
		{"of an earlier leader", func(_ *fixture, _ *worker, r *run) work.Clock {
			r.fromEarlierLeader, r.sent = true, false
			return 200
		}},
		{"handed on by the incarnation before", func(_ *fixture, _ *worker, r *run) work.Clock {
			r.fromEarlierLeader, r.carriedOver = true, true
			return 200
		}},
		{"confirmed", func(_ *fixture, _ *worker, r *run) work.Clock {
			r.confirmed = 150
			return 200
		}},
		{"unanswered past its deadline", func(_ *fixture, _ *worker, r *run) work.Clock {
			r.unanswered = true
			return r.deadline + 1
		}},
		{"unanswered and stopped", func(b *fixture, _ *worker, r *run) work.Clock {
			r.unanswered, r.stopped = true, 150
			r.deadline = 1_000_000
			return r.stopped + work.Clock(b.Bounds().Stop.Milliseconds()) + 1
		}},
	}
	for _, x := range cases {
		for _, unread := range [...]bool{false, true} {
			t.Run(x.name+map[bool]string{false: ", beyond the list", true: ", behind an unread end"}[unread], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					b := newFixture(c, []*job.Job{jobWithTasks(2)}, "w1")
					b.report("w1", 100, nil)
					c.Assert(b.placeAndCount(), quicktest.Equals, 2)
					b.sendUnstored()
					w, task := b.workers["w1"], b.task(0)
					r := w.runs[task]
					end := work.EndedRun{Seq: 2, Task: taskName, Run: r.number, Outcome: work.Succeeded}
					b.confirmRun(w, b.task(1), w.runs[b.task(1)], 120)
					before := work.EndedRun{Seq: 1, Task: other, Run: w.runs[b.task(1)].number, Outcome: work.Succeeded}
					clock := x.prepare(b, w, r)
					b.plannedStarts = nil
					if unread {
						before.Task = "00000000000000ff.0.0.0" // its job may be in the intake
						b.report("w1", clock, nil, before, end)
					} else {
						b.reportPart("w1", clock, before)
					}
					c.Assert(w.runs[task], quicktest.Equals, r, quicktest.Commentf("the run has succeeded"))
					c.Assert(b.placeAndCount(), quicktest.Equals, 0)
					b.intakeReadUntil[0] = time.Now().Add(time.Hour) // the intake has been read; there is no such job
					b.report("w1", clock+1, nil, before, end)
					c.Assert(task.Phase, quicktest.Equals, job.Finished)
				})
			})
		}
	}
}

// newUnstoredFixture returns the session of a leader whose predecessor may have started what it did not store. The job's task is inherited, and w1 may have run it.
func newUnstoredFixture(c *quicktest.C) *fixture {
	j := jobWithTasks(1)
	b := newFixture(c, nil, "w1", "w2")
	b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorRenewed: time.Now(), PredecessorsUnstored: true}
	state := feed.KeyedPage{}
	list := feed.KeyedPage{}
	for i, id := range [...]string{"w1", "w2"} {
		state.Records = append(state.Records, record(c, incarnationKey+id, keptIncarnation{Machine: "m-" + id, Pool: "p"}))
		list.Records = append(list.Records, feed.KeyedRecord{Offset: int64(i), Key: id, Value: []byte{1}})
	}
	intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
	b.fillTables(state, []feed.KeyedPage{intake}, list)
	time.Sleep(time.Millisecond) // calls are made after the tables are read
	return b
}

// TestAnInheritedTaskWaitsForAllEndsOfItsWorker guards against a task that starts again although it has succeeded: the earlier leader started it without storing that, and
// its worker lists the end only after others. The worker may need longer for that than the earlier leader's leases last, since ends have to be stored before it lists more.
func TestAnInheritedTaskWaitsForAllEndsOfItsWorker(t *testing.T) {
	for _, x := range [...]struct {
		name string
		wait time.Duration
	}{{"at once", 0}, {"after the earlier leader's leases", time.Minute}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newUnstoredFixture(c)
				b.report("w2", 50, nil)
				w := b.workers["w1"]
				for waited := time.Duration(0); waited <= x.wait; waited += time.Second {
					clock := 50 + work.Clock(waited.Milliseconds())
					w.readClock(clock)
					w.deadline(10*time.Second, time.Now()) // holds go on
					b.reportPart("w1", clock, work.EndedRun{Seq: 1, Task: "00000000000000ff.0.0.0", Run: 3, Outcome: work.Succeeded})
					b.runTimers(time.Now())
					c.Assert(b.placeAndCount(), quicktest.Equals, 0)
					time.Sleep(time.Second)
				}
				b.intakeReadUntil[0] = time.Now().Add(time.Hour) // the intake has been read; there is no such job
				b.report("w1", 100_000, nil, work.EndedRun{Seq: 2, Task: taskName, Run: unstoredRun, Outcome: work.Succeeded})
				c.Assert(b.task(0).Phase, quicktest.Equals, job.Finished)
			})
		})
	}
}

// TestAnInheritedTaskStartsOnceAWorkerThatListsNoMoreIsLost guards against a task that never starts: a worker has ended runs that it did not list, and is lost.
func TestAnInheritedTaskStartsOnceAWorkerThatListsNoMoreIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newUnstoredFixture(c)
		b.report("w2", 50, nil)
		b.reportPart("w1", 50)
		holdResult{worker: b.workers["w1"], err: work.ErrNoAnswer, failedAt: time.Now()}.apply(b.session)
		time.Sleep(time.Minute)
		b.report("w2", 60_050, nil)
		b.runTimers(time.Now())
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	})
}

// TestAWorkerThatHasNotListedAllEndsGetsOtherWork guards against a takeover that waits for long lists of ends: a worker that has answered takes new work at once.
func TestAWorkerThatHasNotListedAllEndsGetsOtherWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, []*job.Job{jobWithTasks(1)}, "w1")
		b.reportPart("w1", 50)
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	})
}

// TestAnInstanceKeepsItsWorkerUntilAllEndsAreListed guards against work that is done twice: an instance is moved or maintained, and with it the ends are lost that its
// worker had not listed yet.
func TestAnInstanceKeepsItsWorkerUntilAllEndsAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1")
		step := &maintenanceStep{since: time.Now(), incarnation: "w1"}
		b.reportPart("w1", 50)
		c.Assert(b.workers["w1"].hasNoRuns(), quicktest.IsFalse)
		c.Assert(b.tryEmpty("m-w1", step, time.Now()), quicktest.IsFalse)
		b.report("w1", 60, nil)
		c.Assert(b.workers["w1"].hasNoRuns(), quicktest.IsTrue)
		c.Assert(b.tryEmpty("m-w1", step, time.Now()), quicktest.IsTrue)
	})
}
