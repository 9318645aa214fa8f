// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

// The story. In its turn of load a queue was served a seventh of what it was owed, after the store had been away and all entries had
// lost power.
//
//  1. The store was away for four seconds. Clients were refused, came again, and half of the turn's jobs were accepted in the first
//     second after it, most of them more than two seconds old and no longer to be had in time.
//  2. Two seconds later all entries lost power. The next leader read 500 jobs and took each as handed in at that moment.
//  3. For three seconds it began mostly tasks of jobs that were late, while what could have been in time waited behind them.
//
// The cause: a job's time was counted from when the leader at hand read it, so that neither could tell late from timely.
//
// The evidence: of 2,568 tasks begun late in the three seconds after the takeover the leader took 1,506 for timely.
func TestAJobKeepsItsAgeOverATakeover(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	jobs := []*job.Job{aged("00000000000000a1", now.Add(-20*time.Second)), aged("00000000000000a2", now)}
	b := newBench(c, jobs, "w1")
	b.reports("w1", 100, nil)
	c.Assert(b.ordered(), quicktest.Equals, 4) // the worker has room for one of the jobs
	for _, p := range b.planned {
		c.Check(p.task.Job.Spec.ID, quicktest.Equals, "00000000000000a2", quicktest.Commentf("the other can't be in time"))
	}
}

// aged returns a job of four tasks that an entry took at the time; its aim is two seconds.
func aged(id string, taken time.Time) *job.Job {
	s := &job.Spec{ID: id, Queue: "q", Pool: "p", Taken: job.UnixMilli(taken.UnixMilli())}
	s.Steps = []job.Step{{Count: 4, Need: job.Need{MilliCPU: 1000}, Estimate: 1000}}
	return job.New(s, time.Now())
}
