// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// newBootIDFixture returns a session whose list of workers contains boot IDs: the value of an entry is its boot ID as a
// single byte.
func newBootIDFixture(c *quicktest.C, j *job.Job) *fixture {
	b := newFixture(c, []*job.Job{j})
	b.ParseWorker = func(id string, value []byte) (work.Worker, error) {
		if value[0] == 255 {
			return work.Worker{}, errors.New("invalid entry")
		}
		return work.Worker{BootID: work.BootID(value[0]), Machine: "m-" + id, Pool: "p", Capacity: job.Need{MilliCPU: 4000, MemoryMB: 4000}}, nil
	}
	return b
}

func (b *fixture) list(id string, bootID byte) { b.applyWorkerRecord(id, []byte{bootID}) }

// answerAsOtherIncarnation applies an answer to a call to an incarnation that was given by another incarnation under the same ID.
func (b *fixture) answerAsOtherIncarnation(incarnation string, bootID work.BootID) {
	holdResult{worker: b.workers[incarnation], asked: time.Now(), report: work.Report{Answer: work.Answer{Refusal: work.OtherIncarnation, BootID: bootID}}}.apply(b.session)
}

func TestNothingOfAnIncarnationIsBelievedOfTheNextUnderItsID(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(3))
	b.list("w", 9)
	b.report("w@9", 60_000, []work.RunStatus{{Task: taskName, Run: 5}, {Task: "00000000000000a1.0.0.1", Run: 6}}, work.EndedRun{Seq: 40, Task: "00000000000000a1.0.0.2", Run: 4, Outcome: work.Failed})
	b.workers["w@9"].ack(40)
	b.answerAsOtherIncarnation("w@9", 4) // an earlier boot ID, according to its clock
	c.Assert(b.workers["w@9"], quicktest.IsNil)
	next := b.workers["w@4"]
	c.Assert(next.usable(time.Now()), quicktest.IsFalse, quicktest.Commentf("the life is not listed yet"))
	c.Assert(next.acked.Load(), quicktest.Equals, int64(0))
	c.Assert(next.lastProcessedEnd, quicktest.Equals, int64(0))
	c.Assert(next.leasedUntil().IsZero(), quicktest.IsTrue)
	for i := range 2 {
		c.Assert(b.task(i).Phase, quicktest.Equals, job.Waiting, quicktest.Commentf("its runs ended with it"))
		c.Assert(b.task(i).Lost, quicktest.HasLen, 1)
	}
	b.list("w", 9) // a delayed entry
	c.Assert(b.workers, quicktest.HasLen, 1)
	b.list("w", 4)
	b.report("w@4", 3, []work.RunStatus{{Task: taskName, Run: 7}}, work.EndedRun{Seq: 1, Task: "00000000000000a1.0.0.2", Run: 8, Outcome: work.Succeeded})
	c.Assert(b.task(2).Phase, quicktest.Equals, job.Finished, quicktest.Commentf("this is the first end of this life"))
	c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
	c.Assert(next.usable(time.Now()), quicktest.IsTrue)
}

// TestAListEndsNoIncarnation reorders list entries of two incarnations under one ID. An incarnation must end only when the other one
// answers.
func TestAListEndsNoIncarnation(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(1))
	b.list("w", 9)
	b.report("w@9", 50, []work.RunStatus{{Task: taskName, Run: 5}})
	b.list("w", 4)
	c.Assert(b.task(0).Worker, quicktest.Equals, "w@9")
	b.list("w", 9)
	c.Assert(b.workers, quicktest.HasLen, 2)
	b.answerAsOtherIncarnation("w@4", 9) // an earlier incarnation, whose entry was delayed
	c.Assert(b.workers, quicktest.HasLen, 1)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
	b.applyWorkerRecord("w", nil)
	c.Assert(b.workers["w@9"].listed, quicktest.IsFalse)
}

func TestTheFirstAnswerOfAnIncarnationEndsTheOneBeforeUnderItsID(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(1))
	b.list("w", 9)
	b.report("w@9", 50, []work.RunStatus{{Task: taskName, Run: 5}})
	b.list("w", 4)
	b.report("w@4", 3, nil)
	c.Assert(b.workers["w@9"], quicktest.IsNil)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
}

// TestAnIncarnationThatAnswersBeforeItIsListedGetsWork guards against tasks that never start because the record of an incarnation
// that became known through an answer, before the list named it, is not stored.
func TestAnIncarnationThatAnswersBeforeItIsListedGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBootIDFixture(c, jobWithTasks(1))
		b.list("w", 9)
		b.report("w@9", 50, nil)
		b.commitAll()
		b.answerAsOtherIncarnation("w@9", 4)
		b.list("w", 4)
		b.report("w@4", 3, nil)
		c.Assert(b.placeAndCount(), quicktest.Equals, 0, quicktest.Commentf("the record of the life is not stored yet"))
		b.commitAll()
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
	})
}

// TestAnOrderWithoutAnAnswerIsLookedForAtTheNextIncarnation ends an incarnation while a start to it is unanswered. The start may
// have been carried out there, or the next incarnation may carry it out, because it is addressed to the ID.
func TestAnOrderWithoutAnAnswerIsLookedForAtTheNextIncarnation(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		running []work.RunStatus
		ended   []work.EndedRun
		phase   job.Phase
		lost    int
	}{
		{"it is not there", nil, nil, job.Waiting, 1},
		{"it is there", []work.RunStatus{{Task: taskName, Run: 100}}, nil, job.Active, 0},
		{"it is done there", nil, []work.EndedRun{{Seq: 1, Task: taskName, Run: 100, Outcome: work.Succeeded}}, job.Finished, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newBootIDFixture(c, jobWithTasks(1))
			b.list("w", 9)
			b.list("v", 9)
			b.report("w@9", 50, nil)
			b.report("v@9", 50, nil)
			b.runningOn([]time.Duration{100 * time.Millisecond}, "w@9")
			b.answerAsOtherIncarnation("w@9", 4)
			c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
			c.Assert(b.placeAndCount(), quicktest.Equals, 0, quicktest.Commentf("the start may be at the next life"))
			b.report("w@4", 3, x.running, x.ended...)
			c.Assert(b.task(0).Phase, quicktest.Equals, x.phase)
			c.Assert(b.task(0).Lost, quicktest.HasLen, x.lost)
		})
	}
}

// TestAPlannedStartIsTakenBackWhenAnEarlierRunIsListed guards against a second run of a task: a worker lists an earlier run of it while the start of the next one
// waits for the store.
func TestAPlannedStartIsTakenBackWhenAnEarlierRunIsListed(t *testing.T) {
	for _, x := range [...]struct {
		name string
		// storing is set if the planned run is in a batch that the store is being given.
		storing bool
	}{
		{"it is in no batch", false},
		{"it is in a batch", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newBootIDFixture(c, jobWithTasks(1))
				sent := b.startsAnswered(work.Accepted)
				b.list("w", 9)
				b.list("v", 9)
				b.report("w@9", 50, nil)
				b.report("v@9", 50, nil)
				b.commitAll()
				c.Assert(b.placeAndCount(), quicktest.Equals, 1)
				planned := b.task(0).Worker
				other := map[string]string{"w@9": "v@9", "v@9": "w@9"}[planned]
				if x.storing {
					b.State.Append = func(context.Context, feed.Batch) (int64, error) { return 1, nil }
					b.commit()
					synctest.Wait() // the answer has come and is not processed yet
				}
				earlier := b.task(0).Run - 1
				b.report(other, 60, []work.RunStatus{{Task: taskName, Run: earlier}})
				for range 3 {
					b.commitAll()
				}
				synctest.Wait()
				c.Assert(*sent, quicktest.HasLen, 0)
				c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
				c.Assert(b.task(0).Worker, quicktest.Equals, other)
				c.Assert(b.task(0).Run, quicktest.Equals, earlier)
				c.Assert(b.workers[planned].runs, quicktest.HasLen, 0)
				c.Assert(b.task(0).Job.StoredVersion, quicktest.Equals, b.task(0).Job.Version)
			})
		})
	}
}

// TestWhatIsKeptNamesIncarnations loads stored runs of ended incarnations, of current incarnations, and of incarnations recorded without a boot ID.
func TestWhatIsKeptNamesIncarnations(t *testing.T) {
	for _, x := range [...]struct {
		name, kept string
		// known is set if the store has a record of the incarnation.
		known bool
		lost  int
	}{
		{"the life that is listed", "w@9", true, 0},
		{"a life that is over, and may be reborn as the one listed", "w@4", false, 1},
		{"a record without a birth", "w", true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			j := jobWithTasks(1)
			j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Active, 5, x.kept
			b := newBootIDFixture(c, j)
			state := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, stateKey+j.Spec.ID, j.Stored()), record(c, settledKey+j.Spec.ID, []int64{5})}}
			if x.known {
				state.Records = append(state.Records, record(c, workersKey, []keptWorker{{Incarnation: x.kept, Machine: "m-w", Pool: "p", Address: "a"}}))
			}
			intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
			b.fillTables(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}}})
			c.Assert(b.workers, quicktest.HasLen, 1)
			c.Assert(b.task(0).Worker, quicktest.Equals, "w@9")
			c.Assert(b.placeAndCount(), quicktest.Equals, 0)
			c.Assert(b.task(0).Lost, quicktest.HasLen, x.lost)
			b.report("w@9", 3, nil)
			c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		})
	}
}

// TestAStoredRunThatIsNotSettledStaysWithItsWorker guards against a task that a new leader starts elsewhere although the earlier leader's only order may still be
// carried out: it may have got no answer before that leader was lost.
func TestAStoredRunThatIsNotSettledStaysWithItsWorker(t *testing.T) {
	for _, x := range [...]struct {
		name, kept string
		// phase is the task's phase while the order may still be carried out. A suspect waits, so that it is not started beside others.
		phase job.Phase
	}{
		{"the incarnation that is listed", "w@9", job.Starting},
		{"an incarnation that has ended", "w@4", job.Waiting},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				j := jobWithTasks(1)
				j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Starting, 5, x.kept
				b := newBootIDFixture(c, j)
				state := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, stateKey+j.Spec.ID, j.Stored())}}
				intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
				b.fillTables(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}, {Key: "v", Value: []byte{9}}}})
				sent := b.startsAnswered()
				b.report("v@9", 3, nil)
				b.report("w@9", 3, nil)
				b.commitAll()
				c.Assert(b.task(0).Phase, quicktest.Equals, x.phase)
				c.Assert(b.placeAndCount(), quicktest.Equals, 0)
				b.resolveUnanswered(b.now())
				b.settles()
				c.Assert(len(*sent) > 0, quicktest.Equals, x.phase == job.Starting)
				for _, o := range *sent {
					c.Assert(o.Run, quicktest.Equals, int64(5))
				}
				time.Sleep(quorumValidFor + lateMax)
				b.report("w@9", 30_000, nil)
				c.Assert(b.placeAndCount(), quicktest.Equals, 1)
			})
		})
	}
}

// TestALostRunThatWasHandedOnCountsOnceOverATakeover guards against counting a lost run twice. The order was carried
// over from an incarnation that never confirmed it, the earlier leader counted that incarnation's end, and the next incarnation ends as
// well.
func TestALostRunThatWasHandedOnCountsOnceOverATakeover(t *testing.T) {
	c := quicktest.New(t)
	j := jobWithTasks(1)
	j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Starting, 5, "w@9"
	j.RecordLost(&j.Tasks[0], job.LostRun{Run: 5, Incarnation: "w@4", Suspects: 2})
	b := newBootIDFixture(c, j)
	state := feed.KeyedPage{Records: []feed.KeyedRecord{
		record(c, stateKey+j.Spec.ID, j.Stored()), record(c, lostKey+j.Spec.ID, j.StoredLost()),
		record(c, workersKey, []keptWorker{{Incarnation: "w@9", Machine: "m-w", Pool: "p", Address: "a"}}),
	}}
	intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
	b.fillTables(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}}})
	c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
	b.answerAsOtherIncarnation("w@9", 2)
	c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
	c.Assert(b.task(0).Worker, quicktest.Equals, "w@2")
}

// TestAnIncarnationWithoutABootIDIsNamedByWhoAnswers loads a run from a record that was written before boot IDs existed. Its
// worker is no longer listed, and the incarnation that answers must get the run.
func TestAnIncarnationWithoutABootIDIsNamedByWhoAnswers(t *testing.T) {
	c := quicktest.New(t)
	j := jobWithTasks(1)
	j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Active, 5, "w"
	b := newBootIDFixture(c, j)
	state := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, stateKey+j.Spec.ID, j.Stored()), record(c, workersKey, []keptWorker{{Incarnation: "w", Machine: "m-w", Pool: "p", Address: "a"}})}}
	intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
	b.fillTables(state, []feed.KeyedPage{intake}, feed.KeyedPage{})
	b.answerAsOtherIncarnation("w", 9)
	c.Assert(b.task(0).Lost, quicktest.HasLen, 0)
	b.report("w@9", 3, []work.RunStatus{{Task: taskName, Run: 5}})
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
}

func TestAnEntryThatLacksItsWorkersBootIDIsAnotherWriters(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(1))
	b.list("w", 9)
	b.report("w@9", 50, nil)
	b.list("w", 0)
	c.Assert(b.workers, quicktest.HasLen, 1)
	c.Assert(b.workers["w@9"].usable(time.Now()), quicktest.IsFalse)
	b.list("w", 255)
	b.list("w", 9)
	c.Assert(b.workers["w@9"].usable(time.Now()), quicktest.IsTrue)
}

// TestAnIncarnationThatEndsWithoutTheStoresWordWaitsForIt restarts a worker while the store does not confirm the lead. Its
// runs must stay until it does, because another leader may know of their ends.
func TestAnIncarnationThatEndsWithoutTheStoresWordWaitsForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBootIDFixture(c, jobWithTasks(1))
		b.list("w", 9)
		b.report("w@9", 50, []work.RunStatus{{Task: taskName, Run: 5}})
		var confirmed atomic.Pointer[time.Time] // also read by the holds of the next incarnation
		confirm := func() { now := time.Now(); confirmed.Store(&now) }
		confirm()
		b.ConfirmedAt = func() time.Time { return *confirmed.Load() }
		time.Sleep(5 * time.Second)
		b.answerAsOtherIncarnation("w@9", 4)
		token := b.workers["w@4"].token.Load()
		b.answerAsOtherIncarnation("w@9", 4)
		c.Assert(b.workers["w@4"].token.Load(), quicktest.Equals, token, quicktest.Commentf("the token rose again, so no answer of the next life would count"))
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Active, quicktest.Commentf("another leader may have learned of its end"))
		c.Assert(b.workers["w@9"].usable(time.Now()), quicktest.IsFalse)
		confirm()
		b.checkLeases(time.Now())
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	})
}

// TestALeaseThatIsOverDoesNotSettleAnOrderWithoutAnAnswer lets the lease of a silent worker expire. The run that it
// confirmed is over then, but the start that it never answered may still be carried out until lateMax has passed.
func TestALeaseThatIsOverDoesNotSettleAnOrderWithoutAnAnswer(t *testing.T) {
	for _, listed := range [...]bool{true, false} {
		c := quicktest.New(t)
		b := newBootIDFixture(c, jobWithTasks(2))
		b.list("w", 9)
		b.report("w@9", 50, nil)
		b.runningOn([]time.Duration{0, 0}, "w@9")
		w := b.workers["w@9"]
		w.listed = listed
		b.confirmRun(w, b.task(0), w.runs[b.task(0)], 60)
		b.expireLease(w, time.Now())
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(b.task(1).Worker, quicktest.Equals, "w@9")
		b.expireLease(w, time.Now().Add(lateMax))
		c.Assert(b.task(1).Phase, quicktest.Equals, job.Waiting)
	}
}

// TestAnswersUnderALowerTokenDoNotCountForTheNextIncarnation guards against a task that runs twice. An order to the previous
// incarnation may arrive after the next incarnation has answered a call that was sent before the token of the ID rose.
func TestAnswersUnderALowerTokenDoNotCountForTheNextIncarnation(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(1))
	b.list("w", 9)
	b.report("w@9", 50, nil)
	b.runningOn([]time.Duration{100 * time.Millisecond}, "w@9")
	before := b.workers["w@9"].token.Load()
	b.list("w", 4)
	next := b.workers["w@4"]
	c.Assert(next.token.Load() > before, quicktest.IsTrue)
	asked := next.token.Load()
	b.report("w@4", 3, nil) // ends the previous incarnation, whose order may have been sent just before
	c.Assert(b.workers["w@9"], quicktest.IsNil)
	c.Assert(next.usable(time.Now()), quicktest.IsFalse)
	holdResult{worker: next, token: asked, asked: time.Now()}.apply(b.session)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Starting, quicktest.Commentf("the order may arrive after that answer"))
	b.report("w@4", 4, nil)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	c.Assert(next.usable(time.Now()), quicktest.IsTrue)
	c.Assert(next.leasedUntil().IsZero(), quicktest.IsFalse, quicktest.Commentf("a late call to the previous life may have leased it"))
}

// TestARaisedTokenIsNoOtherLeaders guards against giving up the lead when a worker refuses a call that was sent
// before this leader raised the token. A refusal under the newest token does mean another leader.
func TestARaisedTokenIsNoOtherLeaders(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(1))
	lost := 0
	b.Lost = func(int64) { lost++ }
	b.list("w", 9)
	b.list("w", 4)
	w := b.workers["w@4"]
	refused := work.Answer{Refusal: work.Fenced}
	for range 2 {
		token := w.token.Load() - 1
		holdResult{worker: w, token: token, report: work.Report{Answer: refused}}.apply(b.session)
		stopResult{worker: w, token: token, answer: refused}.apply(b.session)
		paceEnded{worker: w, token: token, answer: refused}.apply(b.session)
	}
	c.Assert(lost, quicktest.Equals, 0)
	holdResult{worker: w, token: w.token.Load(), report: work.Report{Answer: refused}}.apply(b.session)
	c.Assert(lost, quicktest.Equals, 1)
}

func TestTokensAreRaisedWithinTheTermAlone(t *testing.T) {
	c := quicktest.New(t)
	b := newBootIDFixture(c, jobWithTasks(1))
	lost := 0
	b.Lost = func(int64) { lost++ }
	b.list("w", 9)
	w := b.workers["w@9"]
	w.token.Store(3<<16 - 2)
	b.raiseToken(w)
	c.Assert(lost, quicktest.Equals, 0)
	b.raiseToken(w)
	c.Assert(lost, quicktest.Equals, 1)
	c.Assert(w.token.Load(), quicktest.Equals, int64(3<<16-1))
}
