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

// TestTasksAreAssignedEvenlyAndJobsToOneDataCentre guards against workers that get too many tasks in an outage of the store, and against jobs that wait as a whole for
// one of several data centres.
func TestTasksAreAssignedEvenlyAndJobsToOneDataCentre(t *testing.T) {
	c := quicktest.New(t)
	a := poolAssignment{Workers: [][]string{{"a1", "a2"}, {"b1", "b2", "b3", "b4"}}, MilliCPU: 100, MemoryMB: 100}
	counts := make(map[string]int)
	for i := range 3000 {
		j := job.New(&job.Spec{ID: fmt.Sprintf("%016x", i*7919), Steps: []job.Step{{Count: 2, Need: job.Need{MilliCPU: 100}}}}, time.Now())
		first, second := a.workerOf(j.Task(0, 0, 0)), a.workerOf(j.Task(0, 0, 1))
		c.Assert(first[0], quicktest.Equals, second[0], quicktest.Commentf("job %s", j.Spec.ID))
		counts[first]++
		counts[second]++
	}
	c.Assert(counts, quicktest.HasLen, 6)
	for worker, n := range counts {
		c.Check(n > 850 && n < 1150, quicktest.IsTrue, quicktest.Commentf("%d tasks on %s", n, worker))
	}
	for _, need := range [...]job.Need{{MilliCPU: 101}, {MemoryMB: 101}, {GPU: 1}} {
		j := job.New(&job.Spec{ID: "1", Steps: []job.Step{{Count: 1, Need: need}}}, time.Now())
		c.Check(a.workerOf(j.Task(0, 0, 0)), quicktest.Equals, "", quicktest.Commentf("%+v", need))
	}
	c.Assert(poolAssignment{}.workerOf(jobNamed(1).Task(0, 0, 0)), quicktest.Equals, "")
}

// TestAPoolKeepsItsAssignmentWhileMostOfItsWorkersRemain guards against an assignment that is stored again with every move.
func TestAPoolKeepsItsAssignmentWhileMostOfItsWorkersRemain(t *testing.T) {
	many := func(first, count int) (ids []string) {
		for i := range count {
			ids = append(ids, fmt.Sprintf("w%03d", first+i))
		}
		return ids
	}
	for _, x := range [...]struct {
		name             string
		assigned, usable []string
		keep             bool
	}{
		{"nothing is assigned yet", nil, many(0, 1), false},
		{"no workers", nil, nil, true},
		{"the same workers", many(0, 5), many(0, 5), true},
		{"one of a few has left", many(0, 5), many(0, 4), true},
		{"two of a few have left", many(0, 5), many(0, 3), false},
		{"the only one has left", many(0, 1), many(1, 1), false},
		{"an eighth has left", many(0, 80), many(10, 70), true},
		{"more than an eighth has left", many(0, 80), many(11, 69), false},
		{"an eighth is new", many(0, 70), many(0, 80), true},
		{"more than an eighth is new", many(0, 69), many(0, 80), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			quicktest.Assert(t, closeTo(x.assigned, x.usable), quicktest.Equals, x.keep)
		})
	}
}

// TestUnstoredStartsGoToTheWorkersOfTheirTasks guards against an unstored start that the next leader would look for at another worker or under another number.
func TestUnstoredStartsGoToTheWorkersOfTheirTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newAssignmentFixture(c)
		var mu sync.Mutex
		started := make(map[string]string)
		b.Calls.Start = func(_ context.Context, w *work.Worker, o work.Start) (work.Answer, error) {
			mu.Lock()
			defer mu.Unlock()
			started[o.Task[:16]] = w.ID
			c.Check(o.Run, quicktest.Equals, int64(1))
			return work.Answer{Clock: 20}, nil
		}
		b.updateAssignment(time.Now())
		b.commitAll()
		stored := b.assignment.stored["p"]
		c.Assert(stored.all(), quicktest.DeepEquals, []string{"a1", "a2", "a3", "b1", "b2", "b3"})

		b.loseStoreAt("a1")
		b.placeAndCount()
		for range 3 { // tasks that were planned elsewhere are placed again
			b.askAll()
			b.allowUnstored(time.Now())
			b.placeAndCount()
		}
		synctest.Wait()
		c.Assert(started, quicktest.HasLen, 40)
		for id, worker := range started {
			c.Check(worker, quicktest.Equals, stored.workerOf(b.jobs[id].Task(0, 0, 0)), quicktest.Commentf("job %s", id))
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
		c.Assert(planned, quicktest.HasLen, 40)
		b.loseStoreAt("a1")
		b.askAll()
		b.allowUnstored(time.Now())
		b.placeAndCount()
		for id, incarnation := range planned {
			c.Check(b.jobs[id].Task(0, 0, 0).Worker, quicktest.Equals, incarnation, quicktest.Commentf("job %s", id))
		}
		c.Check(b.inFlight.starts, quicktest.HasLen, len(planned), quicktest.Commentf("their numbers don't follow from the tasks"))
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
		b.loseStoreAt("a1")
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
		before := b.assignment.stored["p"]
		time.Sleep(2 * assignmentInterval)
		b.loseStoreAt("a1")
		b.workers["b1"].Leaving, b.workers["b2"].Leaving, b.workers["b3"].Leaving = true, true, true
		b.updateAssignment(time.Now())
		c.Assert(b.assignment.wanted, quicktest.HasLen, 1)
		b.askAll()
		b.allowUnstored(time.Now())
		b.placeAndCount()
		b.askAll()
		b.allowUnstored(time.Now())
		c.Assert(b.unstoredJobs, quicktest.Not(quicktest.HasLen), 0)
		b.committing, b.inFlight = false, nil // the batch is answered late
		b.commitAll()
		c.Check(b.assignment.stored["p"], quicktest.DeepEquals, before)
		c.Check(b.assignment.pending, quicktest.HasLen, 0)
	})
}

// loseStoreAt commits what has changed, at least the record of the given incarnation, and leaves the batch and all later ones without an answer.
func (b *fixture) loseStoreAt(incarnation string) {
	b.State.Append = func(ctx context.Context, _ feed.Batch) (int64, error) {
		<-ctx.Done()
		return 0, feed.ErrUncertain
	}
	b.UnstoredOrdersAnnounced = func() bool { return true }
	b.markIncarnationDirty(incarnation) // so that there is something to commit
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

// TestTheAssignmentStaysWhileUnstoredStartsMayBeCarriedOut guards against a stored assignment that unstored starts, of this leader or an earlier one, did not obey.
func TestTheAssignmentStaysWhileUnstoredStartsMayBeCarriedOut(t *testing.T) {
	c := quicktest.New(t)
	b := newAssignmentFixture(c)
	now := time.Now()
	wanted := func() map[string]poolAssignment {
		b.assignment.wanted, b.assignment.checkedAt = nil, time.Time{}
		b.updateAssignment(now)
		return b.assignment.wanted
	}
	b.unstoredJobs[b.jobs[fmt.Sprintf("%016x", 1)]] = 1
	c.Assert(wanted(), quicktest.HasLen, 0)
	clear(b.unstoredJobs)
	b.modeSince[modeStoreSlow] = now
	c.Assert(wanted(), quicktest.HasLen, 0)
	b.modeSince[modeStoreSlow] = time.Time{}
	c.Assert(wanted()["p"].all(), quicktest.HasLen, 6)

	b.assignment.stored["p"] = poolAssignment{Workers: [][]string{{"gone"}}, MilliCPU: 100}
	b.earlierUnstored = true
	c.Assert(wanted(), quicktest.HasLen, 0)
	b.earlierUnstored = false
	c.Assert(wanted()["p"].all(), quicktest.HasLen, 6)
	b.earlierUnstored = true
	delete(b.assignment.stored, "p")
	c.Assert(wanted()["p"].all(), quicktest.HasLen, 6, quicktest.Commentf("no earlier leader has sent unstored starts in this pool"))
}

// TestAfterAnOutageOnlyTasksOfSilentWorkersWait guards against two faults of a takeover: a task that starts while an unstored run of it may go on at a worker that is cut
// off, and tasks that wait although they can't have such a run.
func TestAfterAnOutageOnlyTasksOfSilentWorkersWait(t *testing.T) {
	all := poolAssignment{Workers: [][]string{{"a1", "a2", "a3"}, {"b1", "b2", "b3"}}, MilliCPU: 1000}
	for _, x := range [...]struct {
		name    string
		kept    map[string]poolAssignment
		waiting func(t *job.Task) bool
	}{
		{"assigned", map[string]poolAssignment{"p": all}, func(t *job.Task) bool { return all.workerOf(t) == "b1" }},
		{"the pool is not assigned", map[string]poolAssignment{"o": all}, func(*job.Task) bool { return true }},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newAssignmentFixture(c)
			b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
			b.earlierUnstored = true
			for pool, kept := range x.kept {
				b.restoreAssignment(record(c, assignmentKey+pool, kept))
			}
			b.uncertainIncarnations["b1"] = b.workers["b1"]
			b.placeAndCount()
			for id, j := range b.jobs {
				c.Check(j.Task(0, 0, 0).Phase == job.Waiting, quicktest.Equals, x.waiting(j.Task(0, 0, 0)), quicktest.Commentf("job %s", id))
			}
			delete(b.uncertainIncarnations, "b1") // it has answered
			b.placeAndCount()
			c.Assert(b.plannedStarts, quicktest.HasLen, 40)
		})
	}
}
