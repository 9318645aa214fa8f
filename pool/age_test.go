// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

// Guards against counting a job's time from when the current leader read it. After the store had been unavailable for four seconds, half of a queue's jobs
// were accepted within one second, most of them too old to be on time. All entries then lost power, and the next leader took the 500 jobs that it read for new: of
// the 2,568 tasks that it started late in the next three seconds, it took 1,506 for timely, while jobs that could have been on time waited behind them. The queue got
// a seventh of its share.
func TestAJobKeepsItsAgeOverATakeover(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	jobs := []*job.Job{aged("00000000000000a1", now.Add(-20*time.Second)), aged("00000000000000a2", now)}
	b := newFixture(c, jobs, "w1")
	b.report("w1", 100, nil)
	c.Assert(b.placeAndCount(), quicktest.Equals, 4) // the worker has room for one of the jobs
	for _, p := range b.plannedStarts {
		c.Check(p.task.Job.Spec.ID, quicktest.Equals, "00000000000000a2", quicktest.Commentf("the other can't be in time"))
	}
}

// aged returns a job of four tasks that an entry accepted at the given time. Its target latency is two seconds.
func aged(id string, taken time.Time) *job.Job {
	s := &job.Spec{ID: id, Queue: "q", Pool: "p", Taken: job.UnixMilli(taken.UnixMilli())}
	s.Steps = []job.Step{{Count: 4, Need: job.Need{MilliCPU: 1000}, Estimate: 1000}}
	return job.New(s, time.Now())
}
