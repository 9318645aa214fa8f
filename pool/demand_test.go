// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/maintenance"
	"rackstep.dev/work"
)

func TestRate(t *testing.T) {
	now := time.Unix(1000, 0)
	every := func(pause time.Duration, n int, work float64) (jobs []submission) {
		for i := range n {
			jobs = append(jobs, submission{at: now.Add(-time.Duration(n-1-i) * pause), work: work})
		}
		return jobs
	}
	for _, test := range [...]struct {
		name     string
		jobs     []submission
		from, to float64
	}{
		{"nothing", nil, 0, 0},
		{"one large job is no rush", every(0, 1, 5), 5, 5},
		{"two at once may be chance", every(0, 2, 5), 10, 12},
		{"many small ones in a moment are a rush", every(10*time.Millisecond, 20, 0.5), 25, 40},
		{"what goes on is taken as it is", every(50*time.Millisecond, 20, 0.5), 9, 12},
		{"what is long ago counts no more", []submission{{at: now.Add(-2 * time.Second), work: 100}}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := poolRow{recentWork: test.jobs}
			got := p.rate(now)
			quicktest.Assert(t, got >= test.from && got <= test.to, quicktest.IsTrue, quicktest.Commentf("rate %.1f", got))
		})
	}
}

// TestDemand checks that the need of a pool excludes the work that its instances, and those on their way, complete before a further instance could
// arrive.
func TestDemand(t *testing.T) {
	const ahead = 1.65
	for _, test := range [...]struct {
		name     string
		load     load
		jobs     float64 // instance-seconds submitted just now
		from, to float64
	}{
		{"nothing runs", load{availableSeconds: 3 * ahead}, 0, 0, 0},
		{"what lasts is needed", load{lasting: 2, availableSeconds: 2 * ahead}, 0, 2, 2},
		{"a short backlog goes by itself", load{running: 4, waitingWork: 4, waitingCapacity: 4, availableSeconds: 4 * ahead}, 0, 0, 0},
		{"a long one does not", load{running: 4, waitingWork: 20, waitingCapacity: 20, availableSeconds: 4 * ahead}, 0, 15, 16},
		{"instances on their way count in part", load{running: 4, waitingWork: 20, waitingCapacity: 20, availableSeconds: 4*ahead + 4*ahead/2}, 0, 12, 13},
		{"what lasts works nothing off", load{lasting: 4, running: 4, waitingWork: 20, waitingCapacity: 20, availableSeconds: 4 * ahead}, 0, 25, 27},
		{"no more than the tasks could use at once", load{running: 4, waitingWork: 20, waitingCapacity: 10, availableSeconds: 4 * ahead}, 0, 14, 14},
		{"of long tasks half as many instances are of use", load{waitingWork: 20, waitingCapacity: 10}, 0, 10, 10},
		{"suspects need an instance each for their trials, and others beside it", load{suspects: 100}, 0, 45, 45},
		{"what comes in is needed for good", load{availableSeconds: 10 * ahead}, 6, 6, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newFixture(c, nil)
			b.SetBounds(Bounds{Move: 1500 * time.Millisecond})
			now := time.Now()
			p := b.pool("p")
			p.load = test.load
			if test.jobs > 0 {
				p.recentWork = []submission{{at: now, work: test.jobs}}
			}
			got := b.demand(p, now)
			c.Assert(got >= test.from-1e-9 && got <= test.to+1e-9, quicktest.IsTrue, quicktest.Commentf("demand %.2f", got))
		})
	}
}

func TestAMovingInstanceCountsForItsRemainingTime(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil)
	b.SetBounds(Bounds{Move: 1500 * time.Millisecond})
	now := time.Now()
	c.Assert(b.availableSeconds("there", now), quicktest.Equals, 1.65)
	b.moves["emptied"] = &pendingMove{since: now}
	c.Assert(b.availableSeconds("emptied", now), quicktest.Equals, 0.0)
	b.moves["moved"] = &pendingMove{moved: true, since: now.Add(-time.Second)}
	c.Assert(b.availableSeconds("moved", now), quicktest.Equals, 1.0)
}

// TestLastingTasksWaitForCapacityBeforeMaintenance guards against a lasting task being stopped for maintenance while no other worker can take it. The
// missing instance is requested, and the task is stopped once another worker fits.
func TestLastingTasksWaitForCapacityBeforeMaintenance(t *testing.T) {
	c := quicktest.New(t)
	j := jobWithTasks(1)
	j.Spec.Steps[0] = job.Step{Count: 1, Need: job.Need{MilliCPU: 1000}, Lasting: true, MayMiss: 1, Label: "red"}
	b := newFixture(c, []*job.Job{job.New(j.Spec, time.Now())}, "w1", "w2")
	b.soleLeaderFrom = time.Now().Add(-time.Minute) // the stops that an earlier leader ordered are complete
	b.workers["w1"].Labels = []string{"red"}
	for _, incarnation := range []string{"w1", "w2"} {
		b.report(incarnation, 10, nil)
	}
	c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	b.report("w1", 20, []work.RunStatus{{Task: taskName, Run: b.task(0).Run, Percent: fullPercent}})
	now := time.Now()
	s := &maintenanceStep{incarnation: "w1", since: now}
	c.Assert(b.tryEmpty("m-w1", s, now), quicktest.IsFalse)
	c.Assert(b.task(0).Stopping, quicktest.IsFalse)
	c.Assert(b.shortages(b.pool("p"), now)["red"], quicktest.Equals, 1)
	b.workers["w2"].Labels = []string{"red"}
	b.tryEmpty("m-w1", s, now)
	c.Assert(b.task(0).Stopping, quicktest.IsTrue)
}

// TestAStepThatNeedsSeveralWorkersAsksForInstances guards against tasks waiting forever because the pool has free capacity, none of which a step with
// a label or a limit of tasks per worker may use.
func TestAStepThatNeedsSeveralWorkersAsksForInstances(t *testing.T) {
	for _, test := range [...]struct {
		name  string
		step  job.Step
		lacks string
	}{
		{"room for all", job.Step{Count: 4}, "map[]"},
		{"one a worker", job.Step{Count: 5, PerWorker: 1}, "map[:3]"},
		{"two a worker", job.Step{Count: 7, PerWorker: 2}, "map[:2]"},
		{"a label that one worker has", job.Step{Count: 3, PerWorker: 1, Label: "red"}, "map[red:2]"},
		{"a label that none has", job.Step{Count: 8, Label: "blue"}, "map[blue:2]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			j := jobWithTasks(1)
			test.step.Need = job.Need{MilliCPU: 1000}
			j.Spec.Steps = []job.Step{test.step}
			b := newFixture(c, []*job.Job{job.New(j.Spec, time.Now())}, "w1", "w2")
			b.workers["w1"].Labels = []string{"red"}
			for _, incarnation := range []string{"w1", "w2"} {
				b.report(incarnation, 10, nil)
			}
			b.countLoads()
			c.Assert(fmt.Sprint(b.shortages(b.pool("p"), time.Now())), quicktest.Equals, "map[]") // no shortage before stuckAfter
			c.Assert(fmt.Sprint(b.shortages(b.pool("p"), time.Now().Add(stuckAfter))), quicktest.Equals, test.lacks)
		})
	}
}

// TestPoolsKeepInstancesForBurstsIfThereAreEnough guards against instances moving back and forth between pools although there are enough for
// the bursts of all pools. With fewer instances the targets must stay as they were.
func TestPoolsKeepInstancesForBurstsIfThereAreEnough(t *testing.T) {
	const turn = 100.0
	keep, need := math.Ceil(turn*(1+burstMargin)*(1+spareShare)+spareInstances), math.Ceil(2*turn*(1+spareShare)+spareInstances)
	for _, test := range [...]struct {
		name string
		have int
		// over is the number of pools, of three, whose first burst has ended.
		over int
		idle float64
		want float64
	}{
		{"much room", 1000, 3, 2, keep},
		{"just enough", int(need), 3, 2, keep},
		{"less than all need", int(need) - 1, 3, 2, 2},
		{"what it lately needed goes before", 1000, 3, 300, 300},
		{"a turn that is not known yet", 1000, 1, 0, math.Ceil(unknownMargin*turn*(1+burstMargin)*(1+spareShare) + spareInstances)},
		{"no turn is over", 1000, 0, 5, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(quicktest.New(t), nil)
			rows := make(map[string]*maintenance.Pool)
			b.bursts.Pools = make(map[string]*maintenance.Burst)
			for i := range 3 {
				name := fmt.Sprint("p", i)
				rows[name] = &maintenance.Pool{Name: name, Have: test.have, LongTermNeed: test.idle}
				b.bursts.Pools[name] = new(maintenance.Burst)
				if i < test.over {
					*b.bursts.Pools[name] = maintenance.Burst{Began: time.Now(), Need: 2 * turn, Used: turn, Ended: true}
				}
			}
			b.retainForBursts(rows, time.Now())
			b.c.Assert(math.Ceil(rows["p2"].LongTermNeed), quicktest.Equals, test.want)
		})
	}
}
