// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

// The story. A lasting task was ended by a move that nobody wanted any more, while another one of its step was away.
//
//  1. The leader asked to move an idle instance; its data centre was cut off at that moment, so that the call stayed on its way.
//  2. Another entry took the lead, and started the lasting task on that instance's worker.
//  3. The cut ended, and 3.5 s later the call arrived and was carried out: the machine interface compares fencing tokens by instance,
//     and the new leader had not called for this one yet.
//
// The cause: a new leader's token fences only where it has called. The evidence: the call without an answer in the first leader's log, 12 s
// before the instance was moved, and no call for that instance by the second.
func TestALastingTaskStartsOnlyOnAFencedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		lasts := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Lasting: true, Need: job.Need{MilliCPU: 1000}}}}, time.Now())
		b := newBench(c, []*job.Job{lasts}, "w1")
		b.term.Exclusive, b.term.CleanHandover = false, false
		type call struct {
			Machine, Pool string
			Fence         int64
		}
		var calls []call
		b.Machines.Move = func(_ context.Context, machine, pool string, fence int64) error {
			calls = append(calls, call{machine, pool, fence})
			return nil
		}
		b.reports("w1", 100, nil)
		c.Assert(b.ordered(), quicktest.Equals, 0)
		synctest.Wait()
		c.Assert(calls, quicktest.DeepEquals, []call{{"m-w1", "p", b.term.Fence}})
		for _, m := range b.inbox.take() {
			m.apply(b.session)
		}
		c.Assert(b.ordered(), quicktest.Equals, 1)
		c.Assert(b.workers["w1"], quicktest.IsNotNil, quicktest.Commentf("it stays in its pool"))
	})
}
