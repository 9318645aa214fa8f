// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"rackstep.dev/admission"
	"rackstep.dev/event"
	"rackstep.dev/job"
)

// refusalQueryTimeout limits the query before a refusal. Without an answer the job is taken.
const refusalQueryTimeout = 300 * time.Millisecond

// OverloadError means that the job was not written and will not run, because its queue has more work than its pool can do in time.
type OverloadError struct {
	Queue string
	admission.Decision
	// RetryAfter is when the client should come back.
	RetryAfter time.Duration
}

// Error returns the reason and the remedy.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("not taken, and it will not run: queue %s has more work than can be done in time; hand the job in again after %d s", e.Queue, int64((e.RetryAfter+time.Second-1)/time.Second))
}

// CheckLoad returns an OverloadError if the job is to be refused because of load. The query identifies the job and its client.
//
// A job that was or may have been accepted before under its ID is not refused: the entry asks the leader first, and takes the job
// unless the leader certainly does not know it.
func (i *Intake) CheckLoad(ctx context.Context, s *job.Spec, queue job.Queue, q job.Query) error {
	if i.Estimate == nil || s.Check() != nil {
		return nil
	}
	d := i.Estimate(s, queue)
	if !d.Refused || i.written.has(s.QualifiedID(), time.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, refusalQueryTimeout)
	defer cancel()
	if a, err := i.Query(ctx, q); err != nil || a.Known || !a.Certain {
		return nil
	}
	e := &OverloadError{Queue: s.Queue, Decision: d, RetryAfter: d.RetryAfter(rand.Float64())}
	i.recordOverload(s, e)
	return e
}

// recordOverload counts a refusal, and logs it unless there are too many.
func (i *Intake) recordOverload(s *job.Spec, e *OverloadError) {
	scope := i.Metrics
	if scope == nil {
		scope = tally.NoopScope
	}
	scope.Tagged(map[string]string{"queue": s.Queue}).Counter("jobs_refused_overload").Inc(1)
	scope.Histogram("overload_notice_age", ageBuckets).RecordDuration(e.Age)
	omitted, ok := i.reported.allow(time.Now())
	if !ok {
		return
	}
	i.Events.Emit(event.JobOverload, event.Subject{Job: s.ID}, fmt.Sprintf("queue=%s organisation=%q wait=%v path=%v target=%v age=%v retry=%v omitted=%d",
		s.Queue, s.Organisation, round(e.Wait), round(e.Path), round(e.Target), round(e.Age), round(e.RetryAfter), omitted))
}

// ageBuckets are the bounds of the histogram of ages, up to the age from which nothing is refused.
var ageBuckets = tally.MustMakeLinearDurationBuckets(0, 200*time.Millisecond, 11)

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
