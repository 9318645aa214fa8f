// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/place"
	"rackstep.dev/work"
)

// setCapacity has the list show that a worker has that much CPU.
func (b *fixture) setCapacity(incarnation string, milliCPU int) {
	w := b.workers[incarnation]
	row := w.Worker
	row.Capacity.MilliCPU = milliCPU
	b.updateWorker(w, row)
}

// TestAStartThatNoLongerFitsIsNotSent guards against starts that overload a worker whose capacity shrinks between the
// placement and the order.
func TestAStartThatNoLongerFitsIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, []*job.Job{jobWithTasks(4)}, "w1")
		b.report("w1", 10, nil)
		var sent atomic.Int64
		b.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
			sent.Add(1)
			return work.Answer{Clock: 20}, nil
		}
		c.Assert(b.placeAndCount(), quicktest.Equals, 4)
		b.setCapacity("w1", 2500)
		b.commitAll()
		synctest.Wait()
		c.Check(sent.Load(), quicktest.Equals, int64(2))
		c.Check(b.workers["w1"].candidate.Free.MilliCPU, quicktest.Equals, 500)
		b.setCapacity("w1", 4000)
		b.report("w1", 30, []work.RunStatus{{Task: startedTaskName(b, 0), Run: startedRun(b, 0)}, {Task: startedTaskName(b, 1), Run: startedRun(b, 1)}})
		c.Check(b.placeAndCount(), quicktest.Equals, 2)
	})
}

// startedTaskName returns the name of the n-th task that is not waiting.
func startedTaskName(b *fixture, n int) string { return startedTasks(b)[n].Name() }

// startedRun returns the run number of the n-th task that is not waiting.
func startedRun(b *fixture, n int) int64 { return startedTasks(b)[n].Run }

func startedTasks(b *fixture) []*job.Task {
	var out []*job.Task
	tasks := b.jobs["00000000000000a1"].Tasks
	for i := range tasks {
		if tasks[i].Phase != job.Waiting {
			out = append(out, &tasks[i])
		}
	}
	return out
}

// TestUnknownRunsOfAWorkerUseCapacity guards against overloading a worker that reports runs of finished tasks or of unknown
// jobs. These use capacity until they have ended.
func TestUnknownRunsOfAWorkerUseCapacity(t *testing.T) {
	c := quicktest.New(t)
	other := job.New(&job.Spec{ID: "00000000000000c3", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Need: job.Need{MilliCPU: 3500}}}}, time.Now())
	b := newFixture(c, []*job.Job{jobWithTasks(4), other}, "w1", "w2")
	done := b.jobs["00000000000000c3"]
	done.Done(&done.Tasks[0], time.Now())
	b.report("w1", 10, []work.RunStatus{{Task: "00000000000000c3.0.0.0", Run: 7}})
	c.Check(b.placeAndCount(), quicktest.Equals, 0) // 500 milliCPU are left
	b.report("w1", 20, []work.RunStatus{{Task: "00000000000000ff.0.0.0", Run: 7}})
	c.Check(b.placeAndCount(), quicktest.Equals, 0) // how much an unknown run uses is not known
	b.report("w1", 30, nil)
	c.Check(b.placeAndCount(), quicktest.Equals, 4)
}

// TestFreeCapacityMatchesARecount guards against a worker's free capacity drifting from what its runs leave. It compares
// the two after each step of random histories of one worker.
func TestFreeCapacityMatchesARecount(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			r := rand.New(rand.NewPCG(seed, 3))
			b := newFixture(c, []*job.Job{jobWithTasks(12)}, "w1", "w2")
			var answers atomic.Uint64 // calls are made concurrently
			b.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
				n := answers.Add(seed + 1)
				return work.Answer{Refusal: []work.Refusal{work.Accepted, work.Accepted, work.NoRoom, work.DeadlinePassed}[n%4], Clock: 5}, nil
			}
			n, clock := int64(0), work.Clock(10)
			b.report("w1", clock, nil)
			for range 40 {
				w := b.workers["w1"]
				switch r.IntN(6) {
				case 0:
					b.setCapacity("w1", 500*r.IntN(12))
				case 1:
					b.placeAndCount()
					b.commitAll()
				case 2:
					b.expireLease(w, time.Now())
				case 3:
					for t := range w.runs {
						b.stopTask(w, t, "room is needed")
						break
					}
				default:
					clock += 100
					var rows []work.RunStatus
					var ends []work.EndedRun
					for t, x := range w.runs {
						if r.IntN(3) == 0 {
							n++
							ends = append(ends, work.EndedRun{Seq: n, Task: t.Name(), Run: x.number, Outcome: []work.Outcome{work.Stopped, work.Failed, work.Succeeded}[r.IntN(3)]})
						} else if x.sent {
							rows = append(rows, work.RunStatus{Task: t.Name(), Run: x.number})
						}
					}
					if r.IntN(3) == 0 {
						rows = append(rows, work.RunStatus{Task: taskName, Run: 1})
					}
					b.report("w1", clock, rows, ends...)
				}
				free := w.Capacity
				for t := range w.runs {
					free = free.Minus(place.Charge(t.Spec()))
				}
				for _, x := range w.supersededRuns {
					free = free.Minus(place.Charge(x.step))
				}
				c.Assert(w.candidate.Free, quicktest.Equals, free, quicktest.Commentf("seed %d", seed))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// TestRepeatedListEntriesDoNotExtendWarmUp guards against a repeated list entry that extends a worker's warm-up. An
// entry with a longer warm-up than the one before does start it anew.
func TestRepeatedListEntriesDoNotExtendWarmUp(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	w := &worker{}
	w.updateCold(0, now)
	c.Assert(now.Before(w.coldUntil), quicktest.IsFalse)
	w.updateCold(5*time.Second, now)
	w.Cold = 5 * time.Second
	w.updateCold(5*time.Second, now.Add(4*time.Second)) // the same entry again
	c.Assert(w.coldUntil, quicktest.Equals, now.Add(5*time.Second))
	w.updateCold(time.Second, now.Add(time.Second))
	c.Assert(w.coldUntil, quicktest.Equals, now.Add(2*time.Second))
	w.Cold = time.Second
	w.updateCold(8*time.Second, now.Add(10*time.Second)) // the worker is cold again, after a drain
	c.Assert(w.coldUntil, quicktest.Equals, now.Add(18*time.Second))
}
