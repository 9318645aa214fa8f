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
func (b *fixture) startsAnswered(answers ...work.Refusal) *[]work.Start {
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
func pendingBench(c *quicktest.C, answers ...work.Refusal) (*fixture, *[]work.Start) {
	b := newBootIDFixture(c, jobWithTasks(1))
	sent := b.startsAnswered(answers...)
	b.list("w", 9)
	b.report("w@9", 50, nil)
	b.commitAll()
	c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	b.commitAll()
	b.settles()
	return b, sent
}

// settles commits what changes, as the control goroutine does, until the attempts that follow each other without a pause are over.
func (b *fixture) settles() {
	for end := b.now().Add(orderTimeout + startTimeout); b.now().Before(end); {
		time.Sleep(startTimeout / 4)
		synctest.Wait()
		for _, m := range b.inbox.takeAll() {
			m.apply(b.session)
		}
		b.commitAll()
	}
}

// TestAStartWithoutAnAnswerIsSentAgainToTheSameIncarnation guards against a single lost answer that delays a task until its start's deadline or makes
// it run a second time elsewhere.
func TestAStartWithoutAnAnswerIsSentAgainToTheSameIncarnation(t *testing.T) {
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
		{"no attempt is answered", nil, quickAttempts, job.Starting, true},
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

// TestAStartThatNoAttemptGotAnAnswerToStaysWithItsIncarnation guards against a task that runs elsewhere while the next incarnation may carry out its
// start.
func TestAStartThatNoAttemptGotAnAnswerToStaysWithItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, sent := pendingBench(c)
		b.report("w@9", 50_000, nil) // far past the start's deadline
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@9")
		for range 2 * startAttempts {
			b.resolveUnanswered(b.now())
			b.settles()
			b.report("w@9", 60_000, nil)
		}
		c.Assert(*sent, quicktest.HasLen, startAttempts)
		time.Sleep(lateMax)
		b.report("w@9", 90_000, nil)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	})
}

// TestAnEndIsAcknowledgedOnceNoStartOfItsTaskCanComeLate guards against a task whose end was acknowledged and that runs again on the next incarnation
// under its worker's ID.
func TestAnEndIsAcknowledgedOnceNoStartOfItsTaskCanComeLate(t *testing.T) {
	for _, how := range [...]work.Outcome{work.Succeeded, work.Failed} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			b, _ := pendingBench(c, unanswered, work.Accepted)
			w := b.workers["w@9"]
			b.report("w@9", 100, nil, work.EndedRun{Seq: 1, Task: taskName, Run: b.task(0).Run, Outcome: how})
			b.commitAll()
			c.Assert(w.acked.Load(), quicktest.Equals, int64(0))
			c.Assert(w.ackDelayed.Load(), quicktest.IsTrue)
			c.Assert(b.placeAndCount(), quicktest.Equals, 0)
			time.Sleep(lateMax)
			b.report("w@9", 20_000, nil)
			c.Assert(w.acked.Load(), quicktest.Equals, int64(1))
			c.Assert(b.placeAndCount() == 1, quicktest.Equals, how == work.Failed)
		})
	}
}

// TestARunWhoseStartMayComeLateIsLookedForAtTheNextIncarnation guards against a task that starts elsewhere when the incarnation that has its run ends while
// another attempt may still be carried out.
func TestARunWhoseStartMayComeLateIsLookedForAtTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := pendingBench(c, unanswered, work.Accepted)
		token := b.workers["w@9"].token.Load()
		holdResult{worker: b.workers["w@9"], err: work.ErrNotSent}.apply(b.session)
		c.Assert(b.workers["w@9"].token.Load() > token, quicktest.IsTrue, quicktest.Commentf("the next answering life must see a token above the start's"))
		b.answerAsOtherIncarnation("w@9", 4)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
		c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
		b.report("w@4", 3, nil)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsTrue, quicktest.Commentf("a third life may still carry the start out"))
		b.list("w", 4)
		b.commitAll()
		c.Assert(b.placeAndCount(), quicktest.Equals, 0)
		time.Sleep(lateMax)
		b.report("w@4", 20_000, nil)
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	})
}

// TestATaskStaysWithItsWorkerIDWhileItsStartMayComeLate guards against a task that runs elsewhere when two incarnations of a worker end in succession and the third
// incarnation carries out the start sent to the first.
func TestATaskStaysWithItsWorkerIDWhileItsStartMayComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, sent := pendingBench(c, unanswered, work.Accepted)
		b.list("v", 9) // another worker with room
		b.report("v@9", 50, nil)
		time.Sleep(2 * suspectMaxAge) // makes the run too old to be suspected of ending the incarnation
		b.answerAsOtherIncarnation("w@9", 4)
		b.list("w", 4)
		b.report("w@4", 3, nil)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@4")
		c.Assert(b.task(0).MayComeLate(b.now()), quicktest.IsTrue)
		c.Assert(b.placeAndCount(), quicktest.Equals, 0)
		b.resolveUnanswered(b.now())
		b.settles()
		c.Assert(len(*sent) > 2, quicktest.IsTrue, quicktest.Commentf("the start must be sent to the next life"))
		b.answerAsOtherIncarnation("w@4", 7)
		c.Assert(b.task(0).Worker, quicktest.Equals, "w@7")
		time.Sleep(lateMax)
		b.report("w@7", 20_000, nil)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
	})
}

// TestAnEndRightAfterALateStartIsNotAcknowledged guards against acknowledging the end of a run while further attempts to start it are under way.
func TestAnEndRightAfterALateStartIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBootIDFixture(c, jobWithTasks(1))
		b.startsAnswered()
		b.list("w", 9)
		b.report("w@9", 50, nil)
		b.commitAll()
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		b.commitAll()
		time.Sleep(startTimeout)
		synctest.Wait()
		for _, m := range b.inbox.takeAll() {
			m.apply(b.session)
		}
		b.commitAll() // the second attempt is under way
		b.report("w@9", 300, nil, work.EndedRun{Seq: 1, Task: taskName, Run: b.task(0).Run, Outcome: work.Succeeded})
		b.commitAll()
		c.Assert(b.workers["w@9"].acked.Load(), quicktest.Equals, int64(0))
		b.settles()
	})
}

// TestTheNextLeaderKnowsOfStartsThatMayComeLate guards against a new leader that starts a task elsewhere which an earlier leader's unanswered start
// may still begin. It sends the start to the same worker again, under the same number.
func TestTheNextLeaderKnowsOfStartsThatMayComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := pendingBench(c)
		b.dirtyJobs.Add(b.task(0).Job.Spec.ID, b.task(0).Job)
		state := feed.KeyedPage{Records: b.appendJobs(&commitBatch{versions: make(map[*job.Job]int64)}, nil)}
		j := b.jobs["00000000000000a1"]
		intake := feed.KeyedPage{Records: []feed.KeyedRecord{record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec)}}
		next := newBootIDFixture(c, jobWithTasks(1))
		next.fillTables(state, []feed.KeyedPage{intake}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{9}}}})
		sent := next.startsAnswered()
		next.list("v", 9) // another worker with room
		next.report("v@9", 50, nil)
		next.report("w@9", 60_000, nil)
		next.commitAll()
		for range 2 * startAttempts {
			c.Assert(next.placeAndCount(), quicktest.Equals, 0)
			next.resolveUnanswered(next.now())
			next.settles()
			next.report("w@9", 60_000, nil)
		}
		c.Assert(*sent, quicktest.HasLen, startAttempts)
		for _, o := range *sent {
			c.Assert(o.Run, quicktest.Equals, b.task(0).Run)
		}
		c.Assert(next.task(0).Worker, quicktest.Equals, "w@9")
		time.Sleep(lateMax)
		next.report("w@9", 90_000, nil)
		c.Assert(next.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(next.placeAndCount(), quicktest.Equals, 1)
	})
}

// TestAStartIsSentAgainOnceTheNextLeaderWouldKnow guards against copies of a start that the next leader knows nothing of, because the leader is lost before the
// store has taken the record.
func TestAStartIsSentAgainOnceTheNextLeaderWouldKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBootIDFixture(c, jobWithTasks(1))
		sent := b.startsAnswered()
		b.list("w", 9)
		b.report("w@9", 50, nil)
		b.commitAll()
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		b.commitAll()
		for range 3 { // nothing is committed
			time.Sleep(orderTimeout)
			synctest.Wait()
			for _, m := range b.inbox.takeAll() {
				m.apply(b.session)
			}
			b.resolveUnanswered(b.now())
		}
		c.Assert(*sent, quicktest.HasLen, 1)
		b.commitAll()
		b.settles()
		c.Assert(len(*sent) > 1, quicktest.IsTrue)
	})
}

// TestASettledRunIsStoredOnce guards against tasks that stay with a worker's ID over a takeover although no start of theirs can be carried out any more, and
// against writing their record again and again.
func TestASettledRunIsStoredOnce(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		answers []work.Refusal
		settled bool
	}{
		{"answered", []work.Refusal{work.Accepted}, true},
		{"an attempt got no answer", []work.Refusal{unanswered, work.Accepted}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b, _ := pendingBench(c, x.answers...)
				stored := 0
				for range 4 {
					time.Sleep(storeSettledAfter)
					b.resolveUnanswered(b.now())
					for _, r := range b.appendJobs(&commitBatch{versions: make(map[*job.Job]int64)}, nil) {
						if r.Key == settledKey+b.task(0).Job.Spec.ID {
							stored++
						}
					}
				}
				c.Assert(stored == 1, quicktest.Equals, x.settled)
				c.Assert(stored <= 1, quicktest.IsTrue)
			})
		})
	}
}

// TestAListDuringAnAttemptClosesNoEarlierOne guards against a task that starts elsewhere although an unanswered start of it may still be carried out. The worker
// lists a run while a further attempt is in flight: that attempt may have begun the run, so the list is no evidence that the unanswered one has been carried out.
func TestAListDuringAnAttemptClosesNoEarlierOne(t *testing.T) {
	for _, x := range [...]struct {
		name string
		// second is the answer to the second attempt. Further attempts get no answer.
		second work.Refusal
		// lateAfterList tells whether an attempt is still open once the worker has listed the run again.
		lateAfterList bool
	}{
		{"the second attempt is accepted", work.Accepted, true},
		{"the second attempt gets no answer", unanswered, true},
		{"the second attempt is refused", work.NoRoom, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newBootIDFixture(c, jobWithTasks(1))
				attempts := 0
				b.Calls.Start = func(ctx context.Context, _ *work.Worker, _ work.Start) (work.Answer, error) {
					attempts++
					if attempts != 2 || x.second == unanswered {
						<-ctx.Done()
						return work.Answer{}, work.ErrNoAnswer
					}
					time.Sleep(startTimeout / 2)
					return work.Answer{Refusal: x.second, Clock: 300}, nil
				}
				b.list("w", 9)
				b.report("w@9", 50, nil)
				b.commitAll()
				c.Assert(b.placeAndCount(), quicktest.Equals, 1)
				b.commitAll()
				time.Sleep(startTimeout)
				synctest.Wait()
				for _, m := range b.inbox.takeAll() {
					m.apply(b.session)
				}
				b.commitAll()
				synctest.Wait() // the second attempt is in flight
				c.Assert(attempts, quicktest.Equals, 2)
				listed := []work.RunStatus{{Task: taskName, Run: b.task(0).Run}}
				b.report("w@9", 290, listed)
				b.settles()
				c.Assert(b.task(0).Phase, quicktest.Equals, job.Active)
				b.report("w@9", 1500, listed)
				c.Assert(b.task(0).MayComeLate(b.now()), quicktest.Equals, x.lateAfterList)
				time.Sleep(2 * suspectMaxAge) // makes the run too old to be suspected of ending the incarnation
				b.answerAsOtherIncarnation("w@9", 4)
				c.Assert(b.task(0).Worker == "w@4", quicktest.Equals, x.lateAfterList, quicktest.Commentf("the next incarnation may begin the run"))
				b.settles()
			})
		})
	}
}
