// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// unstoredRun is the number of the start that the earlier leader sent to worker w in an outage of the store. It got no answer and is not stored.
const unstoredRun = int64(1)

// successorFixture is the session of a leader whose predecessor was lost in an outage of the store. Its only job has one task; its workers are w and v.
type successorFixture struct {
	*fixture
	mu      sync.Mutex
	started []string // the incarnations that were sent a start of the task
}

// newSuccessorFixture returns the session of a leader that has read the given state of the job and the incarnations w@9 and v@9 from the store. The list of workers
// has the given boot ID for w. The task is assigned to w, so that no other worker can have an unstored start of it.
func newSuccessorFixture(c *quicktest.C, j *job.Job, bootID byte) *successorFixture {
	return newSuccessorFixtureWith(c, j, bootID, record(c, incarnationKey+"w@9", keptIncarnation{Machine: "m-w", Pool: "p"}))
}

// newSuccessorFixtureWith is newSuccessorFixture with the given record of w@9 in the store. The list of workers does not have w if the boot ID is 0.
func newSuccessorFixtureWith(c *quicktest.C, j *job.Job, bootID byte, stored feed.KeyedRecord) *successorFixture {
	b := &successorFixture{fixture: newBootIDFixture(c, j)}
	b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorRenewed: time.Now(), PredecessorsUnstored: true}
	b.Calls.Start = func(_ context.Context, w *work.Worker, _ work.Start) (work.Answer, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.started = append(b.started, w.Incarnation)
		return work.Answer{Clock: 60}, nil
	}
	state := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, stateKey+j.Spec.ID, j.Stored()), record(c, assignmentKey+"p", poolAssignment{Workers: [][]string{{"w"}}, MilliCPU: 1000})}}
	state.Records = append(state.Records, stored, record(c, incarnationKey+"v@9", keptIncarnation{Machine: "m-v", Pool: "p"}))
	intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
	list := feed.KeyedPage{Records: []feed.KeyedRecord{{Offset: 2, Key: "v", Value: []byte{9}}}}
	if bootID != 0 {
		list.Records = append(list.Records, feed.KeyedRecord{Offset: 1, Key: "w", Value: []byte{bootID}})
	}
	b.fillTables(state, []feed.KeyedPage{intake}, list)
	for _, id := range [...]string{"w", "v"} {
		b.machines["m-"+id] = Machine{Name: "m-" + id, ID: id, Pool: "p", DataCentre: "of " + id}
	}
	time.Sleep(time.Millisecond) // calls are made after the tables are read
	return b
}

// turn does what the control goroutine does between two messages, until the starts that may leave have been answered.
func (b *successorFixture) turn() {
	b.placeAndCount()
	b.resolveUnanswered(b.now())
	b.settles()
}

// beginsLate has the incarnation w@4 carry out the unstored start, and asserts that the task runs there alone.
func (b *successorFixture) beginsLate() {
	b.c.Helper()
	b.mu.Lock()
	started := b.started
	b.mu.Unlock()
	b.report("w@4", 3, []work.RunStatus{{Task: taskName, Run: unstoredRun}})
	b.c.Check(started, quicktest.HasLen, 0, quicktest.Commentf("the task runs twice: the unstored start is carried out by w@4"))
	b.c.Check(b.task(0).Worker, quicktest.Equals, "w@4")
	b.c.Check(b.task(0).Run, quicktest.Equals, unstoredRun)
}

// TestAnUnstoredStartIsWaitedForAtTheNextIncarnationOfASilentWorker guards against a task that runs twice: the incarnation that was sent an unstored start never
// answers, and the next one under its ID carries the start out before it has answered under this leader's token.
func TestAnUnstoredStartIsWaitedForAtTheNextIncarnationOfASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.turn()
		c.Assert(b.started, quicktest.HasLen, 0, quicktest.Commentf("w@9 has not answered"))
		b.answerAsOtherIncarnation("w@9", 4)
		b.turn()
		b.beginsLate()
	})
}

// TestCapsCountAnUnstoredStartAtTheNextIncarnation guards against an organisation that runs more than its cap: what an earlier leader started without storing it may
// begin on the next incarnation under its worker's ID, and counts there until that one has answered.
func TestCapsCountAnUnstoredStartAtTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		_, before := b.uncountedNeed()
		c.Assert(before.MilliCPU >= b.workers["w@9"].Capacity.MilliCPU, quicktest.IsTrue)
		b.answerAsOtherIncarnation("w@9", 4)
		_, after := b.uncountedNeed()
		c.Assert(after, quicktest.Equals, before)
	})
}

// TestAnAnswerBeforeTheTokenIsRaisedDoesNotSettleUnstoredStarts guards against a task that runs twice: the incarnation that is listed at the takeover has carried
// out an unstored start that was sent to the one before, and its first answer is not taken in, because it ends that one and raises the token.
func TestAnAnswerBeforeTheTokenIsRaisedDoesNotSettleUnstoredStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 4)
		b.report("v@9", 50, nil)
		b.turn()
		c.Assert(b.started, quicktest.HasLen, 0)
		b.report("w@4", 2, []work.RunStatus{{Task: taskName, Run: unstoredRun}})
		b.turn()
		b.beginsLate()
	})
}

// TestAnIncarnationWithoutAnUnstoredRunDoesNotSettleIt guards against a task that runs twice: the incarnation that was sent an unstored start answers without the
// run and ends, and the next one under its ID carries the start out before any call of this leader has reached it.
func TestAnIncarnationWithoutAnUnstoredRunDoesNotSettleIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.workers["w@9"].startsPausedUntil = b.now().Add(time.Minute) // the task can start on v alone
		b.turn()
		b.answerAsOtherIncarnation("w@9", 4)
		b.beginsLate()
	})
}

// TestUnstoredStartsThatBecomeKnownLaterAreWaitedForAtWorkersThatHaveAnswered guards against a task that runs twice: this leader learns only after a worker has answered
// without a run that the earlier one may have started what is not stored.
func TestUnstoredStartsThatBecomeKnownLaterAreWaitedForAtWorkersThatHaveAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.term.PredecessorsUnstored, b.earlierUnstored = false, false
		b.report("w@9", 50, nil)
		b.workers["w@9"].startsPausedUntil = b.now().Add(time.Minute) // the task can start on v alone
		b.assumeUnstored("half of the workers were not heard in time")
		b.report("v@9", 50, nil)
		b.turn()
		b.answerAsOtherIncarnation("w@9", 4)
		b.beginsLate()
	})
}

// TestAnExpiredLeaseDoesNotSettleUnstoredStarts guards against a task that runs twice: the worker that was sent an unstored start is silent until all leases of the
// earlier leader are over, and its next incarnation carries the start out within the time that a start may take.
func TestAnExpiredLeaseDoesNotSettleUnstoredStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.SetBounds(Bounds{Lease: 6 * time.Second, Stop: 400 * time.Millisecond, Status: time.Minute})
		b.report("v@9", 50, nil)
		fenced := b.majorityFencedAt
		c.Assert(fenced.IsZero(), quicktest.IsFalse)
		holdResult{worker: b.workers["w@9"], err: work.ErrNotSent}.apply(b.session)
		time.Sleep(quorumValidFor + work.MaxLocal(6*time.Second) + 2*leaseSlack)
		b.report("v@9", 9000, nil)
		b.checkLeases(b.now())
		b.turn()
		c.Assert(b.now().Sub(fenced) < lateMax, quicktest.IsTrue, quicktest.Commentf("the test is too slow to show it"))
		b.answerAsOtherIncarnation("w@9", 4)
		b.beginsLate()
	})
}

// TestTheNextLeaderIsToldOfUnstoredStartsAsLongAsTheyMayComeLate guards against a third leader that starts a task elsewhere which an unstored start of the first one
// may still begin, because the second one has told it that nothing is left of that leader.
func TestTheNextLeaderIsToldOfUnstoredStartsAsLongAsTheyMayComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.SetBounds(Bounds{Lease: 6 * time.Second, Stop: 400 * time.Millisecond, Status: time.Minute})
		told := false
		b.PublishEarlierLeaders = func(_, unstored bool) { told = unstored }
		b.report("v@9", 50, nil)
		for end := b.majorityFencedAt.Add(lateMax); b.now().Before(end); time.Sleep(500 * time.Millisecond) {
			b.publishEarlier(b.now())
			c.Assert(told, quicktest.IsTrue, quicktest.Commentf("%v after the earlier leader may have given its last order", b.now().Sub(b.majorityFencedAt)))
		}
	})
}

// TestAPlannedStartIsNotSentOnceARunOfTheTaskIsListed guards against a task that runs twice: a worker lists a late run of an earlier leader while this leader's start
// of the task waits for the store. The run is stopped as a stray one, and the start is sent.
func TestAPlannedStartIsNotSentOnceARunOfTheTaskIsListed(t *testing.T) {
	for _, x := range [...]struct {
		name     string
		inFlight bool
	}{{"in no batch", false}, {"in the batch in flight", true}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				b.report("v@9", 50, nil)
				b.report("w@9", 50, nil)
				b.planStart(b.workers["v@9"], b.task(0), &run{number: b.nextRunNumber(), sentAt: b.now(), pace: fullPercent}, b.now())
				answer := make(chan struct{})
				b.State.Append = func(context.Context, feed.Batch) (int64, error) { <-answer; return 1, nil }
				if x.inFlight {
					b.commit()
					synctest.Wait()
				}
				b.answerAsOtherIncarnation("w@9", 4)
				b.report("w@4", 3, []work.RunStatus{{Task: taskName, Run: unstoredRun}})
				close(answer)
				synctest.Wait()
				for _, m := range b.inbox.takeAll() {
					m.apply(b.session)
				}
				b.settles()
				b.beginsLate()
			})
		})
	}
}

// TestAnInheritedTaskStartsOnItsWorkerUnderTheNumberOfAnUnstoredStart guards against a task that waits although it can be started safely, and against a copy of its
// unstored start that begins a second run: the worker, or its next incarnation, takes the copy for the run that it has.
func TestAnInheritedTaskStartsOnItsWorkerUnderTheNumberOfAnUnstoredStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.commitAll() // incarnations get starts once they are stored
		b.turn()
		b.mu.Lock()
		c.Assert(b.started, quicktest.DeepEquals, []string{"w@9"})
		b.mu.Unlock()
		c.Assert(b.task(0).Run, quicktest.Equals, unstoredRun)
		c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsTrue, quicktest.Commentf("an end must not be acknowledged yet"))
		b.answerAsOtherIncarnation("w@9", 4)
		b.report("w@4", 3, []work.RunStatus{{Task: taskName, Run: unstoredRun}})
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
	})
}

// TestAnInheritedTaskIsFreeOnceNoUnstoredStartIsLeft guards against tasks that wait for a worker for no reason.
func TestAnInheritedTaskIsFreeOnceNoUnstoredStartIsLeft(t *testing.T) {
	for _, x := range [...]struct {
		name  string
		event func(b *successorFixture)
	}{
		{"the worker's ID is retired", func(b *successorFixture) { b.retireID(b.workers["w@9"]) }},
		{"the start can't be carried out any more", func(b *successorFixture) {
			time.Sleep(b.earlierStartsEnd(b.now()).Sub(b.now()) + time.Second)
		}},
		{"the worker lists the start's end", func(b *successorFixture) {
			b.report("w@9", 60, nil, work.EndedRun{Seq: 1, Task: taskName, Run: unstoredRun, Outcome: work.Stopped})
		}},
		{"no earlier leader has given the worker anything", func(b *successorFixture) { delete(b.orderableIDs, "w") }},
		{"no worker tells its boot ID", func(b *successorFixture) { b.bootIDsKnown = false }},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newSuccessorFixture(c, jobWithTasks(1), 9)
				b.report("v@9", 50, nil)
				b.report("w@9", 50, nil)
				b.workers["w@9"].startsPausedUntil = b.now().Add(time.Minute)
				b.commitAll()
				b.turn()
				c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
				x.event(b)
				b.checkLeases(b.now())
				b.endStartLimits(b.now())
				b.placeAndCount()
				c.Assert(b.task(0).Worker, quicktest.Equals, "v@9")
			})
		})
	}
}

// TestATaskWithARunBeforeWaitsForTheStore guards against a task that runs twice: the next leader sends the stored run of a task again, or leaves the task to any
// worker, so that no start of a later run may leave before that is stored.
func TestATaskWithARunBeforeWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBootIDFixture(c, jobWithTasks(1))
		sent := b.startsAnswered(work.NoRoom)
		b.list("w", 9)
		b.report("w@9", 50, nil)
		b.updateAssignment(b.now())
		b.commitAll()
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		b.commitAll()
		b.settles()
		c.Assert(*sent, quicktest.HasLen, 1)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting, quicktest.Commentf("the stored run was refused"))
		time.Sleep(time.Second)
		b.outageAt("w@9")
		c.Assert(*sent, quicktest.HasLen, 1)
	})
}

// TestRecordsOfEndedIncarnationsStayWhileUnstoredStartsMayBeCarriedOut guards against a successor that takes a worker ID for one that has never been given work.
func TestRecordsOfEndedIncarnationsStayWhileUnstoredStartsMayBeCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newSuccessorFixture(c, jobWithTasks(1), 9)
		deleted := make(map[string]bool)
		commit := func() {
			b.State.Append = func(_ context.Context, x feed.Batch) (int64, error) {
				for _, r := range x.Records {
					deleted[r.Key] = len(r.Value) == 0
				}
				return 1, nil
			}
			b.commit()
			synctest.Wait()
			for _, m := range b.inbox.takeAll() {
				m.apply(b.session)
			}
		}
		b.report("v@9", 50, nil)
		b.report("w@9", 50, nil)
		b.removeIncarnation(b.workers["w@9"], "it has left")
		commit()
		c.Assert(deleted[incarnationKey+"w@9"], quicktest.IsFalse)
		next := newSuccessorFixture(c, jobWithTasks(1), 9)
		next.restoreIncarnations(map[string]keptIncarnation{"x@1": {}})
		c.Assert(next.workers["x@1"], quicktest.IsNil, quicktest.Commentf("an ended incarnation is in no majority"))
		c.Assert(next.orderableIDs["x"], quicktest.IsTrue)
		c.Assert(b.hasChanges(), quicktest.IsFalse, quicktest.Commentf("nothing is left for another batch"))
		time.Sleep(b.earlierStartsEnd(b.now()).Sub(b.now()) + time.Second)
		b.dropKeptIncarnations(b.now())
		commit()
		c.Assert(deleted[incarnationKey+"w@9"], quicktest.IsTrue)
	})
}
