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

// TestACancellationIsRefusedOnlyIfItsJobIsCertainlyAbsent guards against a cancelled job that runs on: it was accepted a moment ago and has not been read here, its cancellation
// is answered with "no such job", and dropped. A query for the job's state may be answered so, since the job may be unknown for a while.
func TestACancellationIsRefusedOnlyIfItsJobIsCertainlyAbsent(t *testing.T) {
	const unknown, taken = "00000000000000ff", "00000000000000a1"
	for _, x := range [...]struct {
		name string
		q    job.Query
		// unread are the records that have not been read, and err is the error of a read.
		unread int
		err    error
		want   bool
	}{
		{name: "the state of an unknown job", q: job.Query{ID: unknown}, unread: 1, want: true},
		{name: "a cancellation of an unknown job", q: job.Query{ID: unknown, Cancel: true}, want: true},
		{name: "a cancellation beside a record that has not been read", q: job.Query{ID: unknown, Cancel: true}, unread: 1},
		{name: "a cancellation while the intake can't be read", q: job.Query{ID: unknown, Cancel: true}, err: feed.ErrUncertain},
		{name: "a cancellation of another organisation's job", q: job.Query{ID: taken, Organisation: "o", Cancel: true}, unread: 1, want: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			j := jobWithTasks(1)
			j.Spec.Organisation = "owner"
			b := newFixture(c, []*job.Job{j})
			b.intakeReadUntil[0], b.intakeOffsets[0] = time.Now(), 7
			b.Intake[0].Read = func(_ context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
				c.Check(from, quicktest.Equals, int64(7))
				c.Check(wait, quicktest.Equals, time.Duration(0))
				return feed.KeyedPage{Records: make([]feed.KeyedRecord, x.unread)}, x.err
			}
			reply := make(chan job.Answer, 1)
			jobQuestion{x.q, reply}.apply(b.session)
			c.Assert(<-reply, quicktest.Equals, job.Answer{Certain: x.want})
		})
	}
}

// TestUnknownJobsDoNotCostCallsWithoutBound guards against clients that make the leader read the whole intake with each cancellation of an unknown job.
func TestUnknownJobsDoNotCostCallsWithoutBound(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil)
	reads := 0
	b.Intake[0].Read = func(context.Context, int64, time.Duration) (feed.KeyedPage, error) {
		reads++
		return feed.KeyedPage{}, nil
	}
	b.intakeReadUntil[0] = time.Now()
	reply := make(chan job.Answer, 2)
	for range 2 {
		jobQuestion{job.Query{ID: "00000000000000ff", Cancel: true}, reply}.apply(b.session)
	}
	b.background.Wait()
	c.Assert(reads, quicktest.Equals, 1)
}
