// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/admission"
	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

func overloadSpec() *job.Spec {
	return &job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1}}}
}

// TestARefusalNeedsTheLeadersWord guards against a refusal, which says that a job will never run, of one that was or may have been
// accepted before: at another entry, at this one, or where nobody can tell. Jobs that are not refused must cost no query.
func TestARefusalNeedsTheLeadersWord(t *testing.T) {
	noAnswer := func(ctx context.Context) (job.Answer, error) { <-ctx.Done(); return job.Answer{}, ctx.Err() }
	answer := func(a job.Answer) func(context.Context) (job.Answer, error) {
		return func(context.Context) (job.Answer, error) { return a, nil }
	}
	for _, x := range [...]struct {
		name             string
		tooLate, written bool
		answer           func(context.Context) (job.Answer, error)
		refused          bool
		queries          int
	}{
		{"in time", false, false, answer(job.Answer{Certain: true}), false, 0},
		{"certainly unknown", true, false, answer(job.Answer{Certain: true}), true, 1},
		{"accepted at another entry", true, false, answer(job.Answer{Known: true}), false, 1},
		{"the leader has not read everything", true, false, answer(job.Answer{}), false, 1},
		{"the leader can't be asked", true, false, func(context.Context) (job.Answer, error) { return job.Answer{}, errors.New("cut off") }, false, 1},
		{"the leader is suspended", true, false, noAnswer, false, 1},
		{"in doubt at this entry", true, true, answer(job.Answer{Certain: true}), false, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				queries := 0
				i := &Intake{
					Events: new(event.Ring),
					Writer: &Writer{Topic: feed.Topic{Append: func(context.Context, feed.Batch) (int64, error) { return 0, feed.ErrUncertain }}},
					Query: func(ctx context.Context, q job.Query) (job.Answer, error) {
						queries++
						return x.answer(ctx)
					},
					Estimate: func(*job.Spec, job.Queue) admission.Decision {
						return admission.Decision{Refused: x.tooLate, Wait: 2 * time.Second}
					},
				}
				if x.written {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					c.Assert(i.Submit(ctx, overloadSpec()), quicktest.ErrorIs, ErrInDoubt)
				}
				start := time.Now()
				err := i.CheckLoad(context.Background(), overloadSpec(), job.Queue{}, job.Query{ID: "00000000000000a1"})
				c.Check(time.Since(start) <= refusalQueryTimeout, quicktest.IsTrue)
				c.Check(queries, quicktest.Equals, x.queries)
				var overload *OverloadError
				c.Assert(errors.As(err, &overload), quicktest.Equals, x.refused)
				if x.refused {
					c.Check(overload.RetryAfter >= 2*time.Second, quicktest.IsTrue)
				}
			})
		})
	}
}

// TestRefusalsAreLoggedWithALimit guards against a log that grows with every refused call.
func TestRefusalsAreLoggedWithALimit(t *testing.T) {
	c := quicktest.New(t)
	var l reportLimit
	now := time.Now()
	logged := 0
	for range 5 * maxReports {
		if _, ok := l.allow(now); ok {
			logged++
		}
	}
	c.Check(logged, quicktest.Equals, maxReports)
	omitted, ok := l.allow(now.Add(time.Second))
	c.Check(ok, quicktest.IsTrue)
	c.Check(omitted, quicktest.Equals, 4*maxReports)
}

// TestRememberedIDsAreBounded guards against memory that grows with the number of jobs.
func TestRememberedIDsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	var w writtenIDs
	now := time.Now()
	for n := range 2 * maxWritten {
		w.add(job.Qualify("", string(rune(n))), now)
	}
	c.Check(len(w.since) <= maxWritten && len(w.order) <= maxWritten, quicktest.IsTrue)
	w.add("again", now)
	w.add("again", now.Add(writtenTTL-time.Second))
	w.add("other", now.Add(writtenTTL+time.Second))
	c.Check(w.has("again", now.Add(writtenTTL+time.Second)), quicktest.IsTrue)
	c.Check(w.has("again", now.Add(2*writtenTTL)), quicktest.IsFalse)
}
