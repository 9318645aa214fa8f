// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/upkeep"
	"rackstep.dev/work"
)

func TestRate(t *testing.T) {
	now := time.Unix(1000, 0)
	every := func(pause time.Duration, n int, work float64) (jobs []handed) {
		for i := range n {
			jobs = append(jobs, handed{at: now.Add(-time.Duration(n-1-i) * pause), work: work})
		}
		return jobs
	}
	for _, test := range [...]struct {
		name     string
		jobs     []handed
		from, to float64
	}{
		{"nothing", nil, 0, 0},
		{"one large job is no rush", every(0, 1, 5), 5, 5},
		{"two at once may be chance", every(0, 2, 5), 10, 12},
		{"many small ones in a moment are a rush", every(10*time.Millisecond, 20, 0.5), 25, 40},
		{"what goes on is taken as it is", every(50*time.Millisecond, 20, 0.5), 9, 12},
		{"what is long ago counts no more", []handed{{at: now.Add(-2 * time.Second), work: 100}}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := poolRow{handed: test.jobs}
			got := p.rate(now)
			quicktest.Assert(t, got >= test.from && got <= test.to, quicktest.IsTrue, quicktest.Commentf("rate %.1f", got))
		})
	}
}

// TestDemand: what runs and waits is worked off while an instance is on its way, as far as those that are there reach.
func TestDemand(t *testing.T) {
	const ahead = 1.65
	for _, test := range [...]struct {
		name     string
		load     load
		jobs     float64 // instance-seconds handed in just now
		from, to float64
	}{
		{"nothing runs", load{able: 3 * ahead}, 0, 0, 0},
		{"what lasts is needed", load{lasting: 2, able: 2 * ahead}, 0, 2, 2},
		{"a short backlog goes by itself", load{running: 4, waitingWork: 4, waitingRoom: 4, able: 4 * ahead}, 0, 0, 0},
		{"a long one does not", load{running: 4, waitingWork: 20, waitingRoom: 20, able: 4 * ahead}, 0, 15, 16},
		{"instances on their way count in part", load{running: 4, waitingWork: 20, waitingRoom: 20, able: 4*ahead + 4*ahead/2}, 0, 12, 13},
		{"what lasts works nothing off", load{lasting: 4, running: 4, waitingWork: 20, waitingRoom: 20, able: 4 * ahead}, 0, 25, 27},
		{"no more than the tasks could use at once", load{running: 4, waitingWork: 20, waitingRoom: 10, able: 4 * ahead}, 0, 14, 14},
		{"of long tasks half as many instances are of use", load{waitingWork: 20, waitingRoom: 10}, 0, 10, 10},
		{"suspects need an instance each for their trials, and others beside it", load{suspects: 100}, 0, 45, 45},
		{"what comes in is needed for good", load{able: 10 * ahead}, 6, 6, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newBench(c, nil)
			b.SetBounds(Bounds{Move: 1500 * time.Millisecond})
			now := time.Now()
			p := b.pool("p")
			p.load = test.load
			if test.jobs > 0 {
				p.handed = []handed{{at: now, work: test.jobs}}
			}
			got := b.demand(p, now)
			c.Assert(got >= test.from-1e-9 && got <= test.to+1e-9, quicktest.IsTrue, quicktest.Commentf("demand %.2f", got))
		})
	}
}

func TestAnInstanceOnItsWayIsAbleForThePartThatIsLeft(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil)
	b.SetBounds(Bounds{Move: 1500 * time.Millisecond})
	now := time.Now()
	c.Assert(b.able("there", now), quicktest.Equals, 1.65)
	b.moves["emptied"] = &moveStep{since: now}
	c.Assert(b.able("emptied", now), quicktest.Equals, 0.0)
	b.moves["moved"] = &moveStep{moved: true, since: now.Add(-time.Second)}
	c.Assert(b.able("moved", now), quicktest.Equals, 1.0)
}

// TestWhatLastsWaitsForAPlaceBeforeAnUpkeep: its worker is emptied once another one can take it, or time is short.
func TestWhatLastsWaitsForAPlaceBeforeAnUpkeep(t *testing.T) {
	c := quicktest.New(t)
	j := one(1)
	j.Spec.Steps[0] = job.Step{Count: 1, Need: job.Need{MilliCPU: 1000}, Lasting: true, MayMiss: 1, Label: "red"}
	b := newBench(c, []*job.Job{job.New(j.Spec, time.Now())}, "w1", "w2")
	b.aloneFrom = time.Now().Add(-time.Minute) // what an earlier leader had told to stop has stopped
	b.workers["w1"].Labels = []string{"red"}
	for _, life := range []string{"w1", "w2"} {
		b.reports(life, 10, nil)
	}
	c.Assert(b.ordered(), quicktest.Equals, 1)
	b.reports("w1", 20, []work.RunStatus{{Task: taskName, Run: b.task(0).Run, Percent: fullPercent}})
	now := time.Now()
	s := &upkeepStep{life: "w1", since: now}
	c.Assert(b.emptied("m-w1", s, now), quicktest.IsFalse)
	c.Assert(b.task(0).Stopping, quicktest.IsFalse)
	c.Assert(b.lacks(b.pool("p"), now)["red"], quicktest.Equals, 1)
	b.workers["w2"].Labels = []string{"red"}
	b.emptied("m-w1", s, now)
	c.Assert(b.task(0).Stopping, quicktest.IsTrue)
}

// TestAStepThatNeedsSeveralWorkersAsksForInstances: room alone does not tell that its tasks can't be placed.
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
			j := one(1)
			test.step.Need = job.Need{MilliCPU: 1000}
			j.Spec.Steps = []job.Step{test.step}
			b := newBench(c, []*job.Job{job.New(j.Spec, time.Now())}, "w1", "w2")
			b.workers["w1"].Labels = []string{"red"}
			for _, life := range []string{"w1", "w2"} {
				b.reports(life, 10, nil)
			}
			b.countLoads()
			c.Assert(fmt.Sprint(b.lacks(b.pool("p"), time.Now())), quicktest.Equals, "map[]") // it may still be placed
			c.Assert(fmt.Sprint(b.lacks(b.pool("p"), time.Now().Add(stuckAfter))), quicktest.Equals, test.lacks)
		})
	}
}

// TestPoolsKeepWhatTheirTurnsNeedIfThereIsRoomForAllOfThem: with many times the room that is needed most instances leave their pools once and stay
// away, and none goes to and fro; with less than all turns need, what decided before decides.
func TestPoolsKeepWhatTheirTurnsNeedIfThereIsRoomForAllOfThem(t *testing.T) {
	const turn = 100.0
	keep, need := math.Ceil(turn*(1+turnsDiffer)*(1+spareShare)+spareInstances), math.Ceil(2*turn*(1+spareShare)+spareInstances)
	for _, test := range [...]struct {
		name string
		have int
		// over are the pools whose first turn is over, of three.
		over int
		idle float64
		want float64
	}{
		{"much room", 1000, 3, 2, keep},
		{"just enough", int(need), 3, 2, keep},
		{"less than all need", int(need) - 1, 3, 2, 2},
		{"what it lately needed goes before", 1000, 3, 300, 300},
		{"a turn that is not known yet", 1000, 1, 0, math.Ceil(unknownMargin*turn*(1+turnsDiffer)*(1+spareShare) + spareInstances)},
		{"no turn is over", 1000, 0, 5, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(quicktest.New(t), nil)
			rows := make(map[string]*upkeep.Pool)
			b.turns.Pools = make(map[string]*upkeep.Burst)
			for i := range 3 {
				name := fmt.Sprint("p", i)
				rows[name] = &upkeep.Pool{Name: name, Have: test.have, LongTermNeed: test.idle}
				b.turns.Pools[name] = new(upkeep.Burst)
				if i < test.over {
					*b.turns.Pools[name] = upkeep.Burst{Began: time.Now(), Need: 2 * turn, Used: turn, Ended: true}
				}
			}
			b.keepTurns(rows, time.Now())
			b.c.Assert(math.Ceil(rows["p2"].LongTermNeed), quicktest.Equals, test.want)
		})
	}
}
