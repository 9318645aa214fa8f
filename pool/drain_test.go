// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// newDrainBench returns a leader whose workers are in the data centre named by their first letter.
func newDrainBench(c *quicktest.C, jobs []*job.Job, incarnations ...string) *fixture {
	b := newFixture(c, jobs, incarnations...)
	b.ParseWorker = func(incarnation string, _ []byte) (work.Worker, error) {
		return work.Worker{Incarnation: incarnation, Machine: "m-" + incarnation, Pool: "p", DataCentre: incarnation[:1], Capacity: job.Need{MilliCPU: 4000, MemoryMB: 4000}}, nil
	}
	for _, w := range b.workers {
		w.DataCentre = w.Incarnation[:1]
		b.machines[w.Machine] = Machine{Name: w.Machine, Pool: "p", ID: w.Incarnation, DataCentre: w.DataCentre}
	}
	for _, incarnation := range incarnations {
		b.report(incarnation, 10, nil)
	}
	return b
}

// startsIn returns the number of planned starts in each data centre.
func (b *fixture) startsIn() map[string]int {
	in := make(map[string]int)
	for _, p := range b.plannedStarts {
		in[p.worker.DataCentre]++
	}
	return in
}

func TestNothingStartsInADrainedDataCentre(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		drained []string
		want    map[string]int
	}{
		{"none is drained", nil, map[string]int{"a": 4, "b": 2}},
		{"one of two", []string{"a"}, map[string]int{"b": 4}},
		{"the last one that has room", []string{"a", "b"}, map[string]int{}},
		{"another one", []string{"z"}, map[string]int{"a": 4, "b": 2}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newDrainBench(c, []*job.Job{jobWithTasks(6)}, "a1", "b1")
			drainsChanged{x.drained}.apply(b.session)
			b.placeAndCount()
			c.Assert(len(b.startsIn()), quicktest.Equals, len(x.want))
			if len(x.want) == 1 {
				c.Assert(b.startsIn(), quicktest.DeepEquals, x.want)
			}
		})
	}
}

// TestAStartThatWasPlannedBeforeADrainDoesNotLeave guards against sending a planned start after the data centre is drained: the drain arrives between
// the placement decision and the confirmation that the run is stored.
func TestAStartThatWasPlannedBeforeADrainDoesNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newDrainBench(c, []*job.Job{jobWithTasks(1)}, "a1")
		started := 0
		b.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
			started++
			return work.Answer{Clock: 20}, nil
		}
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		drainsChanged{[]string{"a"}}.apply(b.session)
		b.commitAll()
		c.Assert(started, quicktest.Equals, 0)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		drainsChanged{nil}.apply(b.session)
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	})
}

// TestADrainIsOfTheDataCentreAndOutlivesItsLeader checks that workers listed after the drain are drained too, and that the next leader knows of the
// drain before its first start.
func TestADrainIsOfTheDataCentreAndOutlivesItsLeader(t *testing.T) {
	c := quicktest.New(t)
	b := newDrainBench(c, []*job.Job{jobWithTasks(1)}, "b1")
	drainsChanged{[]string{"a"}}.apply(b.session)
	c.Assert(b.applyWorkerRecord("a9", []byte{1}).drained, quicktest.IsTrue)
	b.Scheduler.SetDrains([]string{"b"})
	next := newSession(b.Scheduler, b.term)
	c.Assert(next.drains["b"], quicktest.IsNotNil)
}

// TestLastingTasksLeaveADrainedDataCentreAsFastAsTheyMayBeMissed guards against a drain stopping more tasks of a step than it may miss: four
// lasting tasks of a step that may miss one have to move.
func TestLastingTasksLeaveADrainedDataCentreAsFastAsTheyMayBeMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 4, Lasting: true, MayMiss: 1, Need: job.Need{MilliCPU: 1000}}}}, time.Now())
		b := newDrainBench(c, []*job.Job{j}, "a1", "b1")
		b.term.Number = 1
		b.soleLeaderFrom = time.Now()
		b.Machines.Move = func(context.Context, string, string, int64) error { return nil }
		time.Sleep(time.Minute)
		b.workers["b1"].candidate.Free.MilliCPU = 3000
		var rows []work.RunStatus
		for i := range 4 {
			rows = append(rows, work.RunStatus{Task: fmt.Sprintf("00000000000000a1.0.0.%d", i), Run: int64(i + 1), Percent: 100})
		}
		for i := range 4 {
			tt := b.task(i)
			tt.Phase, tt.Run, tt.Worker, tt.AtWork = job.Active, int64(i+1), "a1", true
			b.addRun(b.workers["a1"], tt, &run{number: int64(i + 1), sent: true, confirmed: 10})
		}
		b.report("a1", 1000, rows)
		drainsChanged{[]string{"a"}}.apply(b.session)
		stopping := func() int {
			n := 0
			for i := range 4 {
				if b.task(i).Stopping {
					n++
				}
			}
			return n
		}
		b.evacuateDrained(time.Now())
		c.Assert(stopping(), quicktest.Equals, 1, quicktest.Commentf("one may be missed"))
		b.evacuateDrained(time.Now())
		c.Assert(stopping(), quicktest.Equals, 1)
		last := ""
		for _, e := range b.Events.Since(0) {
			if e.Number == event.DrainChanged {
				last = e.Text
			}
		}
		c.Assert(strings.Contains(last, "state=emptying"), quicktest.IsTrue, quicktest.Commentf("%s", last))
		c.Assert(strings.Contains(last, "lasting=4 others-of-its-step-are-away=3"), quicktest.IsTrue, quicktest.Commentf("%s", last))
	})
}

// TestDrainedInstancesAreReplacedElsewhere checks that a pool whose instances are all drained gets instances in another data centre.
func TestDrainedInstancesAreReplacedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newDrainBench(c, nil, "a1", "a2")
		b.config.Pools = map[string]job.Pool{"p": {}, "spare": {Headroom: true}}
		for _, name := range []string{"a-off", "b-off"} {
			b.machines[name] = Machine{Name: name, Pool: "spare", DataCentre: name[:1]}
		}
		moved := make(chan string, 10)
		b.Machines.Move = func(_ context.Context, machine, to string, _ int64) error { moved <- machine + " " + to; return nil }
		b.machinesListedAt = time.Now()
		b.pool("p").recentWork = []submission{{at: time.Now(), work: 3}}
		drainsChanged{[]string{"a"}}.apply(b.session)
		b.sizePools(time.Now())
		synctest.Wait()
		got := make(map[string]bool)
		for range len(moved) {
			got[<-moved] = true
		}
		c.Assert(got, quicktest.DeepEquals, map[string]bool{"b-off p": true, "m-a1 spare": true, "m-a2 spare": true})
	})
}

// TestAnInstanceIsRequestedForATaskThatCantLeaveADrain checks that an instance is requested for a lasting task in a drained data centre whose
// pool has no other instance.
func TestAnInstanceIsRequestedForATaskThatCantLeaveADrain(t *testing.T) {
	c := quicktest.New(t)
	j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Lasting: true, MayMiss: 1, Need: job.Need{MilliCPU: 1000}}}}, time.Now())
	b := newDrainBench(c, []*job.Job{j}, "a1")
	task := b.task(0)
	task.Phase, task.Run, task.Worker, task.AtWork = job.Active, 1, "a1", true
	b.addRun(b.workers["a1"], task, &run{number: 1, sent: true, confirmed: 10})
	c.Assert(b.shortages(b.pool("p"), time.Now()), quicktest.HasLen, 0)
	drainsChanged{[]string{"a"}}.apply(b.session)
	c.Assert(b.shortages(b.pool("p"), time.Now())[""], quicktest.Equals, 1)
}
