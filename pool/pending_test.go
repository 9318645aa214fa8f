// SPDX-License-Identifier: MIT

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

// startsAnswered makes the worker answer successive starts with the given refusals; further starts get no answer. It returns the starts that were sent.
func (b *bench) startsAnswered(answers ...work.Refusal) *[]work.Start {
	sent := new([]work.Start)
	b.Calls.Start = func(ctx context.Context, _ *work.Worker, o work.Start) (work.Answer, error) {
		*sent = append(*sent, o)
		if n := len(*sent); n <= len(answers) && answers[n-1] != unanswered {
			return work.Answer{Refusal: answers[n-1], Clock: 60}, nil
		}
		<-ctx.Done()
		return work.Answer{}, work.ErrNoAnswer
	}
	return sent
}

// unanswered marks a start that gets no answer.
const unanswered = work.Refusal(255)

// pendingBench returns a session that has sent the start of a job's only task to w@9, and the starts that the worker was sent.
func pendingBench(c *quicktest.C, answers ...work.Refusal) (*bench, *[]work.Start) {
	b := bornBench(c, one(1))
	sent := b.startsAnswered(answers...)
	b.lists("w", 9)
	b.reports("w@9", 50, nil)
	b.keeps()
	c.Assert(b.ordered(), quicktest.Equals, 1)
	b.keeps()
	b.settles()
	return b, sent
}

// settles waits until all attempts at a start are over.
func (b *bench) settles() {
	time.Sleep(orderTimeout)
	synctest.Wait()
	for _, m := range b.inbox.take() {
		m.apply(b.session)
	}
}

// TestAStartWithoutAnAnswerIsSentAgainToTheSameLife guards against a single lost answer that delays a task until its start's deadline or makes
// it run a second time elsewhere.
func TestAStartWithoutAnAnswerIsSentAgainToTheSameLife(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		answers []work.Refusal
		sent    int
		phase   job.Phase
		late    bool
	}{
		{"answered at once", []work.Refusal{work.Accepted}, 1, job.Active, false},
		{"the second attempt is answered", []work.Refusal{unanswered, work.Accepted}, 2, job.Active, true},
		{"the second attempt is refused", []work.Refusal{unanswered, work.NoRoom}, 2, job.Starting, true},
		{"no attempt is answered", nil, startAttempts, job.Starting, true},
		{"refused at once", []work.Refusal{work.NoRoom}, 1, job.Waiting, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b, sent := pendingBench(c, x.answers...)
				c.Assert(*sent, quicktest.HasLen, x.sent)
				for _, o := range *sent {
					c.Assert(o, quicktest.Equals, (*sent)[0])
				}
				c.Assert(b.task(0).Phase, quicktest.Equals, x.phase)
				c.Assert(b.task(0).MayComeLate(b.now()), quicktest.Equals, x.late)
			})
		})
	}
}

// TestAStartThatNoAttemptGotAnAnswerToStaysWithItsLife guards against a task that runs elsewhere while the next life may carry out its
// start.
func TestAStartThatNoAttemptGotAnAnswerToStaysWithItsLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, sent := pendingBench(c)
		b.reports("w@9", 50_000, nil) // far past the start's deadline
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@9")
		for range 2 * startRounds {
			b.settleUnanswered(b.now())
			b.settles()
			b.reports("w@9", 60_000, nil)
		}
		c.Assert(*sent, quicktest.HasLen, startRounds*startAttempts)
		time.Sleep(lateMost)
		b.reports("w@9", 90_000, nil)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	})
}

// TestAnEndIsAcknowledgedOnceNoStartOfItsTaskCanComeLate guards against a task whose end was acknowledged and that runs again on the next life
// under its worker's ID.
func TestAnEndIsAcknowledgedOnceNoStartOfItsTaskCanComeLate(t *testing.T) {
	for _, how := range [...]work.Outcome{work.Succeeded, work.Failed} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			b, _ := pendingBench(c, unanswered, work.Accepted)
			w := b.workers["w@9"]
			b.reports("w@9", 100, nil, work.EndedRun{Seq: 1, Task: taskName, Run: b.task(0).Run, Outcome: how})
			b.keeps()
			c.Assert(w.acked.Load(), quicktest.Equals, int64(0))
			c.Assert(w.ackDelayed.Load(), quicktest.IsTrue)
			c.Assert(b.ordered(), quicktest.Equals, 0)
			time.Sleep(lateMost)
			b.reports("w@9", 20_000, nil)
			c.Assert(w.acked.Load(), quicktest.Equals, int64(1))
			c.Assert(b.ordered() == 1, quicktest.Equals, how == work.Failed)
		})
	}
}

// TestARunWhoseStartMayComeLateIsLookedForAtTheNextLife guards against a task that starts elsewhere when the life that has its run ends while
// another attempt may still be carried out.
func TestARunWhoseStartMayComeLateIsLookedForAtTheNextLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := pendingBench(c, unanswered, work.Accepted)
		token := b.workers["w@9"].token.Load()
		holdEnded{worker: b.workers["w@9"], err: work.ErrNotSent}.apply(b.session)
		c.Assert(b.workers["w@9"].token.Load() > token, quicktest.IsTrue, quicktest.Commentf("the next answering life must see a token above the start's"))
		b.stranger("w@9", 4)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
		c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
		b.reports("w@4", 3, nil)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsFalse)
	})
}

// TestATaskStaysWithItsWorkerIDWhileItsStartMayComeLate guards against a task that runs elsewhere when two lives of a worker end in succession and the third
// life carries out the start sent to the first.
func TestATaskStaysWithItsWorkerIDWhileItsStartMayComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, sent := pendingBench(c, unanswered, work.Accepted)
		b.lists("v", 9) // another worker with room
		b.reports("v@9", 50, nil)
		time.Sleep(2 * suspectMost) // makes the run too old to be suspected of ending the life
		b.stranger("w@9", 4)
		b.lists("w", 4)
		b.reports("w@4", 3, nil)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
		c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsTrue)
		c.Assert(b.ordered(), quicktest.Equals, 0)
		b.settleUnanswered(b.now())
		b.settles()
		c.Assert(len(*sent) > 2, quicktest.IsTrue, quicktest.Commentf("the start must be sent to the next life"))
		b.stranger("w@4", 7)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@7")
		time.Sleep(lateMost)
		b.reports("w@7", 20_000, nil)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	})
}

// TestAnEndRightAfterALateStartIsNotAcknowledged guards against acknowledging the end of a run while further attempts to start it are under way.
func TestAnEndRightAfterALateStartIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := bornBench(c, one(1))
		b.startsAnswered()
		b.lists("w", 9)
		b.reports("w@9", 50, nil)
		b.keeps()
		c.Assert(b.ordered(), quicktest.Equals, 1)
		b.keeps()
		time.Sleep(2 * startTimeout) // the second attempt is under way
		for _, m := range b.inbox.take() {
			m.apply(b.session)
		}
		b.reports("w@9", 300, nil, work.EndedRun{Seq: 1, Task: taskName, Run: b.task(0).Run, Outcome: work.Succeeded})
		b.keeps()
		c.Assert(b.workers["w@9"].acked.Load(), quicktest.Equals, int64(0))
		b.settles()
	})
}

// TestTheNextLeaderKnowsOfStartsThatMayComeLate guards against a new leader that starts a task which an earlier leader's unanswered start
// may still begin.
func TestTheNextLeaderKnowsOfStartsThatMayComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := pendingBench(c)
		state := feed.KeyedPage{Records: b.keepJobs(&commitEnded{versions: make(map[*job.Job]int64)}, nil)}
		j := b.jobs["00000000000000a1"]
		intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
		next := bornBench(c, one(1))
		next.take(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}}})
		next.reports("w@9", 60_000, nil)
		next.keeps()
		c.Assert(next.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(next.ordered(), quicktest.Equals, 0)
		time.Sleep(lateMost)
		c.Assert(next.ordered(), quicktest.Equals, 1)
	})
}
