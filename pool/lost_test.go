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

// heardBench returns a session with a job and workers that have all answered it.
func heardBench(c *quicktest.C, j *job.Job, lives ...string) *bench {
	b := newBench(c, []*job.Job{j}, lives...)
	for _, life := range lives {
		b.reports(life, 10, nil)
	}
	return b
}

// runningOn has the tasks at work on the lives, in turn, each ordered so long ago.
func (b *bench) runningOn(ages []time.Duration, lives ...string) {
	now := time.Now()
	for i, age := range ages {
		t, w := b.task(i), b.workers[lives[i%len(lives)]]
		t.Phase, t.Run, t.Worker = job.Active, int64(100+i), w.Life
		b.addRun(w, t, &run{number: t.Run, sent: true, began: now.Add(-age)})
	}
}

func TestOnlyTheNewestRunsOfALostLifeAreSuspects(t *testing.T) {
	for _, x := range [...]struct {
		name string
		ages []time.Duration
		// planned says that the life ended as planned.
		planned bool
		want    []int
	}{
		{"one that has just begun", []time.Duration{time.Second, 10 * time.Millisecond, 400 * time.Millisecond}, false, []int{0, 1, 0}},
		{"all of one batch", []time.Duration{20 * time.Millisecond, 10 * time.Millisecond, time.Second}, false, []int{2, 2, 0}},
		{"the only one", []time.Duration{900 * time.Millisecond}, false, []int{1}},
		{"none that has gone on for long", []time.Duration{time.Minute}, false, []int{0}},
		{"a planned end tells nothing", []time.Duration{10 * time.Millisecond}, true, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newBench(c, []*job.Job{one(len(x.ages))}, "w1", "w2")
			b.reports("w1", 10, nil)
			b.runningOn(x.ages, "w1")
			b.workers["w1"].Leaving = x.planned
			b.lose(b.workers["w1"], "its address has another life")
			for i := range x.ages {
				if x.want == nil {
					c.Assert(b.task(i).Lost, quicktest.HasLen, 0)
					continue
				}
				c.Assert(b.task(i).Lost, quicktest.HasLen, 1)
				c.Assert(b.task(i).Lost[0].Suspects, quicktest.Equals, x.want[i])
				c.Assert(b.task(i).Phase, quicktest.Equals, job.Waiting)
			}
		})
	}
}

func TestALeaseThatIsOverTellsNothingOfWhatRanThere(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, []*job.Job{one(1)}, "w1", "w2")
	b.reports("w1", 10, nil)
	b.runningOn([]time.Duration{10 * time.Millisecond}, "w1")
	b.endLease(b.workers["w1"], time.Now())
	c.Assert(b.task(0).Lost, quicktest.HasLen, 0)
	c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
}

func TestNothingStartsBesideASuspectUntilItIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := heardBench(c, one(6), "w1", "w2")
		b.lostOnce(0)
		c.Assert(b.ordered(), quicktest.Equals, 5) // apart on one, four beside each other on the other worker
		tried := b.workers[b.task(0).Worker]
		c.Assert(tried.runs, quicktest.HasLen, 1)
		b.keeps()
		time.Sleep(trialLeast / 2)
		b.passTime(time.Now())
		c.Assert(b.ordered(), quicktest.Equals, 0)
		time.Sleep(trialLeast)
		b.passTime(time.Now())
		c.Assert(b.task(0).Suspect, quicktest.IsFalse)
		c.Assert(b.ordered(), quicktest.Equals, 1) // where it has gone on for long enough
		c.Assert(tried.runs, quicktest.HasLen, 2)
	})
}

// lostOnce has a life end under a task, which waits again.
func (b *bench) lostOnce(index int) {
	t := b.task(index)
	t.Job.RecordLost(t, job.LostRun{Run: 1, Life: "w0", Suspects: 2})
	t.Job.StoredVersion = t.Job.Version
}

func TestASuspectThatEndsItsNextLifeAtOnceIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := heardBench(c, one(6), "w1", "w2")
		b.lostOnce(0)
		b.ordered()
		b.keeps()
		time.Sleep(10 * time.Millisecond)
		tried := b.workers[b.task(0).Worker]
		b.confirm(tried, b.task(0), tried.runs[b.task(0)], 20)
		b.runsBeside(tried, 1)
		b.lose(tried, "its address has another life")
		c.Assert(b.task(0).Job.State, quicktest.Equals, job.Failed)
		c.Assert(b.task(1).Lost, quicktest.HasLen, 1) // it had been there for long, so that it counts the life and is no suspect
		c.Assert(b.task(1).Suspect, quicktest.IsFalse)
	})
}

// TestAStartThatComesToAnotherLifeWasNeverThere loses a life that had ended before a suspect's start reached its address.
func TestAStartThatComesToAnotherLifeWasNeverThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := heardBench(c, one(6), "w1", "w2")
		b.lostOnce(0)
		b.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
			return work.Answer{Refusal: work.OtherLife}, nil
		}
		b.ordered()
		b.keeps()
		synctest.Wait()
		for _, m := range b.inbox.take() {
			m.apply(b.session)
		}
		c.Assert(b.workers, quicktest.HasLen, 0)
		c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
		c.Assert(b.task(0).Job.State, quicktest.Equals, job.Queued)
	})
}

// TestAnOrderThatFindsItsLifeGoneIsTakenBack has two starts on their way to a life that has ended: the first answer tells of its end, the second that
// its run never was there either.
func TestAnOrderThatFindsItsLifeGoneIsTakenBack(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, []*job.Job{one(2)}, "w1", "w2")
	b.reports("w1", 10, nil)
	b.runningOn([]time.Duration{5 * time.Millisecond, 4 * time.Millisecond}, "w1")
	w := b.workers["w1"]
	gone := work.Answer{Refusal: work.OtherLife}
	startEnded{worker: w, task: b.task(0), run: 100, answer: gone}.apply(b.session)
	c.Assert(b.task(0).Lost, quicktest.HasLen, 0)
	c.Assert(b.task(1).Lost, quicktest.HasLen, 1)
	startEnded{worker: w, task: b.task(1), run: 101, answer: gone}.apply(b.session)
	c.Assert(b.task(1).Lost, quicktest.HasLen, 0)
	c.Assert(b.task(1).Suspect, quicktest.IsFalse)
	c.Assert(b.dirty.Has(b.task(1).Job.Spec.ID), quicktest.IsTrue)
}

// runsBeside has a task at work on a worker since long ago.
func (b *bench) runsBeside(w *worker, index int) {
	t := b.task(index)
	if o := b.workers[t.Worker]; o != nil {
		o.drop(t)
	}
	t.Phase, t.Run, t.Worker = job.Active, 500, w.Life
	b.addRun(w, t, &run{number: t.Run, sent: true, began: time.Now().Add(-time.Second)})
}

// TestTheNextLeaderKnowsWhatWasLost has what is known of lost lives kept before the next start leaves, also while the store fails.
func TestTheNextLeaderKnowsWhatWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := heardBench(c, one(1), "w1", "w2")
		b.runningOn([]time.Duration{10 * time.Millisecond}, "w1")
		b.lose(b.workers["w1"], "its address has another life")
		c.Assert(b.ordered(), quicktest.Equals, 1)
		b.sendPlanned() // the store does not answer
		c.Assert(b.planned, quicktest.HasLen, 1)
		c.Assert(b.task(0).Job.StoredLost(), quicktest.HasLen, 1)
	})
}

// TestAKeptRunOnALifeThatIsGoneCounts takes over from a leader that ended with the life of a worker.
func TestAKeptRunOnALifeThatIsGoneCounts(t *testing.T) {
	c := quicktest.New(t)
	j := one(2)
	for i := range j.Tasks {
		j.Tasks[i].Phase, j.Tasks[i].Run, j.Tasks[i].Worker = job.Active, int64(5+i), "w9"
	}
	b := newBench(c, []*job.Job{j}, "w1")
	for i := range j.Tasks {
		c.Assert(b.task(i).Lost, quicktest.DeepEquals, []job.LostRun{{Run: int64(5 + i), Life: "w9", Age: job.AgeUnknown, Suspects: 2}})
		c.Assert(b.task(i).Suspect, quicktest.IsTrue)
	}
	c.Assert(b.dirty.Has(j.Spec.ID), quicktest.IsTrue)
}

func TestALastingTaskThatHasRunForLongIsNoCulprit(t *testing.T) {
	c := quicktest.New(t)
	j := one(1)
	j.Spec.Steps[0].Lasting = true
	b := newBench(c, []*job.Job{j}, "w1", "w2")
	b.reports("w1", 10, nil)
	b.lostOnce(0)
	b.runningOn([]time.Duration{time.Minute}, "w1")
	b.sideKeys[lostKey+j.Spec.ID] = true
	b.lose(b.workers["w1"], "its address has another life")
	c.Assert(b.task(0).Lost, quicktest.HasLen, 0)
	c.Assert(b.task(0).Suspect, quicktest.IsFalse)
	records := b.keepJobs(&commitEnded{versions: make(map[*job.Job]int64)}, nil)
	c.Assert(records[len(records)-1], quicktest.DeepEquals, feed.KeyedRecord{Key: lostKey + j.Spec.ID}) // and the next leader knows of none
}

func TestADeathThatIsToldTwiceCountsOnce(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, []*job.Job{one(1)}, "w1", "w2")
	b.reports("w1", 10, nil)
	b.runningOn([]time.Duration{time.Second}, "w1")
	w := b.workers["w1"]
	holdEnded{worker: w, report: work.Report{Answer: work.Answer{Refusal: work.OtherLife}}}.apply(b.session)
	holdEnded{worker: w, report: work.Report{Answer: work.Answer{Refusal: work.OtherLife}}}.apply(b.session)
	c.Assert(b.task(0).Lost, quicktest.HasLen, 1)
}
