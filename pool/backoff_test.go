// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// runFor runs the passes of the control goroutine for the given time.
func (b *fixture) runFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range b.inbox.takeAll() {
			m.apply(b.session)
		}
		b.runTimers(time.Now())
		for _, p := range b.pools {
			p.dirty, p.nextLookAt = true, time.Time{}
		}
		b.placeAll(time.Now())
		b.commit()
		synctest.Wait()
	}
}

// TestWhatFailsIsTriedLessAndLess guards against retries without a limit or at a constant rate.
func TestWhatFailsIsTriedLessAndLess(t *testing.T) {
	for _, why := range [...]work.Refusal{work.InvalidOrder, work.DeadlinePassed, work.OldRun} {
		t.Run("refused: "+why.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testRefusedEverywhere(t, why) }) })
	}
	t.Run("a lasting task that fails at once", func(t *testing.T) { synctest.Test(t, testFailsAtOnce) })
	t.Run("ended in a way that is not named", func(t *testing.T) { synctest.Test(t, testUnknownOutcome) })
}

// testRefusedEverywhere lets every worker refuse a task. The task must be retried with increasing pauses, and other
// tasks in the pool must start meanwhile.
func testRefusedEverywhere(t *testing.T, why work.Refusal) {
	c := quicktest.New(t)
	b := newFixture(c, []*job.Job{jobWithTasks(1)}, "w1", "w2", "w3", "w4")
	for incarnation := range b.workers {
		b.report(incarnation, 10, nil)
	}
	var refused, others atomic.Int64
	b.Calls.Start = func(_ context.Context, _ *work.Worker, o work.Start) (work.Answer, error) {
		if o.Task == taskName {
			refused.Add(1)
			return work.Answer{Refusal: why, Clock: 100}, nil
		}
		others.Add(1)
		return work.Answer{Clock: 100}, nil
	}
	b.runFor(time.Second)
	s := &job.Spec{ID: "00000000000000b2", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 12, Need: job.Need{MilliCPU: 1000}}}}
	b.openJob(b.readIntake(0, record(c, job.Qualify("", s.ID).SubmissionKey(), s), time.Now()), time.Now())
	b.runFor(200 * time.Millisecond)
	c.Check(others.Load(), quicktest.Equals, int64(12))
	b.runFor(9 * time.Second)
	c.Check(refused.Load() > 5, quicktest.IsTrue)
	c.Check(refused.Load() <= 16, quicktest.IsTrue, quicktest.Commentf("%d starts in 10 s", refused.Load()))
}

// testFailsAtOnce lets a lasting task fail 20 ms after each start. It must be restarted with increasing pauses, while
// a task that has served for some time must be restarted at once.
func testFailsAtOnce(t *testing.T) {
	c := quicktest.New(t)
	j := jobWithTasks(2)
	j.Spec.Steps[0].Lasting = true
	b := newFixture(c, []*job.Job{j}, "w1", "w2")
	b.report("w1", 10, nil)
	b.report("w2", 10, nil)
	b.fenced["m-w1"], b.fenced["m-w2"] = true, true
	starts := make(map[string]int)
	ends := make(map[string]int64)
	workers := maps.Clone(b.workers)
	var mu sync.Mutex // starts run concurrently
	b.Calls.Start = func(_ context.Context, x *work.Worker, o work.Start) (work.Answer, error) {
		incarnation := x.Incarnation
		mu.Lock()
		defer mu.Unlock()
		time.AfterFunc(20*time.Millisecond, func() {
			if o.Task == taskName {
				mu.Lock()
				ends[incarnation]++
				n := ends[incarnation]
				mu.Unlock()
				b.post(holdResult{worker: workers[incarnation], asked: time.Now(), report: work.Report{
					Answer: work.Answer{Clock: work.Clock(100 * n)}, Ended: []work.EndedRun{{Seq: n, Task: o.Task, Run: o.Run, Outcome: work.Failed}}}})
			}
		})
		starts[o.Task]++
		return work.Answer{Clock: 1 << 40}, nil
	}
	b.runFor(10 * time.Second)
	c.Check(starts[taskName] > 8, quicktest.IsTrue, quicktest.Commentf("%d starts", starts[taskName]))
	c.Check(starts[taskName] <= 20, quicktest.IsTrue, quicktest.Commentf("%d starts", starts[taskName]))

	served := b.task(1)
	served.RunSince = time.Now().Add(-time.Minute)
	w := b.workers[served.Worker]
	c.Assert(w, quicktest.IsNotNil)
	before := starts[served.Name()]
	b.post(holdResult{worker: w, asked: time.Now(), report: work.Report{Answer: work.Answer{Clock: 1 << 40}, Ended: []work.EndedRun{{Seq: 1000, Task: served.Name(), Run: served.Run, Outcome: work.Failed}}}})
	b.runFor(150 * time.Millisecond)
	c.Check(starts[served.Name()], quicktest.Equals, before+1)
}

// testUnknownOutcome ends each run of a task at once with an outcome that this version does not know.
func testUnknownOutcome(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, []*job.Job{jobWithTasks(1)}, "w1", "w2")
	b.report("w1", 10, nil)
	b.report("w2", 10, nil)
	starts := int64(0)
	workers := maps.Clone(b.workers)
	b.Calls.Start = func(_ context.Context, x *work.Worker, o work.Start) (work.Answer, error) {
		starts++
		n, incarnation := starts, x.Incarnation
		time.AfterFunc(10*time.Millisecond, func() {
			b.post(holdResult{worker: workers[incarnation], asked: time.Now(), report: work.Report{
				Answer: work.Answer{Clock: work.Clock(100 * n)}, Ended: []work.EndedRun{{Seq: n, Task: o.Task, Run: o.Run, Outcome: work.Other}}}})
		})
		return work.Answer{Clock: work.Clock(100 * n)}, nil
	}
	b.runFor(10 * time.Second)
	c.Check(starts > 8 && starts <= 20, quicktest.IsTrue, quicktest.Commentf("%d starts", starts))
}
