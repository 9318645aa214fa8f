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

// goesOn runs the control goroutine's passes for a while.
func (b *bench) goesOn(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range b.inbox.take() {
			m.apply(b.session)
		}
		b.passTime(time.Now())
		for _, p := range b.pools {
			p.dirty, p.next = true, time.Time{}
		}
		b.placeAll(time.Now())
		b.commit()
		synctest.Wait()
	}
}

// TestWhatFailsIsTriedLessAndLess looks for what is tried again without a bound and at an even pace.
func TestWhatFailsIsTriedLessAndLess(t *testing.T) {
	for _, why := range [...]work.Refusal{work.InvalidOrder, work.DeadlinePassed, work.OldRun} {
		t.Run("refused: "+why.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { refusedEverywhere(t, why) }) })
	}
	t.Run("a lasting task that fails at once", func(t *testing.T) { synctest.Test(t, failsAtOnce) })
	t.Run("ended in a way that is not named", func(t *testing.T) { synctest.Test(t, endsUnnamed) })
}

// refusedEverywhere has every worker refuse a task: it is asked for more and more rarely, and what else waits in
// the pool starts meanwhile.
func refusedEverywhere(t *testing.T, why work.Refusal) {
	c := quicktest.New(t)
	b := newBench(c, []*job.Job{one(1)}, "w1", "w2", "w3", "w4")
	for life := range b.workers {
		b.reports(life, 10, nil)
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
	b.goesOn(time.Second)
	s := &job.Spec{ID: "00000000000000b2", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 12, Need: job.Need{MilliCPU: 1000}}}}
	b.openJob(b.readIntake(0, record(c, job.Qualify("", s.ID).SubmissionKey(), s), time.Now()), time.Now())
	b.goesOn(200 * time.Millisecond)
	c.Check(others.Load(), quicktest.Equals, int64(12))
	b.goesOn(9 * time.Second)
	c.Check(refused.Load() > 5, quicktest.IsTrue)
	c.Check(refused.Load() <= 16, quicktest.IsTrue, quicktest.Commentf("%d starts in 10 s", refused.Load()))
}

// failsAtOnce has a lasting task fail 20 ms after each start, and one that has served for a while
// start again at once.
func failsAtOnce(t *testing.T) {
	c := quicktest.New(t)
	j := one(2)
	j.Spec.Steps[0].Lasting = true
	b := newBench(c, []*job.Job{j}, "w1", "w2")
	b.reports("w1", 10, nil)
	b.reports("w2", 10, nil)
	b.fenced["m-w1"], b.fenced["m-w2"] = true, true
	starts := make(map[string]int)
	ends := make(map[string]int64)
	workers := maps.Clone(b.workers)
	var mu sync.Mutex // calls are made at the same time
	b.Calls.Start = func(_ context.Context, x *work.Worker, o work.Start) (work.Answer, error) {
		life := x.Life
		mu.Lock()
		defer mu.Unlock()
		time.AfterFunc(20*time.Millisecond, func() {
			if o.Task == taskName {
				mu.Lock()
				ends[life]++
				n := ends[life]
				mu.Unlock()
				b.post(holdEnded{worker: workers[life], asked: time.Now(), report: work.Report{
					Answer: work.Answer{Clock: work.Clock(100 * n)}, Ended: []work.EndedRun{{Seq: n, Task: o.Task, Run: o.Run, Outcome: work.Failed}}}})
			}
		})
		starts[o.Task]++
		return work.Answer{Clock: 1 << 40}, nil
	}
	b.goesOn(10 * time.Second)
	c.Check(starts[taskName] > 8, quicktest.IsTrue, quicktest.Commentf("%d starts", starts[taskName]))
	c.Check(starts[taskName] <= 20, quicktest.IsTrue, quicktest.Commentf("%d starts", starts[taskName]))

	served := b.task(1)
	served.RunSince = time.Now().Add(-time.Minute)
	w := b.workers[served.Worker]
	c.Assert(w, quicktest.IsNotNil)
	before := starts[served.Name()]
	b.post(holdEnded{worker: w, asked: time.Now(), report: work.Report{Answer: work.Answer{Clock: 1 << 40}, Ended: []work.EndedRun{{Seq: 1000, Task: served.Name(), Run: served.Run, Outcome: work.Failed}}}})
	b.goesOn(150 * time.Millisecond)
	c.Check(starts[served.Name()], quicktest.Equals, before+1)
}

// endsUnnamed has each run of a task end at once in a way that this version does not know.
func endsUnnamed(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, []*job.Job{one(1)}, "w1", "w2")
	b.reports("w1", 10, nil)
	b.reports("w2", 10, nil)
	starts := int64(0)
	workers := maps.Clone(b.workers)
	b.Calls.Start = func(_ context.Context, x *work.Worker, o work.Start) (work.Answer, error) {
		starts++
		n, life := starts, x.Life
		time.AfterFunc(10*time.Millisecond, func() {
			b.post(holdEnded{worker: workers[life], asked: time.Now(), report: work.Report{
				Answer: work.Answer{Clock: work.Clock(100 * n)}, Ended: []work.EndedRun{{Seq: n, Task: o.Task, Run: o.Run, Outcome: work.Other}}}})
		})
		return work.Answer{Clock: work.Clock(100 * n)}, nil
	}
	b.goesOn(10 * time.Second)
	c.Check(starts > 8 && starts <= 20, quicktest.IsTrue, quicktest.Commentf("%d starts", starts))
}
