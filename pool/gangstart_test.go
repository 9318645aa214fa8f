// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

// TestAGangWhoseMemberCannotStartIsStopped guards against members of a gang that wait alone: the worker of one of them can't be used any more when its
// start is to be sent, and the others have been started or are about to be.
func TestAGangWhoseMemberCannotStartIsStopped(t *testing.T) {
	for _, lost := range []string{"w1", "w2", "w3"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				gang := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 3, Gang: true, PerWorker: 1, Need: job.Need{MilliCPU: 1000}}}}, time.Now())
				b := newFixture(c, []*job.Job{gang}, "w1", "w2", "w3")
				for _, incarnation := range []string{"w1", "w2", "w3"} {
					b.report(incarnation, 10, nil)
				}
				c.Assert(b.placeAndCount(), quicktest.Equals, 3)
				b.workers[lost].pauseStarts(time.Now())
				b.commitAll()
				for i := range 3 {
					x := b.task(i)
					c.Check(x.Phase == job.Waiting || x.Stopping, quicktest.IsTrue, quicktest.Commentf("%s", fmt.Sprint(x.Name(), x.Phase, x.Stopping)))
				}
			})
		})
	}
}
