// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/clock"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// asleep is a leader whose machine can be suspended: its steady clock stands still, and all timers with it.
type asleep struct {
	*bench
	slept time.Duration
}

// suspend suspends the machine for a while that has passed for everybody else.
func (a *asleep) suspend(span time.Duration) { a.slept += span }

// newAsleep returns a leader that the store has just confirmed, whose workers have all answered just now.
func newAsleep(c *quicktest.C, jobs ...*job.Job) *asleep {
	a := &asleep{bench: newBench(c, jobs, "w1", "w2", "w3")}
	base := time.Now()
	a.Clock = &clock.Clock{Boot: func() time.Duration { return time.Since(base) + a.slept }}
	a.Clock.Sure()
	confirmed := a.now()
	a.ConfirmedAt = func() time.Time { return confirmed }
	a.fresh[0] = confirmed
	for life := range a.workers {
		a.reports(life, 10, nil)
	}
	a.countProofs(a.now())
	for _, w := range a.workers {
		w.asked, w.told = a.now(), a.now()
	}
	a.sortAsked()
	return a
}

// The story. A leader's machine is suspended for some seconds, another entry takes the lead, and the first one wakes. By the steady clock its
// proof is fresh: it orders, moves and maintains under a lead that has passed on, and tells clients of jobs that it has never read that there are
// none such, until its next renewal is refused, up to 0.35 s later.
//
// The evidence: these tests, in which each of those still left, or was believed, after a suspension of ten seconds.
func TestALeaderThatWakesProvesNothingByWhatItKnew(t *testing.T) {
	for _, span := range [...]time.Duration{3 * time.Second, 10 * time.Second} {
		for name, check := range map[string]func(c *quicktest.C, a *asleep, before bool){
			"it may order":              func(c *quicktest.C, a *asleep, before bool) { c.Check(a.mayOrder(a.now()), quicktest.Equals, before) },
			"it is confirmed":           func(c *quicktest.C, a *asleep, before bool) { c.Check(a.confirmed(a.now()), quicktest.Equals, before) },
			"what it read is fresh":     func(c *quicktest.C, a *asleep, before bool) { c.Check(a.isFresh(), quicktest.Equals, before) },
			"it may take a task away":   mayTakeOneAway,
			"it asks for a move":        asksForAMove,
			"it starts what waits":      startsWhatWaits,
			"it tells a worker to stop": tellsToStop,
		} {
			t.Run(name+" before and not after "+span.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					check(c, newAsleep(c, one(2)), true)
				})
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					a := newAsleep(c, one(2))
					a.suspend(span)
					check(c, a, false)
				})
			})
		}
	}
}

func mayTakeOneAway(c *quicktest.C, a *asleep, before bool) {
	j := a.jobs["00000000000000a1"]
	j.Spec.Steps[0].Lasting, j.Spec.Steps[0].MayMiss = true, 1
	for i, life := range []string{"w1", "w2"} {
		j.Tasks[i].Phase, j.Tasks[i].Worker, j.Tasks[i].AtWork = job.Active, life, true
		a.addRun(a.workers[life], &j.Tasks[i], &run{number: 5, sent: true})
	}
	a.aloneFrom, a.term.Number = time.Time{}, 1
	c.Check(a.mayTakeAway(&j.Tasks[0], a.now()), quicktest.Equals, before)
}

func asksForAMove(c *quicktest.C, a *asleep, before bool) {
	called := false
	err := a.whileConfirmed(func() error { called = true; return nil })
	c.Check(called, quicktest.Equals, before)
	c.Check(err == nil, quicktest.Equals, before)
}

func startsWhatWaits(c *quicktest.C, a *asleep, before bool) {
	c.Check(a.ordered() > 0, quicktest.Equals, before)
}

func tellsToStop(c *quicktest.C, a *asleep, before bool) {
	var stops atomic.Int64
	a.Calls.Stop = func(context.Context, *work.Worker, work.Stop) (work.Answer, error) {
		stops.Add(1)
		return work.Answer{}, work.ErrNoAnswer
	}
	a.stopRun(a.workers["w1"], taskName, 7, "not the task's run")
	a.work.Wait()
	c.Check(stops.Load() > 0, quicktest.Equals, before)
}

// TestATakeoverThatSleepsTrustsTheLeaderBeforeLess suspends a new leader before half of its workers have its token: the one before may have gone on
// without the store in that time.
func TestATakeoverThatSleepsTrustsTheLeaderBeforeLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		a := &asleep{bench: newBench(c, []*job.Job{one(2)}, "w1", "w2", "w3")}
		base := time.Now()
		a.Clock = &clock.Clock{Boot: func() time.Duration { return time.Since(base) + a.slept }}
		a.Clock.Sure()
		a.term.CleanHandover, a.term.Exclusive, a.term.PredecessorRenewed = false, false, a.now()
		for _, w := range a.workers {
			w.before = true
		}
		a.suspend(10 * time.Second)
		for life := range a.workers {
			a.reports(life, 10, nil)
		}
		c.Check(a.coarse, quicktest.IsTrue)
	})
}
