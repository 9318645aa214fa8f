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

// TestALastingTaskStartsOnlyOnAFencedInstance guards against a delayed call of an earlier leader that ends a lasting
// task. The earlier leader asked to move an idle instance just as a network partition delayed the call. The next
// leader started a lasting task there, and 3.5 s after the partition ended the move was carried out while another
// task of the step was down. The machine interface compares fencing tokens per instance, and the new leader had made
// no call for this instance yet.
func TestALastingTaskStartsOnlyOnAFencedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		lasting := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Lasting: true, Need: job.Need{MilliCPU: 1000}}}}, time.Now())
		b := newFixture(c, []*job.Job{lasting}, "w1")
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
		b.report("w1", 100, nil)
		c.Assert(b.placeAndCount(), quicktest.Equals, 0)
		synctest.Wait()
		c.Assert(calls, quicktest.DeepEquals, []call{{"m-w1", "p", b.term.Fence}})
		for _, m := range b.inbox.takeAll() {
			m.apply(b.session)
		}
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		c.Assert(b.workers["w1"], quicktest.IsNotNil, quicktest.Commentf("the instance must stay in its pool"))
	})
}
