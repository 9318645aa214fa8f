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

// says has a worker say of itself that it has that much room.
func (b *bench) says(life string, milliCPU int) {
	w := b.workers[life]
	row := w.Worker
	row.Capacity.MilliCPU = milliCPU
	b.updateWorker(w, row)
}

// TestAStartThatNoLongerFitsDoesNotLeave shrinks the room of a worker between the decision and the order.
func TestAStartThatNoLongerFitsDoesNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, []*job.Job{one(4)}, "w1")
		b.reports("w1", 10, nil)
		var sent atomic.Int64
		b.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
			sent.Add(1)
			return work.Answer{Clock: 20}, nil
		}
		c.Assert(b.ordered(), quicktest.Equals, 4)
		b.says("w1", 2500)
		b.keeps()
		synctest.Wait()
		c.Check(sent.Load(), quicktest.Equals, int64(2))
		c.Check(b.workers["w1"].room.Free.MilliCPU, quicktest.Equals, 500)
		b.says("w1", 4000)
		b.reports("w1", 30, []work.RunStatus{{Task: taskOf(b, 0), Run: runOf(b, 0)}, {Task: taskOf(b, 1), Run: runOf(b, 1)}})
		c.Check(b.ordered(), quicktest.Equals, 2)
	})
}

// taskOf and runOf name the n-th task that is not waiting, and its run.
func taskOf(b *bench, n int) string { return started(b)[n].Name() }

func runOf(b *bench, n int) int64 { return started(b)[n].Run }

func started(b *bench) []*job.Task {
	var out []*job.Task
	tasks := b.jobs["00000000000000a1"].Tasks
	for i := range tasks {
		if tasks[i].Phase != job.Waiting {
			out = append(out, &tasks[i])
		}
	}
	return out
}

// TestWhatAWorkerRunsBesidesCounts has a worker list runs that belong to no task any more, or to a job that nobody knows: they hold room until
// they have ended.
func TestWhatAWorkerRunsBesidesCounts(t *testing.T) {
	c := quicktest.New(t)
	other := job.New(&job.Spec{ID: "00000000000000c3", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Need: job.Need{MilliCPU: 3500}}}}, time.Now())
	b := newBench(c, []*job.Job{one(4), other}, "w1", "w2")
	done := b.jobs["00000000000000c3"]
	done.Done(&done.Tasks[0], time.Now())
	b.reports("w1", 10, []work.RunStatus{{Task: "00000000000000c3.0.0.0", Run: 7}})
	c.Check(b.ordered(), quicktest.Equals, 0) // 500 are left
	b.reports("w1", 20, []work.RunStatus{{Task: "00000000000000ff.0.0.0", Run: 7}})
	c.Check(b.ordered(), quicktest.Equals, 0) // nobody knows what it holds
	b.reports("w1", 30, nil)
	c.Check(b.ordered(), quicktest.Equals, 4)
}

// TestFreeRoomIsWhatAPlainCountGives plays random histories of one worker.
func TestFreeRoomIsWhatAPlainCountGives(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			r := rand.New(rand.NewPCG(seed, 3))
			b := newBench(c, []*job.Job{one(12)}, "w1", "w2")
			var answers atomic.Uint64 // calls are made at the same time
			b.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
				n := answers.Add(seed + 1)
				return work.Answer{Refusal: []work.Refusal{work.Accepted, work.Accepted, work.NoRoom, work.DeadlinePassed}[n%4], Clock: 5}, nil
			}
			n, clock := int64(0), work.Clock(10)
			b.reports("w1", clock, nil)
			for range 40 {
				w := b.workers["w1"]
				switch r.IntN(6) {
				case 0:
					b.says("w1", 500*r.IntN(12))
				case 1:
					b.ordered()
					b.keeps()
				case 2:
					b.endLease(w, time.Now())
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
					b.reports("w1", clock, rows, ends...)
				}
				free := w.Capacity
				for t := range w.runs {
					free = free.Minus(place.Charge(t.Spec()))
				}
				for _, x := range w.besides {
					free = free.Minus(place.Charge(x.step))
				}
				c.Assert(w.room.Free, quicktest.Equals, free, quicktest.Commentf("seed %d", seed))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

func TestAColdWorkerGrowsWarmAsItSaysWhateverItRepeats(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	w := &worker{}
	w.coldFor(0, now)
	c.Assert(now.Before(w.coldUntil), quicktest.IsFalse)
	w.coldFor(5*time.Second, now)
	w.Cold = 5 * time.Second
	w.coldFor(5*time.Second, now.Add(4*time.Second)) // an entry that is repeated as it was
	c.Assert(w.coldUntil, quicktest.Equals, now.Add(5*time.Second))
	w.coldFor(time.Second, now.Add(time.Second))
	c.Assert(w.coldUntil, quicktest.Equals, now.Add(2*time.Second))
	w.Cold = time.Second
	w.coldFor(8*time.Second, now.Add(10*time.Second)) // cold again, after a drain
	c.Assert(w.coldUntil, quicktest.Equals, now.Add(18*time.Second))
}
