// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// TestTicketsGoWithTheirJob has a job's ID be used for another one once its state is owed to nobody: what was said of the first one's
// steps must not keep workers from the second.
func TestTicketsGoWithTheirJob(t *testing.T) {
	c := quicktest.New(t)
	j := one(2)
	b := newBench(c, []*job.Job{j}, "w1")
	b.Intake[0].Append = func(context.Context, feed.Batch) (int64, error) { return 1, nil }
	name := stepName(b.task(0))
	b.tickets[name] = &stepTickets{refused: map[string]time.Time{"w1": time.Now()}}
	ended := b.jobs[j.Spec.ID]
	ended.Cancel(time.Now())
	ended.StoredVersion = ended.Version
	b.forget(time.Now())
	c.Assert(b.tickets, quicktest.HasLen, 1, quicktest.Commentf("its state is still owed"))
	b.forget(time.Now().Add(time.Hour))
	c.Assert(b.jobs, quicktest.HasLen, 0)
	c.Assert(b.tickets, quicktest.HasLen, 0)
}
