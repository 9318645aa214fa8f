// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// Guards against jobs whose queue's settings no scheduling entry can know, because the queue leaves the configuration before one has read the job; and
// against the settings being written with each job.
func TestTheSettingsOfAQueueAreWrittenWithItsFirstJob(t *testing.T) {
	c := quicktest.New(t)
	var written []string
	var fails error
	i := &Intake{Events: &event.Ring{}, Writer: &Writer{Topic: feed.Topic{Append: func(_ context.Context, b feed.Batch) (int64, error) {
		for _, r := range b.Records {
			written = append(written, r.Key)
		}
		return 1, fails
	}}}}
	jobs := 0
	submit := func(attempts int) error {
		jobs++
		s := &job.Spec{ID: fmt.Sprintf("%016x", jobs), Queue: "q", Steps: []job.Step{{Count: 1}}}
		ctx, cancel := context.WithTimeout(context.Background(), rejectedRetryDelay/2) // too short for a retry
		defer cancel()
		return i.Submit(ctx, s, job.QueueVersion{Queue: job.Queue{Name: "q", Attempts: attempts}, Version: int64(jobs)})
	}
	fails = feed.ErrUncertain
	c.Assert(submit(4), quicktest.ErrorIs, ErrInDoubt)
	c.Assert(written, quicktest.DeepEquals, []string{"q/q", "j/0000000000000001"})
	fails, written = nil, nil
	for range 2 {
		c.Assert(submit(4), quicktest.IsNil)
	}
	c.Assert(written, quicktest.DeepEquals, []string{"q/q", "j/0000000000000002", "j/0000000000000003"})
	written = nil
	c.Assert(submit(2), quicktest.IsNil)
	c.Assert(written, quicktest.DeepEquals, []string{"q/q", "j/0000000000000004"})
}
