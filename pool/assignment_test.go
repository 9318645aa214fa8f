// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// jobNamed returns a job of one task with the number as its ID.
func jobNamed(n int) *job.Job {
	return job.New(&job.Spec{ID: fmt.Sprintf("%016x", n), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Need: job.Need{MilliCPU: 100}}}}, time.Now())
}

// newAssignmentFixture returns a leader with 40 jobs and three workers in each of the data centres a and b.
func newAssignmentFixture(c *quicktest.C) *fixture {
	var jobs []*job.Job
	for i := range 40 {
		jobs = append(jobs, jobNamed(i))
	}
	return newDrainBench(c, jobs, "a1", "a2", "a3", "b1", "b2", "b3")
}

func TestJobsAreAssignedEvenlyToTheDataCentresOfTheirPool(t *testing.T) {
	c := quicktest.New(t)
	a := centresByPool{"p": {"x", "y", "z"}}
	counts := make(map[string]int)
	for i := range 3000 {
		centre, assigned := a.centreOf("p", fmt.Sprintf("%016x", i*7919))
		c.Assert(assigned, quicktest.IsTrue)
		counts[centre]++
	}
	for centre, n := range counts {
		c.Check(n > 900 && n < 1100, quicktest.IsTrue, quicktest.Commentf("%d jobs in %s", n, centre))
	}
	_, assigned := a.centreOf("other", "1")
	c.Assert(assigned, quicktest.IsFalse)
}

// TestAPoolKeepsItsDataCentresWhileTheyHaveWorkers guards against an assignment that changes, and is stored again, with every move.
func TestAPoolKeepsItsDataCentresWhileTheyHaveWorkers(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		workers map[string]int
		current []string
		want    []string
	}{
		{"enough workers", map[string]int{"a": 3, "b": 9}, nil, []string{"a", "b"}},
		{"too few to begin with", map[string]int{"a": 2, "b": 9}, nil, []string{"b"}},
		{"few, but in use", map[string]int{"a": 1, "b": 9}, []string{"a", "b"}, []string{"a", "b"}},
		{"none left", map[string]int{"b": 9}, []string{"a", "b"}, []string{"b"}},
		{"another one has enough", map[string]int{"a": 3, "b": 3, "c": 3}, []string{"a", "b"}, []string{"a", "b", "c"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			quicktest.Assert(t, assignableCentres(x.workers, x.current), quicktest.DeepEquals, x.want)
		})
	}
}

// TestUnstoredStartsStayInTheDataCentreOfTheirJob guards against an unstored run in a data centre in which the next leader would not look
// for it.
func TestUnstoredStartsStayInTheDataCentreOfTheirJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newAssignmentFixture(c)
		var mu sync.Mutex
		started := make(map[string]string)
		b.Calls.Start = func(_ context.Context, w *work.Worker, o work.Start) (work.Answer, error) {
			mu.Lock()
			defer mu.Unlock()
			started[o.Task[:16]] = w.DataCentre
			return work.Answer{Clock: 20}, nil
		}
		b.updateAssignment(time.Now())
		b.commitAll()
		stored := b.assignment.stored
		c.Assert(stored["p"], quicktest.DeepEquals, []string{"a", "b"})

		b.loseStore()
		b.placeAndCount()
		for range 3 { // tasks that were planned elsewhere are placed again
			b.askAll()
			b.allowUnstored(time.Now())
			b.placeAndCount()
		}
		synctest.Wait()
		c.Assert(started, quicktest.HasLen, 40)
		for id, centre := range started {
			c.Check(stored.allows("p", id, centre), quicktest.IsTrue, quicktest.Commentf("job %s started in %s", id, centre))
		}
	})
}

// TestRunsOfABatchInFlightKeepTheirWorker guards against a task that starts elsewhere although the store may have its run: the next leader may
// send the start of that run.
func TestRunsOfABatchInFlightKeepTheirWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newAssignmentFixture(c)
		b.updateAssignment(time.Now())
		b.commitAll()
		b.placeAndCount()
		planned := make(map[string]string)
		for _, p := range b.plannedStarts {
			planned[p.task.Job.Spec.ID] = p.worker.Incarnation
		}
		b.loseStore()
		b.askAll()
		b.allowUnstored(time.Now())
		b.placeAndCount()
		outside := 0
		for id, incarnation := range planned {
			c.Check(b.jobs[id].Task(0, 0, 0).Worker, quicktest.Equals, incarnation, quicktest.Commentf("job %s", id))
			if !b.assignment.stored.allows("p", id, b.workers[incarnation].DataCentre) {
				outside++
			}
		}
		c.Check(outside > 0, quicktest.IsTrue)
		c.Check(b.inFlight.starts, quicktest.HasLen, outside)
		c.Check(b.plannedStarts, quicktest.HasLen, 0)
	})
}

// TestAGangIsNotSplitInAnOutage guards against a gang of which some members run and the others can't be placed any more, because it was planned
// over two data centres before the store went away.
func TestAGangIsNotSplitInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		gang := job.New(&job.Spec{ID: fmt.Sprintf("%016x", 1), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 4, Gang: true, PerWorker: 1, Need: job.Need{MilliCPU: 100}}}}, time.Now())
		b := newDrainBench(c, []*job.Job{jobNamed(0), gang}, "a1", "a2", "a3", "b1", "b2", "b3")
		b.updateAssignment(time.Now())
		b.commitAll()
		b.loseStore()
		b.placeAndCount()
		gang = b.jobs[gang.Spec.ID]
		for range 3 {
			b.askAll()
			b.allowUnstored(time.Now())
			b.placeAndCount()
		}
		phases := make(map[job.Phase]int)
		for i := range gang.Tasks {
			phases[gang.Tasks[i].Phase]++
		}
		c.Check(phases, quicktest.HasLen, 1, quicktest.Commentf("%v", phases))
		for _, p := range b.plannedStarts {
			c.Check(p.task.Job, quicktest.Equals, gang)
		}
	})
}

// TestAChangeOfTheAssignmentDoesNotOutliveAnOutage guards against a stored assignment that unstored runs did not obey: it was decided while a
// batch was in flight, and a later batch holds it without all of those runs.
func TestAChangeOfTheAssignmentDoesNotOutliveAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newAssignmentFixture(c)
		b.updateAssignment(time.Now())
		b.commitAll()
		before := b.assignment.stored
		time.Sleep(2 * assignmentInterval)
		b.loseStore()
		b.workers["b1"].Leaving, b.workers["b2"].Leaving, b.workers["b3"].Leaving = true, true, true
		b.updateAssignment(time.Now())
		c.Assert(b.assignment.wanted, quicktest.IsNotNil)
		b.askAll()
		b.allowUnstored(time.Now())
		b.placeAndCount()
		b.askAll()
		b.allowUnstored(time.Now())
		c.Assert(b.unstoredJobs, quicktest.Not(quicktest.HasLen), 0)
		b.committing, b.inFlight = false, nil // the batch is answered late
		b.commitAll()
		c.Check(b.assignment.stored, quicktest.DeepEquals, before)
		c.Check(b.assignment.pending, quicktest.IsNil)
	})
}

// loseStore commits what has changed and leaves the batch, and all later ones, without an answer.
func (b *fixture) loseStore() {
	b.State.Append = func(ctx context.Context, _ feed.Batch) (int64, error) {
		<-ctx.Done()
		return 0, feed.ErrUncertain
	}
	b.UnstoredOrdersAnnounced = func() bool { return true }
	b.jobs[fmt.Sprintf("%016x", 0)].Version++ // so that there is something to commit
	b.dirtyJobs.Add(fmt.Sprintf("%016x", 0), b.jobs[fmt.Sprintf("%016x", 0)])
	b.commit()
	time.Sleep(storeSlowAfter)
}

// askAll lets all workers answer a call that was sent now, after the batch in flight.
func (b *fixture) askAll() {
	time.Sleep(time.Millisecond)
	for _, w := range b.workers {
		w.askedAt = time.Now()
	}
	time.Sleep(time.Millisecond)
}

// TestTheAssignmentStaysWhileRunsAreUnstored guards against a stored assignment that unstored runs did not obey.
func TestTheAssignmentStaysWhileRunsAreUnstored(t *testing.T) {
	c := quicktest.New(t)
	b := newAssignmentFixture(c)
	now := time.Now()
	b.unstoredJobs[b.jobs[fmt.Sprintf("%016x", 1)]] = 1
	b.updateAssignment(now)
	c.Assert(b.assignment.wanted, quicktest.IsNil)
	clear(b.unstoredJobs)
	b.modeSince[modeStoreSlow] = now
	b.updateAssignment(now)
	c.Assert(b.assignment.wanted, quicktest.IsNil)
	b.modeSince[modeStoreSlow] = time.Time{}
	b.updateAssignment(now)
	c.Assert(b.assignment.wanted["p"], quicktest.DeepEquals, []string{"a", "b"})
}

// TestAfterAnOutageOnlyJobsOfSilentDataCentresWait guards against two faults of a takeover: a task that starts while an unstored run of it
// may go on in a data centre that is cut off, and jobs that wait although they can't have such a run.
func TestAfterAnOutageOnlyJobsOfSilentDataCentresWait(t *testing.T) {
	all := centresByPool{"p": {"a", "b"}}
	for _, x := range [...]struct {
		name       string
		kept       storedAssignment
		onlyLast   bool
		unknown    bool // the data centre of the silent worker is not known
		waiting    func(id string) bool
		afterwards int
	}{
		{"the last leader's assignment", storedAssignment{Term: 1, Centres: all}, true, false, func(id string) bool { return all.allows("p", id, "b") }, 40},
		{"of an earlier leader", storedAssignment{Term: 0, Centres: all}, true, false, func(string) bool { return true }, 40},
		{"earlier leaders may have unstored runs", storedAssignment{Term: 1, Centres: all}, false, false, func(string) bool { return true }, 40},
		{"the pool is not assigned", storedAssignment{Term: 1, Centres: centresByPool{"o": {"a", "b"}}}, true, false, func(string) bool { return true }, 40},
		{"a worker in an unknown place", storedAssignment{Term: 1, Centres: all}, true, true, func(string) bool { return true }, 40},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newAssignmentFixture(c)
			b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true, OnlyLastUnstored: x.onlyLast}
			b.earlierUnstored = true
			b.restoreAssignment(record(c, assignmentKey, x.kept))
			silent := b.workers["b1"]
			b.uncertainIncarnations["b1"] = silent
			if x.unknown {
				silent.DataCentre = ""
				b.machines = make(map[string]Machine)
			}
			b.placeAndCount()
			for id, j := range b.jobs {
				c.Check(j.Task(0, 0, 0).Phase == job.Waiting, quicktest.Equals, x.waiting(id), quicktest.Commentf("job %s", id))
			}
			delete(b.uncertainIncarnations, "b1") // it has answered
			b.placeAndCount()
			c.Assert(b.plannedStarts, quicktest.HasLen, x.afterwards)
		})
	}
}
