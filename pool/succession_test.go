// SPDX-License-Identifier: MIT

package pool

import (
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

// bornBench returns a session whose list tells births: the value of an entry is its one byte.
func bornBench(c *quicktest.C, j *job.Job) *bench {
	b := newBench(c, []*job.Job{j})
	b.ParseWorker = func(id string, value []byte) (work.Worker, error) {
		if value[0] == 255 {
			return work.Worker{}, errors.New("not to be read")
		}
		return work.Worker{Birth: work.Birth(value[0]), Machine: "m-" + id, Pool: "p", Capacity: job.Need{MilliCPU: 4000, MemoryMB: 4000}}, nil
	}
	return b
}

func (b *bench) lists(id string, birth byte) { b.listWorker(id, []byte{birth}) }

// stranger has another life under the ID answer a call to a life.
func (b *bench) stranger(life string, birth work.Birth) {
	holdEnded{worker: b.workers[life], asked: time.Now(), report: work.Report{Answer: work.Answer{Refusal: work.OtherLife, Birth: birth}}}.apply(b.session)
}

func TestNothingOfALifeIsBelievedOfTheNextUnderItsID(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(3))
	b.lists("w", 9)
	b.reports("w@9", 60_000, []work.RunStatus{{Task: taskName, Run: 5}, {Task: "00000000000000a1.0.0.1", Run: 6}}, work.EndedRun{Seq: 40, Task: "00000000000000a1.0.0.2", Run: 4, Outcome: work.Failed})
	b.workers["w@9"].ack(40)
	b.stranger("w@9", 4) // born before, by its clock
	c.Assert(b.workers["w@9"], quicktest.IsNil)
	next := b.workers["w@4"]
	c.Assert(next.usable(time.Now()), quicktest.IsFalse, quicktest.Commentf("it is not listed yet"))
	c.Assert(next.acked.Load(), quicktest.Equals, int64(0))
	c.Assert(next.processed, quicktest.Equals, int64(0))
	c.Assert(next.leasedUntil().IsZero(), quicktest.IsTrue)
	for i := range 2 {
		c.Assert(b.task(i).Phase, quicktest.Equals, job.Waiting, quicktest.Commentf("what the life had, has ended with it"))
		c.Assert(b.task(i).Lost, quicktest.HasLen, 1)
	}
	b.lists("w", 9) // an entry that was held up
	c.Assert(b.workers, quicktest.HasLen, 1)
	b.lists("w", 4)
	b.reports("w@4", 3, []work.RunStatus{{Task: taskName, Run: 7}}, work.EndedRun{Seq: 1, Task: "00000000000000a1.0.0.2", Run: 8, Outcome: work.Succeeded})
	c.Assert(b.task(2).Phase, quicktest.Equals, job.Finished, quicktest.Commentf("the first end of this life"))
	c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
	c.Assert(next.usable(time.Now()), quicktest.IsTrue)
}

// TestAListEndsNoLife has entries of two lives under one ID overtake each other: who answers lives.
func TestAListEndsNoLife(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(1))
	b.lists("w", 9)
	b.reports("w@9", 50, []work.RunStatus{{Task: taskName, Run: 5}})
	b.lists("w", 4)
	c.Assert(b.task(0).Worker, quicktest.Equals, "w@9")
	b.lists("w", 9)
	c.Assert(b.workers, quicktest.HasLen, 2)
	b.stranger("w@4", 9) // an earlier one, whose entry came late
	c.Assert(b.workers, quicktest.HasLen, 1)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
	b.listWorker("w", nil)
	c.Assert(b.workers["w@9"].listed, quicktest.IsFalse)
}

func TestTheFirstAnswerOfALifeEndsTheOneBeforeUnderItsID(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(1))
	b.lists("w", 9)
	b.reports("w@9", 50, []work.RunStatus{{Task: taskName, Run: 5}})
	b.lists("w", 4)
	b.reports("w@4", 3, nil)
	c.Assert(b.workers["w@9"], quicktest.IsNil)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
}

// TestALifeThatAnswersBeforeItIsListedGetsWork guards against tasks that never start because the record of a life discovered through an answer,
// before the list named it, is not stored.
func TestALifeThatAnswersBeforeItIsListedGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := bornBench(c, one(1))
		b.lists("w", 9)
		b.reports("w@9", 50, nil)
		b.keeps()
		b.stranger("w@9", 4)
		b.lists("w", 4)
		b.reports("w@4", 3, nil)
		c.Assert(b.ordered(), quicktest.Equals, 0, quicktest.Commentf("the record of the life is not stored yet"))
		b.keeps()
		c.Assert(b.ordered(), quicktest.Equals, 1)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
	})
}

// TestAnOrderWithoutAnAnswerIsLookedForAtTheNextLife has a life end with a start under way: nothing says whether it was carried out
// there, or will be by the next life, which it names as well.
func TestAnOrderWithoutAnAnswerIsLookedForAtTheNextLife(t *testing.T) {
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
			b := bornBench(c, one(1))
			b.lists("w", 9)
			b.lists("v", 9)
			b.reports("w@9", 50, nil)
			b.reports("v@9", 50, nil)
			b.runningOn([]time.Duration{100 * time.Millisecond}, "w@9")
			b.stranger("w@9", 4)
			c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
			c.Assert(b.ordered(), quicktest.Equals, 0, quicktest.Commentf("it may be at the next life"))
			b.reports("w@4", 3, x.running, x.ended...)
			c.Assert(b.task(0).Phase, quicktest.Equals, x.phase)
			c.Assert(b.task(0).Lost, quicktest.HasLen, x.lost)
		})
	}
}

// TestWhatIsKeptNamesLives has a leader read runs of lives that are over, that go on, and that are named without a birth.
func TestWhatIsKeptNamesLives(t *testing.T) {
	for _, x := range [...]struct {
		name, kept string
		// known says that the life is kept as one that may be given work.
		known bool
		lost  int
	}{
		{"the life that is listed", "w@9", true, 0},
		{"a life that is over, and may be reborn as the one listed", "w@4", false, 1},
		{"a record without a birth", "w", true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			j := one(1)
			j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Active, 5, x.kept
			b := bornBench(c, j)
			state := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, stateKey+j.Spec.ID, j.Stored())}}
			if x.known {
				state.Records = append(state.Records, record(c, workersKey, []keptWorker{{Life: x.kept, Machine: "m-w", Pool: "p", Address: "a"}}))
			}
			intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
			b.take(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}}})
			c.Assert(b.workers, quicktest.HasLen, 1)
			c.Assert(b.task(0).Worker, quicktest.Equals, "w@9")
			c.Assert(b.ordered(), quicktest.Equals, 0)
			c.Assert(b.task(0).Lost, quicktest.HasLen, x.lost)
			b.reports("w@9", 3, nil)
			c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		})
	}
}

// TestALostRunThatWasHandedOnCountsOnceOverATakeover has a leader read an order that the life before never said that it had: its end was counted
// by the leader before, and the next life's end says nothing of it.
func TestALostRunThatWasHandedOnCountsOnceOverATakeover(t *testing.T) {
	c := quicktest.New(t)
	j := one(1)
	j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Starting, 5, "w@9"
	j.RecordLost(&j.Tasks[0], job.LostRun{Run: 5, Life: "w@4", Suspects: 2})
	b := bornBench(c, j)
	state := feed.KeyedPage{Records: []feed.KeyedRecord{
		record(c, stateKey+j.Spec.ID, j.Stored()), record(c, lostKey+j.Spec.ID, j.StoredLost()),
		record(c, workersKey, []keptWorker{{Life: "w@9", Machine: "m-w", Pool: "p", Address: "a"}}),
	}}
	intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
	b.take(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}}})
	c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
	b.stranger("w@9", 2)
	c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
	c.Assert(b.task(0).Worker, quicktest.Equals, "w@2")
}

// TestALifeWithoutABirthIsNamedByWhoAnswers has a record of before births were told name a worker that is listed no longer.
func TestALifeWithoutABirthIsNamedByWhoAnswers(t *testing.T) {
	c := quicktest.New(t)
	j := one(1)
	j.Tasks[0].Phase, j.Tasks[0].Run, j.Tasks[0].Worker = job.Active, 5, "w"
	b := bornBench(c, j)
	state := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, stateKey+j.Spec.ID, j.Stored()), record(c, workersKey, []keptWorker{{Life: "w", Machine: "m-w", Pool: "p", Address: "a"}})}}
	intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
	b.take(state, []feed.KeyedPage{intake}, feed.KeyedPage{})
	b.stranger("w", 9)
	c.Assert(b.task(0).Lost, quicktest.HasLen, 0)
	b.reports("w@9", 3, []work.RunStatus{{Task: taskName, Run: 5}})
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
}

func TestAnEntryThatLacksItsWorkersBirthIsAnotherWriters(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(1))
	b.lists("w", 9)
	b.reports("w@9", 50, nil)
	b.lists("w", 0)
	c.Assert(b.workers, quicktest.HasLen, 1)
	c.Assert(b.workers["w@9"].usable(time.Now()), quicktest.IsFalse)
	b.lists("w", 255)
	b.lists("w", 9)
	c.Assert(b.workers["w@9"].usable(time.Now()), quicktest.IsTrue)
}

// TestALifeThatEndsWithoutTheStoresWordWaitsForIt has a life begin anew while the store confirms nothing.
func TestALifeThatEndsWithoutTheStoresWordWaitsForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := bornBench(c, one(1))
		b.lists("w", 9)
		b.reports("w@9", 50, []work.RunStatus{{Task: taskName, Run: 5}})
		var confirmed atomic.Pointer[time.Time] // the next life's holds look at it as well
		confirm := func() { now := time.Now(); confirmed.Store(&now) }
		confirm()
		b.ConfirmedAt = func() time.Time { return *confirmed.Load() }
		time.Sleep(5 * time.Second)
		b.stranger("w@9", 4)
		token := b.workers["w@4"].token.Load()
		b.stranger("w@9", 4)
		c.Assert(b.workers["w@4"].token.Load(), quicktest.Equals, token, quicktest.Commentf("the next life's answers would never count"))
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Active, quicktest.Commentf("another leader may have heard its end"))
		c.Assert(b.workers["w@9"].usable(time.Now()), quicktest.IsFalse)
		confirm()
		b.watchLeases(time.Now())
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	})
}

// TestALeaseThatIsOverDoesNotSettleAnOrderWithoutAnAnswer has a worker fall silent with a run that it had and a start that it never answered.
func TestALeaseThatIsOverDoesNotSettleAnOrderWithoutAnAnswer(t *testing.T) {
	for _, listed := range [...]bool{true, false} {
		c := quicktest.New(t)
		b := bornBench(c, one(2))
		b.lists("w", 9)
		b.reports("w@9", 50, nil)
		b.runningOn([]time.Duration{0, 0}, "w@9")
		w := b.workers["w@9"]
		w.listed = listed
		b.confirm(w, b.task(0), w.runs[b.task(0)], 60)
		b.endLease(w, time.Now())
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(b.task(1).Worker, quicktest.Equals, "w@9")
		b.endLease(w, time.Now().Add(lateMost))
		c.Assert(b.task(1).Phase, quicktest.Equals, job.Waiting)
	}
}

// TestAnswersUnderALowerTokenDoNotCountForTheNextLife has a life answer what it was asked before the token of its ID rose.
func TestAnswersUnderALowerTokenDoNotCountForTheNextLife(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(1))
	b.lists("w", 9)
	b.reports("w@9", 50, nil)
	b.runningOn([]time.Duration{100 * time.Millisecond}, "w@9")
	before := b.workers["w@9"].token.Load()
	b.lists("w", 4)
	next := b.workers["w@4"]
	c.Assert(next.token.Load() > before, quicktest.IsTrue)
	asked := next.token.Load()
	b.reports("w@4", 3, nil) // it ends the life before, whose order may have left just before that
	c.Assert(b.workers["w@9"], quicktest.IsNil)
	c.Assert(next.usable(time.Now()), quicktest.IsFalse)
	holdEnded{worker: next, token: asked, asked: time.Now()}.apply(b.session)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Starting, quicktest.Commentf("the order may come after that answer"))
	b.reports("w@4", 4, nil)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	c.Assert(next.usable(time.Now()), quicktest.IsTrue)
	c.Assert(next.leasedUntil().IsZero(), quicktest.IsFalse, quicktest.Commentf("a late call to the life before may have leased it"))
}

// TestARaisedTokenIsNoOtherLeaders has a call of before a life's token rose be refused for it, and then one under the newest.
func TestARaisedTokenIsNoOtherLeaders(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(1))
	lost := 0
	b.Lost = func(int64) { lost++ }
	b.lists("w", 9)
	b.lists("w", 4)
	w := b.workers["w@4"]
	refused := work.Answer{Refusal: work.Fenced}
	for range 2 {
		token := w.token.Load() - 1
		holdEnded{worker: w, token: token, report: work.Report{Answer: refused}}.apply(b.session)
		stopEnded{worker: w, token: token, answer: refused}.apply(b.session)
		paceEnded{worker: w, token: token, answer: refused}.apply(b.session)
	}
	c.Assert(lost, quicktest.Equals, 0)
	holdEnded{worker: w, token: w.token.Load(), report: work.Report{Answer: refused}}.apply(b.session)
	c.Assert(lost, quicktest.Equals, 1)
}

func TestTokensAreRaisedWithinTheTermAlone(t *testing.T) {
	c := quicktest.New(t)
	b := bornBench(c, one(1))
	lost := 0
	b.Lost = func(int64) { lost++ }
	b.lists("w", 9)
	w := b.workers["w@9"]
	w.token.Store(3<<16 - 2)
	b.raise(w)
	c.Assert(lost, quicktest.Equals, 0)
	b.raise(w)
	c.Assert(lost, quicktest.Equals, 1)
	c.Assert(w.token.Load(), quicktest.Equals, int64(3<<16-1))
}
