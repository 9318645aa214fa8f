// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"errors"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// A cancellation's ID becomes part of a record's key. Without a leader to query for the job's owner, an ID that contains a path
// must not address another organisation's job.
func TestAWishToCancelNamesNoOtherOrganisationsJob(t *testing.T) {
	c := quicktest.New(t)
	var written []string
	i := &Intake{
		Query: func(context.Context, job.Query) (job.Answer, error) { return job.Answer{}, errors.New("no leader") },
		Writer: &Writer{Topic: feed.Topic{Append: func(_ context.Context, b feed.Batch) (int64, error) {
			written = append(written, b.Records[0].Key)
			return 1, nil
		}}},
	}
	for _, id := range [...]string{"a/00000000000000a1", "", "00000000000000a", "00000000000000g1", "../00000000000000a1"} {
		c.Check(i.Cancel(context.Background(), job.Query{ID: id}), quicktest.Equals, ErrNotFound, quicktest.Commentf("%q", id))
		_, err := i.State(context.Background(), job.Query{ID: id})
		c.Check(err, quicktest.Equals, ErrNotFound)
	}
	c.Assert(written, quicktest.HasLen, 0)
	c.Assert(i.Cancel(context.Background(), job.Query{ID: "00000000000000a1", Organisation: "b"}), quicktest.IsNil)
	c.Assert(written, quicktest.DeepEquals, []string{"c/b/00000000000000a1"})
}

// TestACancelOfAJobThatIsNotKnownYetIsWritten guards against a cancelled job that runs on: the scheduling entry may not have read the job, which was accepted a moment ago, and
// the cancellation is dropped.
func TestACancelOfAJobThatIsNotKnownYetIsWritten(t *testing.T) {
	c := quicktest.New(t)
	var written []string
	i := &Intake{
		Query: func(_ context.Context, q job.Query) (job.Answer, error) { return job.Answer{Certain: !q.Cancel}, nil },
		Writer: &Writer{Topic: feed.Topic{Append: func(_ context.Context, b feed.Batch) (int64, error) {
			written = append(written, b.Records[0].Key)
			return 1, nil
		}}},
	}
	c.Assert(i.Cancel(context.Background(), job.Query{ID: "00000000000000a1"}), quicktest.IsNil)
	c.Assert(written, quicktest.DeepEquals, []string{"c/00000000000000a1"})
}
