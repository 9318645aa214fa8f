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

// suspendableLeader is a leader whose machine can be suspended. The steady clock and all timers stand still during a
// suspension.
type suspendableLeader struct {
	*fixture
	suspended time.Duration
}

// suspend puts the machine's boot clock forward, as a suspension that has just ended does.
func (a *suspendableLeader) suspend(span time.Duration) { a.suspended += span }

// newSuspendableLeader returns a leader that the store has just confirmed and whose workers have all just answered.
func newSuspendableLeader(c *quicktest.C, jobs ...*job.Job) *suspendableLeader {
	a := &suspendableLeader{fixture: newFixture(c, jobs, "w1", "w2", "w3")}
	base := time.Now()
	a.Clock = &clock.Clock{BootTime: func() time.Duration { return time.Since(base) + a.suspended }}
	a.Clock.ExactNow()
	confirmed := a.now()
	a.ConfirmedAt = func() time.Time { return confirmed }
	a.intakeReadUntil[0] = confirmed
	for incarnation := range a.workers {
		a.report(incarnation, 10, nil)
	}
	a.updateQuorum(a.now())
	for _, w := range a.workers {
		w.askedAt, w.reportedAt = a.now(), a.now()
	}
	a.computeQuorumTime()
	return a
}

// TestAResumedLeaderDoesNotTrustStaleProof guards against a leader that acts under a lead which passed to another entry
// while its machine was suspended. By the steady clock, which stands still meanwhile, its proof of the lead is still fresh: until
// its next renewal is refused, up to 0.35 s later, it would order, move and maintain, and deny jobs that it has never read.
// Each of these happened after a suspension of ten seconds.
func TestAResumedLeaderDoesNotTrustStaleProof(t *testing.T) {
	for _, span := range [...]time.Duration{3 * time.Second, 10 * time.Second} {
		for name, check := range map[string]func(c *quicktest.C, a *suspendableLeader, before bool){
			"it may order": func(c *quicktest.C, a *suspendableLeader, before bool) {
				c.Check(a.mayOrder(a.now()), quicktest.Equals, before)
			},
			"it is confirmed": func(c *quicktest.C, a *suspendableLeader, before bool) {
				c.Check(a.confirmed(a.now()), quicktest.Equals, before)
			},
			"what it read is fresh": func(c *quicktest.C, a *suspendableLeader, before bool) {
				c.Check(a.intakeIsCurrent(), quicktest.Equals, before)
			},
			"it may take a task away":   checkTakeAway,
			"it asks for a move":        checkMove,
			"it starts what waits":      checkPlacement,
			"it tells a worker to stop": checkStop,
		} {
			t.Run(name+" before and not after "+span.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					check(c, newSuspendableLeader(c, jobWithTasks(2)), true)
				})
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					a := newSuspendableLeader(c, jobWithTasks(2))
					a.suspend(span)
					check(c, a, false)
				})
			})
		}
	}
}

func checkTakeAway(c *quicktest.C, a *suspendableLeader, before bool) {
	j := a.jobs["00000000000000a1"]
	j.Spec.Steps[0].Lasting, j.Spec.Steps[0].MayMiss = true, 1
	for i, incarnation := range []string{"w1", "w2"} {
		j.Tasks[i].Phase, j.Tasks[i].Worker, j.Tasks[i].AtWork = job.Active, incarnation, true
		a.addRun(a.workers[incarnation], &j.Tasks[i], &run{number: 5, sent: true})
	}
	a.soleLeaderFrom, a.term.Number = time.Time{}, 1
	c.Check(a.canDisrupt(&j.Tasks[0], a.now()), quicktest.Equals, before)
}

func checkMove(c *quicktest.C, a *suspendableLeader, before bool) {
	called := false
	err := a.callIfConfirmed(func() error { called = true; return nil })
	c.Check(called, quicktest.Equals, before)
	c.Check(err == nil, quicktest.Equals, before)
}

func checkPlacement(c *quicktest.C, a *suspendableLeader, before bool) {
	c.Check(a.placeAndCount() > 0, quicktest.Equals, before)
}

func checkStop(c *quicktest.C, a *suspendableLeader, before bool) {
	var stops atomic.Int64
	a.Calls.Stop = func(context.Context, *work.Worker, work.Stop) (work.Answer, error) {
		stops.Add(1)
		return work.Answer{}, work.ErrNoAnswer
	}
	a.stopStray(a.workers["w1"], taskName, 7, "not the task's run")
	a.background.Wait()
	c.Check(stops.Load() > 0, quicktest.Equals, before)
}

// TestATakeoverThatSleepsTrustsTheLeaderBeforeLess guards against a new leader that is suspended before half of its workers
// have its token and then trusts the stored records: the leader before may have gone on without the store in that time.
func TestATakeoverThatSleepsTrustsTheLeaderBeforeLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		a := &suspendableLeader{fixture: newFixture(c, []*job.Job{jobWithTasks(2)}, "w1", "w2", "w3")}
		base := time.Now()
		a.Clock = &clock.Clock{BootTime: func() time.Duration { return time.Since(base) + a.suspended }}
		a.Clock.ExactNow()
		a.term.CleanHandover, a.term.Exclusive, a.term.PredecessorRenewed = false, false, a.now()
		for _, w := range a.workers {
			w.knownAtTakeover = true
		}
		a.suspend(10 * time.Second)
		for incarnation := range a.workers {
			a.report(incarnation, 10, nil)
		}
		c.Check(a.earlierUnstored, quicktest.IsTrue)
	})
}
