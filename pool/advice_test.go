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

// TestTicketsGoWithTheirJob guards against stale advice: after a job is forgotten its ID may be reused, and a refusal for the first job's steps would
// exclude workers from the second job.
func TestTicketsGoWithTheirJob(t *testing.T) {
	c := quicktest.New(t)
	j := jobWithTasks(2)
	b := newFixture(c, []*job.Job{j}, "w1")
	b.Intake[0].Append = func(context.Context, feed.Batch) (int64, error) { return 1, nil }
	name := stepName(b.task(0))
	b.tickets[name] = &stepTickets{refused: map[string]time.Time{"w1": time.Now()}}
	ended := b.jobs[j.Spec.ID]
	ended.Cancel(time.Now())
	ended.StoredVersion = ended.Version
	b.forget(time.Now())
	c.Assert(b.tickets, quicktest.HasLen, 1, quicktest.Commentf("its state is still owed"))
	later := time.Now().Add(time.Hour)
	b.intakeReadUntil[0] = later
	b.forget(later)
	c.Assert(b.tickets, quicktest.HasLen, 1, quicktest.Commentf("its submission has not been read as deleted"))
	b.readDeletion(0, feed.KeyedRecord{Key: j.Spec.QualifiedID().SubmissionKey()})
	b.forget(later)
	c.Assert(b.jobs, quicktest.HasLen, 0)
	c.Assert(b.tickets, quicktest.HasLen, 0)
}
